//! Releases cache at engines that no program needs any more.
//!
//! Instances release the cache of their own programs when these end. This sweep finds what
//! a crash leaves behind: one instance is responsible for each engine, lists its cache tags
//! and asks the owner of each tag. Two instances with different membership views may both
//! be responsible. That is harmless, because a released tag is never used again.

use std::collections::BTreeMap;

use jayreel_membership::{Liveness, responsible_for};
use jayreel_model::{EndpointKind, EndpointState};
use jayreel_programs::CacheTag;

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::FleetState;

/// After a process has been gone for this long, its successor no longer claims the cache of
/// programs that it has not seen. Longer than the default idle time of programs, so their
/// callers can still return before.
const PREDECESSOR_CACHE_MS: u64 = 900_000;

/// Maximum number of tags in one query to a peer. The other tags wait for the next sweep.
const MAX_QUERIED_TAGS: usize = 1_000;

/// State between the steps of a sweep: list the tags, query their owners, release.
#[derive(Debug, Default)]
pub(crate) struct CacheSweep {
    next_sweep_ms: u64,
    /// Tags that each peer was asked about in this sweep, with the engine that holds them.
    queried: BTreeMap<String, BTreeMap<String, String>>,
}

impl FleetState {
    /// Starts a sweep if it is due: lists the tags of all engines that this instance is
    /// responsible for.
    pub(crate) fn sweep_cache_tags(&mut self, now_ms: u64) {
        if now_ms < self.cache_sweep.next_sweep_ms {
            return;
        }
        self.cache_sweep.next_sweep_ms = now_ms + self.settings.cache_sweep_interval_ms;
        // Without the registrations it is unknown which owners are gone.
        if !self.membership.registrations().were_read() {
            return;
        }
        self.cache_sweep.queried.clear();
        let engines = self.responsible_engines(now_ms);
        let effects = engines
            .into_iter()
            .map(|endpoint| FleetEffect::ListCacheTags { endpoint });
        self.effects.extend(effects);
    }

    /// Handles the list of an engine's tags: releases those that have no owner any more,
    /// and asks the owners of the others.
    pub(crate) fn tags_listed(&mut self, now_ms: u64, endpoint: &str, tags: Vec<String>) {
        for text in tags {
            let Ok(tag) = text.parse::<CacheTag>() else {
                continue;
            };
            let owner = self.takeovers.responsible(&tag.owner).clone();
            match self.membership.liveness(now_ms, &owner) {
                _ if owner == self.settings.own => {
                    if !self.is_tag_in_use(now_ms, &tag) {
                        self.release_tag(endpoint, text);
                    }
                }
                Liveness::Alive | Liveness::Leaving => {
                    let queried =
                        self.cache_sweep.queried.entry(owner.instance).or_default();
                    queried.insert(text, endpoint.to_string());
                }
                Liveness::Dead
                    if self.is_absent_for(
                        now_ms,
                        &owner,
                        self.settings.cache_orphan_ms,
                    ) =>
                {
                    self.release_tag(endpoint, text);
                }
                Liveness::Dead | Liveness::Suspect => {}
            }
        }
        self.query_owners();
    }

    /// Those of the tags that this instance still needs. Sent as the reply to a peer's query.
    pub(crate) fn owned_tags(&self, now_ms: u64, tags: Vec<String>) -> Vec<String> {
        let is_owned = |text: &String| {
            let tag: Result<CacheTag, _> = text.parse();
            tag.is_ok_and(|tag| self.is_tag_in_use(now_ms, &tag))
        };
        tags.into_iter().filter(is_owned).collect()
    }

    /// Handles the reply of a peer to a query: releases the queried tags that it does not
    /// own any more.
    pub(crate) fn release_unowned_tags(&mut self, from: &str, owned: &[String]) {
        let queried = self.cache_sweep.queried.remove(from).unwrap_or_default();
        for (tag, endpoint) in queried {
            if !owned.contains(&tag) {
                self.release_tag(&endpoint, tag);
            }
        }
    }

    fn responsible_engines(&self, now_ms: u64) -> Vec<String> {
        let Some(configuration) = &self.configuration else {
            return Vec::new();
        };
        let engines = configuration.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.kind == EndpointKind::ModelEngine
                && endpoint.state != EndpointState::Removed
        });
        engines
            .filter(|(name, endpoint)| {
                let live = self
                    .membership
                    .live_in_zone(now_ms, &endpoint.availability_zone);
                let names = live.iter().map(String::as_str);
                responsible_for(name, names) == Some(&self.settings.own.instance)
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether the tag belongs to a live program of this process, or to a predecessor's
    /// program whose caller may still return.
    fn is_tag_in_use(&self, now_ms: u64, tag: &CacheTag) -> bool {
        let is_of_predecessor = tag.owner != self.settings.own;
        self.programs.owns_cache_tag(tag)
            || (is_of_predecessor
                && !self.is_absent_for(now_ms, &tag.owner, PREDECESSOR_CACHE_MS))
    }

    /// Whether the registration of an incarnation has been absent for at least `limit_ms`.
    fn is_absent_for(
        &self,
        now_ms: u64,
        incarnation: &jayreel_model::Incarnation,
        limit_ms: u64,
    ) -> bool {
        let absent_ms = self
            .membership
            .registrations()
            .absent_ms(now_ms, incarnation);
        absent_ms.is_some_and(|absent_ms| absent_ms >= limit_ms)
    }

    fn release_tag(&mut self, endpoint: &str, cache_tag: String) {
        let endpoint = endpoint.to_string();
        self.effects.push(FleetEffect::ReleaseCacheTag {
            endpoint,
            cache_tag,
        });
    }

    fn query_owners(&mut self) {
        let queries: Vec<(String, Vec<String>)> = self
            .cache_sweep
            .queried
            .iter()
            .map(|(peer, tags)| {
                let tags = tags.keys().take(MAX_QUERIED_TAGS).cloned().collect();
                (peer.clone(), tags)
            })
            .collect();
        for (peer, tags) in queries {
            // The reply releases all queried tags that it does not name, so tags beyond
            // the maximum must not count as queried.
            if let Some(queried) = self.cache_sweep.queried.get_mut(&peer) {
                queried.retain(|tag, _| tags.contains(tag));
            }
            self.send(peer, PeerMessage::CacheTagQuery(tags));
        }
    }
}
