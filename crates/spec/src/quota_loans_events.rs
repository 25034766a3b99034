//! Model of loans between instances: which events are possible, their effects, and the
//! properties that are checked.

use crate::quota_loans::{DEADLINE_TICKS, LoanEvent, LoanFault, TICK_MS};
use crate::quota_loans_world::LoanWorld;
use crate::quota_search::Model;

impl LoanWorld {
    fn instance_events(&self, index: usize, events: &mut Vec<LoanEvent>) {
        let instance = &self.instances[index];
        let can_take = instance.summary.can_take;
        if can_take {
            events.push(LoanEvent::CallAtOnce(index));
        }
        if can_take && self.delayed_calls > 0 {
            events.push(LoanEvent::TakeToken(index));
        }
        if !can_take && self.loan_requests > 0 && !instance.stopping {
            let peers = (0..self.instances.len()).filter(|&peer| peer != index);
            events.extend(peers.map(|peer| LoanEvent::RequestLoan(index, peer)));
        }
        if let Some(&taken_ms) = instance.unsent_ms.first() {
            let in_time = instance.now_ms - taken_ms <= DEADLINE_TICKS * TICK_MS;
            if in_time || self.has(LoanFault::SentAfterDeadline) {
                events.push(LoanEvent::SendCall(index));
            }
            events.push(LoanEvent::ReturnToken(index));
        }
        if self.scope.early_returns && instance.summary.has_loans {
            events.push(LoanEvent::ReturnLoans(index));
        }
        if self.restarts > 0 {
            events.push(LoanEvent::Restart(index));
        }
        if self.scope.contract_lowered && !instance.contract_lowered {
            events.push(LoanEvent::LowerContract(index));
        }
        if self.clock_lags > 0 && self.tick < self.scope.ticks {
            events.push(LoanEvent::Lag(index));
        }
    }
}

impl Model for LoanWorld {
    type Event = LoanEvent;

    fn events(&self) -> Vec<LoanEvent> {
        let mut events = Vec::new();
        if self.tick < self.scope.ticks {
            events.push(LoanEvent::Tick);
        }
        for index in 0..self.instances.len() {
            self.instance_events(index, &mut events);
        }
        events.extend((0..self.messages.len()).map(LoanEvent::Deliver));
        if self.duplicates > 0 {
            events.extend((0..self.messages.len()).map(LoanEvent::DeliverAndKeep));
        }
        events.extend((0..self.reductions.len()).map(LoanEvent::ReduceShare));
        events
    }

    fn apply(&self, event: &LoanEvent) -> LoanWorld {
        let mut next = self.clone();
        match *event {
            LoanEvent::Tick => next.tick(None),
            LoanEvent::Lag(index) => {
                next.clock_lags -= 1;
                next.tick(Some(index));
            }
            LoanEvent::CallAtOnce(index) => {
                next.take(index);
                next.send_newest(index);
            }
            LoanEvent::TakeToken(index) => {
                next.delayed_calls -= 1;
                next.take(index);
            }
            LoanEvent::SendCall(index) => next.send(index, 0),
            LoanEvent::ReturnToken(index) => next.give_back(index),
            LoanEvent::RequestLoan(index, peer) => next.request_loan(index, peer),
            LoanEvent::Deliver(position) => next.deliver(position, false),
            LoanEvent::DeliverAndKeep(position) => {
                next.duplicates -= 1;
                next.deliver(position, true);
            }
            LoanEvent::ReturnLoans(index) => next.return_loans(index),
            LoanEvent::Restart(index) => next.restart(index),
            LoanEvent::LowerContract(index) => {
                next.instances[index].lower_contract(&self.scope)
            }
            LoanEvent::ReduceShare(position) => {
                let (lender, request) = next.reductions.remove(position);
                let now_ms = next.instances[lender].now_ms;
                next.instances[lender].quota_mut().lend(now_ms, &request);
            }
        }
        next.finish_contract_change();
        for (instance, before) in next.instances.iter_mut().zip(&self.instances) {
            if !instance.is_unchanged(before) {
                instance.refresh_summary();
            }
        }
        next
    }

    fn violation(&self) -> Option<String> {
        let burst_mreq = self.contract().1;
        if self.excess_mreq > burst_mreq {
            return Some(format!(
                "calls of {} mreq sent beyond the rate, with a burst of {burst_mreq}",
                self.excess_mreq
            ));
        }
        let in_use = self
            .instances
            .iter()
            .map(|instance| self.in_use_mreq(instance));
        let in_use_mreq: u64 = in_use.sum();
        // Shares are not added up until all instances use the lowered contract.
        let is_changing = self.scope.contract_lowered && !self.contract_lowered;
        if !is_changing && in_use_mreq > burst_mreq {
            return Some(format!(
                "capacity of {in_use_mreq} mreq in use, with a burst of {burst_mreq}"
            ));
        }
        None
    }
}
