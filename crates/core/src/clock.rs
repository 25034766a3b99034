//! The monotonic clock of the process.

use std::time::Instant;

/// The time at creation of the clock, 40 days. Peers report ages of events, such as the last
/// contact with the store, that can lie before the start of this process; with a start at 0
/// their times could not be represented. The longest age that matters is the maximum of
/// `offline_grace_s`, 30 days.
const INITIAL_MS: u64 = 40 * 86_400_000;

/// A millisecond clock that starts at [`INITIAL_MS`]. It does not advance while the machine
/// is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that shows [`INITIAL_MS`] now.
    pub(crate) fn new() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The current time in milliseconds. Only comparable within this process.
    pub(crate) fn now_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.start.elapsed().as_millis());
        elapsed_ms.unwrap_or(u64::MAX).saturating_add(INITIAL_MS)
    }
}

impl jayreel_store::Clock for Clock {
    fn now_ms(&self) -> u64 {
        Clock::now_ms(self)
    }
}
