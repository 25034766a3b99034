//! Takeovers of programs whose owner is gone.

use jayreel_model::{Incarnation, RequestId};
use jayreel_programs::{BudgetRecord, Handover, TakeoverRecord, ownership};
use jayreel_scheduler::program_admission::ProgramDecision;

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::{Fleet, HeldCall, PendingCall};

impl Fleet {
    /// Keeps a call until the successor of `of` is known, and tries to become it.
    pub(crate) fn hold_for_takeover(&mut self, of: Incarnation, call: HeldCall) {
        let request_id = call.arrived.request_id;
        let pending = PendingCall::Takeover { of: of.clone() };
        self.calls.insert(request_id, pending);
        let held = self.held.entry(of.clone()).or_default();
        held.push(call);
        if held.len() == 1 {
            let record = TakeoverRecord {
                successor: self.settings.own.clone(),
                is_planned: false,
            };
            self.effects.push(FleetEffect::ClaimTakeover { of, record });
        }
    }

    /// Takes note of a takeover record. If it names this process, the budget record is
    /// read before any call of those programs is decided.
    pub(crate) fn takeover_read(
        &mut self,
        now_ms: u64,
        of: Incarnation,
        record: &TakeoverRecord,
    ) {
        self.takeovers.learn(of.clone(), record);
        if of == self.settings.own {
            self.superseded(record);
            return;
        }
        match self.takeovers.responsible(&of) == &self.settings.own {
            true => {
                self.announce_takeover(&of, record);
                self.effects.push(FleetEffect::ReadBudget { of });
            }
            false => self.decide_held(now_ms, &of),
        }
    }

    /// A peer tells of a takeover record.
    pub(crate) fn takeover_told(&mut self, of: Incarnation, record: &TakeoverRecord) {
        if of == self.settings.own {
            self.supersede();
        } else {
            self.takeovers.learn(of, record);
        }
    }

    /// Tells all peers who serves the programs from now on. A peer that misses it reads
    /// the record when a call finds the process gone; a process that is still alive learns
    /// that it has been replaced.
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

    fn supersede(&mut self) {
        self.superseded = true;
        let transition = self.programs.supersede();
        self.record(transition);
    }

    /// Another process is responsible for all programs of this one.
    fn superseded(&mut self, record: &TakeoverRecord) {
        match record.is_planned {
            true => self.hand_over(record),
            false => self.supersede(),
        }
    }

    /// The budget record was read after the takeover record had been created.
    pub(crate) fn budget_read(
        &mut self,
        now_ms: u64,
        of: Incarnation,
        record: Option<BudgetRecord>,
    ) {
        self.programs.adopt(of.clone(), record);
        self.decide_held(now_ms, &of);
    }

    /// A stopping process names this one as the successor of its programs.
    pub(crate) fn take_handover(&mut self, now_ms: u64, handover: Handover) {
        let record = TakeoverRecord {
            successor: self.settings.own.clone(),
            is_planned: true,
        };
        self.takeovers
            .learn(handover.record.incarnation.clone(), &record);
        self.programs.import(now_ms, handover);
    }

    /// The store gave no answer, so the calls that wait for it cannot be placed.
    pub(crate) fn takeover_unconfirmed(&mut self, of: &Incarnation) {
        for call in self.held.remove(of).unwrap_or_default() {
            let request_id = call.arrived.request_id;
            self.calls.remove(&request_id);
            let refusal = ProgramDecision::Refuse(ownership::unreachable());
            self.changes.decided.push((request_id, refusal));
        }
    }

    /// Forgets a waiting call.
    pub(crate) fn drop_held(&mut self, of: &Incarnation, request_id: RequestId) {
        if let Some(calls) = self.held.get_mut(of) {
            calls.retain(|call| call.arrived.request_id != request_id);
        }
    }

    fn decide_held(&mut self, now_ms: u64, of: &Incarnation) {
        for call in self.held.remove(of).unwrap_or_default() {
            let request_id = call.arrived.request_id;
            self.calls.remove(&request_id);
            let decision = self
                .decide_call(now_ms, &call)
                .unwrap_or_else(ProgramDecision::Refuse);
            if decision != ProgramDecision::Wait {
                self.changes.decided.push((request_id, decision));
            }
        }
    }
}
