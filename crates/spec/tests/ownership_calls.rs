//! Exhaustive searches of calls while ownership of their program moves.
//!
//! `cargo test -p jayreel-spec --test ownership_calls -- --nocapture` prints the number of
//! states, the depth, the time and the traces.

use jayreel_spec::ownership::explore;
use jayreel_spec::ownership_calls::{CallsModel, Fault, Property};
use test_case::test_case;

/// A caller that repeats non-repeatable calls with an idempotency key.
const KEYED: CallsModel = CallsModel {
    processes: 2,
    actions: 2,
    max_requests: 3,
    repeatable: false,
    names_turns: false,
    has_idempotency_key: true,
    caller_waits: false,
    has_handover: false,
    fault: Fault::None,
    property: None,
};

/// Like [`KEYED`] without an idempotency key, so that each request may run once.
const UNKEYED: CallsModel = CallsModel {
    has_idempotency_key: false,
    ..KEYED
};

/// A caller of model calls that waits for each response.
const WAITING: CallsModel = CallsModel {
    repeatable: true,
    has_idempotency_key: false,
    caller_waits: true,
    max_requests: 3,
    ..KEYED
};

/// Adds a restart of the first process.
const fn restart(model: CallsModel, max_requests: usize) -> CallsModel {
    CallsModel {
        processes: 3,
        max_requests,
        ..model
    }
}

/// Reduces the script to one call, so that more repeats of it can be searched.
const fn one_call(model: CallsModel) -> CallsModel {
    CallsModel {
        actions: 1,
        ..model
    }
}

/// Adds a planned stop of process 0.
const fn handover(model: CallsModel) -> CallsModel {
    CallsModel {
        has_handover: true,
        ..model
    }
}

#[test_case("keyed", KEYED)]
#[test_case("unkeyed", UNKEYED)]
#[test_case("waiting", WAITING)]
#[test_case("keyed_restart", restart(one_call(KEYED), 3))]
#[test_case("unkeyed_restart", restart(one_call(UNKEYED), 3))]
#[test_case("waiting_restart", restart(WAITING, 4))]
#[test_case("waiting_turns_restart", restart(CallsModel { names_turns: true, ..WAITING }, 4))]
#[test_case("keyed_handover", handover(one_call(KEYED)))]
#[test_case("unkeyed_handover", handover(one_call(UNKEYED)))]
#[test_case("waiting_handover", handover(WAITING))]
fn no_property_is_violated(name: &str, model: CallsModel) {
    let report = explore(name, &model);
    assert_eq!(report.violation, None);
}

#[test_case(KEYED, Fault::NoEpochCheck, Property::AtMostOnce, 10)]
#[test_case(KEYED, Fault::ForgetUnknown, Property::AtMostOnce, 9)]
#[test_case(UNKEYED, Fault::RetryAfterSending, Property::AtMostOnce, 9)]
#[test_case(handover(KEYED), Fault::HandoverReplaces, Property::AtMostOnce, 12)]
#[test_case(KEYED, Fault::NotRunAfterSending, Property::NotRun, 6)]
#[test_case(KEYED, Fault::DispatchAfterDeadline, Property::NotRun, 4)]
#[test_case(UNKEYED, Fault::RetryAfterSending, Property::NotRun, 8)]
#[test_case(WAITING, Fault::NotRunAfterSending, Property::Order, 14)]
#[test_case(WAITING, Fault::RetryAfterSending, Property::Order, 13)]
fn seeded_fault_is_found(
    model: CallsModel,
    fault: Fault,
    property: Property,
    trace_length: usize,
) {
    let name = format!("{fault:?}_{property:?}");
    let property = Some(property);
    let report = explore(
        &name,
        &CallsModel {
            fault,
            property,
            ..model
        },
    );
    let (_, trace) = report.violation.expect("the search must find the fault");
    assert_eq!(
        trace.len(),
        trace_length,
        "the length of the shortest trace"
    );
}
