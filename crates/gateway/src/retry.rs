//! What follows when an endpoint gives no final answer.

use crate::config::CallKind;

/// Connections that could not be made do not count as attempts, but their number is
/// limited: after this many, other callers' requests tell which endpoints are there.
const MOST_UNSENT: u32 = 3;

/// A send that may be repeated is given up after this many times the route's target, if
/// another endpoint is left to try: workers lose answers and hang, and say nothing then.
const PATIENCE_TARGETS: u64 = 4;

/// Shortest time after which a send is given up, in milliseconds, so that a short queue does
/// not look like a lost answer.
const LEAST_PATIENCE_MS: u64 = 300;

/// What became of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No byte can have reached an endpoint.
    NotSent,
    /// Another endpoint listens at the address. It has not run the request.
    Misdirected,
    /// The endpoint says that it has not run the request and never will.
    Rejected,
    /// The request was sent and has no usable answer. It may have run.
    Unknown,
    /// The endpoint answered that it failed.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send it to another endpoint.
    SendAgain,
    /// Tell the caller that it has not run.
    RefuseNotRun,
    /// Tell the caller that it may have run.
    FailUnknown,
    /// Hand the endpoint's failure to the caller.
    ForwardFailure,
}

/// Limits of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    /// What may be repeated.
    pub kind: CallKind,
    /// Endpoints to which it may be sent.
    pub max_attempts: u32,
}

/// The sends of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempt {
    /// Sends that reached the endpoint asked for.
    pub sent: u32,
    /// Sends that did not.
    pub unsent: u32,
    /// One of the sends may have run.
    pub may_have_run: bool,
}

impl Attempt {
    /// How long to wait for the head of an answer, in milliseconds.
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
                let response_timeout_ms = PATIENCE_TARGETS * target_ms;
                response_timeout_ms.max(LEAST_PATIENCE_MS).min(time_left_ms)
            }
        }
    }

    /// Records an outcome and decides the next step.
    pub fn next(&mut self, policy: RetryPolicy, outcome: Outcome) -> Step {
        match outcome {
            Outcome::NotSent | Outcome::Misdirected => self.unsent += 1,
            Outcome::Rejected => self.sent += 1,
            Outcome::Unknown | Outcome::Failed => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
        let has_attempts = self.sent < policy.max_attempts && self.unsent < MOST_UNSENT;
        let may_repeat = !self.may_have_run || policy.kind.may_run_again();
        match outcome {
            _ if has_attempts && may_repeat => Step::SendAgain,
            Outcome::Failed => Step::ForwardFailure,
            _ if self.may_have_run => Step::FailUnknown,
            _ => Step::RefuseNotRun,
        }
    }
}
