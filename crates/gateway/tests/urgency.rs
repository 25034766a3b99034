//! The order in which engines admit turns.

use jayreel_gateway::engine_priority;

/// A burst: of all turns that wait, those of programs with the least time left go first, and
/// programs that are late already hold up no one.
#[test]
fn less_time_left_goes_first_and_late_goes_last() {
    let times_ms = [100, 1_000, 3_000, 10_000];
    let priorities = times_ms.map(|time_ms| engine_priority(1, Some(time_ms)));
    assert!(priorities.is_sorted());
    assert!(priorities[0] < priorities[3]);
    let late = engine_priority(0, Some(0));
    assert!(priorities.iter().all(|priority| *priority < late));
}

#[test]
fn of_two_alike_the_more_urgent_route_goes_first() {
    for time_ms in [100, 1_000, 3_000, 10_000] {
        let urgent = engine_priority(0, Some(time_ms));
        assert!(
            urgent < engine_priority(1, Some(time_ms)),
            "{time_ms} ms left"
        );
    }
}

#[test]
fn priorities_are_in_the_engines_range() {
    for rank in 0..=u8::MAX {
        for time_ms in [None, Some(0), Some(1), Some(u64::MAX)] {
            assert!(engine_priority(rank, time_ms) <= 9);
        }
    }
}
