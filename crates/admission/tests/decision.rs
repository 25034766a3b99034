//! The decision for single turns, and the parts it is made of.

use jayreel_admission::{
    Claimant, Decision, EndpointLoad, Pressure, ProgramAdmission, ProgramKey,
    ProgramState, RejectionReason, SeenPrograms, ShareControl, Turn, WorkCounters,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

/// An instance admits everything in the first seconds after its start.
const WARM_MS: u64 = 6_000;

fn load(load_per_slot: f64, report_age_ms: u64, is_remote: bool) -> EndpointLoad {
    EndpointLoad {
        load_per_slot,
        report_age_ms: Some(report_age_ms),
        is_remote,
    }
}

fn claimant<'a>(customer: &'a str, kind: &'a str, rank: u8) -> Claimant<'a> {
    Claimant {
        customer,
        weight: 1.0,
        kind,
        rank,
    }
}

fn first_turn(program: &str) -> Turn<'_> {
    Turn {
        service: "engines",
        program: ProgramKey::new("customer", program),
        claimant: claimant("customer", "route", 0),
        is_continuation: false,
        time_left_ms: Some(1_400),
        tokens: 100,
        turn_ms: 240.0,
    }
}

/// An instance at whose endpoints turns have queued for two seconds, and the time.
fn under_pressure() -> (ProgramAdmission, u64, [EndpointLoad; 4]) {
    let loads = [2.0, 2.2, 1.8, 2.0].map(|load_per_slot| load(load_per_slot, 50, false));
    let mut admission = ProgramAdmission::new(0);
    let mut now_ms = WARM_MS;
    while now_ms < WARM_MS + 2_000 {
        let turn = Turn {
            is_continuation: true,
            ..first_turn("other")
        };
        admission.decide(now_ms, &turn, &loads, (0.0, 0.0));
        now_ms += 50;
    }
    (admission, now_ms, loads)
}

fn is_rejected(decision: Decision) -> bool {
    matches!(decision, Decision::Reject(_))
}

#[test]
fn a_new_program_is_rejected_under_pressure_and_may_try_again() {
    let (mut admission, now_ms, loads) = under_pressure();
    let turn = first_turn("new");
    let decision = admission.decide(now_ms, &turn, &loads, (0.99, 0.5));
    let Decision::Reject(rejection) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(rejection.reason, RejectionReason::KindShare);
    // One turn of queueing time, and half of it as jitter.
    assert!(
        (300..=400).contains(&rejection.retry_after_ms),
        "{rejection:?}"
    );
    let again = admission.decide(now_ms + 300, &turn, &loads, (0.0, 0.0));
    assert_eq!(again, Decision::Admit { is_new: true });
}

/// Guards against the loss of the turns that have run.
#[test]
fn a_program_that_has_begun_is_never_rejected() {
    let (mut admission, now_ms, loads) = under_pressure();
    let continuation = Turn {
        is_continuation: true,
        ..first_turn("begun-elsewhere")
    };
    let decision = admission.decide(now_ms, &continuation, &loads, (0.99, 0.0));
    assert_eq!(decision, Decision::Admit { is_new: false });
    // A sub-agent's first turn names no earlier turn.
    let sub_agent = first_turn("begun-elsewhere");
    let decision = admission.decide(now_ms + 10, &sub_agent, &loads, (0.99, 0.0));
    assert_eq!(decision, Decision::Admit { is_new: false });
}

/// Guards against the rejection of a program that would end late in any case: it has the lowest
/// priority at engines.
#[test]
fn a_program_past_its_deadline_is_admitted() {
    let (mut admission, now_ms, loads) = under_pressure();
    let turn = Turn {
        time_left_ms: Some(0),
        ..first_turn("late")
    };
    let decision = admission.decide(now_ms, &turn, &loads, (0.99, 0.0));
    assert_eq!(decision, Decision::Admit { is_new: true });
}

/// Guards against an instance that takes a sub-agent's first turn for a new program because it
/// has not seen the program before its restart.
#[test]
fn an_instance_that_has_just_started_admits_everything() {
    let (_, now_ms, loads) = under_pressure();
    let mut restarted = ProgramAdmission::new(now_ms);
    for step in 0..90 {
        let program = step.to_string();
        let turn = first_turn(&program);
        let at_ms = now_ms + 50 * step;
        let decision = restarted.decide(at_ms, &turn, &loads, (0.99, 0.0));
        assert_eq!(decision, Decision::Admit { is_new: true }, "{step}");
    }
}

#[test]
fn rejections_end_when_reports_stop() {
    let (mut admission, now_ms, _) = under_pressure();
    let later_ms = now_ms + 2_500;
    admission.decide(later_ms, &first_turn("one"), &[], (0.0, 0.0));
    let decision = admission.decide(later_ms, &first_turn("two"), &[], (0.99, 0.0));
    assert_eq!(decision, Decision::Admit { is_new: true });
}

/// Guards against rejections at a load that endpoints serve without queueing, caused by the
/// differences between endpoints and by old reports.
#[test]
fn nothing_is_rejected_at_an_average_load_below_the_slots() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut admission = ProgramAdmission::new(0);
    let mut loads = [load(0.85, 0, false); 15];
    for step in 0..4_000_u64 {
        let now_ms = WARM_MS + 50 * step;
        for load in &mut loads {
            load.report_age_ms = load.report_age_ms.map(|age_ms| age_ms + 50);
        }
        let reporting = rng.random_range(0..loads.len());
        loads[reporting] = load(rng.random_range(0.4..1.3), 0, false);
        let program = step.to_string();
        let draws = (rng.random(), rng.random());
        let decision = admission.decide(now_ms, &first_turn(&program), &loads, draws);
        assert!(
            !is_rejected(decision),
            "{step} {:?}",
            admission.state("engines")
        );
    }
}

#[test]
fn pressure_is_the_load_beyond_the_slots() {
    let loads = [1.2, 1.4, 1.3].map(|load_per_slot| load(load_per_slot, 0, false));
    let pressure = Pressure::of(&loads).expect("there are reports");
    // The highest load is left out.
    assert!(
        (pressure.queueing_turns - 0.25).abs() < 0.001,
        "{pressure:?}"
    );
    let idle = [0.2, 0.9, 0.9].map(|load_per_slot| load(load_per_slot, 0, false));
    let pressure = Pressure::of(&idle).expect("there are reports");
    assert_eq!(pressure.queueing_turns, 0.0);
}

/// Guards against rejections because of one endpoint that is stuck.
#[test]
fn a_single_overloaded_endpoint_causes_no_pressure() {
    let loads = [0.5, 9.0, 0.6, 0.7].map(|load_per_slot| load(load_per_slot, 20, false));
    let pressure = Pressure::of(&loads).expect("there are reports");
    assert_eq!(pressure.queueing_turns, 0.0);
}

/// Guards against the same where the endpoint is the only one in its zone.
#[test]
fn a_single_endpoint_in_the_zone_causes_no_pressure_while_there_are_others() {
    let unknown = EndpointLoad {
        load_per_slot: 0.0,
        report_age_ms: None,
        is_remote: true,
    };
    let alone = load(3.0, 0, false);
    assert_eq!(Pressure::of(&[alone, unknown, unknown]), None);
    assert!(Pressure::of(&[alone]).is_some_and(|now| now.queueing_turns > 1.0));
}

#[test]
fn the_less_loaded_of_home_and_other_zones_counts() {
    let home = [
        load(2.0, 0, false),
        load(2.0, 0, false),
        load(2.0, 0, false),
    ];
    let remote = [load(0.6, 0, true), load(0.5, 0, true), load(0.5, 0, true)];
    let both: Vec<EndpointLoad> = home.into_iter().chain(remote).collect();
    let queueing_turns = |loads: &[EndpointLoad]| {
        Pressure::of(loads).map(|pressure| pressure.queueing_turns)
    };
    assert_eq!(queueing_turns(&both), Some(0.0));
    assert_eq!(queueing_turns(&home), Some(1.0));
}

#[test_case(&[]; "no endpoints")]
#[test_case(&[EndpointLoad { load_per_slot: 3.0, report_age_ms: None, is_remote: false }; 4]; "no reports")]
#[test_case(&[EndpointLoad { load_per_slot: 3.0, report_age_ms: Some(5_000), is_remote: false }; 4]; "old reports")]
#[test_case(&[EndpointLoad { load_per_slot: f64::NAN, report_age_ms: Some(0), is_remote: false }; 4]; "invalid loads")]
fn pressure_is_unknown_without_usable_reports(loads: &[EndpointLoad]) {
    assert_eq!(Pressure::of(loads), None);
}

/// Guards against a reaction that takes as long as the burst, and against a share that is lost
/// for good.
#[test]
fn the_share_halves_within_a_second_and_recovers_within_three() {
    let mut control = ShareControl::new(0);
    for now_ms in (0..=800).step_by(50) {
        control.update(now_ms, Some(0.5));
    }
    assert!(control.share() < 0.5, "{control:?}");
    for now_ms in (850..=3_800).step_by(50) {
        control.update(now_ms, Some(0.05));
    }
    assert_eq!(control.share(), 1.0);
}

/// Guards against rejections because of a queue that arose by chance.
#[test]
fn a_short_queue_has_no_effect() {
    let mut control = ShareControl::new(0);
    for now_ms in (0..10_000).step_by(50) {
        let queueing_turns = if now_ms % 2_000 < 200 { 0.6 } else { 0.0 };
        control.update(now_ms, Some(queueing_turns));
        assert!(!control.is_limiting(), "{now_ms}");
    }
}

#[test]
fn a_customer_above_its_fair_share_is_cut_and_the_others_are_not() {
    let mut work = WorkCounters::default();
    for step in 0..100_u64 {
        let customer = match step % 2 {
            0 => "flash".to_string(),
            _ => format!("customer-{}", step % 11),
        };
        let claimant = claimant(&customer, "route", 0);
        work.record_program(step * 20, &claimant);
        work.record_admission(step * 20, &claimant, false);
        work.record_turn(step * 20, &claimant, 100);
    }
    let flash = work.shares(2_000, &claimant("flash", "route", 0), 0.8);
    let other = work.shares(2_000, &claimant("customer-1", "route", 0), 0.8);
    assert!(flash.of_customer < 0.5, "{flash:?}");
    assert_eq!((other.of_customer, other.of_kind), (1.0, 1.0));
}

/// Guards against customers that count as above their share because of many others that send
/// nothing any more.
#[test]
fn what_customers_leave_unused_goes_to_the_others() {
    let mut work = WorkCounters::default();
    let mut count = |now_ms: u64, customer: &str| {
        let claimant = claimant(customer, "route", 0);
        work.record_program(now_ms, &claimant);
        work.record_admission(now_ms, &claimant, false);
        work.record_turn(now_ms, &claimant, 100);
    };
    for index in 0..200_u64 {
        count(index, &format!("idle-{index}"));
    }
    for step in 0..300_u64 {
        count(20_000 + step * 20, &format!("customer-{}", step % 10));
    }
    for index in 0..10 {
        let customer = format!("customer-{index}");
        let shares = work.shares(26_000, &claimant(&customer, "route", 0), 0.7);
        assert!(shares.of_customer > 0.95, "{shares:?}");
    }
}

/// Guards against a customer that is cut because of its second program.
#[test]
fn a_few_programs_are_within_each_customers_share() {
    let mut work = WorkCounters::default();
    for index in 0..40_u64 {
        let customer = format!("customer-{index}");
        let claimant = claimant(&customer, "route", 0);
        work.record_program(index * 100, &claimant);
        work.record_admission(index * 100, &claimant, false);
        work.record_turn(index * 100, &claimant, 100);
    }
    let last = claimant("customer-39", "route", 0);
    assert_eq!(work.shares(4_000, &last, 0.5).of_customer, 1.0);
}

/// Guards against the rejection of a large customer that sends what it has agreed.
#[test]
fn a_customer_with_more_weight_has_a_larger_share() {
    let mut work = WorkCounters::default();
    let large = Claimant {
        weight: 10.0,
        ..claimant("large", "route", 0)
    };
    for step in 0..100_u64 {
        let small = format!("small-{}", step % 10);
        for claimant in [large, claimant(&small, "route", 0)] {
            work.record_program(step * 20, &claimant);
            work.record_admission(step * 20, &claimant, false);
            work.record_turn(step * 20, &claimant, 100);
        }
    }
    assert_eq!(work.shares(2_000, &large, 0.8).of_customer, 1.0);
}

#[test]
fn the_less_urgent_kind_makes_room_first_and_keeps_a_minimum() {
    let mut work = WorkCounters::default();
    let (urgent, other) = (claimant("c", "urgent", 0), claimant("c", "other", 1));
    for step in 0..100_u64 {
        for claimant in [urgent, other] {
            work.record_program(step * 20, &claimant);
            work.record_admission(step * 20, &claimant, false);
            work.record_turn(step * 20, &claimant, 100);
        }
    }
    let of_kind = |claimant, share| work.shares(2_000, claimant, share).of_kind;
    assert!(of_kind(&urgent, 0.8) > 0.99);
    assert!((of_kind(&other, 0.8) - 0.6).abs() < 0.02);
    assert!(of_kind(&other, 0.3) > 0.1);
    assert!(of_kind(&urgent, 0.3) > of_kind(&other, 0.3));
}

/// Guards against a route that counts as urgent or not by whoever sent its last turn.
#[test]
fn customers_with_different_ranks_on_one_route_are_of_two_kinds() {
    let mut work = WorkCounters::default();
    let (urgent, other) = (claimant("one", "route", 0), claimant("two", "route", 1));
    for step in 0..100_u64 {
        for claimant in [urgent, other] {
            work.record_program(step * 20, &claimant);
            work.record_admission(step * 20, &claimant, false);
            work.record_turn(step * 20, &claimant, 100);
        }
    }
    let of_kind = |claimant| work.shares(2_000, claimant, 0.8).of_kind;
    assert!(of_kind(&urgent) > of_kind(&other) + 0.2);
}

#[test]
fn weights_that_are_not_positive_numbers_are_ignored() {
    let mut work = WorkCounters::default();
    for weight in [f64::NAN, 0.0, -1.0, f64::INFINITY] {
        let claimant = Claimant {
            weight,
            ..claimant("c", "route", 0)
        };
        work.record_program(0, &claimant);
        work.record_turn(0, &claimant, 0);
        let shares = work.shares(0, &claimant, 0.5);
        assert!((0.0..=1.0).contains(&shares.of_customer), "{shares:?}");
        assert!((0.0..=1.0).contains(&shares.of_kind), "{shares:?}");
    }
}

/// Guards against memory that grows with the number of programs.
#[test]
fn the_programs_that_are_remembered_are_bounded_and_expire() {
    let mut programs = SeenPrograms::default();
    for program in 0..100_000 {
        let key = ProgramKey::new("customer", &program.to_string());
        programs.record(1_000, key, ProgramState::Begun);
    }
    assert!(programs.len() <= 8_192, "{}", programs.len());
    let last = ProgramKey::new("customer", "99999");
    assert_eq!(programs.state(15_000, last), Some(ProgramState::Begun));
    assert_eq!(programs.state(90_000, last), None);
    assert!(programs.is_empty());
}

/// Guards against names of customers and routes that are remembered without a limit.
#[test]
fn customers_and_kinds_beyond_the_limits_replace_those_with_the_least_work() {
    let mut work = WorkCounters::default();
    for index in 0..3_000_u64 {
        let (customer, kind) = (format!("c-{index}"), format!("k-{index}"));
        let claimant = claimant(&customer, &kind, 0);
        work.record_program(index, &claimant);
        work.record_turn(index, &claimant, 100);
    }
    let newest = claimant("c-2999", "k-2999", 0);
    let shares = work.shares(3_000, &newest, 0.5);
    assert!(shares.of_kind > 0.0, "{shares:?}");
}
