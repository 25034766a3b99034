//! Requests to engines to release the cache of programs, repeated until they are confirmed.

use std::collections::BTreeMap;

use crate::effect::Effect;
use crate::endpoint::EndpointKey;
use crate::program_table::CacheRelease;
use crate::scheduler::Scheduler;

/// Time until an unconfirmed release is sent again. Doubles with each repetition.
const RETRY_INTERVAL_MS: u64 = 2_000;
/// Upper bound of the time between two repetitions.
const MAX_RETRY_INTERVAL_MS: u64 = 60_000;

/// Releases that were requested and not yet confirmed, by endpoint and cache tag.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingReleases {
    pending: BTreeMap<(EndpointKey, String), Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    interval_ms: u64,
    next_at_ms: u64,
}

impl PendingReleases {
    fn insert(&mut self, now_ms: u64, endpoint: EndpointKey, tag: String) {
        let pending = Pending {
            interval_ms: RETRY_INTERVAL_MS,
            next_at_ms: now_ms + RETRY_INTERVAL_MS,
        };
        self.pending.insert((endpoint, tag), pending);
    }

    /// Drops a release that was confirmed, or whose cache is in use again.
    pub fn remove(&mut self, endpoint: EndpointKey, tag: &str) {
        self.pending.remove(&(endpoint, tag.to_string()));
    }

    /// Drops all releases of an endpoint that was removed.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        self.pending.retain(|(holder, _), _| *holder != endpoint);
    }

    /// Returns the releases that must be sent again now, and schedules their next repetition.
    fn take_due(&mut self, now_ms: u64) -> Vec<(EndpointKey, String)> {
        let mut due = Vec::new();
        for (key, pending) in &mut self.pending {
            if now_ms >= pending.next_at_ms {
                pending.interval_ms =
                    (pending.interval_ms * 2).min(MAX_RETRY_INTERVAL_MS);
                pending.next_at_ms = now_ms + pending.interval_ms;
                due.push(key.clone());
            }
        }
        due
    }
}

impl Scheduler {
    /// Requests releases and keeps them as pending until they are confirmed.
    pub(crate) fn request_releases(
        &mut self,
        now_ms: u64,
        releases: Vec<CacheRelease>,
        out: &mut Vec<Effect>,
    ) {
        for release in releases {
            let Some(endpoint) = self.endpoints.get_mut(release.endpoint) else {
                continue;
            };
            if let Some(hash) = release.prefix_hash {
                endpoint.prefixes.forget(hash);
            }
            let tag = release.cache_tag.clone();
            self.pending_releases.insert(now_ms, release.endpoint, tag);
            out.push(Effect::ReleaseCache {
                endpoint: endpoint.name.clone(),
                cache_tag: release.cache_tag,
            });
        }
    }

    /// Repeats unconfirmed releases that are due, and releases the cache of programs that
    /// have been idle for too long.
    pub(crate) fn request_due_releases(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for (endpoint, cache_tag) in self.pending_releases.take_due(now_ms) {
            let endpoint = self.endpoints[endpoint].name.clone();
            out.push(Effect::ReleaseCache {
                endpoint,
                cache_tag,
            });
        }
        let retention = self.retention_policy.as_ref();
        let releases = self.program_table.release_idle(now_ms, retention);
        self.request_releases(now_ms, releases, out);
    }

    /// Handles `CacheReleased`. Without confirmation the release stays pending.
    pub(crate) fn record_release_answer(
        &mut self,
        endpoint: &str,
        tag: &str,
        released: bool,
    ) {
        match self.endpoints_by_name.get(endpoint) {
            Some(key) if released => self.pending_releases.remove(*key, tag),
            _ => {}
        }
    }
}
