//! The quota step: rate and burst of a customer.

use std::fmt::Debug;

use jayreel_model::Configuration;

/// The answer of the quota step to a call that is about to be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// One request was taken from the customer's bucket. [`QuotaAdmission::sent`] or
    /// [`QuotaAdmission::give_back`] follows.
    Taken,
    /// The customer's share at this instance is used up.
    Exhausted {
        /// Time after which a call can succeed.
        retry_after_ms: u64,
    },
}

/// The quota step. A request is taken when the decision to send a call is made, not when
/// the call arrives: otherwise calls that waited for an endpoint could be sent together
/// and exceed the customer's burst.
pub trait QuotaAdmission: Debug + Send {
    /// Takes over the customers of a configuration.
    fn configure(&mut self, now_ms: u64, configuration: &Configuration);

    /// Takes one request from the customer's bucket. If it is short, the step tries to
    /// get more of the customer's rate from other instances.
    fn take(&mut self, now_ms: u64, customer: &str) -> QuotaDecision;

    /// The first byte of a call that was taken at `taken_at_ms` was sent.
    fn sent(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64);

    /// Returns the request of a call that was taken at `taken_at_ms` and did not run.
    fn give_back(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64);
}

/// Grants every request. For measurements of the policies alone.
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
