//! Tracks when the configuration in use was last known to be the newest.
//!
//! A key may have been revoked since that time. A request is admitted only if it arrived
//! within the agreed time after the last confirmation: its key was then valid so recently that the
//! request may run. Only a linearizable read confirms it; a stale read or a watch without
//! events does not.

/// Time of the last confirmation that the configuration in use is the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    confirmed_at_ms: Option<u64>,
}

/// Allowance for the time between the caller's sending and the arrival of a request, and for
/// clock precision, in milliseconds: two network trips between the farthest zones and one late
/// timer.
const TRANSIT_MARGIN_MS: u64 = 150;

impl Freshness {
    /// Records that a linearizable read, begun at `read_began_ms`, returned the configuration in
    /// use. Older reads than the last one are ignored.
    pub fn confirm(&mut self, read_began_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(read_began_ms));
    }

    /// Age of the last confirmation, in milliseconds. None if there is none yet.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_at_ms = self.confirmed_at_ms?;
        Some(now_ms.saturating_sub(confirmed_at_ms))
    }

    /// Whether requests that need a key may be admitted. `revocation_ms` is the agreed time
    /// within which a revoked key must stop working.
    pub fn admits(&self, now_ms: u64, revocation_ms: u64) -> bool {
        let age_ms = self.age_ms(now_ms);
        age_ms.is_some_and(|age_ms| age_ms + TRANSIT_MARGIN_MS < revocation_ms)
    }
}
