//! Tests of the delay after which a request is hedged.

use jayreel_hedging::{MIN_SAMPLES, RouteDelays};

/// Records `count` responses, of which each twentieth takes `slow_ms` and the others `usual_ms`.
fn record(
    delays: &mut RouteDelays,
    now_ms: u64,
    count: u64,
    usual_ms: u64,
    slow_ms: u64,
) {
    for number in 0..count {
        let is_slow = number % 20 == 0;
        let elapsed_ms = if is_slow { slow_ms } else { usual_ms };
        delays.record(now_ms, "route", elapsed_ms);
    }
}

// Guards against a delay from a few responses, of which one slow one would decide.
#[test]
fn too_few_responses_give_no_delay() {
    let mut delays = RouteDelays::default();
    assert_eq!(delays.delay_ms(0, "route"), None);
    record(&mut delays, 0, MIN_SAMPLES - 1, 50, 50);
    assert_eq!(delays.delay_ms(0, "route"), None);
    record(&mut delays, 0, 1, 50, 50);
    assert!(delays.delay_ms(0, "route").is_some());
    assert_eq!(delays.delay_ms(0, "another"), None);
}

// Guards against hedging requests that are not slower than nearly all, or only the very slowest.
#[test]
fn delay_is_the_95th_percentile() {
    let mut delays = RouteDelays::default();
    for elapsed_ms in 1..=1_000 {
        delays.record(0, "route", elapsed_ms);
    }
    let delay_ms = delays.delay_ms(0, "route").expect("enough responses");
    assert!((940..=965).contains(&delay_ms), "{delay_ms}");
}

// Guards against a delay within the time that the scheduling of processes takes.
#[test]
fn delay_has_a_lower_bound() {
    let mut delays = RouteDelays::default();
    record(&mut delays, 0, 100, 0, 0);
    assert_eq!(delays.delay_ms(0, "route"), Some(5));
}

// Guards against a delay that stays at the level of an earlier load, in both directions.
#[test]
fn delay_follows_the_load() {
    let mut delays = RouteDelays::default();
    for second in 0..60 {
        record(&mut delays, second * 1_000, 20, 50, 50);
    }
    for second in 60..180 {
        record(&mut delays, second * 1_000, 20, 400, 400);
    }
    let delay_ms = delays.delay_ms(180_000, "route").expect("enough responses");
    assert!((400..=410).contains(&delay_ms), "{delay_ms}");
    for second in 180..300 {
        record(&mut delays, second * 1_000, 20, 50, 50);
    }
    let delay_ms = delays.delay_ms(300_000, "route").expect("enough responses");
    assert!((50..=52).contains(&delay_ms), "{delay_ms}");
}

// Guards against using responses of long ago.
#[test]
fn old_responses_are_forgotten() {
    let mut delays = RouteDelays::default();
    record(&mut delays, 0, 100, 50, 50);
    assert!(delays.delay_ms(29_999, "route").is_some());
    assert!(delays.delay_ms(59_999, "route").is_some());
    assert_eq!(delays.delay_ms(60_000, "route"), None);
    record(&mut delays, 60_000, 100, 50, 50);
    assert_eq!(delays.delay_ms(200_000, "route"), None);
}

// Guards against a percentile that falls with each hedged request, because the slowest responses
// are never seen: they are recorded with the time of their cancellation.
#[test]
fn cancelled_sends_keep_the_delay() {
    let mut delays = RouteDelays::default();
    (1..=1_000).for_each(|elapsed_ms| delays.record(0, "route", elapsed_ms));
    for round in 1..=100 {
        let now_ms = round * 10_000;
        let delay_ms = delays.delay_ms(now_ms, "route").expect("enough responses");
        assert!((930..=990).contains(&delay_ms), "round {round}: {delay_ms}");
        for elapsed_ms in 1..=1_000 {
            delays.record(now_ms, "route", elapsed_ms.min(delay_ms + 10));
        }
    }
}

// Guards against memory that grows with the names of routes, which change with the configuration.
#[test]
fn routes_are_bounded() {
    let mut delays = RouteDelays::default();
    record(&mut delays, 0, 100, 50, 50);
    assert!(delays.delay_ms(0, "route").is_some());
    (0..1_000).for_each(|number| delays.record(0, &format!("route-{number}"), 50));
    assert_eq!(delays.delay_ms(0, "route"), None);
}
