//! The registrations in the store, and for how long a process has been absent from them.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::Incarnation;

/// Longest time between two reads that counts as uninterrupted contact with the store. It
/// is below the lease of a registration (10 s), so a registration that appeared and
/// disappeared between two reads cannot be missed.
const MAX_READ_GAP_MS: u64 = 5_000;

/// Largest number of absent incarnations for which the start of the absence is stored.
/// The others count as absent since the contact began, which is earlier.
const MAX_ABSENT_ENTRIES: usize = 10_000;

/// The registrations as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    present: BTreeMap<String, Incarnation>,
    /// For incarnations that were registered before: when the first read without them was
    /// sent.
    absent_since_ms: BTreeMap<Incarnation, u64>,
    /// When the first and the last read of the uninterrupted contact were sent. `None`
    /// before the first read.
    contact_ms: Option<(u64, u64)>,
}

impl Registrations {
    /// Records a read of all registrations that was sent at `sent_at_ms`.
    pub fn read(&mut self, sent_at_ms: u64, present: BTreeMap<String, Incarnation>) {
        let contact = self.contact_ms.filter(|(_, last_ms)| {
            sent_at_ms.saturating_sub(*last_ms) <= MAX_READ_GAP_MS
        });
        let since_ms = contact.map_or(sent_at_ms, |(since_ms, _)| since_ms);
        self.contact_ms = Some((since_ms, sent_at_ms));
        let now_present: BTreeSet<&Incarnation> = present.values().collect();
        self.absent_since_ms
            .retain(|incarnation, _| !now_present.contains(incarnation));
        for incarnation in self.present.values() {
            if !now_present.contains(incarnation) {
                self.absent_since_ms
                    .entry(incarnation.clone())
                    .or_insert(sent_at_ms);
            }
        }
        while self.absent_since_ms.len() > MAX_ABSENT_ENTRIES {
            self.absent_since_ms.pop_first();
        }
        self.present = present;
    }

    /// Whether the registrations have been read at least once.
    pub fn were_read(&self) -> bool {
        self.contact_ms.is_some()
    }

    /// Whether the last read is recent enough to tell which processes exist now.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.contact_ms
            .is_some_and(|(_, last_ms)| now_ms.saturating_sub(last_ms) <= MAX_READ_GAP_MS)
    }

    /// The registered processes, by instance name.
    pub fn present(&self) -> &BTreeMap<String, Incarnation> {
        &self.present
    }

    /// For how long an incarnation has been absent, in milliseconds of uninterrupted
    /// contact with the store up to the last read. `None` if it is registered, or if
    /// there is no contact at `now_ms`.
    pub fn absent_ms(&self, now_ms: u64, incarnation: &Incarnation) -> Option<u64> {
        let (contact_since_ms, last_ms) = self.contact_ms?;
        let is_present = self.present.get(&incarnation.instance) == Some(incarnation);
        if !self.is_current(now_ms) || is_present {
            return None;
        }
        let absent_since_ms = self.absent_since_ms.get(incarnation).copied();
        let since_ms = absent_since_ms
            .unwrap_or(contact_since_ms)
            .max(contact_since_ms);
        Some(last_ms.saturating_sub(since_ms))
    }
}
