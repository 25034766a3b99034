//! Exhaustive searches of registrations, views of them, and calls with one idempotency key.
//!
//! `cargo test -p jayreel-spec --test ownership_keyed -- --nocapture` prints the number of
//! states, the depth, the time and the traces.

use jayreel_spec::ownership::explore;
use jayreel_spec::ownership_keyed::{Fault, KeyedModel};
use test_case::test_case;

const CHANGES: KeyedModel = KeyedModel {
    ticks: 7,
    changes: 2,
    calls: 2,
    restarts: 0,
    fault: Fault::None,
};

/// One change is enough to show [`Fault::DatedAtArrival`] and [`Fault::LateDispatch`].
const ONE_CHANGE: KeyedModel = KeyedModel {
    changes: 1,
    ..CHANGES
};

/// The registration can lapse, return and lapse again between two reads.
const UNSEEN_RETURN: KeyedModel = KeyedModel {
    changes: 3,
    ..CHANGES
};

const RESTARTS: KeyedModel = KeyedModel {
    changes: 0,
    restarts: 2,
    ..CHANGES
};

#[test_case("changes", CHANGES)]
#[test_case("restarts", RESTARTS)]
fn a_key_runs_once_within_the_window(name: &str, model: KeyedModel) {
    let report = explore(name, &model);
    assert_eq!(report.violation, None);
}

/// Guards against a second run when the registration of the responsible instance lapses,
/// returns and lapses again between two reads of the other instance.
#[test]
fn a_key_runs_once_while_a_registration_returns_unseen() {
    let report = explore("unseen return", &UNSEEN_RETURN);
    assert_eq!(report.violation, None);
}

#[test_case(ONE_CHANGE, Fault::DatedAtArrival, 17)]
#[test_case(ONE_CHANGE, Fault::LateDispatch, 16)]
#[test_case(RESTARTS, Fault::NoWaitAfterRestart, 6)]
#[test_case(UNSEEN_RETURN, Fault::LeaseIgnored, 19)]
fn seeded_fault_is_found(model: KeyedModel, fault: Fault, trace_length: usize) {
    let name = format!("{fault:?}");
    let report = explore(&name, &KeyedModel { fault, ..model });
    let (_, trace) = report.violation.expect("the search must find the fault");
    assert_eq!(
        trace.len(),
        trace_length,
        "the length of the shortest trace"
    );
}
