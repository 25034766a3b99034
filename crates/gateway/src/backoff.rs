//! Exponential backoff between failed calls of the metadata store.
//!
//! Without it, every entry instance would retry several times a second while the store is
//! down, and the load on the recovering store would grow with the size of the installation.
//! Only the few storage instances retry at a short fixed interval; entry instances read
//! the results from them.

/// Pause after the first failure, in milliseconds: several times the duration of a successful
/// call.
const INITIAL_PAUSE_MS: u64 = 200;

/// Upper bound of the pause, in milliseconds: half of the shortest time within which a
/// configuration change must be in force.
const MAX_PAUSE_MS: u64 = 1_000;

/// Tells when a failed call may be retried. The pause doubles with each consecutive failure.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    consecutive_failures: u32,
    paused_until_ms: u64,
}

impl Backoff {
    /// Whether the pause has passed, so that the call may be made.
    pub fn is_over(&self, now_ms: u64) -> bool {
        self.paused_until_ms <= now_ms
    }

    /// Records a failed call, which starts a pause.
    pub fn fail(&mut self, now_ms: u64) {
        let pause_ms = INITIAL_PAUSE_MS << self.consecutive_failures.min(8);
        self.consecutive_failures += 1;
        self.paused_until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
    }

    /// Ends the pause: the call succeeded, or its result came from another instance.
    pub fn succeed(&mut self) {
        *self = Backoff::default();
    }
}
