//! Admission policies: which calls are refused on arrival because of overload.

use std::fmt::Debug;

/// A call is refused if its expected wait exceeds the profile's limit by this factor. The
/// factor is above 1 because the estimate assumes first come, first served, while most calls
/// run earlier than that.
const EARLY_REFUSAL_FACTOR: u64 = 2;

/// The properties of an arriving call that an [`AdmissionPolicy`] uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Expected wait behind the waiting calls of the same customer, at the customer's
    /// share of the observed service rate. `None` if no service time was observed yet or
    /// no endpoint is active.
    pub expected_wait_ms: Option<u64>,
    /// Maximum waiting time that the profile allows.
    pub max_wait_ms: u64,
}

/// Decides whether an arriving call is queued or refused because its group is overloaded.
pub trait AdmissionPolicy: Debug + Send {
    /// Whether the call is accepted into the queue.
    fn admits(&self, call: &AdmissionRequest) -> bool;
}

/// Baseline: accepts every call. Calls are refused only after they have waited for the
/// profile's limit.
#[derive(Clone, Copy, Debug)]
pub struct WaitBound;

impl AdmissionPolicy for WaitBound {
    fn admits(&self, _call: &AdmissionRequest) -> bool {
        true
    }
}

/// Refuses calls whose expected wait is far above the profile's limit.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedWait;

impl AdmissionPolicy for ExpectedWait {
    fn admits(&self, call: &AdmissionRequest) -> bool {
        let limit_ms = call.max_wait_ms.saturating_mul(EARLY_REFUSAL_FACTOR);
        call.expected_wait_ms.is_none_or(|wait| wait <= limit_ms)
    }
}
