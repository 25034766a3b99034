//! A planned stop: returns loans and the home share, and hands the programs over to a live
//! peer.
//!
//! The handover of the programs takes three steps: write the final grants while there is no
//! takeover record, create the takeover record, then send the programs to the successor. A
//! successor that does not get them charges the written grants, so no budget is exceeded.

use std::collections::VecDeque;

use jayreel_programs::{BudgetRecord, Handover, TakeoverRecord};

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::FleetState;
use crate::keyed_handover::KeyedHandoverStage;

/// Time after which a part of the handover is sent again if it was not confirmed.
const HANDOVER_RESEND_MS: u64 = 2_000;

/// Maximum number of programs in one message.
const MAX_PROGRAMS_PER_PART: usize = 500;

/// Progress of the handover of programs.
#[derive(Debug, Default)]
enum HandoverStage {
    #[default]
    NotStarted,
    /// The final budget record is being written.
    WritingFinalGrants(Handover),
    /// The takeover record that names the successor is being created.
    CreatingTakeover(Handover),
    /// The parts are sent one after the other, each after the previous one was confirmed.
    Sending {
        /// Name of the successor.
        to: String,
        /// The parts that have not been confirmed.
        parts: VecDeque<Handover>,
        /// When the first part was last sent. 0 if it was not sent yet.
        last_sent_ms: u64,
    },
    /// The successor has all programs, or there is nothing or nobody to hand over to.
    Done,
}

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    /// Whether the stop was announced. Calls still arrive and run.
    pub(crate) started: bool,
    /// Whether all calls have ended or were cut off, and no more will arrive.
    pub(crate) serving_ended: bool,
    handover: HandoverStage,
    pub(crate) keyed: KeyedHandoverStage,
}

impl FleetState {
    /// Begins the planned stop. Calls still arrive and run, except new calls with an
    /// idempotency key and without a program.
    pub(crate) fn start_stop(&mut self, now_ms: u64) {
        self.stop.started = true;
        self.keyed.retire(now_ms);
        self.continue_keyed_handover(now_ms);
    }

    /// Begins the release of rates and programs, after all calls have ended.
    pub(crate) fn start_release(&mut self, now_ms: u64) {
        self.stop.serving_ended = true;
        self.keyed.retire(now_ms);
        self.release_home_share();
        self.continue_stop(now_ms);
    }

    /// Takes the next steps of a planned stop. Called at each tick.
    pub(crate) fn continue_stop(&mut self, now_ms: u64) {
        self.continue_keyed_handover(now_ms);
        if !self.stop.serving_ended {
            return;
        }
        let returned = self.quota.return_loans(now_ms);
        self.send_returns(returned);
        match self.stop.handover {
            HandoverStage::NotStarted => self.start_handover(),
            _ => self.send_handover_part(now_ms),
        }
    }

    /// Whether all programs and keys were handed over and all loans and the home share were
    /// returned.
    pub fn is_stopped(&mut self, now_ms: u64) -> bool {
        self.stop.serving_ended
            && matches!(self.stop.handover, HandoverStage::Done)
            && self.stop.keyed.is_done()
            && self.is_home_share_released()
            && !self.quota.has_loans(now_ms)
    }

    fn start_handover(&mut self) {
        self.stop.handover = HandoverStage::Done;
        if self.programs.is_empty() || self.live_peers().is_empty() {
            return;
        }
        if let Some(handover) = self.programs.export() {
            let record = handover.record.clone();
            self.effects.push(FleetEffect::WriteBudget(record));
            self.stop.handover = HandoverStage::WritingFinalGrants(handover);
        }
    }

    /// Goes on with the handover after the write of the final grants, also if it failed: a
    /// successor then charges the earlier grants, which are at least as large.
    pub(crate) fn final_grants_written(&mut self, record: &BudgetRecord) {
        let stage = std::mem::take(&mut self.stop.handover);
        self.stop.handover = match stage {
            HandoverStage::WritingFinalGrants(handover) if record.is_final => {
                self.claim_takeover_for_successor();
                HandoverStage::CreatingTakeover(handover)
            }
            stage => stage,
        };
    }

    /// Requests a takeover record that names the first live peer as successor.
    fn claim_takeover_for_successor(&mut self) {
        let peers = self.live_peers();
        let successor = peers
            .iter()
            .find_map(|name| self.membership.incarnation(name));
        if let Some(successor) = successor {
            let record = TakeoverRecord {
                successor: successor.clone(),
                is_planned: true,
            };
            let of = self.settings.own.clone();
            self.effects.push(FleetEffect::ClaimTakeover { of, record });
        }
    }

    /// Starts to send the programs to the successor that the takeover record of this
    /// process names.
    pub(crate) fn start_sending_handover(&mut self, record: &TakeoverRecord) {
        let stage = std::mem::take(&mut self.stop.handover);
        self.stop.handover = match stage {
            HandoverStage::CreatingTakeover(handover) => {
                let of = self.settings.own.clone();
                self.announce_takeover(&of, record);
                HandoverStage::Sending {
                    to: record.successor.instance.clone(),
                    parts: handover.into_parts(MAX_PROGRAMS_PER_PART).into(),
                    last_sent_ms: 0,
                }
            }
            stage => stage,
        };
    }

    /// Handles the successor's confirmation of the first part.
    pub(crate) fn handover_part_confirmed(&mut self, now_ms: u64) {
        if let HandoverStage::Sending {
            parts,
            last_sent_ms,
            ..
        } = &mut self.stop.handover
        {
            parts.pop_front();
            *last_sent_ms = 0;
        }
        self.send_handover_part(now_ms);
    }

    /// Sends the first unconfirmed part unless it was sent too recently.
    fn send_handover_part(&mut self, now_ms: u64) {
        let HandoverStage::Sending {
            to,
            parts,
            last_sent_ms,
        } = &mut self.stop.handover
        else {
            return;
        };
        match parts.front() {
            None => self.stop.handover = HandoverStage::Done,
            Some(_)
                if now_ms < *last_sent_ms + HANDOVER_RESEND_MS && *last_sent_ms > 0 => {}
            Some(part) => {
                *last_sent_ms = now_ms;
                let message = PeerMessage::Handover(Box::new(part.clone()));
                let to = to.clone();
                self.send(to, message);
            }
        }
    }
}
