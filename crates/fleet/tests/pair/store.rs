//! The store: home weights and registrations.

use jayreel_fleet::RegisteredInstance;
use jayreel_quota::home_weights::HomeRecord;
use std::collections::BTreeMap;

/// A store that is cut off at one call.
pub(super) struct Store {
    record: HomeRecord,
    version: u64,
    registered: BTreeMap<String, RegisteredInstance>,
    calls: usize,
    cut_at: Option<usize>,
    last_call_counts: bool,
    /// Whether the call at the cut was a write.
    cut_at_write: bool,
}

impl Store {
    pub fn new(cut_at: Option<usize>, last_call_counts: bool) -> Store {
        Store {
            record: HomeRecord::default(),
            version: 0,
            registered: BTreeMap::new(),
            calls: 0,
            cut_at,
            last_call_counts,
            cut_at_write: false,
        }
    }

    pub fn calls(&self) -> usize {
        self.calls
    }

    pub fn is_cut(&self) -> bool {
        self.cut_at.is_some_and(|cut_at| self.calls > cut_at)
    }

    pub fn is_cut_at_write(&self) -> bool {
        self.cut_at_write
    }

    pub fn register(&mut self, entry: RegisteredInstance) -> bool {
        let (takes_effect, answered) = self.call(true);
        if takes_effect {
            let name = entry.incarnation.instance.clone();
            self.registered.insert(name, entry);
        }
        answered
    }

    pub fn registrations(&mut self) -> Option<Vec<RegisteredInstance>> {
        let (_, answered) = self.call(false);
        answered.then(|| self.registered.values().cloned().collect())
    }

    pub fn home(&mut self) -> Option<(HomeRecord, u64)> {
        let (_, answered) = self.call(false);
        answered.then(|| (self.record.clone(), self.version))
    }

    /// Whether the write was accepted. `None` without an answer.
    pub fn write_home(&mut self, record: HomeRecord, version: u64) -> Option<bool> {
        let (takes_effect, answered) = self.call(true);
        let accepted = takes_effect && version == self.version;
        if accepted {
            self.record = record;
            self.version += 1;
        }
        answered.then_some(accepted)
    }

    /// Whether the next call takes effect, and whether it is answered.
    fn call(&mut self, is_write: bool) -> (bool, bool) {
        if self.is_cut() {
            return (false, false);
        }
        self.calls += 1;
        if !self.is_cut() {
            return (true, true);
        }
        self.cut_at_write = is_write;
        (self.last_call_counts, false)
    }
}
