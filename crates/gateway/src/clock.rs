//! Time that also counts while the machine is suspended.
//!
//! Proofs of freshness and tokens of a rate must not outlive a suspension, which the
//! monotonic clock leaves out.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine started, suspensions included. Never goes back.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    // The clock counts from the start of the machine, so it is never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}

/// Waits for a time in milliseconds.
pub(crate) async fn pause(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}
