//! Decides whether a request is sent to another endpoint after a failed send.
//!
//! A request that must run at most once is sent again only if no earlier send can have run.

use crate::config::CallKind;

/// Upper bound of the sends that reached no endpoint or the wrong one. They don't count as
/// attempts. After this many the request is given up; the requests of other callers reveal which
/// endpoints can be reached.
const MAX_UNDELIVERED: u32 = 3;

/// Response timeout of a send that may be repeated, as a multiple of the route's target latency.
/// It applies while another attempt is left. Endpoints can lose a response or hang without closing
/// the connection.
const RESPONSE_TIMEOUT_TARGETS: u64 = 4;

/// Lower bound of that timeout, in milliseconds, so that a short queue is not taken for a lost
/// response.
const MIN_TIMEOUT_MS: u64 = 300;

/// Result of one send without a usable response. The variant names, in lower
/// case, are values of a metric label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No byte of the request was sent.
    NotSent,
    /// A different endpoint listens at the address. It has not run the request.
    Misdirected,
    /// The endpoint guarantees that it has not run the request and never will.
    Rejected,
    /// The request was sent and has no usable response. It may have run.
    Unknown,
    /// The endpoint reported that it failed. The request may have run.
    Failed,
}

/// What to do with a request after a failed send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send the request to another endpoint.
    SendAgain,
    /// Refuse the request, which guarantees to the caller that it has not run.
    RefuseNotRun,
    /// Fail the request and report to the caller that it may have run.
    FailUnknown,
    /// Forward the endpoint's error response to the caller.
    PassOn,
}

/// Limits on the sends of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    /// Whether the request may run again.
    pub kind: CallKind,
    /// Number of endpoints to which it may be sent.
    pub max_attempts: u32,
}

/// The sends of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempt {
    /// Number of sends that may have reached the intended endpoint.
    pub sent: u32,
    /// Number of sends that did not reach it.
    pub unsent: u32,
    /// At least one of the sends may have run.
    pub may_have_run: bool,
}

impl Attempt {
    /// How long to wait for the response head of the next send, in milliseconds.
    pub fn response_timeout_ms(
        &self,
        policy: RetryPolicy,
        target_ms: u64,
        time_left_ms: u64,
    ) -> u64 {
        let is_last = self.sent + 1 >= policy.max_attempts;
        match is_last || !policy.kind.may_run_again() {
            true => time_left_ms,
            false => {
                let response_timeout_ms = RESPONSE_TIMEOUT_TARGETS * target_ms;
                response_timeout_ms.max(MIN_TIMEOUT_MS).min(time_left_ms)
            }
        }
    }

    /// Records the outcome of a send and decides the next step.
    pub fn next(&mut self, policy: RetryPolicy, outcome: Outcome) -> Step {
        match outcome {
            Outcome::NotSent | Outcome::Misdirected => self.unsent += 1,
            Outcome::Rejected => self.sent += 1,
            Outcome::Unknown | Outcome::Failed => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
        let has_attempts =
            self.sent < policy.max_attempts && self.unsent < MAX_UNDELIVERED;
        let may_repeat = !self.may_have_run || policy.kind.may_run_again();
        match outcome {
            _ if has_attempts && may_repeat => Step::SendAgain,
            Outcome::Failed => Step::PassOn,
            _ if self.may_have_run => Step::FailUnknown,
            _ => Step::RefuseNotRun,
        }
    }
}
