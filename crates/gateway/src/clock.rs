//! Clocks. The one for deadlines keeps counting while the machine is suspended.
//!
//! Quota tokens and the confirmation that the configuration is current must expire during a
//! suspension. The monotonic clock stops then, so it can't be used for them.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, including time in suspension. Never goes backwards.
pub fn now_ms() -> u64 {
    read_ms(ClockId::Boottime)
}

/// Processor time of the calling thread, in milliseconds.
pub(crate) fn thread_processor_ms() -> u64 {
    read_ms(ClockId::ThreadCPUTime)
}

/// Reads a clock that counts from an event in the past, so that neither part is negative.
fn read_ms(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}

/// Sleeps for `time_ms` milliseconds. The timer does not count time in suspension.
pub(crate) async fn pause(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}
