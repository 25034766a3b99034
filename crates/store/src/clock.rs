//! The monotonic clock that leases, polls and renewals are timed with, replaceable in
//! tests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// A monotonic clock. Its zero point is arbitrary and differs between processes.
pub trait Clock: Send + Sync {
    /// Milliseconds since the zero point. Never decreases.
    fn now_ms(&self) -> u64;
}

/// The monotonic clock of the operating system, with its zero point at creation.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock whose zero point is now.
    pub fn new() -> SystemClock {
        SystemClock {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// A clock that advances only by [`ManualClock::advance`], for tests and simulations.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `step_ms` milliseconds, for all who share it.
    pub fn advance(&self, step_ms: u64) {
        self.now_ms.fetch_add(step_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }
}
