//! Failure detector for the group, as seen by one entry instance.
//!
//! A network partition can separate an entry instance, or a whole availability zone, from the
//! group while callers still reach it. Every turn would then wait for a quorum that can't
//! respond. An instance in this state refuses turns at once and fails its readiness check, so
//! that the load balancer sends callers to other instances.
//!
//! The Retry-After of such a refusal depends on how far the partition reaches:
//!
//! * If the member in the instance's own zone still responds, the whole zone is cut off.
//!   Callers wait until the load balancer sends them to another zone.
//! * If neither a member nor the store responds, only this instance is cut off. The next
//!   attempt probably reaches another instance, so a longer wait would only cost time.
//! * If the store responds but a quorum does not, members are down for all instances. Callers
//!   wait for the members to recover.

/// Time without a response from a quorum after which the group counts as lost, in
/// milliseconds. Several probes have failed by then. The restart of one member doesn't count
/// as a loss.
const LOST_AFTER_MS: u64 = 450;

/// Time without a response from a quorum after which the instance reports that it is not
/// ready, in milliseconds. Shorter than [`LOST_AFTER_MS`], because a false alarm is harmless:
/// the load balancer acts only on two failed checks a second apart.
const UNREADY_AFTER_MS: u64 = 300;

/// Time without a quorum after which the load balancer sends new connections to other
/// instances, in milliseconds. It acts on two failed checks a second apart.
const ROTATION_DELAY_MS: u64 = 2_300;

/// Upper bound of the Retry-After without a quorum, in milliseconds. Callers make few
/// attempts; with this interval the last ones come after the load balancer has acted.
const MAX_RETRY_AFTER_MS: u64 = 900;

/// Retry-After if the next attempt probably reaches another instance, in milliseconds: long
/// enough to open a new connection.
const OTHER_INSTANCE_RETRY_AFTER_MS: u64 = 100;

/// Time without a quorum after which an instance that receives no response from any member
/// considers itself the only one that is cut off, in milliseconds. By then it has tried to read
/// the configuration from the store, since no member sends it, so a response of the store would
/// be known.
const ISOLATED_AFTER_MS: u64 = 1_200;

/// Retry-After of an instance that has received no responses from a quorum since its start, in
/// milliseconds: about the time that a member killed at the same moment needs to read its
/// disk.
const STARTUP_RETRY_AFTER_MS: u64 = 250;

/// Times of the last responses from the group and the store, from [`now_ms`](crate::now_ms).
/// None before the first response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupContact {
    last_quorum_ms: Option<u64>,
    last_member_ms: Option<u64>,
    last_store_ms: Option<u64>,
}

impl GroupContact {
    /// Records responses from a quorum of the members.
    pub fn record_quorum_response(&mut self, now_ms: u64) {
        self.last_quorum_ms = self.last_quorum_ms.max(Some(now_ms));
        self.record_member_response(now_ms);
    }

    /// Records a response from one member.
    pub fn record_member_response(&mut self, now_ms: u64) {
        self.last_member_ms = self.last_member_ms.max(Some(now_ms));
    }

    /// Records a response from the metadata store.
    pub fn record_store_response(&mut self, now_ms: u64) {
        self.last_store_ms = self.last_store_ms.max(Some(now_ms));
    }

    /// Whether the store has responded since the quorum was lost.
    fn has_store_responded_since_loss(&self) -> bool {
        let lost_ms = self
            .last_quorum_ms
            .map(|last_quorum_ms| last_quorum_ms + LOST_AFTER_MS);
        self.last_store_ms > lost_ms
    }

    /// Time since a quorum last responded, in milliseconds. None if it never did.
    pub fn silence_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.last_quorum_ms?))
    }

    /// Whether a quorum can be expected to respond.
    pub fn has_quorum(&self, now_ms: u64) -> bool {
        let silence_ms = self.silence_ms(now_ms);
        silence_ms.is_some_and(|silence_ms| silence_ms < LOST_AFTER_MS)
    }

    /// Whether the readiness check should succeed as far as the group is concerned.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let silence_ms = self.silence_ms(now_ms);
        silence_ms.is_some_and(|silence_ms| silence_ms < UNREADY_AFTER_MS)
    }

    /// Whether at least one member can be expected to respond.
    pub fn has_member(&self, now_ms: u64) -> bool {
        let last_member_ms = self.last_member_ms;
        last_member_ms
            .is_some_and(|last_member_ms| now_ms < last_member_ms + LOST_AFTER_MS)
    }

    /// Whether the load balancer has stopped sending new connections to this instance by now,
    /// judged by the time without a quorum.
    pub fn is_out_of_rotation(&self, now_ms: u64) -> bool {
        let silence_ms = self.silence_ms(now_ms);
        silence_ms.is_some_and(|silence_ms| silence_ms >= ROTATION_DELAY_MS)
    }

    /// Retry-After for callers refused for lack of a quorum, in milliseconds. If the next
    /// attempt would reach the same zone again, it is the time until the load balancer acts.
    /// `zone_has_member` says whether the group has a member in this instance's availability
    /// zone.
    pub fn retry_after_ms(&self, now_ms: u64, zone_has_member: bool) -> u64 {
        match self.silence_ms(now_ms) {
            None => STARTUP_RETRY_AFTER_MS,
            Some(_) if self.has_store_responded_since_loss() => MAX_RETRY_AFTER_MS,
            Some(silence_ms)
                if zone_has_member
                    && !self.has_member(now_ms)
                    && silence_ms >= ISOLATED_AFTER_MS =>
            {
                OTHER_INSTANCE_RETRY_AFTER_MS
            }
            Some(silence_ms) => ROTATION_DELAY_MS
                .saturating_sub(silence_ms)
                .clamp(OTHER_INSTANCE_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }
}
