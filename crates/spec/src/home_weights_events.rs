//! Model of the home weight record: which events are possible, their effects, and the
//! property that is checked.

use jayreel_quota::home_weights::HomeStep;

use crate::home_weights::HomeEvent;
use crate::home_weights_instance::Instance;
use crate::home_weights_world::{HomeWorld, MAX_CALLS};
use crate::quota_search::Model;

impl HomeWorld {
    fn instance_events(&self, index: usize, events: &mut Vec<HomeEvent>) {
        let instance = &self.instances[index];
        if !instance.alive {
            return;
        }
        if !instance.awaits_response && self.calls.len() < MAX_CALLS {
            let may_contact =
                index < self.scope.steady_instances || self.store_contacts > 0;
            if may_contact && instance.renewed_ms != Some(instance.now_ms) {
                events.push(HomeEvent::Renew(index));
            }
            if may_contact && self.has_unread_changes(instance) {
                events.push(HomeEvent::Read(index));
            }
            if instance.next_step(self.scope.fault) != HomeStep::Wait {
                events.push(HomeEvent::ExecuteNextStep(index));
            }
        }
        if instance.awaits_response && self.abandoned_calls > 0 {
            events.push(HomeEvent::AbandonCall(index));
        }
        if self.crashes > 0 {
            events.push(HomeEvent::Crash(index));
        }
        if self.restarts > 0 {
            events.push(HomeEvent::Restart(index));
        }
        if self.stops > 0 && !instance.stopping {
            events.push(HomeEvent::Stop(index));
        }
        if self.clock_lags > 0 && self.tick < self.scope.ticks {
            events.push(HomeEvent::Lag(index));
        }
    }
}

impl Model for HomeWorld {
    type Event = HomeEvent;

    fn events(&self) -> Vec<HomeEvent> {
        let mut events = Vec::new();
        if self.tick < self.scope.ticks {
            events.push(HomeEvent::Tick);
        }
        for index in 0..self.instances.len() {
            self.instance_events(index, &mut events);
        }
        self.loan_events(&mut events);
        events.extend((0..self.calls.len()).map(HomeEvent::ProcessCall));
        if self.lost_responses > 0 {
            events.extend((0..self.calls.len()).map(HomeEvent::ProcessAndLoseResponse));
        }
        events
    }

    fn apply(&self, event: &HomeEvent) -> HomeWorld {
        let mut next = self.clone();
        match *event {
            HomeEvent::Tick => next.tick(None),
            HomeEvent::Lag(index) => {
                next.clock_lags -= 1;
                next.tick(Some(index));
            }
            HomeEvent::Renew(index) => {
                next.count_store_contact(index);
                next.renew(index);
            }
            HomeEvent::ProcessCall(position) => next.process_call(position, true),
            HomeEvent::ProcessAndLoseResponse(position) => {
                next.lost_responses -= 1;
                next.process_call(position, false);
            }
            HomeEvent::AbandonCall(index) => {
                next.abandoned_calls -= 1;
                next.instances[index].awaits_response = false;
            }
            HomeEvent::Read(index) => {
                next.count_store_contact(index);
                next.read(index);
            }
            HomeEvent::ExecuteNextStep(index) => next.execute_next_step(index),
            HomeEvent::Crash(index) => {
                next.crashes -= 1;
                next.instances[index].alive = false;
            }
            HomeEvent::Restart(index) => {
                next.restarts -= 1;
                next.restart(index);
            }
            HomeEvent::Stop(index) => {
                next.stops -= 1;
                next.instances[index].stopping = true;
            }
            HomeEvent::Lend(from, to) => {
                next.loans -= 1;
                next.lend(from, to);
            }
            HomeEvent::DeliverGrant(position) => next.receive_grant(position),
            HomeEvent::ReturnLoans(index) => next.return_loans(index),
            HomeEvent::RemoveDeadInstance(index) => {
                next.removals -= 1;
                next.remove_dead_instance(index);
            }
        }
        next.instances
            .iter_mut()
            .for_each(Instance::refresh_cached_usage);
        next
    }

    fn violation(&self) -> Option<String> {
        let held = self
            .instances
            .iter()
            .map(|instance| u64::from(instance.held_ppm));
        let held_ppm: u64 = held.sum();
        let in_use = self.instances.iter();
        let in_use_ppm: u64 = in_use.map(|instance| u64::from(instance.in_use_ppm)).sum();
        match held_ppm.max(in_use_ppm) > 1_000_000 || !self.record.is_valid() {
            true => Some(format!(
                "valid home weights of {held_ppm} ppm, {in_use_ppm} ppm in use"
            )),
            false => None,
        }
    }
}
