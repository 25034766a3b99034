//! Exhaustive searches of configuration changes: operators are told the outcome of a change
//! correctly, and instances never go back to an older configuration.

use std::time::Instant;

use jayreel_spec::configuration::{
    Edit, FailureBounds, Outcome, Scenario, SeededFault, Violation, explore,
};
use test_case::test_case;

/// Both operators change the same version of the profile to the same value.
fn race(fault: Option<SeededFault>) -> Scenario {
    Scenario {
        scripts: [vec![Edit::ChangeProfile(1)], vec![Edit::ChangeProfile(1)]],
        instances: 1,
        failure_bounds: FailureBounds {
            lost_messages: 2,
            outages: 1,
            silent_watches: 1,
            restarts: 0,
            lease_ends: 1,
        },
        fault,
    }
}

/// A key is created and withdrawn while two instances follow the configuration.
fn keys(failure_bounds: FailureBounds, fault: Option<SeededFault>) -> Scenario {
    Scenario {
        scripts: [vec![Edit::CreateKey, Edit::WithdrawKey], vec![]],
        instances: 2,
        failure_bounds,
        fault,
    }
}

/// Like [`keys`], without failures, while the other operator changes the profile. An instance
/// that was told of the withdrawal may then receive a newer configuration without it.
fn keys_and_profile(fault: Option<SeededFault>) -> Scenario {
    let mut scenario = keys(FailureBounds::default(), fault);
    scenario.scripts[1] = vec![Edit::ChangeProfile(1)];
    scenario
}

fn at_most(
    lost_messages: u8,
    outages: u8,
    silent_watches: u8,
    restarts: u8,
) -> FailureBounds {
    FailureBounds {
        lost_messages,
        outages,
        silent_watches,
        restarts,
        lease_ends: 0,
    }
}

fn explore_and_print(name: &str, scenario: &Scenario) -> Outcome {
    let start_time = Instant::now();
    let outcome = explore(scenario);
    let (states, depth) = (outcome.states, outcome.depth);
    println!(
        "{name}: {states} states, depth {depth}, {:?}",
        start_time.elapsed()
    );
    outcome
}

/// Guards against any violation when two operators change the same record concurrently.
#[test]
fn race_of_operators_has_no_violation() {
    let outcome = explore_and_print("race", &race(None));
    assert_eq!(outcome.trace, None);
}

/// Guards against any violation while a key is created and withdrawn. The kinds of failure
/// are searched in pairs, since a search with all of them takes too long for a test.
#[test_case(at_most(1, 0, 0, 1); "lost message and restart")]
#[test_case(at_most(0, 1, 0, 1); "outage and restart")]
#[test_case(at_most(0, 1, 1, 0); "outage and silent watch")]
#[test_case(at_most(0, 0, 1, 1); "silent watch and restart")]
fn withdrawal_of_keys_has_no_violation(failure_bounds: FailureBounds) {
    let outcome = explore_and_print(
        &format!("keys {failure_bounds:?}"),
        &keys(failure_bounds, None),
    );
    assert_eq!(outcome.trace, None);
}

/// Guards against a key that becomes valid again because an instance that was told of the
/// withdrawal applies a newer configuration without it.
#[test]
fn direct_withdrawal_has_no_violation() {
    let outcome = explore_and_print("keys and profile", &keys_and_profile(None));
    assert_eq!(outcome.trace, None);
}

/// Guards against a search that misses violations: with a seeded fault it must find a
/// violation, and the shortest trace to it must have the known length.
#[test_case(race(Some(SeededFault::NoVersionCheck)), Violation::BothAccepted, 4)]
#[test_case(race(Some(SeededFault::CompareValues)), Violation::BothAccepted, 5)]
#[test_case(
    race(Some(SeededFault::NoCancellation)),
    Violation::FalseNotAccepted,
    4
)]
#[test_case(
    keys(FailureBounds::default(), Some(SeededFault::ApplyLowerRevision)),
    Violation::LowerRevision,
    8
)]
#[test_case(
    keys_and_profile(Some(SeededFault::ForgetWithdrawals)),
    Violation::WithdrawnKeyValid,
    12
)]
fn seeded_fault_is_found(scenario: Scenario, expected: Violation, steps: usize) {
    let fault = scenario.fault.expect("a fault is seeded");
    let outcome = explore_and_print(&format!("{fault:?}"), &scenario);
    let (violation, trace) = outcome.trace.expect("the search must find the fault");
    println!("{violation:?} after {} steps: {trace:#?}", trace.len() - 1);
    assert_eq!((violation, trace.len() - 1), (expected, steps));
}
