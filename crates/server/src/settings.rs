//! Limits of size and time that protect a server from slow or oversized requests.

use std::time::Duration;

/// Limits of one listener. They apply to each connection separately, except
/// `max_connections` and `max_held_body_bytes`, which apply to the whole listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerSettings {
    /// Maximum size of request line and headers. Must be at least 8,192.
    pub max_head_bytes: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum total size of all request bodies that are being read or whose response is
    /// not complete. Requests that would exceed it are refused as overloaded.
    pub max_held_body_bytes: u64,
    /// Maximum number of open connections. Further ones wait in the kernel's accept queue.
    pub max_connections: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout_ms: u64,
    /// Maximum time without a new byte while a request body is read.
    pub body_idle_timeout_ms: u64,
    /// Maximum time that a write may block because the caller does not read.
    pub write_timeout_ms: u64,
    /// How long a connection stays open without a request.
    pub keep_alive_timeout_ms: u64,
    /// Replaces `keep_alive_timeout_ms`, if shorter, once the listening socket is closed.
    /// Long enough for a request that is already in transit to arrive.
    pub closing_idle_timeout_ms: u64,
    /// How long input is read and discarded after the last response. Without this, a caller
    /// that is still sending would get a reset instead of the response.
    pub linger_ms: u64,
}

impl Default for ServerSettings {
    fn default() -> ServerSettings {
        ServerSettings {
            max_head_bytes: 32 * 1024,
            max_headers: 100,
            max_body_bytes: 16 * 1024 * 1024,
            max_held_body_bytes: 512 * 1024 * 1024,
            max_connections: 10_000,
            head_timeout_ms: 10_000,
            body_idle_timeout_ms: 30_000,
            write_timeout_ms: 30_000,
            keep_alive_timeout_ms: 75_000,
            closing_idle_timeout_ms: 1_000,
            linger_ms: 2_000,
        }
    }
}

impl ServerSettings {
    pub(crate) fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    pub(crate) fn body_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.body_idle_timeout_ms)
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }

    /// `closing` is whether the listening socket is closed.
    pub(crate) fn idle_timeout(&self, closing: bool) -> Duration {
        let limit_ms = match closing {
            true => self.closing_idle_timeout_ms.min(self.keep_alive_timeout_ms),
            false => self.keep_alive_timeout_ms,
        };
        Duration::from_millis(limit_ms)
    }

    pub(crate) fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}
