//! What follows when an endpoint gives no final answer.

use jayreel_gateway::{Attempt, CallKind, Outcome, RetryPolicy, Step};
use test_case::test_case;

const RESUMABLE: CallKind = CallKind::Stream { is_resumable: true };
const STREAM: CallKind = CallKind::Stream {
    is_resumable: false,
};

fn first(kind: CallKind, max_attempts: u32, outcome: Outcome) -> Step {
    let policy = RetryPolicy { kind, max_attempts };
    Attempt::default().next(policy, outcome)
}

#[test_case(CallKind::Once, Outcome::Unknown => Step::FailUnknown)]
#[test_case(STREAM, Outcome::Unknown => Step::FailUnknown)]
#[test_case(CallKind::Once, Outcome::Failed => Step::ForwardFailure)]
#[test_case(CallKind::Idempotent, Outcome::Unknown => Step::SendAgain)]
#[test_case(RESUMABLE, Outcome::Unknown => Step::SendAgain)]
#[test_case(CallKind::Once, Outcome::Rejected => Step::SendAgain)]
#[test_case(CallKind::Once, Outcome::NotSent => Step::SendAgain)]
fn with_attempts_left(kind: CallKind, outcome: Outcome) -> Step {
    first(kind, 2, outcome)
}

#[test_case(CallKind::Idempotent, Outcome::Unknown => Step::FailUnknown)]
#[test_case(CallKind::Once, Outcome::Rejected => Step::RefuseNotRun)]
#[test_case(CallKind::Once, Outcome::NotSent => Step::SendAgain; "a failed connection is no attempt")]
#[test_case(CallKind::Once, Outcome::Misdirected => Step::SendAgain)]
fn with_one_attempt(kind: CallKind, outcome: Outcome) -> Step {
    first(kind, 1, outcome)
}

/// A refusal promises that the request has not run.
#[test]
fn no_refusal_once_a_send_may_have_run() {
    let policy = RetryPolicy {
        kind: CallKind::Idempotent,
        max_attempts: 2,
    };
    let outcomes = [
        Outcome::NotSent,
        Outcome::Misdirected,
        Outcome::Rejected,
        Outcome::Unknown,
        Outcome::Failed,
    ];
    for first in outcomes {
        for second in outcomes {
            for third in outcomes {
                let mut attempt = Attempt::default();
                for outcome in [first, second, third] {
                    let step = attempt.next(policy, outcome);
                    let may_have_run = attempt.may_have_run;
                    assert!(!(step == Step::RefuseNotRun && may_have_run));
                    if step != Step::SendAgain {
                        break;
                    }
                }
                assert!(attempt.sent <= 3);
            }
        }
    }
}

/// A worker loses an answer or hangs. A request that may run again goes to another in time;
/// one that may not waits, since its worker may still be at work.
#[test]
fn silent_endpoint_is_given_up_only_if_another_may_be_tried() {
    let patience = |kind, sent| {
        let policy = RetryPolicy {
            kind,
            max_attempts: 2,
        };
        let attempt = Attempt {
            sent,
            ..Attempt::default()
        };
        attempt.response_timeout_ms(policy, 80, 1_200)
    };
    assert!(
        patience(CallKind::Idempotent, 0) <= 400,
        "a third of the time"
    );
    assert_eq!(patience(CallKind::Idempotent, 1), 1_200);
    assert_eq!(patience(CallKind::Once, 0), 1_200);
    assert_eq!(patience(STREAM, 0), 1_200);
}

/// A request that may run once is not sent again after a send that may have run, whatever
/// came before.
#[test]
fn once_means_once() {
    let policy = RetryPolicy {
        kind: CallKind::Once,
        max_attempts: 5,
    };
    for before in [Outcome::NotSent, Outcome::Misdirected, Outcome::Rejected] {
        let mut attempt = Attempt::default();
        assert_eq!(attempt.next(policy, before), Step::SendAgain);
        assert_eq!(attempt.next(policy, Outcome::Unknown), Step::FailUnknown);
    }
}
