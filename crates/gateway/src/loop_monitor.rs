//! Logs delays of the event loop.
//!
//! A delayed loop reads no responses, so that sound peers look silent. The line tells why it was
//! delayed: the thread was busy if its processor time since the last check is as long as the delay,
//! and did not run if it is much shorter.

use crate::clock::{now_ms, pause, thread_processor_ms};

/// Interval at which the loop is checked, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Shortest delay that is logged, in milliseconds: a fraction of the time without responses after
/// which a group counts as lost.
const MIN_LOGGED_DELAY_MS: u64 = 150;

/// Checks the event loop on which it runs. Never returns.
pub(crate) async fn monitor_loop() {
    loop {
        let (began_ms, began_processor_ms) = (now_ms(), thread_processor_ms());
        pause(CHECK_INTERVAL_MS).await;
        let delay_ms = (now_ms() - began_ms).saturating_sub(CHECK_INTERVAL_MS);
        if delay_ms >= MIN_LOGGED_DELAY_MS {
            let processor_ms = thread_processor_ms() - began_processor_ms;
            log::warn!(
                "event=loop_delayed delay_ms={delay_ms} processor_ms={processor_ms}"
            );
        }
    }
}
