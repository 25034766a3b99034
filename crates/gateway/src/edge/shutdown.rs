//! The time left during a graceful shutdown. Requests that cannot end before the process does are
//! refused before they are sent to an endpoint, and those that have been sent get a response while
//! there is time to write it.

use tokio::sync::watch;

use crate::clock::{now_ms, pause};

/// Part of the time for the shutdown that is reserved for writing the last responses, in
/// milliseconds.
const WRITE_RESERVE_MS: u64 = 300;

/// When all responses must be ready. Known once a shutdown has begun.
#[derive(Debug)]
pub(crate) struct Shutdown {
    respond_by_ms: watch::Sender<Option<u64>>,
}

impl Shutdown {
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            respond_by_ms: watch::Sender::new(None),
        }
    }

    /// Begins the shutdown of a process that closes all connections at `close_ms`.
    pub(crate) fn begin(&self, close_ms: u64) {
        let respond_by_ms = close_ms.saturating_sub(WRITE_RESERVE_MS);
        self.respond_by_ms.send_replace(Some(respond_by_ms));
    }

    /// Time until all responses must be ready, in milliseconds. `None` if no shutdown has begun.
    pub(crate) fn time_left_ms(&self) -> Option<u64> {
        let respond_by_ms = *self.respond_by_ms.borrow();
        respond_by_ms.map(|by_ms| by_ms.saturating_sub(now_ms()))
    }

    /// Waits until all responses must be ready.
    pub(crate) async fn wait_until_due(&self) {
        let mut respond_by_ms = self.respond_by_ms.subscribe();
        // The sender lives as long as `self`.
        let _ = respond_by_ms.wait_for(Option::is_some).await;
        while let Some(left_ms) = self.time_left_ms().filter(|left_ms| *left_ms > 0) {
            pause(left_ms).await;
        }
    }
}
