//! Priorities by which engines admit turns.

use jayreel_gateway::engine_priority;

/// In a burst, turns of programs with the least time left must go first. Programs that are already
/// late go last, so that they don't delay the others.
#[test]
fn programs_with_less_time_left_go_first_and_late_ones_last() {
    let times_ms = [100, 1_000, 3_000, 10_000];
    let priorities = times_ms.map(|time_ms| engine_priority(1, Some(time_ms)));
    assert!(priorities.is_sorted());
    assert!(priorities[0] < priorities[3]);
    let late = engine_priority(0, Some(0));
    assert!(priorities.iter().all(|priority| *priority < late));
}

#[test]
fn more_urgent_route_goes_first_at_equal_time_left() {
    for time_ms in [100, 1_000, 3_000, 10_000] {
        let urgent = engine_priority(0, Some(time_ms));
        assert!(
            urgent < engine_priority(1, Some(time_ms)),
            "{time_ms} ms left"
        );
    }
}

#[test]
fn priorities_stay_within_the_range_of_engines() {
    for rank in 0..=u8::MAX {
        for time_ms in [None, Some(0), Some(1), Some(u64::MAX)] {
            assert!(engine_priority(rank, time_ms) <= 9);
        }
    }
}
