//! Estimates of speed, work factor, expected time and memory.

use jayreel_placement::{
    HeldHistory, SpeedEstimate, TokenLoad, WorkFactor, choose_similar, expected_time,
    load_per_slot, object_bonus, program_bonus,
};
use test_case::test_case;

/// A fast endpoint must get more requests than a typical one, and a slow one fewer.
#[test_case(0.7)]
#[test_case(1.7)]
fn speed_is_learned_from_answers(observed: f64) {
    let mut speed = SpeedEstimate::default();
    for now_ms in 0..40 {
        speed.learn(now_ms, observed);
    }
    let learned = speed.relative_time(40);
    assert!((learned - observed).abs() < 0.05, "{learned}");
}

/// Requests that no longer go to a slow endpoint tell nothing about it. It must be tried again.
#[test]
fn speed_returns_to_typical_without_answers() {
    let mut speed = SpeedEstimate::default();
    (0..40).for_each(|now_ms| speed.learn(now_ms, 2.0));
    let (soon, late) = (speed.relative_time(1_000), speed.relative_time(300_000));
    assert!(soon > 1.8 && late < 1.01, "{soon} {late}");
}

/// One answer that was late for another reason must not make the endpoint seem unusable, and one
/// that can't be compared must not change the estimate.
#[test]
fn single_extreme_answers_are_bounded() {
    let mut speed = SpeedEstimate::default();
    (0..20).for_each(|now_ms| speed.learn(now_ms, 1.0));
    speed.learn(20, 1_000.0);
    assert!(speed.relative_time(20) <= 1.31);
    speed.learn(20, f64::NAN);
    assert!(speed.relative_time(20) <= 1.31);
}

/// The report of a slowed machine must not count after the other work has ended.
#[test]
fn work_factor_decays_within_600_ms() {
    let factor = WorkFactor::new(1_000, 2.5).expect("a usable factor");
    assert_eq!(factor.at(1_000), 2.5);
    assert!((1.5..2.0).contains(&factor.at(1_300)));
    assert_eq!(factor.at(1_600), 1.0);
    assert_eq!(factor.at(60_000), 1.0);
}

#[test_case(f64::NAN)]
#[test_case(f64::INFINITY)]
#[test_case(0.0)]
#[test_case(-1.0)]
fn unusable_work_factor_is_ignored(factor: f64) {
    assert_eq!(WorkFactor::new(0, factor), None);
}

/// An endpoint at twice the speed is as attractive at a load of several more requests.
#[test]
fn expected_time_weighs_load_by_speed() {
    let fast = expected_time(load_per_slot(8.0, 6), 0.7);
    let slow = expected_time(load_per_slot(2.0, 6), 1.7);
    assert!(fast < slow, "{fast} {slow}");
    let full = expected_time(load_per_slot(23.0, 6), 0.7);
    assert!(full > slow, "{full} {slow}");
}

/// The endpoint that certainly holds the history must come before the candidates, and the first
/// candidate before the second.
#[test]
fn affinity_is_ordered_and_bounded() {
    let bonuses = [
        program_bonus(HeldHistory::Whole, None),
        program_bonus(HeldHistory::Unknown, Some(0)),
        program_bonus(HeldHistory::Part, Some(1)),
        program_bonus(HeldHistory::Part, None),
        program_bonus(HeldHistory::Unknown, None),
    ];
    assert!(bonuses.is_sorted_by(|a, b| a > b), "{bonuses:?}");
    assert!(bonuses[0] < 1.5, "well below the time in a full queue");
    let objects = [Some(0), Some(1), None].map(object_bonus);
    assert!(objects.is_sorted_by(|a, b| a > b), "{objects:?}");
}

/// Instances with the same reports must not all choose the same endpoint.
#[test]
fn similar_scores_share_the_requests() {
    let scores = [1.0, 1.02, 1.5, 1.04];
    let mut counts = [0; 4];
    for step in 0..1_000 {
        let random = f64::from(step) / 1_000.0;
        let choice = choose_similar(scores.iter().copied(), 0.1, random);
        counts[choice.expect("there are scores")] += 1;
    }
    assert_eq!(counts[2], 0, "it is clearly slower");
    assert!(counts[0] > counts[1] && counts[1] > counts[3], "{counts:?}");
    assert!(counts[3] > 150, "{counts:?}");
}

#[test]
fn choice_without_a_band_is_the_best() {
    let scores = [2.0, 1.0, 1.1];
    assert_eq!(choose_similar(scores.iter().copied(), 0.0, 0.99), Some(1));
    assert_eq!(choose_similar([].iter().copied(), 0.1, 0.5), None);
}

/// Requests that don't fit evict the history of programs, and are preempted.
#[test]
fn memory_of_an_engine_bounds_its_requests() {
    let mut load = TokenLoad::default();
    assert!(load.has_room(10.0, 2_000.0, 2_000, 51_182));
    assert!(!load.has_room(25.0, 2_000.0, 2_000, 51_182));
    (0..5).for_each(|_| load.begin(4_000));
    assert_eq!(load.estimated_tokens(10.0, 2_000.0), 40_000.0);
    assert!(!load.has_room(12.0, 2_000.0, 4_000, 51_182));
    (0..5).for_each(|_| load.end(4_000));
    assert_eq!(load, TokenLoad::default());
}
