//! Pool of idle connections to endpoints.

use std::collections::HashMap;

use hyper::HeaderMap;

use crate::balance::EndpointKey;
use crate::http_connection::HttpConnection;

/// Keep-alive time assumed if the endpoint's response states none, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// A connection is no longer used this long before the endpoint's keep-alive time ends, in
/// milliseconds, so that a request is not sent while the endpoint closes the connection.
const IDLE_MARGIN_MS: u64 = 400;

/// A connection that carries no request.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    usable_until_ms: u64,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// The connection used last is at the end.
    idle: HashMap<EndpointKey, Vec<IdleConnection>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that can still carry a request.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        key: EndpointKey,
    ) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(&key)?;
        while let Some(last) = idle.pop() {
            if last.usable_until_ms > now_ms && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was read completely. Closes it if the endpoint
    /// already has `max_idle` idle connections here. `idle_ms` is the endpoint's keep-alive time.
    pub(crate) fn put(
        &mut self,
        now_ms: u64,
        key: EndpointKey,
        connection: HttpConnection,
        idle_ms: u64,
        max_idle: usize,
    ) {
        let usable_until_ms = now_ms + idle_ms.saturating_sub(IDLE_MARGIN_MS);
        let idle = self.idle.entry(key).or_default();
        if idle.len() >= max_idle {
            connection.close();
            return;
        }
        idle.push(IdleConnection {
            connection,
            usable_until_ms,
        });
    }

    /// Closes expired connections and those of endpoints for which `is_known` is false.
    pub(crate) fn sweep(&mut self, now_ms: u64, is_known: impl Fn(EndpointKey) -> bool) {
        self.idle.retain(|key, idle| {
            idle.retain(|idle| {
                idle.usable_until_ms > now_ms && !idle.connection.is_closed()
            });
            !idle.is_empty() && is_known(*key)
        });
    }
}

/// The endpoint's keep-alive time from the `Keep-Alive: timeout=SECONDS` header, in milliseconds.
pub(crate) fn idle_ms(headers: &HeaderMap) -> u64 {
    let value = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let timeout = value.and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout="))
    });
    let seconds = timeout.and_then(|seconds| seconds.parse::<u64>().ok());
    seconds.map_or(DEFAULT_IDLE_MS, |seconds| seconds.saturating_mul(1_000))
}
