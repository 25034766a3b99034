//! Whether an entry instance is in contact with the group of instances with disks.
//!
//! Answers the pattern of an instance, or of a whole availability zone, that is cut off from
//! the group while callers still reach it: every turn waits for a quorum that cannot answer.
//! Such an instance refuses turns at once and reports that it is not ready, so that callers
//! are sent elsewhere.
//!
//! When they should come back depends on who else is cut off. If the member of the own zone still
//! answers, the whole zone is, and callers need the time until the balancer sends them to another
//! one. If no member does, nor the store, the instance is alone, and the next attempt probably
//! reaches another instance, so that a pause only costs time. If the store answers and a quorum does
//! not, members are down for all instances, and callers need the time until they are back.

/// Without an answer of a quorum for this long, in milliseconds, the contact is lost. Several
/// questions have failed by then; a member that restarts does not take it away.
const LOST_AFTER_MS: u64 = 450;

/// Without an answer of a quorum for this long, in milliseconds, the instance is not ready.
/// It may be wrong about that, since the balancer acts only on two looks a second apart.
const UNREADY_AFTER_MS: u64 = 300;

/// After this time without contact, in milliseconds, the balancer sends new connections
/// elsewhere: it acts on two looks a second apart.
const BALANCER_MS: u64 = 2_300;

/// Longest Retry-After without contact, in milliseconds: with the few attempts that callers have,
/// the last ones come after the balancer has acted.
const MOST_RETRY_MS: u64 = 900;

/// Retry-After if the next attempt probably reaches another instance, in milliseconds: enough for
/// a new connection.
const ELSEWHERE_RETRY_MS: u64 = 100;

/// Without an answer of anyone for this long an instance takes itself to be alone, in
/// milliseconds: by then it has called the store, since no member tells it the configuration.
const ALONE_AFTER_MS: u64 = 1_200;

/// Retry-After of an instance that has not heard from the group since its start, in milliseconds:
/// a member that was killed at the same time needs about as long to read its disk.
const START_RETRY_MS: u64 = 250;

/// The last answers of the group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupContact {
    quorum_ms: Option<u64>,
    member_ms: Option<u64>,
    store_ms: Option<u64>,
}

impl GroupContact {
    /// A quorum answered.
    pub fn note_quorum(&mut self, now_ms: u64) {
        self.quorum_ms = self.quorum_ms.max(Some(now_ms));
        self.note_member(now_ms);
    }

    /// A member answered.
    pub fn note_member(&mut self, now_ms: u64) {
        self.member_ms = self.member_ms.max(Some(now_ms));
    }

    /// The store answered.
    pub fn note_store(&mut self, now_ms: u64) {
        self.store_ms = self.store_ms.max(Some(now_ms));
    }

    /// Whether the store has answered since the quorum fell silent.
    fn has_heard_store_since_loss(&self) -> bool {
        let lost_ms = self.quorum_ms.map(|quorum_ms| quorum_ms + LOST_AFTER_MS);
        self.store_ms > lost_ms
    }

    /// Time since a quorum answered, in milliseconds.
    pub fn silence_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.quorum_ms?))
    }

    /// Whether a quorum can be expected to answer.
    pub fn has_quorum(&self, now_ms: u64) -> bool {
        let silence_ms = self.silence_ms(now_ms);
        silence_ms.is_some_and(|silence_ms| silence_ms < LOST_AFTER_MS)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let silence_ms = self.silence_ms(now_ms);
        silence_ms.is_some_and(|silence_ms| silence_ms < UNREADY_AFTER_MS)
    }

    /// Whether any member can be expected to answer.
    pub fn has_member(&self, now_ms: u64) -> bool {
        let member_ms = self.member_ms;
        member_ms.is_some_and(|member_ms| now_ms < member_ms + LOST_AFTER_MS)
    }

    /// Whether the balancer sends new connections elsewhere by now.
    pub fn is_out_of_rotation(&self, now_ms: u64) -> bool {
        let silence_ms = self.silence_ms(now_ms);
        silence_ms.is_some_and(|silence_ms| silence_ms >= BALANCER_MS)
    }

    /// When a caller may come back, in milliseconds: if the next attempt would reach this zone
    /// again, once the balancer has acted. `has_near_member` tells whether the group has a member
    /// in the own availability zone.
    pub fn retry_ms(&self, now_ms: u64, has_near_member: bool) -> u64 {
        match self.silence_ms(now_ms) {
            None => START_RETRY_MS,
            Some(_) if self.has_heard_store_since_loss() => MOST_RETRY_MS,
            Some(silence_ms)
                if has_near_member
                    && !self.has_member(now_ms)
                    && silence_ms >= ALONE_AFTER_MS =>
            {
                ELSEWHERE_RETRY_MS
            }
            Some(silence_ms) => BALANCER_MS
                .saturating_sub(silence_ms)
                .clamp(ELSEWHERE_RETRY_MS, MOST_RETRY_MS),
        }
    }
}
