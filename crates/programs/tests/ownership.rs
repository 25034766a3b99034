//! Guards against two owners of one program and against forwarding loops.

mod support;

use jayreel_model::{Incarnation, Ran, RefusalReason};
use jayreel_programs::ownership::decide;
use jayreel_programs::{
    Decision, OwnerLiveness, OwnerLookup, OwnerStatus, OwnershipView, TakeoverRecord,
    Takeovers,
};
use support::incarnation;
use test_case::test_case;

struct Facts(OwnerStatus);

impl OwnerLookup for Facts {
    fn owner(&self, _incarnation: &Incarnation) -> OwnerStatus {
        self.0
    }
}

const DELAY_MS: u64 = 5_000;

fn ask(
    liveness: OwnerLiveness,
    absent_ms: Option<u64>,
    takeovers: &Takeovers,
    was_forwarded: bool,
) -> Decision {
    let facts = Facts(OwnerStatus {
        liveness,
        registration_absent_ms: absent_ms,
    });
    let own = incarnation("b.1");
    let view = OwnershipView {
        own: &own,
        takeovers,
        owners: &facts,
        takeover_delay_ms: DELAY_MS,
    };
    decide(view, &incarnation("a.1"), was_forwarded)
}

fn taken_over(by: &str) -> Takeovers {
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
    assert_eq!(ask(liveness, Some(DELAY_MS), &none, false), expected);
    assert!(matches!(
        ask(liveness, None, &none, true),
        Decision::Refuse(_)
    ));
}

#[test_case(OwnerLiveness::Suspect, Some(DELAY_MS); "still suspect")]
#[test_case(OwnerLiveness::Dead, Some(DELAY_MS - 1); "registration absent too shortly")]
#[test_case(OwnerLiveness::Dead, None; "registered or no store contact")]
fn an_unreachable_owner_is_not_replaced_early(
    liveness: OwnerLiveness,
    absent_ms: Option<u64>,
) {
    match ask(liveness, absent_ms, &Takeovers::default(), false) {
        Decision::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::OwnerUnavailable);
            assert_eq!(refusal.ran, Ran::No);
            assert!(refusal.retry_after_ms.is_some());
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn a_dead_owner_is_claimed() {
    let decision = ask(
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
    let own = taken_over("b.1");
    assert_eq!(ask(OwnerLiveness::Dead, None, &own, true), Decision::Serve);
    let other = taken_over("c.1");
    let to = incarnation("c.1");
    assert_eq!(
        ask(OwnerLiveness::Alive, None, &other, false),
        Decision::Forward { to }
    );
}

#[test]
fn a_line_of_successors_is_followed_and_the_first_record_kept() {
    let mut takeovers = taken_over("b.1");
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
    let decision = ask(OwnerLiveness::Dead, Some(DELAY_MS), &takeovers, false);
    assert!(matches!(decision, Decision::Refuse(_)));
}
