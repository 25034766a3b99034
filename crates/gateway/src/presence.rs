//! Tracks which entry instances of an availability zone can reach the zone's member.
//!
//! Guards against a partition that cuts off most entry instances of a zone individually. The load
//! balancer ignores readiness in a zone with fewer than half of its instances ready and uses
//! all of them, so most attempts of callers would reach an instance that can't serve them. If
//! the remaining instances report that they are not ready either, the load balancer sends the
//! zone's callers to the nearest zones, where all requests are served.

use std::collections::HashMap;

use jayreel_ledger::ZonePresence;

/// Interval between the presence messages of an entry instance to the member of its zone, in
/// milliseconds.
pub const PRESENCE_INTERVAL_MS: u64 = 400;

/// Time without a message after which an entry instance counts as absent, in milliseconds: two
/// messages are missing. A restart takes less.
const ABSENT_AFTER_MS: u64 = 1_200;

/// Time without a message after which an entry instance counts as removed from the zone, in
/// milliseconds: twice the duration of the partitions that the users describe. Instances that
/// were replaced must not count as absent for long.
const REMOVE_AFTER_MS: u64 = 30_000;

/// The entry instances of one zone, as tracked by the zone's member.
#[derive(Debug, Default)]
pub struct PresenceTracker {
    /// Time of the last message, by the name of the instance.
    last_message_ms: HashMap<String, u64>,
}

impl PresenceTracker {
    /// Records a presence message of an entry instance. Returns the number of instances known and
    /// present in the zone, this one included.
    pub fn record_message(&mut self, now_ms: u64, instance: &str) -> ZonePresence {
        self.last_message_ms.insert(instance.to_string(), now_ms);
        self.last_message_ms
            .retain(|_, last_message_ms| now_ms < *last_message_ms + REMOVE_AFTER_MS);
        let times = self.last_message_ms.values();
        let present =
            times.filter(|last_message_ms| now_ms < **last_message_ms + ABSENT_AFTER_MS);
        ZonePresence {
            known: u32::try_from(self.last_message_ms.len()).unwrap_or(u32::MAX),
            present: u32::try_from(present.count()).unwrap_or(u32::MAX),
        }
    }
}

/// Whether fewer than half of a zone's entry instances are present, so that its callers are
/// better served in other zones.
pub fn is_majority_absent(presence: ZonePresence) -> bool {
    presence.present.saturating_mul(2) < presence.known
}
