//! The part of a planned stop that hands over the idempotency keys of calls without a
//! program.
//!
//! It begins when the stop is announced, not after the last call: a model call may run for
//! minutes, and until the keys have arrived the successors respond `unknown` to a repeated
//! key.

use std::collections::VecDeque;

use jayreel_model::Incarnation;
use jayreel_programs::KeyedHandover;

use crate::event::PeerMessage;
use crate::fleet::FleetState;

/// Time after which a part is sent again if it was not confirmed.
const KEYED_RESEND_MS: u64 = 2_000;

/// Number of attempts to send a part, after which all parts of its receiver are skipped so
/// that it cannot delay the stop. The receiver then responds `unknown`, as after a crash.
const MAX_ATTEMPTS: u32 = 5;

/// The same limit for a receiver that does not reply to heartbeats either. It allows one
/// retry, because a busy receiver may miss the heartbeats of 2 s.
const MAX_ATTEMPTS_IF_SILENT: u32 = 2;

/// Maximum number of keys in one message. The JSON of a key takes about 70 bytes.
const MAX_KEYS_PER_PART: usize = 5_000;

/// Progress of the handover of idempotency keys.
#[derive(Debug, Default)]
pub(crate) enum KeyedHandoverStage {
    /// No planned stop has begun, or calls with an idempotency key still run.
    #[default]
    NotStarted,
    /// The parts are sent one after the other, each after the previous one was confirmed.
    Sending(PendingParts),
    /// All parts were confirmed or skipped.
    Done,
}

/// The parts that have not been confirmed.
#[derive(Debug)]
pub(crate) struct PendingParts {
    parts: VecDeque<(Incarnation, KeyedHandover)>,
    /// When the first part was last sent. `None` if it was not sent yet.
    last_sent_ms: Option<u64>,
    /// How often the first part was sent.
    attempts: u32,
}

impl KeyedHandoverStage {
    pub(crate) fn is_done(&self) -> bool {
        matches!(self, KeyedHandoverStage::Done)
    }
}

impl PendingParts {
    /// Drops all parts for the receiver of the first part.
    fn skip_receiver(&mut self) {
        if let Some((receiver, _)) = self.parts.front().cloned() {
            self.parts.retain(|(to, _)| *to != receiver);
        }
        self.last_sent_ms = None;
        self.attempts = 0;
    }
}

impl FleetState {
    /// Starts the handover once no call with an idempotency key runs, and sends the next
    /// part if it is due.
    pub(crate) fn continue_keyed_handover(&mut self, now_ms: u64) {
        if !self.stop.started && !self.stop.serving_ended {
            return;
        }
        if matches!(self.stop.keyed, KeyedHandoverStage::NotStarted) {
            self.start_keyed_handover(now_ms);
        }
        self.send_keyed_part(now_ms);
    }

    fn start_keyed_handover(&mut self, now_ms: u64) {
        let successors = self.registered_peers();
        let exported = self.keyed.export(now_ms, successors, MAX_KEYS_PER_PART);
        match exported {
            Some(parts) => {
                self.stop.keyed = KeyedHandoverStage::Sending(PendingParts {
                    parts: parts.into(),
                    last_sent_ms: None,
                    attempts: 0,
                });
            }
            // A call with a key was cut off and has not ended. The stop does not wait for
            // it.
            None if self.stop.serving_ended => self.stop.keyed = KeyedHandoverStage::Done,
            None => {}
        }
    }

    /// Handles the confirmation of part number `part` by the instance `from`.
    pub(crate) fn keyed_part_confirmed(&mut self, now_ms: u64, from: &str, part: u32) {
        let KeyedHandoverStage::Sending(sending) = &mut self.stop.keyed else {
            return;
        };
        let is_first = sending
            .parts
            .front()
            .is_some_and(|(to, first)| to.instance == from && first.part == part);
        if is_first {
            sending.parts.pop_front();
            sending.last_sent_ms = None;
            sending.attempts = 0;
        }
        self.send_keyed_part(now_ms);
    }

    /// Sends the first unconfirmed part unless its last attempt is too recent.
    fn send_keyed_part(&mut self, now_ms: u64) {
        let live = self.live_peers();
        let KeyedHandoverStage::Sending(sending) = &mut self.stop.keyed else {
            return;
        };
        let is_sent_recently = sending
            .last_sent_ms
            .is_some_and(|ms| now_ms < ms + KEYED_RESEND_MS);
        if is_sent_recently {
            return;
        }
        let is_live = sending
            .parts
            .front()
            .is_some_and(|(to, _)| live.contains(&to.instance));
        let max_attempts = match is_live {
            true => MAX_ATTEMPTS,
            false => MAX_ATTEMPTS_IF_SILENT,
        };
        if sending.attempts >= max_attempts {
            sending.skip_receiver();
        }
        let Some((to, part)) = sending.parts.front() else {
            self.stop.keyed = KeyedHandoverStage::Done;
            return;
        };
        let to = to.instance.clone();
        let message = PeerMessage::KeyedHandover(Box::new(part.clone()));
        sending.last_sent_ms = Some(now_ms);
        sending.attempts += 1;
        self.send(to, message);
    }
}
