//! Exhaustive searches of calls with one idempotency key while the founder stops, hands over
//! its keys, and registrations change.
//!
//! `cargo test -p jayreel-spec --test ownership_keyed_handover -- --nocapture` prints the
//! number of states, the depth, the time and the traces.

use jayreel_spec::ownership::explore;
use jayreel_spec::ownership_keyed_handover::{Fault, HandoverModel};
use test_case::test_case;

const CHANGES: HandoverModel = HandoverModel {
    ticks: 2,
    changes: 2,
    b_may_leave: true,
    calls: 2,
    restarts: 0,
    has_restarted_founder: false,
    seek_run_by_successor: false,
    fault: Fault::None,
};

const RESTARTS: HandoverModel = HandoverModel {
    ticks: 3,
    changes: 3,
    b_may_leave: false,
    restarts: 1,
    ..CHANGES
};

/// The key has run before the start, so one call is enough for a second run.
const RESTARTED_FOUNDER: HandoverModel = HandoverModel {
    ticks: 3,
    changes: 1,
    calls: 1,
    has_restarted_founder: true,
    ..CHANGES
};

#[test_case("changes", CHANGES)]
#[test_case("restarts", RESTARTS)]
#[test_case("restarted founder", RESTARTED_FOUNDER)]
fn a_key_runs_once_while_the_founder_stops(name: &str, model: HandoverModel) {
    let report = explore(name, &model);
    assert_eq!(report.violation, None);
}

/// Guards against a search in which no successor ever runs a call, so that a second run could
/// not be found.
#[test]
fn a_successor_runs_a_key_before_the_window_is_over() {
    let model = HandoverModel {
        seek_run_by_successor: true,
        ..CHANGES
    };
    let report = explore("run by a successor", &model);
    assert!(report.violation.is_some());
}

#[test_case(CHANGES, Fault::NoRetirement, 10)]
#[test_case(CHANGES, Fault::ExportWhileRunning, 10)]
#[test_case(CHANGES, Fault::EachIsSuccessor, 13)]
#[test_case(RESTARTS, Fault::SuccessorByName, 16)]
#[test_case(CHANGES, Fault::OnePartIsEnough, 10)]
#[test_case(RESTARTED_FOUNDER, Fault::UnsettledClaim, 8)]
fn seeded_fault_is_found(model: HandoverModel, fault: Fault, trace_length: usize) {
    let name = format!("{fault:?}");
    let report = explore(&name, &HandoverModel { fault, ..model });
    let (_, trace) = report.violation.expect("the search must find the fault");
    assert_eq!(
        trace.len(),
        trace_length,
        "the length of the shortest trace"
    );
}
