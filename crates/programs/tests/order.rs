//! The order of the calls of one program. Guards against calls that overlap, run out of
//! turn or run twice.

mod support;

use jayreel_model::{Ran, RefusalReason, RequestId};
use jayreel_programs::{Admission, CallParams, MAX_WAITING_CALLS};
use support::{action, call, incarnation, open, process, refusal, runs};
use test_case::test_case;

fn with_turn(number: u64, turn: u32) -> CallParams {
    CallParams {
        turn: Some(turn),
        ..call(number)
    }
}

#[test]
fn calls_run_one_at_a_time_in_arrival_order() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, call(1))));
    assert_eq!(programs.admit(0, id, call(2)), Admission::Wait);
    assert_eq!(programs.admit(0, id, call(3)), Admission::Wait);
    for next in [2, 3] {
        let effects = programs.finish(0, RequestId(next - 1), None);
        assert_eq!(effects.resolved.len(), 1);
        assert_eq!(effects.resolved[0].request_id, RequestId(next));
        assert!(runs(&effects.resolved[0].admission));
    }
    assert!(programs.finish(0, RequestId(3), None).resolved.is_empty());
}

#[test]
fn a_second_end_of_a_call_changes_nothing() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, call(1))));
    assert_eq!(programs.admit(0, id, call(2)), Admission::Wait);
    assert_eq!(programs.finish(0, RequestId(1), None).resolved.len(), 1);
    let before = programs.clone();
    assert_eq!(programs.fail(0, RequestId(1), Ran::No), Default::default());
    assert_eq!(programs, before);
}

#[test_case(0; "turn that ran")]
#[test_case(2; "turn ahead")]
fn a_wrong_turn_is_refused(turn: u32) {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, with_turn(1, 0))));
    let _ = programs.finish(0, RequestId(1), None);
    let answer = programs.admit(0, id, with_turn(2, turn));
    assert_eq!(refusal(answer), (RefusalReason::WrongTurn, Ran::No));
    assert_eq!(programs.next_turn(id), Some(1));
}

#[test]
fn a_call_that_did_not_run_releases_its_turn_and_key() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    let first = CallParams {
        turn: Some(0),
        ..action(1, "k")
    };
    assert!(runs(&programs.admit(0, id, first)));
    assert_eq!(programs.admit(0, id, with_turn(2, 1)), Admission::Wait);
    let mut effects = programs.fail(0, RequestId(1), Ran::No);
    let overtaking = effects.resolved.remove(0).admission;
    assert_eq!(refusal(overtaking), (RefusalReason::WrongTurn, Ran::No));
    let again = CallParams {
        turn: Some(0),
        ..action(3, "k")
    };
    assert!(runs(&programs.admit(0, id, again)));
}

#[test_case(None, Ran::Unknown; "while it runs")]
#[test_case(Some(Ran::Yes), Ran::Yes; "after it ran")]
#[test_case(Some(Ran::Unknown), Ran::Unknown; "after it may have run")]
fn a_repeated_key_does_not_run_again(ended: Option<Ran>, expected: Ran) {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, action(1, "k"))));
    if let Some(ran) = ended {
        let _ = programs.fail(0, RequestId(1), ran);
    }
    let repeat = CallParams {
        turn: Some(0),
        ..action(2, "k")
    };
    let answer = programs.admit(0, id, repeat);
    assert_eq!(refusal(answer), (RefusalReason::WrongTurn, expected));
}

#[test]
fn a_repeatable_retry_leaves_an_unknown_key_unknown() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, action(1, "k"))));
    let _ = programs.fail(0, RequestId(1), Ran::Unknown);
    let repeatable = CallParams {
        repeatable: true,
        ..action(2, "k")
    };
    assert!(runs(&programs.admit(0, id, repeatable)));
    let _ = programs.fail(0, RequestId(2), Ran::No);
    let answer = programs.admit(0, id, action(3, "k"));
    assert_eq!(refusal(answer), (RefusalReason::WrongTurn, Ran::Unknown));
}

#[test]
fn a_withdrawn_call_leaves_the_queue_and_releases_its_key() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, call(1))));
    assert_eq!(programs.admit(0, id, action(2, "k")), Admission::Wait);
    assert_eq!(programs.fail(0, RequestId(2), Ran::No), Default::default());
    assert_eq!(programs.admit(0, id, action(3, "k")), Admission::Wait);
    let effects = programs.finish(0, RequestId(1), None);
    assert_eq!(effects.resolved[0].request_id, RequestId(3));
}

#[test]
fn the_queue_of_a_program_is_bounded() {
    let mut programs = process("a.1");
    let profile = jayreel_model::Profile {
        max_turns: 1_000,
        ..support::profile()
    };
    let id = open(&mut programs, None).program;
    let token = programs.token(id).expect("live").clone();
    programs.resolve(0, &token, &profile).expect("resolved");
    assert!(runs(&programs.admit(0, id, call(0))));
    for number in 1..=MAX_WAITING_CALLS as u64 {
        assert_eq!(programs.admit(0, id, call(number)), Admission::Wait);
    }
    let answer = programs.admit(0, id, call(1_000));
    assert_eq!(refusal(answer), (RefusalReason::Overloaded, Ran::No));
}

#[test]
fn the_owner_does_not_run_an_action_that_names_another_epoch() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    let epoch = Some(incarnation("b.2"));
    let answer = programs.admit(
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

#[test_case(1; "turn of a waiting call")]
#[test_case(3; "turn ahead of the waiting calls")]
fn a_wrong_turn_is_refused_at_once_while_calls_wait(turn: u32) {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert!(runs(&programs.admit(0, id, with_turn(1, 0))));
    assert_eq!(programs.admit(0, id, with_turn(2, 1)), Admission::Wait);
    let answer = programs.admit(0, id, with_turn(3, turn));
    assert_eq!(refusal(answer), (RefusalReason::WrongTurn, Ran::No));
    assert_eq!(programs.admit(0, id, with_turn(4, 2)), Admission::Wait);
}

#[test]
fn a_successor_continues_from_the_turn_that_the_caller_names() {
    let token = open(&mut process("a.1"), None).token;
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), None);
    let id = support::resolve(&mut successor, &token);
    let answer = successor.admit(0, id, with_turn(1, 5));
    assert_eq!(
        answer,
        Admission::Run {
            max_tokens: 0,
            turn: 5
        }
    );
    assert_eq!(successor.next_turn(id), Some(6));
}
