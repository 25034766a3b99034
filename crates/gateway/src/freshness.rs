//! Proof that the configuration in hand was recently the newest.
//!
//! A key may have been withdrawn since the last proof. A request is admitted only if it
//! came less than the agreed time after the proof: then its key was still valid so shortly
//! before that the request may run. A read that may be stale, or a watch that tells nothing,
//! is no proof.

/// The last proof.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    proven_at_ms: Option<u64>,
}

/// What may pass between the caller's sending and the arrival, and in the precision of the
/// clocks, in milliseconds: two ways between the farthest zones and one late timer.
const MARGIN_MS: u64 = 150;

impl Freshness {
    /// The configuration was the newest when a read that returned it began.
    pub fn prove(&mut self, read_began_ms: u64) {
        self.proven_at_ms = self.proven_at_ms.max(Some(read_began_ms));
    }

    /// Age of the proof in milliseconds, or none without one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let proven_at_ms = self.proven_at_ms?;
        Some(now_ms.saturating_sub(proven_at_ms))
    }

    /// Whether requests with keys may be admitted.
    pub fn admits(&self, now_ms: u64, revocation_ms: u64) -> bool {
        let age_ms = self.age_ms(now_ms);
        age_ms.is_some_and(|age_ms| age_ms + MARGIN_MS < revocation_ms)
    }
}
