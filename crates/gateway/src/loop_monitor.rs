//! Logs delays of the event loop.
//!
//! A delayed loop reads no responses, so that sound peers look silent. The line tells why it was
//! delayed: the thread was busy if its processor time since the last check is as long as the delay,
//! and did not run if it is much shorter.

use rustix::time::{ClockId, clock_gettime};

use crate::clock::{now_ms, pause};

/// Interval at which the loop is checked, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Shortest delay that is logged, in milliseconds: a fraction of the time without responses after
/// which a group counts as lost.
const MIN_LOGGED_DELAY_MS: u64 = 150;

/// Checks the event loop on which it runs. Never returns.
pub(crate) async fn monitor_loop() {
    loop {
        let (began_ms, began_processor_ms) = (now_ms(), processor_time_ms());
        pause(CHECK_INTERVAL_MS).await;
        let delay_ms = (now_ms() - began_ms).saturating_sub(CHECK_INTERVAL_MS);
        if delay_ms >= MIN_LOGGED_DELAY_MS {
            let processor_ms = processor_time_ms() - began_processor_ms;
            log::warn!(
                "event=loop_delayed delay_ms={delay_ms} processor_ms={processor_ms}"
            );
        }
    }
}

/// Processor time of the calling thread, in milliseconds.
fn processor_time_ms() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    // The clock counts from the start of the thread, so neither part is negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}
