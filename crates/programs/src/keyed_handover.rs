//! Transfers the idempotency keys of calls without a program when a process stops.
//!
//! A stopping process admits no more calls with a key and waits for the running ones. It
//! then sends each successor the keys for which that is now responsible, together with a
//! claim: the views and inherited claims that it had when it stopped admitting calls. The
//! claim fixes the successors, so that each key has at most one. A successor that has
//! received all parts, and that became responsible directly after this process, knows
//! everything that this process knew about the runs of a key.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use jayreel_model::Incarnation;
use serde::{Deserialize, Serialize};

use crate::idempotency::{KeyDigest, KeyState};
use crate::keyed::{KeyedCalls, MAX_KEYS};
use crate::keyed_views::{InheritedClaim, KeyedLimits, ViewHistory, responsible};

/// Maximum number of view entries in a claim. Keeps a claim below 2 MB, a quarter of the
/// maximum message size. In larger fleets the keys are sent with a claim that has no views
/// and so covers no key.
const MAX_VIEW_ENTRIES: usize = 20_000;

/// What a stopped process knew about the responsibility for keys.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedClaim {
    /// When it stopped admitting calls, by its own clock.
    pub(crate) at_ms: u64,
    /// Its views and inherited claims at that time.
    pub(crate) history: ViewHistory,
    /// The only processes that may use the claim, by instance name.
    pub(crate) successors: BTreeMap<String, Incarnation>,
}

impl KeyedClaim {
    /// The stopped process that made the claim.
    pub fn of(&self) -> &Incarnation {
        &self.history.own
    }

    /// Whether the stopped process knew about all runs of the key and handed it to
    /// `successor`.
    pub(crate) fn covers(
        &self,
        digest: KeyDigest,
        successor: &Incarnation,
        limits: KeyedLimits,
    ) -> bool {
        let expected = responsible(self.successors.keys(), digest);
        let expected = expected.and_then(|name| self.successors.get(name));
        let last_read_ms = self.history.views.back().map(|view| view.last_read_ms);
        let is_fresh = last_read_ms
            .is_some_and(|ms| self.at_ms.saturating_sub(ms) <= limits.freshness_ms);
        expected == Some(successor)
            && is_fresh
            && self.history.knows_all_runs(self.at_ms, digest, limits)
    }

    /// Number of process entries in the claim, those of inherited claims included.
    fn view_entries(&self) -> usize {
        let own: usize = self
            .history
            .views
            .iter()
            .map(|view| view.processes.len())
            .sum();
        let inherited = self.history.inherited.iter();
        own + self.successors.len()
            + inherited
                .map(|inherited| inherited.claim.view_entries())
                .sum::<usize>()
    }

    /// Drops history that does not fit into a message. Without views the claim covers no
    /// key.
    fn bounded(mut self) -> KeyedClaim {
        if self.view_entries() > MAX_VIEW_ENTRIES {
            self.history.inherited.clear();
        }
        if self.view_entries() > MAX_VIEW_ENTRIES {
            self.history.views.clear();
        }
        self
    }
}

/// An idempotency key in a handover.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// The outcome of its call.
    pub state: KeyState,
    /// Time since the call ended, at the time of the export.
    pub age_ms: u64,
}

/// One message of a handover to one successor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedHandover {
    /// The claim, the same in all parts.
    pub claim: KeyedClaim,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts for this successor.
    pub parts: u32,
    /// The keys of this part.
    pub keys: Vec<KeyRecord>,
}

impl KeyedCalls {
    /// Stops admitting calls, so that the keys can be handed over.
    pub fn retire(&mut self, now_ms: u64) {
        if self.retired.is_none() {
            self.retired = Some((now_ms, self.history.clone()));
        }
    }

    /// Divides the keys of a retired process among `successors`, in messages of at most
    /// `max_keys` keys. Returns `None` while a call runs, or if the process was not
    /// retired. Each key may have only one successor, so call this once.
    pub fn export(
        &mut self,
        now_ms: u64,
        successors: BTreeMap<String, Incarnation>,
        max_keys: usize,
    ) -> Option<Vec<(Incarnation, KeyedHandover)>> {
        self.forget_expired_keys(now_ms);
        let (at_ms, history) = self.retired.clone()?;
        if !self.calls.is_empty() {
            return None;
        }
        let keys = self.ended.iter().filter_map(|(ended_ms, digest)| {
            Some(KeyRecord {
                digest: *digest,
                state: *self.keys.get(digest)?,
                age_ms: now_ms.saturating_sub(*ended_ms),
            })
        });
        let keys = keys.collect();
        let claim = KeyedClaim {
            at_ms,
            history,
            successors,
        };
        Some(split_by_successor(claim, keys, max_keys))
    }

    /// Stores the keys of one part. The claim takes effect once all parts have arrived.
    pub fn import(&mut self, now_ms: u64, handover: KeyedHandover) {
        let stopped = handover.claim.of().clone();
        let mut inherited = self.history.inherited.iter();
        if inherited.any(|inherited| inherited.claim.of() == &stopped) {
            return;
        }
        if self.keys.len() + handover.keys.len() > MAX_KEYS {
            return;
        }
        for key in handover.keys {
            if let Entry::Vacant(entry) = self.keys.entry(key.digest) {
                entry.insert(key.state);
                let ended_ms = now_ms.saturating_sub(key.age_ms);
                self.ended.insert((ended_ms, key.digest));
            }
        }
        let parts = self.received_parts.entry(stopped.clone()).or_default();
        parts.insert(handover.part);
        if parts.len() >= handover.parts as usize {
            self.received_parts.remove(&stopped);
            self.history.inherited.push(InheritedClaim {
                received_ms: now_ms,
                claim: handover.claim,
            });
        }
    }
}

/// Splits keys into messages for each successor, with at most `max_keys` keys each. A
/// successor without keys gets one part that only holds the claim.
fn split_by_successor(
    claim: KeyedClaim,
    keys: Vec<KeyRecord>,
    max_keys: usize,
) -> Vec<(Incarnation, KeyedHandover)> {
    let claim = claim.bounded();
    let mut shares: BTreeMap<&str, Vec<KeyRecord>> = claim
        .successors
        .keys()
        .map(|name| (name.as_str(), Vec::new()))
        .collect();
    for key in keys {
        let name = responsible(claim.successors.keys(), key.digest);
        if let Some(share) = name.and_then(|name| shares.get_mut(name)) {
            share.push(key);
        }
    }
    let mut messages = Vec::new();
    for (successor, keys) in claim.successors.values().zip(shares.values()) {
        let mut chunks: Vec<&[KeyRecord]> = keys.chunks(max_keys.max(1)).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        messages.extend((0..parts).zip(chunks).map(|(part, keys)| {
            let handover = KeyedHandover {
                claim: claim.clone(),
                part,
                parts,
                keys: keys.to_vec(),
            };
            (successor.clone(), handover)
        }));
    }
    messages
}
