//! Admission under the load that it addresses, in the model of `model`: programs that end in time,
//! late or not at all, with and without control.

mod model;

use model::{Burst, Ends, Kind, Outcome, Scenario, run};
use test_case::test_case;

/// When the bursts begin, in milliseconds.
const BURST_MS: u64 = 8_000;

fn burst(duration_ms: u64, factor: f64) -> Burst {
    Burst {
        from_ms: BURST_MS,
        until_ms: BURST_MS + duration_ms,
        factor,
        kind: None,
        customer: None,
    }
}

/// The results with and without control.
fn compare(scenario: &Scenario) -> (Outcome, Outcome) {
    let controlled = run(scenario);
    let uncontrolled = run(&Scenario {
        has_control: false,
        ..scenario.clone()
    });
    print(scenario, "with", &controlled);
    print(scenario, "without", &uncontrolled);
    (controlled, uncontrolled)
}

fn print(scenario: &Scenario, control: &str, outcome: &Outcome) {
    println!(
        "utilisation={} seed={} {control} control: all {:?}, short {:?}, long {:?}, {} \
         rejections, the last at {} ms, {} wasted turns",
        scenario.utilisation,
        scenario.seed,
        outcome.all(),
        outcome.of_kind(Kind::Short),
        outcome.of_kind(Kind::Long),
        outcome.rejections,
        outcome.last_rejection_ms,
        outcome.wasted_turns,
    );
}

/// Programs that began in the burst or in the two seconds after it.
fn around_burst(
    outcome: &Outcome,
    until_s: u64,
    of: impl Fn(Kind, usize) -> bool,
) -> Ends {
    let seconds = BURST_MS / 1_000..until_s + 2;
    outcome.ends(|kind, customer, second| of(kind, customer) && seconds.contains(&second))
}

/// Guards against control that rejects without gain: turns that wait in queues, and programs that
/// end late after all their turns have run.
#[test_case(0.65, 1; "usual load of 65 percent")]
#[test_case(0.65, 2; "the same with other random numbers")]
#[test_case(0.8, 1; "usual load of 80 percent")]
fn more_programs_end_in_time_in_a_burst_of_twice_the_usual_number(
    utilisation: f64,
    seed: u64,
) {
    let scenario = Scenario {
        seed,
        utilisation,
        bursts: vec![burst(6_000, 2.0)],
        ..Scenario::usual()
    };
    let (controlled, uncontrolled) = compare(&scenario);
    let (with, without) = (controlled.all(), uncontrolled.all());
    assert!(with.in_time > without.in_time, "{with:?} {without:?}");
    assert!(2 * with.late < without.late, "{with:?} {without:?}");
    assert!(with.failed <= without.failed / 10, "{with:?} {without:?}");
    assert!(2 * controlled.wasted_turns < uncontrolled.wasted_turns);
    assert_eq!(
        with.rejected_begun, 0,
        "a program that has begun is never rejected"
    );
}

/// Guards against control that reacts only when the burst is nearly over.
#[test]
fn queues_stop_growing_within_two_seconds_of_a_burst() {
    let scenario = Scenario {
        utilisation: 0.8,
        bursts: vec![burst(6_000, 2.0)],
        ..Scenario::usual()
    };
    let (controlled, uncontrolled) = compare(&scenario);
    let highest = |outcome: &Outcome, from_s: usize, until_s: usize| {
        let loads = &outcome.load_per_slot[from_s * 10..until_s * 10];
        loads.iter().copied().fold(0.0, f64::max)
    };
    let early = highest(&controlled, 8, 11);
    let later = highest(&controlled, 11, 16);
    assert!(later < early + 0.1, "{early} {later}");
    assert!(later < highest(&uncontrolled, 11, 16) - 0.5, "{later}");
}

/// Guards against rejections that outlast the burst.
#[test_case(0.65; "usual load of 65 percent")]
#[test_case(0.8; "usual load of 80 percent")]
fn all_programs_are_admitted_three_seconds_after_a_burst(utilisation: f64) {
    let scenario = Scenario {
        utilisation,
        bursts: vec![burst(6_000, 2.0)],
        ..Scenario::usual()
    };
    let outcome = run(&scenario);
    let after = outcome.ends(|_, _, second| second >= 17);
    assert!(after.rejected * 200 <= after.total(), "{after:?}");
    assert!(after.in_time_share() > 0.98, "{after:?}");
}

/// Guards against rejections caused by the noise of single reports.
#[test_case(0.65, 3; "usual load")]
#[test_case(0.75, 3; "higher load")]
#[test_case(0.8, 1; "high load in a single zone")]
fn nothing_is_rejected_without_a_burst(utilisation: f64, zones: usize) {
    for seed in 1..=3 {
        let scenario = Scenario {
            seed,
            utilisation,
            zones,
            ..Scenario::usual()
        };
        let outcome = run(&scenario);
        print(&scenario, "with", &outcome);
        assert_eq!(outcome.rejections, 0);
    }
}

/// At 85 % of the capacity, engines are chosen by old reports, so that there are queues at some of
/// them and programs end late without control. With three zones, one of them is above 85 %.
/// Guards against control that makes this worse.
#[test_case(1, 1; "single zone")]
#[test_case(3, 10; "three zones")]
fn hardly_any_program_is_rejected_at_85_percent_utilisation(
    zones: usize,
    max_rejected_per_mille: u32,
) {
    let (mut with, mut without) = (Ends::default(), Ends::default());
    for seed in 1..=3 {
        let scenario = Scenario {
            seed,
            zones,
            utilisation: 0.85,
            is_even: true,
            ..Scenario::usual()
        };
        let (controlled, uncontrolled) = compare(&scenario);
        with.add(&controlled.all());
        without.add(&uncontrolled.all());
    }
    println!("with {with:?}, without {without:?}");
    assert!(
        with.rejected * 1_000 <= max_rejected_per_mille * with.total(),
        "{with:?}"
    );
    assert!(
        with.in_time * 1_000 >= without.in_time * 995,
        "{with:?} {without:?}"
    );
}

/// Guards against a customer that takes the capacity of the others in a burst of its own.
#[test]
fn a_customer_with_six_times_its_usual_rate_is_rejected_first() {
    let mut flash = Ends::default();
    let mut others = Ends::default();
    let mut others_before = Ends::default();
    for seed in 1..=3 {
        let scenario = Scenario {
            seed,
            utilisation: 0.8,
            bursts: vec![Burst {
                customer: Some(0),
                ..burst(6_000, 6.0)
            }],
            ..Scenario::usual()
        };
        let (controlled, uncontrolled) = compare(&scenario);
        flash.add(&around_burst(&controlled, 14, |_, customer| customer == 0));
        others.add(&around_burst(&controlled, 14, |_, customer| customer > 0));
        others_before.add(&around_burst(&uncontrolled, 14, |_, customer| customer > 0));
    }
    println!("flash {flash:?}, others {others:?}, without control {others_before:?}");
    let rejected = |ends: &Ends| f64::from(ends.rejected) / f64::from(ends.total());
    assert!(
        rejected(&flash) > 1.8 * rejected(&others),
        "{flash:?} {others:?}"
    );
    assert!(others.in_time > others_before.in_time);
    let kept = f64::from(flash.in_time) / f64::from(others.in_time);
    assert!(
        kept > 2.0 / 11.0,
        "the customer keeps more than twice the share of another one: {kept}"
    );
}

/// Guards against a less urgent kind that gets nothing while the urgent one has a burst, and
/// against an urgent kind that pays for it.
#[test]
fn a_burst_of_the_urgent_kind_does_not_starve_the_other_one() {
    let scenario = Scenario {
        utilisation: 0.7,
        bursts: vec![Burst {
            kind: Some(Kind::Short),
            ..burst(6_000, 3.0)
        }],
        ..Scenario::usual()
    };
    let (controlled, uncontrolled) = compare(&scenario);
    let long = around_burst(&controlled, 14, |kind, _| kind == Kind::Long);
    let long_before = around_burst(&uncontrolled, 14, |kind, _| kind == Kind::Long);
    let short = around_burst(&controlled, 14, |kind, _| kind == Kind::Short);
    println!("long {long:?}, without control {long_before:?}, short {short:?}");
    assert!(long.in_time > long_before.in_time);
    assert!(long.rejected < long.total() * 7 / 10, "{long:?}");
    let rejected = |ends: &Ends| f64::from(ends.rejected) / f64::from(ends.total());
    assert!(rejected(&long) > rejected(&short), "{long:?} {short:?}");
}

/// Guards against late programs in a short burst of the longer kind.
#[test]
fn fewer_programs_are_late_in_a_burst_of_the_less_urgent_kind() {
    let scenario = Scenario {
        utilisation: 0.8,
        bursts: vec![Burst {
            kind: Some(Kind::Long),
            ..burst(3_000, 1.6)
        }],
        seed: 2,
        ..Scenario::usual()
    };
    let (controlled, uncontrolled) = compare(&scenario);
    let (with, without) = (controlled.all(), uncontrolled.all());
    assert!(with.late <= without.late, "{with:?} {without:?}");
    assert!(with.in_time_share() > 0.97, "{with:?}");
}
