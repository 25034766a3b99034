//! Tests of the estimate of how long requests take.

use jayreel_gateway::Durations;

#[test]
fn nothing_is_expected_of_a_route_without_requests() {
    assert_eq!(Durations::default().expected_ms("route"), None);
}

// Guards against refusing requests during a planned stop that would end in time: the estimate must
// come close to steady durations.
#[test]
fn estimate_approaches_steady_durations() {
    let mut durations = Durations::default();
    (0..50).for_each(|_| durations.record("route", 100));
    let expected_ms = durations.expected_ms("route").expect("an estimate");
    assert!((100..=110).contains(&expected_ms), "{expected_ms} ms");
}

// Guards against sending requests that do not end in time: nearly all durations must be below the
// estimate, also while they vary.
#[test]
fn estimate_covers_varying_durations() {
    let mut durations = Durations::default();
    let mut exceeded = 0;
    for number in 0..1_000_u64 {
        let elapsed_ms = 50 + number * 37 % 200;
        let expected_ms = durations.expected_ms("route");
        exceeded += usize::from(expected_ms.is_some_and(|ms| elapsed_ms > ms));
        durations.record("route", elapsed_ms);
    }
    assert!(exceeded < 10, "{exceeded} of 1000");
}

// Guards against memory that grows with the names of routes, which change with the configuration.
#[test]
fn routes_are_bounded() {
    let mut durations = Durations::default();
    for number in 0..10_000 {
        durations.record(&format!("route-{number}"), 100);
    }
    let known = (0..10_000)
        .filter(|number| durations.expected_ms(&format!("route-{number}")).is_some());
    assert!(known.count() <= 1_024);
}
