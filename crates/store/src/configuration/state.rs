//! The copy of the configuration that an instance holds, without I/O or clock.

use std::collections::BTreeSet;
use std::sync::Arc;

use jayreel_model::{Configuration, KeyHash};

use crate::configuration::layout;
use crate::record::Change;

/// An instance's copy of the configuration.
///
/// Invariants: once set, the revision of the copy never decreases; a key that was seen
/// withdrawn is withdrawn in every later copy; `vouched_at_ms` never decreases.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FeedState {
    current: Option<Arc<Configuration>>,
    withdrawn: BTreeSet<KeyHash>,
    vouched_at_ms: Option<u64>,
}

impl FeedState {
    /// No copy yet.
    pub fn new() -> FeedState {
        FeedState::default()
    }

    /// The copy in force.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// The revision of the copy in force, `None` before the first.
    pub fn revision(&self) -> Option<u64> {
        self.current.as_ref().map(|current| current.revision)
    }

    /// Whether a copy of revision `revision` would be newer.
    pub fn is_behind(&self, revision: u64) -> bool {
        self.revision().is_none_or(|current| current < revision)
    }

    /// Takes a whole copy from the store or a peer. One with a lower revision is not
    /// applied, but its withdrawals are. Returns the new copy if anything changed.
    pub fn offer(&mut self, configuration: Configuration) -> Option<Arc<Configuration>> {
        let before = self.withdrawn.len();
        self.learn_withdrawals(&configuration);
        if self.is_behind(configuration.revision) {
            return Some(self.set(configuration));
        }
        match self.withdrawn.len() > before {
            true => self.refresh(),
            false => None,
        }
    }

    /// Applies changes seen by a watch. Those not newer than the copy are skipped.
    /// Returns the new copy if anything changed.
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
        self.learn_withdrawals(&next);
        Some(self.set(next))
    }

    /// Withdraws a key ahead of the store. Returns the new copy if it held the key.
    pub fn withdraw(&mut self, hash: KeyHash) -> Option<Arc<Configuration>> {
        match self.withdrawn.insert(hash) {
            true => self.refresh(),
            false => None,
        }
    }

    /// Keys that are withdrawn but have no record in the copy.
    pub fn withdrawn_without_record(&self) -> Vec<KeyHash> {
        let shows = |hash: &KeyHash| {
            let current = self.current.as_ref();
            current.is_some_and(|current| current.keys.contains_key(hash))
        };
        let hidden = self.withdrawn.iter().filter(|hash| !shows(hash));
        hidden.copied().collect()
    }

    /// Records that the store held nothing newer than `revision` at `at_ms`, the time at
    /// which it was asked. Has no effect if the copy is older than `revision`.
    pub fn vouch(&mut self, revision: u64, at_ms: u64) {
        if !self.is_behind(revision) {
            self.vouched_at_ms = self.vouched_at_ms.max(Some(at_ms));
        }
    }

    /// The newest time at which the store is known to have held nothing newer.
    pub fn vouched_at_ms(&self) -> Option<u64> {
        self.vouched_at_ms
    }

    fn learn_withdrawals(&mut self, configuration: &Configuration) {
        let withdrawn = configuration.keys.iter().filter(|(_, key)| key.withdrawn);
        self.withdrawn.extend(withdrawn.map(|(hash, _)| *hash));
    }

    fn refresh(&mut self) -> Option<Arc<Configuration>> {
        let current = self.current.as_ref()?;
        let next = Configuration::clone(current);
        Some(self.set(next))
    }

    fn set(&mut self, mut next: Configuration) -> Arc<Configuration> {
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
