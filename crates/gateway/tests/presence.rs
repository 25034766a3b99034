//! Detection of a zone whose entry instances are mostly partitioned from it.

use jayreel_gateway::{PRESENCE_INTERVAL_MS, PresenceTracker, is_majority_absent};
use test_case::test_case;

/// Whether the first of ten entry instances reports that the majority of its zone is absent, after
/// `absent` others have sent no message for `silent_ms`.
fn is_majority_reported_absent(absent: usize, silent_ms: u64) -> bool {
    let mut tracker = PresenceTracker::default();
    let names: Vec<String> = (0..10).map(|number| format!("entry-{number}")).collect();
    let mut presence = None;
    for now_ms in (0..10_000 + silent_ms).step_by(PRESENCE_INTERVAL_MS as usize) {
        let silent = if now_ms < 10_000 { 0 } else { absent };
        for name in names[..10 - silent].iter().rev() {
            presence = Some(tracker.record_message(now_ms, name));
        }
    }
    is_majority_absent(presence.expect("the first instance has sent messages"))
}

/// 8 of 10 entry instances of a zone were partitioned individually. The load balancer uses all
/// instances of a zone if fewer than half are ready, so 8 of 10 attempts of callers
/// reached one that could not serve them.
#[test_case(8, 4_000, true; "majority absent")]
#[test_case(4, 4_000, false; "majority present")]
#[test_case(8, 800, false; "silence no longer than a restart")]
fn majority_absence_is_detected(absent: usize, silent_ms: u64, expected: bool) {
    assert_eq!(is_majority_reported_absent(absent, silent_ms), expected);
}

#[test]
fn instances_removed_from_the_zone_are_forgotten() {
    let mut tracker = PresenceTracker::default();
    tracker.record_message(0, "removed");
    tracker.record_message(0, "also removed");
    assert!(is_majority_absent(
        tracker.record_message(20_000, "remaining")
    ));
    assert!(!is_majority_absent(
        tracker.record_message(90_000, "remaining")
    ));
}
