//! The liveness of one peer by its heartbeats, with damping for peers that flap between
//! responding and not responding.

use crate::heartbeat::InstanceState;

/// Silence after which a peer is suspect and gets no new forwarded calls.
pub(crate) const SUSPECT_AFTER_MS: u64 = 2_000;

/// Silence after which a peer counts as dead for routing.
pub(crate) const DEAD_AFTER_MS: u64 = 10_000;

/// Consecutive responses that end a suspicion if the peer is not flapping.
const INITIAL_ANSWERS_NEEDED: u32 = 2;

/// Upper limit of the number of consecutive responses required.
const MAX_ANSWERS_NEEDED: u32 = 16;

/// A peer that returns from a silence within this time after its last recovery is
/// flapping. It then needs twice as many responses as the last time.
const FLAP_WINDOW_MS: u64 = 60_000;

/// How to treat a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Responds to heartbeats and may get new work.
    Alive,
    /// Has not responded for 10 s. It may still exist and own programs and shares.
    Dead,
    /// Responds to heartbeats, but has announced a planned stop or is listed as leaving.
    Leaving,
    /// Has not responded for 2 s, or responds again but not often enough yet.
    Suspect,
}

/// The heartbeat history of one process.
#[derive(Clone, Debug)]
pub(crate) struct PeerHealth {
    last_heard_ms: u64,
    state: InstanceState,
    /// Responses still needed to end the suspicion. 0 if the peer is not suspect. A new
    /// silence after the last response is not reflected here until the next response.
    answers_remaining: u32,
    answers_needed: u32,
    recovered_at_ms: Option<u64>,
}

impl PeerHealth {
    /// Creates the history of a peer that became known at `now_ms`. It is alive until it
    /// has been silent for [`SUSPECT_AFTER_MS`].
    pub(crate) fn new(now_ms: u64) -> PeerHealth {
        PeerHealth {
            last_heard_ms: now_ms,
            state: InstanceState::Starting,
            answers_remaining: 0,
            answers_needed: INITIAL_ANSWERS_NEEDED,
            recovered_at_ms: None,
        }
    }

    /// Records a heartbeat or a response to one.
    pub(crate) fn record_heartbeat(&mut self, now_ms: u64, state: InstanceState) {
        if now_ms.saturating_sub(self.last_heard_ms) >= SUSPECT_AFTER_MS {
            self.begin_recovery(now_ms);
        }
        self.last_heard_ms = self.last_heard_ms.max(now_ms);
        self.state = state;
        if self.answers_remaining > 0 {
            self.answers_remaining -= 1;
            if self.answers_remaining == 0 {
                self.complete_recovery(now_ms);
            }
        }
    }

    /// Starts counting the consecutive responses that the peer needs after a silence.
    fn begin_recovery(&mut self, now_ms: u64) {
        let is_flapping = self
            .recovered_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FLAP_WINDOW_MS);
        if !is_flapping {
            self.answers_needed = INITIAL_ANSWERS_NEEDED;
        }
        self.answers_remaining = self.answers_needed;
    }

    /// Ends the suspicion and doubles the number of responses for the next one, in case the
    /// peer is flapping.
    fn complete_recovery(&mut self, now_ms: u64) {
        self.answers_needed = (self.answers_needed * 2).min(MAX_ANSWERS_NEEDED);
        self.recovered_at_ms = Some(now_ms);
    }

    pub(crate) fn liveness(&self, now_ms: u64) -> Liveness {
        let silent_ms = now_ms.saturating_sub(self.last_heard_ms);
        match self.state {
            _ if silent_ms >= DEAD_AFTER_MS => Liveness::Dead,
            _ if silent_ms >= SUSPECT_AFTER_MS => Liveness::Suspect,
            _ if self.answers_remaining > 0 => Liveness::Suspect,
            InstanceState::Leaving => Liveness::Leaving,
            InstanceState::Serving | InstanceState::Starting => Liveness::Alive,
        }
    }
}
