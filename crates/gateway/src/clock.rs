//! A clock that keeps counting while the machine is suspended.
//!
//! Quota tokens and the confirmation that the configuration is current must expire during a
//! suspension. The monotonic clock stops then, so it can't be used for them.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, including time in suspension. Never goes backwards.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    // The clock counts from boot, so neither part is negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}

/// Sleeps for `time_ms` milliseconds. The timer does not count time in suspension.
pub(crate) async fn pause(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}
