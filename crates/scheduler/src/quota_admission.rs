//! Interface between the scheduler and the rate limits of customers.

use std::fmt::Debug;

use jayreel_model::Configuration;

/// Result of taking quota for a call that is about to be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// One request was taken from the customer's token bucket. [`QuotaAdmission::sent`]
    /// follows when the first byte of the call is sent, [`QuotaAdmission::give_back`] if the
    /// call did not run.
    Taken,
    /// The customer has no quota left at this instance.
    Exhausted {
        /// Time after which quota may be available again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Enforces the rate limits of customers.
///
/// Quota is taken when a call is dispatched, not when it arrives. Otherwise calls that
/// waited for an endpoint could be sent all at once and exceed the customer's burst.
pub trait QuotaAdmission: Debug + Send {
    /// Applies the rate limits of a new configuration.
    fn configure(&mut self, now_ms: u64, configuration: &Configuration);

    /// Takes one request from the customer's token bucket. If the bucket is empty, the
    /// implementation should try to obtain unused quota from other instances.
    fn take(&mut self, now_ms: u64, customer: &str) -> QuotaDecision;

    /// Records that the first byte of a call was sent whose quota was taken at
    /// `taken_at_ms`.
    fn sent(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64);

    /// Gives back the quota that was taken at `taken_at_ms` for a call that did not run.
    fn give_back(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64);
}

/// Applies no rate limits. For measurements of the scheduling policies alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedQuota;

impl QuotaAdmission for UnlimitedQuota {
    fn configure(&mut self, _now_ms: u64, _configuration: &Configuration) {}

    fn take(&mut self, _now_ms: u64, _customer: &str) -> QuotaDecision {
        QuotaDecision::Taken
    }

    fn sent(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {}

    fn give_back(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {}
}
