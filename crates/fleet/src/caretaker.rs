//! Releases engine memory that no program owns any more.
//!
//! Owners release the cache of their programs themselves. What is left after a crash is
//! found here: the caretaker of an engine lists its cache tags and asks the owner of
//! each. Two instances with different views may both be caretaker; a release names a tag
//! that is never used again, so this does no harm.

use std::collections::BTreeMap;

use jayreel_membership::{Liveness, responsible_for};
use jayreel_model::{EndpointKind, EndpointState};
use jayreel_programs::CacheTag;

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::Fleet;

/// Cache of a process is released when it has been gone for this long and its successor
/// has not seen the program. Longer than the default idle time of programs.
const IDLE_ORPHAN_MS: u64 = 900_000;

/// Tags in one question to a peer.
const MAX_TAGS: usize = 1_000;

/// The state of the sweep.
#[derive(Debug, Default)]
pub(crate) struct Caretaker {
    next_sweep_ms: u64,
    /// Tags that a peer was asked about, with the engine that holds them.
    asked: BTreeMap<String, BTreeMap<String, String>>,
}

impl Fleet {
    /// Asks for the tags of the engines in this instance's care.
    pub(crate) fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.caretaker.next_sweep_ms {
            return;
        }
        self.caretaker.next_sweep_ms = now_ms + self.settings.cache_sweep_interval_ms;
        // Without a view of the registrations it cannot tell which owners are gone.
        if !self.membership.registrations().were_read() {
            return;
        }
        self.caretaker.asked.clear();
        let engines = self.engines_in_care(now_ms);
        let effects = engines
            .into_iter()
            .map(|endpoint| FleetEffect::ListCacheTags { endpoint });
        self.effects.extend(effects);
    }

    /// Sorts the tags that an engine holds by their owner.
    pub(crate) fn tags_listed(&mut self, now_ms: u64, endpoint: &str, tags: Vec<String>) {
        for text in tags {
            let Ok(tag) = text.parse::<CacheTag>() else {
                continue;
            };
            let owner = self.takeovers.responsible(&tag.owner).clone();
            match self.membership.liveness(now_ms, &owner) {
                _ if owner == self.settings.own => {
                    if !self.claims_tag(now_ms, &tag) {
                        self.release_tag(endpoint, text);
                    }
                }
                Liveness::Alive | Liveness::Leaving => {
                    let asked = self.caretaker.asked.entry(owner.instance).or_default();
                    asked.insert(text, endpoint.to_string());
                }
                Liveness::Dead
                    if self.is_gone(now_ms, &owner, self.settings.cache_orphan_ms) =>
                {
                    self.release_tag(endpoint, text);
                }
                Liveness::Dead | Liveness::Suspect => {}
            }
        }
        self.ask_owners();
    }

    /// The tags that belong to live programs here.
    pub(crate) fn owned_tags(&self, now_ms: u64, tags: Vec<String>) -> Vec<String> {
        let owns = |text: &String| {
            let tag: Result<CacheTag, _> = text.parse();
            tag.is_ok_and(|tag| self.claims_tag(now_ms, &tag))
        };
        tags.into_iter().filter(owns).collect()
    }

    /// A peer told which of the tags it still owns: the others are released.
    pub(crate) fn tags_owned(&mut self, from: &str, owned: &[String]) {
        let asked = self.caretaker.asked.remove(from).unwrap_or_default();
        for (tag, endpoint) in asked {
            if !owned.contains(&tag) {
                self.release_tag(&endpoint, tag);
            }
        }
    }

    fn engines_in_care(&self, now_ms: u64) -> Vec<String> {
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

    /// Whether the tag is that of a live program here, or of a predecessor's program whose
    /// caller may still return.
    fn claims_tag(&self, now_ms: u64, tag: &CacheTag) -> bool {
        let is_predecessors = tag.owner != self.settings.own;
        self.programs.owns_cache_tag(tag)
            || (is_predecessors && !self.is_gone(now_ms, &tag.owner, IDLE_ORPHAN_MS))
    }

    fn is_gone(
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

    fn ask_owners(&mut self) {
        let questions: Vec<(String, Vec<String>)> = self
            .caretaker
            .asked
            .iter()
            .map(|(peer, tags)| {
                (peer.clone(), tags.keys().take(MAX_TAGS).cloned().collect())
            })
            .collect();
        for (peer, tags) in questions {
            // Only what is asked may be released on the answer.
            if let Some(asked) = self.caretaker.asked.get_mut(&peer) {
                asked.retain(|tag, _| tags.contains(tag));
            }
            self.send(peer, PeerMessage::CacheTagQuery(tags));
        }
    }
}
