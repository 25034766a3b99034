//! Takeovers: how this instance becomes the owner of programs whose owner is gone, and what
//! it does when another one takes over its own.

use jayreel_model::{Incarnation, RequestId};
use jayreel_programs::{BudgetRecord, Handover, TakeoverRecord, ownership};
use jayreel_scheduler::program_admission::ProgramDecision;

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::{FleetState, OwnedProgramCall, PendingCall};

impl FleetState {
    /// Keeps a call until the successor of `of` is known. The first such call makes this
    /// process try to become the successor.
    pub(crate) fn hold_for_takeover(&mut self, of: Incarnation, call: OwnedProgramCall) {
        let request_id = call.arrived.request_id;
        let pending = PendingCall::Takeover { of: of.clone() };
        self.calls.insert(request_id, pending);
        let waiting = self.awaiting_takeover.entry(of.clone()).or_default();
        waiting.push(call);
        if waiting.len() == 1 {
            let record = TakeoverRecord {
                successor: self.settings.own.clone(),
                is_planned: false,
            };
            self.effects.push(FleetEffect::ClaimTakeover { of, record });
        }
    }

    /// Handles a takeover record from the store. If it makes this process responsible for
    /// the programs of `of`, the budget record of `of` is read before any call of these
    /// programs is decided.
    pub(crate) fn takeover_read(
        &mut self,
        now_ms: u64,
        of: Incarnation,
        record: &TakeoverRecord,
    ) {
        self.takeovers.learn(of.clone(), record);
        if of == self.settings.own {
            self.own_takeover_read(record);
            return;
        }
        match self.takeovers.responsible(&of) == &self.settings.own {
            true => {
                self.announce_takeover(&of, record);
                self.effects.push(FleetEffect::ReadBudget { of });
            }
            false => self.decide_awaiting_takeover(now_ms, &of),
        }
    }

    /// Handles a takeover record that a peer has announced.
    pub(crate) fn takeover_announced(
        &mut self,
        of: Incarnation,
        record: &TakeoverRecord,
    ) {
        if of == self.settings.own {
            self.supersede();
        } else {
            self.takeovers.learn(of, record);
        }
    }

    /// Announces to all peers who serves the programs of `of` from now on. A process `of`
    /// that is still alive learns from it that it was replaced. A peer that misses the
    /// message reads the record when it gets a call for a program of `of`.
    pub(crate) fn announce_takeover(
        &mut self,
        of: &Incarnation,
        record: &TakeoverRecord,
    ) {
        for peer in self.membership.known_peers() {
            let (of, record) = (of.clone(), record.clone());
            self.send(peer, PeerMessage::Takeover { of, record });
        }
    }

    /// Gives up all programs of this process, which another one has taken over.
    fn supersede(&mut self) {
        self.superseded = true;
        let effects = self.programs.supersede();
        self.apply_program_effects(effects);
    }

    /// Handles the takeover record of this process: a planned one continues the handover,
    /// any other one supersedes this process.
    fn own_takeover_read(&mut self, record: &TakeoverRecord) {
        match record.is_planned {
            true => self.start_sending_handover(record),
            false => self.supersede(),
        }
    }

    /// Adopts the programs of `of` with their charges from its budget record, and decides
    /// the calls that waited for it. The record was read after the takeover record had been
    /// created, so `of` cannot write it any more.
    pub(crate) fn budget_read(
        &mut self,
        now_ms: u64,
        of: Incarnation,
        record: Option<BudgetRecord>,
    ) {
        self.programs.adopt(of.clone(), record);
        self.decide_awaiting_takeover(now_ms, &of);
    }

    /// Imports one part of the programs of a stopping process that has named this one as
    /// its successor.
    pub(crate) fn import_handover(&mut self, now_ms: u64, handover: Handover) {
        let record = TakeoverRecord {
            successor: self.settings.own.clone(),
            is_planned: true,
        };
        self.takeovers
            .learn(handover.record.incarnation.clone(), &record);
        self.programs.import(now_ms, handover);
    }

    /// Refuses the calls that wait for the successor of `of`, because the store did not
    /// respond.
    pub(crate) fn takeover_unconfirmed(&mut self, of: &Incarnation) {
        for call in self.awaiting_takeover.remove(of).unwrap_or_default() {
            let request_id = call.arrived.request_id;
            self.calls.remove(&request_id);
            let refusal = ProgramDecision::Refuse(ownership::unreachable());
            self.changes.decided.push((request_id, refusal));
        }
    }

    /// Removes a call that has ended while it waited for a successor of `of`.
    pub(crate) fn remove_awaiting_takeover(
        &mut self,
        of: &Incarnation,
        request_id: RequestId,
    ) {
        if let Some(calls) = self.awaiting_takeover.get_mut(of) {
            calls.retain(|call| call.arrived.request_id != request_id);
        }
    }

    /// Decides the calls that waited for a successor of `of`.
    fn decide_awaiting_takeover(&mut self, now_ms: u64, of: &Incarnation) {
        for call in self.awaiting_takeover.remove(of).unwrap_or_default() {
            let request_id = call.arrived.request_id;
            self.calls.remove(&request_id);
            let decision = self
                .admit_call(now_ms, &call)
                .unwrap_or_else(ProgramDecision::Refuse);
            if decision != ProgramDecision::Wait {
                self.changes.decided.push((request_id, decision));
            }
        }
    }
}
