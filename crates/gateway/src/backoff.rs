//! Pauses between calls that fail.
//!
//! Answers the pattern of a store that is down for all: if each instance repeats its calls a few
//! times a second, the larger the installation, the more calls meet the store when it is back.
//! A few instances with disks repeat theirs quickly, and the others learn from them.

/// First pause after a failure, in milliseconds: a few times a call that is answered.
const FIRST_MS: u64 = 200;

/// Longest pause, in milliseconds: half of the shortest time in which a change must be in force.
const LONGEST_MS: u64 = 1_000;

/// When a call that failed may be made again. The pause doubles with each failure in a row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    failures: u32,
    until_ms: u64,
}

impl Backoff {
    /// Whether the call may be made.
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.until_ms <= now_ms
    }

    /// The call failed.
    pub fn fail(&mut self, now_ms: u64) {
        let pause_ms = FIRST_MS << self.failures.min(8);
        self.failures += 1;
        self.until_ms = now_ms + pause_ms.min(LONGEST_MS);
    }

    /// The call was answered, or is not needed.
    pub fn succeed(&mut self) {
        *self = Backoff::default();
    }
}
