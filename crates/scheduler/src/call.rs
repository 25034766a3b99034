//! State of a call from its arrival to its end.

use jayreel_model::{ClassOfService, KeyHash, RequestId};
use slotmap::new_key_type;

use crate::endpoint::EndpointKey;
use crate::group::GroupKey;
use crate::policy::CustomerId;
use crate::program_table::ProgramKey;

new_key_type! {
    /// Key of a call in `Scheduler::calls`.
    pub(crate) struct CallKey;
}

/// What an endpoint must serve to run a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    /// The model or adapter with this name, in any group.
    Model(String),
    /// The plain service of the endpoint group with this name.
    Group(String),
}

/// Stage of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallState {
    /// Waits for a decision of program admission, usually for the end of an earlier call of
    /// its program.
    AwaitingProgram,
    /// Waits in the queue of an endpoint group.
    Waiting {
        /// The group whose queue holds the call.
        group: GroupKey,
    },
    /// Sent to an endpoint or forwarded to another instance.
    Running(Running),
}

/// State of a call that was dispatched or forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Running {
    /// The slot that the call occupies. `None` for a forwarded call.
    pub slot: Option<Slot>,
    /// Set by `CallSent`: a byte of the request may have reached the endpoint.
    pub sent: bool,
    /// Set by `FirstToken`: the caller may have received part of the response.
    pub response_started: bool,
    /// Set when the caller got an error response while the endpoint may still be working.
    /// The slot stays occupied until the endpoint has stopped.
    pub cancelled: bool,
}

/// A slot of an endpoint, occupied by one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Slot {
    pub endpoint: EndpointKey,
    /// The group whose fairness policy was charged.
    pub group: GroupKey,
    pub taken_at_ms: u64,
    /// Cost charged to the customer, in tenths of weighted tokens. Replaced by the actual
    /// cost when the call ends.
    pub estimated_cost: u64,
}

/// A call that has not ended at this instance.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub request_id: RequestId,
    /// Hash of the customer key. `None` on open routes.
    pub key: Option<KeyHash>,
    /// The customer to charge. `None` on open routes.
    pub customer: Option<CustomerId>,
    pub target: Target,
    pub class: ClassOfService,
    pub max_tokens: Option<u64>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    pub prefix_hashes: Vec<u64>,
    pub response_headers: Vec<(String, String)>,
    /// Whether the call is idempotent, so that it may be retried after a byte of it may
    /// have reached an endpoint.
    pub repeatable: bool,
    /// Number in the order of arrival at this instance.
    pub sequence: u64,
    /// Time of arrival, or of the end of the last failed attempt.
    pub waiting_since_ms: u64,
    /// Maximum waiting time from the profile.
    pub max_wait_ms: u64,
    /// `None` for a call without program, and until program admission lets the call run.
    pub program: Option<ProgramKey>,
    /// Whether program admission must be told about the end of the call.
    pub in_program_admission: bool,
    /// When quota was taken for the current attempt. `None` if none was taken, for example
    /// on open routes.
    pub quota_taken_at_ms: Option<u64>,
    /// Since when the call waits only because its customer's rate limit is exhausted.
    pub over_rate_since_ms: Option<u64>,
    /// Time after which the customer has quota again, in milliseconds, as of the last
    /// attempt to take quota.
    pub rate_retry_after_ms: u64,
    /// Number of failed attempts so far.
    pub failed_attempts: u32,
    /// The endpoint of the last failed attempt. Retries prefer other endpoints.
    pub avoid_endpoint: Option<EndpointKey>,
    /// Whether an earlier attempt may have reached an endpoint. The call must then not be
    /// refused as not run.
    pub may_have_run: bool,
    pub state: CallState,
}

impl Call {
    /// Time since arrival or the last failed attempt.
    pub fn waited_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.waiting_since_ms)
    }

    /// Whether the call goes to a model engine, not to a plain service.
    pub fn is_model_call(&self) -> bool {
        matches!(self.target, Target::Model(_))
    }
}
