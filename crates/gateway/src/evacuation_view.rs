//! The newest set of evacuated zones that an instance knows, without I/O.
//!
//! Load addressed: while the operator evacuates an availability zone, up to some hundred
//! instances must learn of it within seconds, although each of them may be cut off from the
//! metadata store, read an older copy from another instance, or find thousands of meaningless
//! keys. Sets are ordered by the revision of the store at which they were read, so that an older
//! copy never undoes a newer one, and the last known set stays in force until a newer read
//! replaces it.

use std::collections::BTreeSet;

use jayreel_ledger::SharedEvacuations;

use crate::directory::Evacuations;

/// Longest name of a zone, in bytes. Endpoints cannot register with a longer one.
const MAX_ZONE_NAME_BYTES: usize = 256;

/// Largest number of zones that are kept and sent to other instances: far more than a deployment
/// has, and few enough that a message to each entry instance every second costs little.
const MAX_ZONES: usize = 128;

/// The newest set of evacuated zones, and when a read last confirmed it.
#[derive(Clone, Debug, Default)]
pub struct EvacuationView {
    /// Store revision of the set. 0 before the first one.
    revision: u64,
    /// The names of the zones. At most `MAX_ZONES` and those in use, none longer than
    /// `MAX_ZONE_NAME_BYTES`.
    zones: BTreeSet<String>,
    /// Names that the last read contained and that were left out.
    ignored: usize,
    /// When the newest read of a set that was applied began. `None` before the first one.
    confirmed_at_ms: Option<u64>,
}

impl EvacuationView {
    /// Applies the result of a read that began at `read_began_ms`. Ignores it if a read at a later
    /// revision of the store is known. Returns whether anything changed.
    ///
    /// Names that cannot belong to a zone are left out. If there are too many names, those of
    /// zones in use are kept first. A read that is not complete removes no zone.
    pub fn apply(
        &mut self,
        read_began_ms: u64,
        read: Evacuations,
        is_in_use: impl Fn(&str) -> bool,
    ) -> bool {
        if self.confirmed_at_ms.is_some() && read.revision < self.revision {
            return false;
        }
        self.revision = read.revision;
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(read_began_ms));
        let listed = read.zones.len();
        let valid = |name: &String| !name.is_empty() && name.len() <= MAX_ZONE_NAME_BYTES;
        let mut zones: BTreeSet<String> = read.zones.into_iter().filter(valid).collect();
        let mut ignored = listed - zones.len();
        if !read.is_complete {
            zones.extend(self.zones.iter().cloned());
        }
        if zones.len() > MAX_ZONES {
            let (mut kept, others): (BTreeSet<String>, BTreeSet<String>) =
                zones.into_iter().partition(|zone| is_in_use(zone));
            let room = MAX_ZONES.saturating_sub(kept.len());
            ignored += others.len().saturating_sub(room);
            kept.extend(others.into_iter().take(room));
            zones = kept;
        }
        let has_changed = zones != self.zones || ignored != self.ignored;
        self.zones = zones;
        self.ignored = ignored;
        has_changed
    }

    /// The names of the evacuated zones. They need not exist.
    pub fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// Number of names in the last read that were left out.
    pub fn ignored(&self) -> usize {
        self.ignored
    }

    /// Time since the newest read began, in milliseconds. `None` before the first one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_at_ms = self.confirmed_at_ms?;
        Some(now_ms.saturating_sub(confirmed_at_ms))
    }

    /// The set for another instance. `None` before the first read.
    pub fn share(&self, now_ms: u64) -> Option<SharedEvacuations> {
        Some(SharedEvacuations {
            revision: self.revision,
            age_ms: self.age_ms(now_ms)?,
            zones: self.zones.iter().cloned().collect(),
        })
    }
}

impl From<SharedEvacuations> for Evacuations {
    fn from(shared: SharedEvacuations) -> Evacuations {
        Evacuations {
            revision: shared.revision,
            zones: shared.zones,
            is_complete: true,
        }
    }
}
