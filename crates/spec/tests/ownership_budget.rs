//! Exhaustive searches of the budget of a program that is taken over or handed over.
//!
//! `cargo test -p jayreel-spec --test ownership_budget -- --nocapture` prints the number of
//! states, the depth, the time and the traces.

use jayreel_spec::ownership::explore;
use jayreel_spec::ownership_budget::{BudgetModel, Fault};
use test_case::test_case;

#[test_case("crashes", false)]
#[test_case("handover", true)]
fn budget_is_not_exceeded(name: &str, has_handover: bool) {
    let model = BudgetModel {
        has_handover,
        fault: Fault::None,
    };
    let report = explore(name, &model);
    assert_eq!(report.violation, None);
}

#[test_case(Fault::SpendBeforeRecord, 9)]
#[test_case(Fault::ChargeKnownSpending, 15)]
#[test_case(Fault::IgnoreSuccessorRecords, 18)]
#[test_case(Fault::ReadBeforeClaim, 16)]
#[test_case(Fault::ClaimWithoutCompare, 15)]
#[test_case(Fault::WriteAfterTakeover, 15)]
#[test_case(Fault::WriteWithoutCompare, 16)]
fn seeded_fault_is_found(fault: Fault, trace_length: usize) {
    let name = format!("{fault:?}");
    let report = explore(
        &name,
        &BudgetModel {
            has_handover: false,
            fault,
        },
    );
    let (_, trace) = report.violation.expect("the search must find the fault");
    assert_eq!(
        trace.len(),
        trace_length,
        "the length of the shortest trace"
    );
}
