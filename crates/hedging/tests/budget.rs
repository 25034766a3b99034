//! Tests of the share of hedged requests, over time and in bursts.

use jayreel_hedging::{
    HedgeBudget, HedgingSettings, InvalidHedging, MAX_BURST, MAX_EXTRA_PERCENT,
};
use proptest::prelude::*;
use test_case::test_case;

fn budget(max_extra_percent: f64, max_burst: u32) -> HedgeBudget {
    let settings = HedgingSettings::new(max_extra_percent, max_burst);
    HedgeBudget::new(settings.expect("the settings are valid"))
}

// Guards against hedged requests right after a start, when nothing is known.
#[test]
fn budget_is_empty_at_first() {
    assert!(!budget(10.0, 100).take());
}

// Guards against a share that drifts over time: each of these shares must be used up to a token.
#[test_case(10.0, 100_000, 10_000)]
#[test_case(2.0, 100_000, 2_000)]
#[test_case(0.1, 100_000, 100)]
#[test_case(0.0, 100_000, 0)]
fn share_holds_over_time(percent: f64, sends: u32, expected: i64) {
    let mut budget = budget(percent, 4);
    let mut taken = 0;
    for _ in 0..sends {
        budget.record_send();
        taken += i64::from(budget.take());
    }
    assert!((expected - 1..=expected).contains(&taken), "{taken}");
}

// Guards against saving up the share of a long time without slow requests, and spending it while
// all endpoints are slow.
#[test_case(1)]
#[test_case(4)]
#[test_case(100)]
fn burst_is_bounded(max_burst: u32) {
    let mut budget = budget(10.0, max_burst);
    for _ in 0..100_000 {
        budget.record_send();
    }
    let taken = (0..1_000).filter(|_| budget.take()).count();
    assert_eq!(taken, max_burst as usize);
}

// Guards against a token that is lost although it was not granted.
#[test]
fn asking_for_a_token_takes_none() {
    let mut budget = budget(10.0, 1);
    for _ in 0..10 {
        assert!(!budget.has_token());
        assert!(!budget.take());
        budget.record_send();
    }
    assert!(budget.has_token());
    assert!(budget.take());
    assert!(!budget.has_token());
}

proptest! {
    /// Within any period the hedged requests are at most the share of its sends plus the burst,
    /// and at most the share of all sends since the start.
    #[test]
    fn share_holds_in_every_period(
        percent in 0.0..=MAX_EXTRA_PERCENT,
        max_burst in 1..=MAX_BURST,
        is_slow in prop::collection::vec(any::<bool>(), 1..3_000),
        from in 0_usize..3_000,
    ) {
        let mut budget = budget(percent, max_burst);
        let hedged: Vec<bool> = is_slow
            .iter()
            .map(|is_slow| {
                budget.record_send();
                *is_slow && budget.take()
            })
            .collect();
        let from = from.min(hedged.len());
        let count = |sends: &[bool]| sends.iter().filter(|is_hedged| **is_hedged).count();
        let share = |sends: &[bool]| percent / 100.0 * sends.len() as f64;
        prop_assert!(count(&hedged) as f64 <= share(&hedged) + 1e-6);
        let period = &hedged[from..];
        let bound = share(period) + f64::from(max_burst) + 1e-6;
        prop_assert!(count(period) as f64 <= bound);
    }
}

// Guards against a share that operators did not mean, and against values that cannot be compared.
#[test_case(-0.1, 4, InvalidHedging::ExtraPercent)]
#[test_case(10.1, 4, InvalidHedging::ExtraPercent)]
#[test_case(f64::NAN, 4, InvalidHedging::ExtraPercent)]
#[test_case(f64::INFINITY, 4, InvalidHedging::ExtraPercent)]
#[test_case(1.0, 0, InvalidHedging::Burst)]
#[test_case(1.0, 101, InvalidHedging::Burst)]
fn settings_out_of_range_are_rejected(
    percent: f64,
    max_burst: u32,
    expected: InvalidHedging,
) {
    assert_eq!(HedgingSettings::new(percent, max_burst), Err(expected));
}

#[test_case(0.0, 1, false)]
#[test_case(0.5, 4, true)]
#[test_case(10.0, 100, true)]
fn settings_within_range_are_accepted(percent: f64, max_burst: u32, is_enabled: bool) {
    let settings = HedgingSettings::new(percent, max_burst).expect("valid");
    assert_eq!(settings.is_enabled(), is_enabled);
}

#[test]
fn hedging_is_off_by_default() {
    assert!(!HedgingSettings::default().is_enabled());
}
