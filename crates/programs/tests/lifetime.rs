//! The end of programs and their transfer to another instance. Guards against programs
//! that end too early or too late, and against a transfer that loses spending, turns or
//! idempotency keys.

mod support;

use jayreel_model::{Ran, RefusalReason, RequestId};
use jayreel_programs::{
    Admission, CacheTag, CallParams, EndReason, Handover, OpenedProgram, ProgramEffects,
    Programs,
};
use support::{
    LIFETIME_S, action, call, incarnation, model_call, open, process, profile,
    record_grants, refusal, resolve, runs, usage,
};

const IDLE_MS: u64 = 900_000;

fn ended_tags(effects: &ProgramEffects) -> Vec<CacheTag> {
    effects
        .ended
        .iter()
        .map(|ended| ended.cache_tag.clone())
        .collect()
}

#[test]
fn an_idle_program_expires() {
    let mut programs = process("a.1");
    let opened = open(&mut programs, None);
    assert!(ended_tags(&programs.expire(IDLE_MS - 1)).is_empty());
    let effects = programs.expire(IDLE_MS);
    assert_eq!(ended_tags(&effects), [opened.token.cache_tag()]);
    assert_eq!(effects.ended[0].reason, EndReason::Idle);
    assert!(!programs.owns_cache_tag(&opened.token.cache_tag()));
    let again = programs.resolve(IDLE_MS, &opened.token, &profile());
    assert_eq!(again.expect_err("refused").reason, RefusalReason::NotFound);
}

#[test]
fn a_program_with_a_running_call_or_an_active_sub_agent_does_not_expire() {
    let mut programs = process("a.1");
    let root = open(&mut programs, None).program;
    let child = open(&mut programs, Some(root)).program;
    assert!(runs(&programs.admit(1, child, call(1))));
    assert!(ended_tags(&programs.expire(10 * IDLE_MS)).len() <= 1);
    assert!(programs.token(child).is_some());
    let _ = programs.finish(10 * IDLE_MS, RequestId(1), None);
    let root = open(&mut programs, None).program;
    let child = open(&mut programs, Some(root)).program;
    assert!(runs(&programs.admit(11 * IDLE_MS, child, call(2))));
    let _ = programs.finish(11 * IDLE_MS, RequestId(2), None);
    let _ = programs.expire(12 * IDLE_MS - 1);
    assert!(programs.token(root).is_some());
}

#[test]
fn closing_ends_sub_agents_and_refuses_waiting_calls() {
    let mut programs = process("a.1");
    let root = open(&mut programs, None).program;
    let child = open(&mut programs, Some(root)).program;
    let grandchild = open(&mut programs, Some(child)).program;
    let other = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, child, call(1))));
    assert_eq!(programs.admit(0, child, call(2)), Admission::Wait);
    let mut effects = programs.close(0, root);
    assert_eq!(
        effects.ended.len(),
        2,
        "the program with a running call ends later"
    );
    let waiting = effects.resolved.remove(0);
    assert_eq!(waiting.request_id, RequestId(2));
    assert_eq!(
        refusal(waiting.admission),
        (RefusalReason::NotFound, Ran::No)
    );
    let answer = programs.admit(0, child, call(3));
    assert_eq!(refusal(answer), (RefusalReason::NotFound, Ran::No));
    assert_eq!(programs.finish(0, RequestId(1), None).ended.len(), 1);
    assert!(programs.token(grandchild).is_none());
    assert!(programs.token(other).is_some());
}

/// An owner with one program that ran a non-repeatable call with key `k` in turn 0 and a
/// model call of 15 tokens in turn 1.
fn owner() -> (Programs, OpenedProgram) {
    let mut owner = process("a.1");
    let opened = open(&mut owner, None);
    assert!(runs(&owner.admit(0, opened.program, action(1, "k"))));
    let _ = owner.finish(0, RequestId(1), None);
    assert!(runs(&owner.admit(0, opened.program, model_call(2, 10, 20))));
    let _ = owner.finish(0, RequestId(2), usage(15));
    (owner, opened)
}

fn through_json(handover: &Handover) -> Handover {
    let json = serde_json::to_string(handover).expect("plain data");
    serde_json::from_str(&json).expect("the same form")
}

#[test]
fn after_a_handover_turns_keys_and_spending_are_known() {
    let (mut owner, opened) = owner();
    let handover = owner.export().expect("no call runs");
    let stopped = owner.admit(0, opened.program, call(3));
    assert_eq!(refusal(stopped), (RefusalReason::NotReady, Ran::No));
    let mut successor = process("b.1");
    successor.import(0, through_json(&handover));
    let id = resolve(&mut successor, &opened.token);
    assert_eq!(successor.next_turn(id), Some(2));
    assert_eq!(successor.account(id).expect("live").spent_tokens, 15);
    assert_eq!(successor.attained_service_mtokens(id), 15_000);
    let repeat = successor.admit(0, id, action(4, "k"));
    assert_eq!(refusal(repeat), (RefusalReason::WrongTurn, Ran::Yes));
    assert!(runs(&successor.admit(0, id, action(5, "new"))));
}

#[test]
fn a_handover_waits_for_running_calls() {
    let (mut owner, opened) = owner();
    assert!(runs(&owner.admit(0, opened.program, call(3))));
    assert_eq!(owner.export(), None);
    let _ = owner.finish(0, RequestId(3), None);
    assert!(owner.export().is_some());
    assert_eq!(
        owner.export(),
        None,
        "a second handover would name a second successor"
    );
}

#[test]
fn a_lost_handover_message_preserves_the_exact_spending() {
    let (mut owner, opened) = owner();
    let handover = owner.export().expect("no call runs");
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), Some(handover.record));
    let id = resolve(&mut successor, &opened.token);
    assert_eq!(successor.account(id).expect("live").spent_tokens, 15);
    let answer = successor.admit(0, id, action(3, "new"));
    assert_eq!(
        refusal(answer),
        (RefusalReason::OwnerUnavailable, Ran::Unknown)
    );
}

#[test]
fn a_late_or_repeated_handover_does_not_overwrite_newer_state() {
    let (mut owner, opened) = owner();
    let handover = owner.export().expect("no call runs");
    let mut successor = process("b.1");
    successor.import(0, handover.clone());
    let id = resolve(&mut successor, &opened.token);
    assert!(runs(&successor.admit(0, id, action(3, "new"))));
    let _ = successor.finish(0, RequestId(3), None);
    let before = successor.clone();
    successor.import(0, handover.clone());
    assert_eq!(successor, before);
    let _ = successor.close(0, id);
    successor.import(0, handover);
    let again = successor.resolve(0, &opened.token, &profile());
    assert_eq!(again.expect_err("refused").reason, RefusalReason::NotFound);
}

#[test]
fn after_a_crash_an_action_runs_only_in_the_epoch_that_it_names() {
    let (_, opened) = owner();
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), None);
    let id = resolve(&mut successor, &opened.token);
    for epoch in [None, Some(incarnation("a.1")), Some(incarnation("c.1"))] {
        let answer = successor.admit(
            0,
            id,
            CallParams {
                epoch,
                ..action(1, "k")
            },
        );
        assert_eq!(
            refusal(answer),
            (RefusalReason::OwnerUnavailable, Ran::Unknown)
        );
    }
    assert!(
        runs(&successor.admit(0, id, call(2))),
        "a repeatable call runs at once"
    );
    let _ = successor.finish(0, RequestId(2), None);
    let epoch = Some(incarnation("b.1"));
    assert!(runs(&successor.admit(
        0,
        id,
        CallParams {
            epoch,
            ..action(3, "k")
        }
    )));
}

#[test]
fn a_program_that_ended_at_a_successor_is_not_adopted_again() {
    let (_, opened) = owner();
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), None);
    resolve(&mut successor, &opened.token);
    assert_eq!(successor.expire(IDLE_MS).ended.len(), 1);
    let again = successor.resolve(IDLE_MS, &opened.token, &profile());
    assert_eq!(again.expect_err("refused").reason, RefusalReason::NotFound);
    let _ = successor.expire(IDLE_MS + LIFETIME_S * 1_000);
    assert_eq!(successor.account(opened.program), None);
}

#[test]
fn a_superseded_owner_refuses_waiting_calls_as_not_run() {
    let (mut owner, opened) = owner();
    assert!(runs(&owner.admit(0, opened.program, call(3))));
    assert_eq!(owner.admit(0, opened.program, call(4)), Admission::Wait);
    let mut effects = owner.supersede();
    let waiting = effects.resolved.remove(0).admission;
    assert_eq!(refusal(waiting), (RefusalReason::OwnerUnavailable, Ran::No));
    assert!(owner.finish(0, RequestId(3), None).resolved.is_empty());
    assert!(record_grants(&mut owner).is_empty());
}

#[test]
fn a_handover_in_parts_is_complete_in_any_order() {
    let (mut owner, opened) = owner();
    let child = open(&mut owner, Some(opened.program));
    let other = open(&mut owner, None);
    let handover = owner.export().expect("no call runs");
    let mut whole = process("b.1");
    whole.import(0, handover.clone());
    let parts = handover.into_parts(1);
    assert_eq!(parts.len(), 3);
    let mut successor = process("b.1");
    for part in parts.iter().rev().chain(&parts) {
        successor.import(0, through_json(part));
    }
    for token in [&opened.token, &child.token, &other.token] {
        let (a, b) = (resolve(&mut whole, token), resolve(&mut successor, token));
        assert_eq!(whole.account(a), successor.account(b));
        assert_eq!(whole.next_turn(a), successor.next_turn(b));
    }
    assert_eq!(
        process("c.1").export().expect("idle").into_parts(1).len(),
        1
    );
}
