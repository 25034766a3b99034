//! Admission while instances and engines fail, in the model of `model`. Each instance decides
//! alone, so that a fault of one of them must not change what the others admit.

mod model;

use model::{Burst, Fault, Outcome, Scenario, run};

/// Twice the usual number of programs for six seconds, with a fault.
fn burst_with(fault: Fault) -> Outcome {
    run(&Scenario {
        bursts: vec![Burst {
            from_ms: 8_000,
            until_ms: 14_000,
            factor: 2.0,
            kind: None,
            customer: None,
        }],
        faults: vec![fault],
        ..Scenario::usual()
    })
}

fn assert_others_reject(outcome: &Outcome, failed: usize) {
    let rejecting = outcome.rejections_by_instance.iter().enumerate();
    let others = rejecting.filter(|(instance, count)| *instance != failed && **count > 0);
    assert!(others.count() > 40, "{:?}", outcome.rejections_by_instance);
    let all = outcome.all();
    assert!(all.in_time_share() > 0.78, "{all:?}");
    assert_eq!(all.rejected_begun, 0, "{all:?}");
}

/// Guards against an instance that rejects although it knows nothing about the load.
#[test]
fn an_instance_without_reports_admits_everything() {
    let outcome = burst_with(Fault::NoReports { instance: 4 });
    assert_eq!(outcome.rejections_by_instance[4], 0);
    assert_others_reject(&outcome, 4);
}

/// Guards against an instance that has just started and takes a sub-agent's first turn for a new
/// program.
#[test]
fn an_instance_that_has_just_started_rejects_no_program_that_has_begun() {
    let outcome = burst_with(Fault::Restart {
        at_ms: 10_000,
        instance: 4,
    });
    assert_others_reject(&outcome, 4);
}

/// Guards against an instance that is cut off from other zones and rejects everything, or
/// programs that have begun.
#[test]
fn an_instance_that_reaches_only_its_own_zone_decides_by_that_zone() {
    let outcome = burst_with(Fault::CutOff {
        from_ms: 6_000,
        until_ms: 20_000,
        instance: 4,
    });
    assert_others_reject(&outcome, 4);
    let rejections = &outcome.rejections_by_instance;
    let average = f64::from(outcome.rejections) / rejections.len() as f64;
    assert!(f64::from(rejections[4]) < 4.0 * average, "{rejections:?}");
}

/// Guards against control that relies on a capacity that is no longer there.
#[test]
fn programs_that_have_begun_end_in_time_after_half_of_the_engines_are_gone() {
    let scenario = Scenario {
        faults: vec![Fault::EnginesGone {
            at_ms: 8_000,
            count: 22,
        }],
        ..Scenario::usual()
    };
    let with = run(&scenario);
    let without = run(&Scenario {
        has_control: false,
        ..scenario
    });
    println!("with {:?}, without {:?}", with.all(), without.all());
    assert!(with.all().in_time > without.all().in_time);
    assert!(with.all().failed * 4 <= without.all().failed);
    assert!(2 * with.all().late < without.all().late);
    assert!(2 * with.wasted_turns < without.wasted_turns);
}

/// Guards against rejections because of a single overloaded engine.
#[test]
fn a_single_slow_engine_causes_no_rejections() {
    let outcome = run(&Scenario {
        faults: vec![Fault::SlowEngine {
            engine: 3,
            factor: 8,
        }],
        ..Scenario::usual()
    });
    assert_eq!(outcome.rejections, 0);
}
