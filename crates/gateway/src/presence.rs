//! Which entry instances of an availability zone are in contact with it.
//!
//! Answers the pattern of a zone of which most entry instances are cut off, each alone. The balancer
//! uses all instances of a zone of which fewer than half are ready, so most attempts of callers meet
//! one that cannot serve. If the few that can are not ready either, the balancer sends the zone's
//! callers to the nearest zones, where all are served.

use std::collections::HashMap;

use jayreel_ledger::ZonePresence;

/// Pause between two messages of an entry instance to the member of its zone, in milliseconds.
pub const PRESENCE_INTERVAL_MS: u64 = 400;

/// An entry instance that has sent nothing for this time is away, in milliseconds: two messages
/// are missing. Restarts take less.
const AWAY_AFTER_MS: u64 = 1_200;

/// An entry instance that has sent nothing for this time has left for good, in milliseconds: twice
/// the cuts that the users describe. Those that were replaced must not count for long.
const FORGET_AFTER_MS: u64 = 30_000;

/// What a member knows of the entry instances of its zone.
#[derive(Debug, Default)]
pub struct PresenceTracker {
    heard_ms: HashMap<String, u64>,
}

impl PresenceTracker {
    /// An entry instance sends a message. Returns how many there are.
    pub fn record_message(&mut self, now_ms: u64, instance: &str) -> ZonePresence {
        self.heard_ms.insert(instance.to_string(), now_ms);
        self.heard_ms
            .retain(|_, heard_ms| now_ms < *heard_ms + FORGET_AFTER_MS);
        let times = self.heard_ms.values();
        let present = times.filter(|heard_ms| now_ms < **heard_ms + AWAY_AFTER_MS);
        ZonePresence {
            known: u32::try_from(self.heard_ms.len()).unwrap_or(u32::MAX),
            present: u32::try_from(present.count()).unwrap_or(u32::MAX),
        }
    }
}

/// Whether callers of a zone are better served by other zones.
pub fn is_majority_absent(presence: ZonePresence) -> bool {
    presence.present.saturating_mul(2) < presence.known
}
