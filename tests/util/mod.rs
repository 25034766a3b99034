//! Starts fleets of `jayreel` processes, and simulates the systems and users around them.

#![allow(dead_code, reason = "each test module uses a part of this module")]

pub mod caller;
pub mod fleet;
pub mod operator;
pub mod process;
pub mod relay;

use std::thread;
use std::time::{Duration, Instant};

use jayreel_standin::PlainService;

/// Timeout of [`wait_until`]. Long enough for a busy machine, so it is reached only if a test
/// fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls until `condition` holds.
///
/// # Panics
///
/// After [`WAIT_TIMEOUT`], with `what` in the message.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// How many requests with this value of the `X-Request-Tag` header a plain service has run.
pub fn run_count(service: &PlainService, tag: &str) -> u64 {
    service.runs().counts.get(tag).copied().unwrap_or(0)
}
