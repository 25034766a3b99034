//! A store in memory that holds the home weights and the registrations.

use jayreel_fleet::RegisteredInstance;
use jayreel_quota::home_weights::HomeRecord;
use std::collections::BTreeMap;

/// A store that becomes unreachable at one request.
pub(super) struct SimulatedStore {
    record: HomeRecord,
    version: u64,
    registered: BTreeMap<String, RegisteredInstance>,
    request_count: usize,
    outage_at_request: Option<usize>,
    last_request_takes_effect: bool,
    /// Whether the request at which the outage began was a write.
    outage_at_write: bool,
}

impl SimulatedStore {
    pub fn new(
        outage_at_request: Option<usize>,
        last_request_takes_effect: bool,
    ) -> SimulatedStore {
        SimulatedStore {
            record: HomeRecord::default(),
            version: 0,
            registered: BTreeMap::new(),
            request_count: 0,
            outage_at_request,
            last_request_takes_effect,
            outage_at_write: false,
        }
    }

    pub fn request_count(&self) -> usize {
        self.request_count
    }

    /// Whether the outage has begun.
    pub fn is_unreachable(&self) -> bool {
        self.outage_at_request
            .is_some_and(|outage_at_request| self.request_count > outage_at_request)
    }

    pub fn is_outage_at_write(&self) -> bool {
        self.outage_at_write
    }

    /// Writes a registration. Returns whether the request was answered.
    pub fn register(&mut self, entry: RegisteredInstance) -> bool {
        let (takes_effect, answered) = self.request(true);
        if takes_effect {
            let name = entry.incarnation.instance.clone();
            self.registered.insert(name, entry);
        }
        answered
    }

    pub fn registrations(&mut self) -> Option<Vec<RegisteredInstance>> {
        let (_, answered) = self.request(false);
        answered.then(|| self.registered.values().cloned().collect())
    }

    pub fn home(&mut self) -> Option<(HomeRecord, u64)> {
        let (_, answered) = self.request(false);
        answered.then(|| (self.record.clone(), self.version))
    }

    /// Replaces the home weights if the record still has this version. Returns whether it
    /// did, or `None` without an answer.
    pub fn write_home(&mut self, record: HomeRecord, version: u64) -> Option<bool> {
        let (takes_effect, answered) = self.request(true);
        let accepted = takes_effect && version == self.version;
        if accepted {
            self.record = record;
            self.version += 1;
        }
        answered.then_some(accepted)
    }

    /// Counts a request. Returns whether it takes effect, and whether it is answered.
    fn request(&mut self, is_write: bool) -> (bool, bool) {
        if self.is_unreachable() {
            return (false, false);
        }
        self.request_count += 1;
        if !self.is_unreachable() {
            return (true, true);
        }
        self.outage_at_write = is_write;
        (self.last_request_takes_effect, false)
    }
}
