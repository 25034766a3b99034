//! The copy of the configuration that an instance holds, without I/O or clock.
//!
//! The copy is updated from the store and, during outages of the store, from peers.

use std::collections::BTreeSet;
use std::sync::Arc;

use jayreel_model::{Configuration, KeyHash};

use crate::configuration::layout;
use crate::record::Change;

/// An instance's copy of the configuration.
///
/// Invariants: once set, the revision of the copy never decreases; a key that was seen
/// withdrawn is withdrawn in every later copy; `confirmed_at_ms` never decreases.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FeedState {
    current: Option<Arc<Configuration>>,
    /// All keys that were ever seen withdrawn, also those that the copy does not hold.
    withdrawn: BTreeSet<KeyHash>,
    confirmed_at_ms: Option<u64>,
}

impl FeedState {
    /// A state without a copy.
    pub fn new() -> FeedState {
        FeedState::default()
    }

    /// The copy in use, `None` before the first.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// The revision of the copy in use, `None` before the first.
    pub fn revision(&self) -> Option<u64> {
        self.current.as_ref().map(|current| current.revision)
    }

    /// Whether a configuration at `revision` would be newer than the copy, or there is
    /// none.
    pub fn is_behind(&self, revision: u64) -> bool {
        self.revision().is_none_or(|current| current < revision)
    }

    /// Replaces the copy by `configuration`, read from the store or received from a peer,
    /// if that is newer. From one that is not newer, only the withdrawals of keys are
    /// taken. Returns the new copy if anything changed.
    pub fn offer(&mut self, configuration: Configuration) -> Option<Arc<Configuration>> {
        let before = self.withdrawn.len();
        self.record_withdrawals(&configuration);
        if self.is_behind(configuration.revision) {
            return Some(self.replace_copy(configuration));
        }
        match self.withdrawn.len() > before {
            true => self.reapply_withdrawals(),
            false => None,
        }
    }

    /// Applies changes that a watch delivered. Those not newer than the copy are skipped,
    /// and all are skipped if there is no copy. Returns the new copy if anything changed.
    pub fn apply(&mut self, changes: &[Change]) -> Option<Arc<Configuration>> {
        let current = self.current.as_ref()?;
        let newer: Vec<&Change> = changes
            .iter()
            .filter(|change| change.revision() > current.revision)
            .collect();
        if newer.is_empty() {
            return None;
        }
        let mut next = Configuration::clone(current);
        newer
            .into_iter()
            .for_each(|change| layout::apply(&mut next, change));
        self.record_withdrawals(&next);
        Some(self.replace_copy(next))
    }

    /// Marks a key as withdrawn in this and all later copies, before the store reports
    /// it. Returns a new copy if there is one and the key was not known as withdrawn.
    pub fn withdraw(&mut self, hash: KeyHash) -> Option<Arc<Configuration>> {
        match self.withdrawn.insert(hash) {
            true => self.reapply_withdrawals(),
            false => None,
        }
    }

    /// The keys that are known as withdrawn but have no record in the copy.
    pub fn withdrawn_without_record(&self) -> Vec<KeyHash> {
        let has_record = |hash: &KeyHash| {
            let current = self.current.as_ref();
            current.is_some_and(|current| current.keys.contains_key(hash))
        };
        let without_record = self.withdrawn.iter().filter(|hash| !has_record(hash));
        without_record.copied().collect()
    }

    /// Records that the store held nothing newer than `revision` at `at_ms`, the time at
    /// which it was asked. This confirms the copy as current at that time; it has no
    /// effect if the copy is older than `revision`.
    pub fn confirm_current(&mut self, revision: u64, at_ms: u64) {
        if !self.is_behind(revision) {
            self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
        }
    }

    /// The latest time, by the caller's clock, at which the store is known to have held
    /// nothing newer than the copy. `None` if that was never known.
    pub fn confirmed_at_ms(&self) -> Option<u64> {
        self.confirmed_at_ms
    }

    /// Adds the keys that are withdrawn in `configuration` to those known as withdrawn.
    fn record_withdrawals(&mut self, configuration: &Configuration) {
        let withdrawn = configuration.keys.iter().filter(|(_, key)| key.withdrawn);
        self.withdrawn.extend(withdrawn.map(|(hash, _)| *hash));
    }

    /// Makes a new copy at the same revision that shows all known withdrawals. `None` if
    /// there is no copy.
    fn reapply_withdrawals(&mut self) -> Option<Arc<Configuration>> {
        let current = self.current.as_ref()?;
        let next = Configuration::clone(current);
        Some(self.replace_copy(next))
    }

    /// Makes `next` the copy in use, with all known withdrawals applied.
    fn replace_copy(&mut self, mut next: Configuration) -> Arc<Configuration> {
        for hash in &self.withdrawn {
            if let Some(key) = next.keys.get_mut(hash) {
                key.withdrawn = true;
            }
        }
        let next = Arc::new(next);
        self.current = Some(Arc::clone(&next));
        next
    }
}
