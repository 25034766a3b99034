//! Connections to endpoints that wait for their next request.

use std::collections::HashMap;

use hyper::HeaderMap;

use crate::balance::EndpointKey;
use crate::http_connection::HttpConnection;

/// How long an idle connection is used if the endpoint does not tell, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// A connection is not used in the last part of the time that the endpoint keeps it, in
/// milliseconds, so that a request does not cross its closing.
const IDLE_MARGIN_MS: u64 = 400;

#[derive(Debug)]
struct Idle {
    link: HttpConnection,
    usable_until_ms: u64,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: HashMap<EndpointKey, Vec<Idle>>,
}

impl Pool {
    /// The connection that was used last and can be used now.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        key: EndpointKey,
    ) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(&key)?;
        while let Some(last) = idle.pop() {
            if last.usable_until_ms > now_ms && last.link.is_ready() {
                return Some(last.link);
            }
        }
        None
    }

    /// Keeps a connection whose answer was complete.
    pub(crate) fn put(
        &mut self,
        now_ms: u64,
        key: EndpointKey,
        link: HttpConnection,
        idle_ms: u64,
        most_idle: usize,
    ) {
        let usable_until_ms = now_ms + idle_ms.saturating_sub(IDLE_MARGIN_MS);
        let idle = self.idle.entry(key).or_default();
        if idle.len() >= most_idle {
            link.close();
            return;
        }
        idle.push(Idle {
            link,
            usable_until_ms,
        });
    }

    /// Closes connections that cannot be used any more, and those of endpoints that are gone.
    pub(crate) fn sweep(&mut self, now_ms: u64, is_there: impl Fn(EndpointKey) -> bool) {
        self.idle.retain(|key, idle| {
            idle.retain(|one| one.usable_until_ms > now_ms && !one.link.is_closed());
            !idle.is_empty() && is_there(*key)
        });
    }
}

/// How long the endpoint keeps a connection after this answer, in milliseconds.
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
