//! Limits that reject requests, and what is logged about them.

/// Shortest time between two log lines about the same limit, in milliseconds.
const LIMIT_LOG_INTERVAL_MS: u64 = 10_000;

/// A limit that rejects requests while it is reached. Logs when it binds.
#[derive(Debug)]
pub(crate) struct LimitGate {
    /// Event of the log lines.
    event: &'static str,
    /// Name of the limit in the log lines.
    name: &'static str,
    logged_ms: Option<u64>,
    /// Number of requests rejected.
    pub(crate) rejected: u64,
}

impl LimitGate {
    pub(crate) fn new(event: &'static str, name: &'static str) -> LimitGate {
        LimitGate {
            event,
            name,
            logged_ms: None,
            rejected: 0,
        }
    }

    /// Counts a rejection if the limit is reached, and returns whether it is.
    pub(crate) fn rejects(
        &mut self,
        now_ms: u64,
        is_reached: bool,
        used_bytes: u64,
    ) -> bool {
        if !is_reached {
            return false;
        }
        self.rejected += 1;
        let is_due = |logged_ms: u64| now_ms >= logged_ms + LIMIT_LOG_INTERVAL_MS;
        if self.logged_ms.is_none_or(is_due) {
            self.logged_ms = Some(now_ms);
            log::warn!(
                "event={} limit={} used_bytes={used_bytes} rejected={}",
                self.event,
                self.name,
                self.rejected
            );
        }
        true
    }
}
