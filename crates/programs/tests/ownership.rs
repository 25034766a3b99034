//! The choice of the instance that serves a program. Guards against two owners of one
//! program and against calls that are forwarded in a loop.

mod support;

use jayreel_model::{Incarnation, Ran, RefusalReason};
use jayreel_programs::ownership::decide;
use jayreel_programs::{
    Decision, OwnerLiveness, OwnerLookup, OwnerStatus, OwnershipView, TakeoverRecord,
    Takeovers,
};
use support::incarnation;
use test_case::test_case;

/// Returns the same status for every incarnation.
struct FixedOwner(OwnerStatus);

impl OwnerLookup for FixedOwner {
    fn owner(&self, _incarnation: &Incarnation) -> OwnerStatus {
        self.0
    }
}

const DELAY_MS: u64 = 5_000;

/// What `b.1` decides about a call of a program that `a.1` opened.
fn decide_call(
    liveness: OwnerLiveness,
    absent_ms: Option<u64>,
    takeovers: &Takeovers,
    was_forwarded: bool,
) -> Decision {
    let owner = FixedOwner(OwnerStatus {
        liveness,
        registration_absent_ms: absent_ms,
    });
    let own = incarnation("b.1");
    let view = OwnershipView {
        own: &own,
        takeovers,
        owners: &owner,
        takeover_delay_ms: DELAY_MS,
    };
    decide(view, &incarnation("a.1"), was_forwarded)
}

/// Takeover records in which `by` succeeds `a.1`.
fn succeeded_by(by: &str) -> Takeovers {
    let mut takeovers = Takeovers::default();
    let successor = incarnation(by);
    let record = TakeoverRecord {
        successor,
        is_planned: false,
    };
    takeovers.learn(incarnation("a.1"), &record);
    takeovers
}

#[test_case(OwnerLiveness::Alive)]
#[test_case(OwnerLiveness::Leaving)]
fn a_live_owner_is_forwarded_to_once(liveness: OwnerLiveness) {
    let none = Takeovers::default();
    let to = incarnation("a.1");
    let expected = Decision::Forward { to };
    assert_eq!(
        decide_call(liveness, Some(DELAY_MS), &none, false),
        expected
    );
    assert!(matches!(
        decide_call(liveness, None, &none, true),
        Decision::Refuse(_)
    ));
}

#[test_case(OwnerLiveness::Suspect, Some(DELAY_MS); "still suspect")]
#[test_case(OwnerLiveness::Dead, Some(DELAY_MS - 1); "registration not absent for long enough")]
#[test_case(OwnerLiveness::Dead, None; "registered or no store contact")]
fn an_unreachable_owner_is_not_replaced_early(
    liveness: OwnerLiveness,
    absent_ms: Option<u64>,
) {
    match decide_call(liveness, absent_ms, &Takeovers::default(), false) {
        Decision::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::OwnerUnavailable);
            assert_eq!(refusal.ran, Ran::No);
            assert!(refusal.retry_after_ms.is_some());
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn a_dead_owner_is_succeeded_by() {
    let decision = decide_call(
        OwnerLiveness::Dead,
        Some(DELAY_MS),
        &Takeovers::default(),
        false,
    );
    assert_eq!(
        decision,
        Decision::ClaimTakeover {
            of: incarnation("a.1")
        }
    );
}

#[test]
fn the_named_successor_serves_and_others_forward_to_it() {
    let own = succeeded_by("b.1");
    assert_eq!(
        decide_call(OwnerLiveness::Dead, None, &own, true),
        Decision::Serve
    );
    let other = succeeded_by("c.1");
    let to = incarnation("c.1");
    assert_eq!(
        decide_call(OwnerLiveness::Alive, None, &other, false),
        Decision::Forward { to }
    );
}

#[test]
fn a_chain_of_successors_is_followed_and_the_first_record_kept() {
    let mut takeovers = succeeded_by("b.1");
    let record = |by: &str| TakeoverRecord {
        successor: incarnation(by),
        is_planned: false,
    };
    takeovers.learn(incarnation("b.1"), &record("c.1"));
    takeovers.learn(incarnation("a.1"), &record("d.1"));
    assert_eq!(
        takeovers.responsible(&incarnation("a.1")),
        &incarnation("c.1")
    );
    let predecessors = takeovers.predecessors(&incarnation("c.1"));
    assert_eq!(predecessors, [incarnation("a.1"), incarnation("b.1")]);
    takeovers.learn(incarnation("c.1"), &record("a.1"));
    takeovers.responsible(&incarnation("a.1"));
}

#[test]
fn a_superseded_instance_claims_nothing() {
    let mut takeovers = Takeovers::default();
    let successor = incarnation("c.1");
    let record = TakeoverRecord {
        successor,
        is_planned: false,
    };
    takeovers.learn(incarnation("b.1"), &record);
    let decision = decide_call(OwnerLiveness::Dead, Some(DELAY_MS), &takeovers, false);
    assert!(matches!(decision, Decision::Refuse(_)));
}
