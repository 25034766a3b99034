//! Whether an entry instance is in contact with the group of instances with disks.
//!
//! Answers the pattern of an instance, or of a whole availability zone, that is cut off from
//! the group while callers still reach it: every turn waits for a quorum that cannot answer.
//! Such an instance refuses turns at once and reports that it is not ready, so that callers
//! are sent elsewhere.

/// Without an answer of a quorum for this long, in milliseconds, the contact is lost. Several
/// questions have failed by then; a member that restarts does not take it away.
const LOST_AFTER_MS: u64 = 450;

/// Without an answer of a quorum for this long, in milliseconds, the instance is not ready.
/// It may be wrong about that, since the balancer acts only on two looks a second apart.
const UNREADY_AFTER_MS: u64 = 300;

/// Shortest Retry-After without contact, in milliseconds. Callers come back only a few times,
/// and the balancer needs about two seconds to send them elsewhere.
const LEAST_RETRY_MS: u64 = 600;

/// Longest Retry-After without contact, in milliseconds: the balancer has sent new
/// connections elsewhere by the second attempt.
const MOST_RETRY_MS: u64 = 900;

/// The last answers of the group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Contact {
    quorum_ms: Option<u64>,
    member_ms: Option<u64>,
}

impl Contact {
    /// A quorum answered.
    pub fn note_quorum(&mut self, now_ms: u64) {
        self.quorum_ms = self.quorum_ms.max(Some(now_ms));
        self.note_member(now_ms);
    }

    /// A member answered.
    pub fn note_member(&mut self, now_ms: u64) {
        self.member_ms = self.member_ms.max(Some(now_ms));
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

    /// When a caller may come back, in milliseconds. The longer the silence has lasted, the
    /// longer it will probably last.
    pub fn retry_ms(&self, now_ms: u64) -> u64 {
        let silence_ms = self.silence_ms(now_ms).unwrap_or(MOST_RETRY_MS);
        silence_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS)
    }
}
