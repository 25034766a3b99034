//! Tracks for how long the owners of home weights have not been registered.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::Incarnation;

use crate::home_weights::HomeRecord;

/// Longest time between two reads of the registrations that counts as uninterrupted. It
/// is below the registration TTL of 10 s, so a registration that appeared and disappeared
/// between two reads cannot be missed.
const MAX_READ_GAP_MS: u64 = 5_000;

/// Time added to the home term before an entry may be reclaimed. It covers differences in
/// clock rates, and loans and calls that the owner granted or took at the end of its
/// term.
const RECLAIM_MARGIN_MS: u64 = 60_000;

/// Finds entries of the home weight record whose owner has not been registered for longer
/// than its home term.
///
/// Uses only this instance's clock and its own reads of the store. A gap between reads
/// restarts the count.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AbsenceTracker {
    max_read_gap_ms: u64,
    margin_ms: u64,
    last_read_ms: Option<u64>,
    absent_since_ms: BTreeMap<Incarnation, u64>,
}

impl Default for AbsenceTracker {
    fn default() -> AbsenceTracker {
        AbsenceTracker::with_limits(MAX_READ_GAP_MS, RECLAIM_MARGIN_MS)
    }
}

impl AbsenceTracker {
    /// Creates a tracker with other limits than the defaults. `max_read_gap_ms` is the
    /// longest time between two reads and must be below the registration TTL. `margin_ms`
    /// is added to the home term and must cover one loan term with its margins.
    pub fn with_limits(max_read_gap_ms: u64, margin_ms: u64) -> AbsenceTracker {
        AbsenceTracker {
            max_read_gap_ms,
            margin_ms,
            last_read_ms: None,
            absent_since_ms: BTreeMap::new(),
        }
    }

    /// Records a read of the registrations that was sent at `now_ms`. Call it for each
    /// successful read, with the newest home weight record.
    pub fn observe(
        &mut self,
        now_ms: u64,
        record: &HomeRecord,
        registered: &BTreeMap<String, Incarnation>,
    ) {
        let in_contact = self.last_read_ms.is_some_and(|read_ms| {
            now_ms.saturating_sub(read_ms) <= self.max_read_gap_ms
        });
        if !in_contact {
            self.absent_since_ms.clear();
        }
        self.last_read_ms = Some(now_ms);
        let mut absent = BTreeMap::new();
        for entry in record.weights.values() {
            let incarnation = &entry.incarnation;
            if registered.get(&incarnation.instance) != Some(incarnation) {
                let since_ms = self.absent_since_ms.get(incarnation).copied();
                absent.insert(incarnation.clone(), since_ms.unwrap_or(now_ms));
            }
        }
        self.absent_since_ms = absent;
    }

    /// Owners that, as of the last read, have been absent for the home term plus margin.
    pub fn reclaimable(&self, home_term_ms: u64) -> BTreeSet<Incarnation> {
        let limit_ms = home_term_ms.saturating_add(self.margin_ms);
        let last_read_ms = self.last_read_ms.unwrap_or(0);
        self.absent_since_ms
            .iter()
            .filter(|(_, since_ms)| last_read_ms.saturating_sub(**since_ms) >= limit_ms)
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }
}
