//! One instance, with a simulation of the threads that access the store for it.

use std::collections::VecDeque;
use std::sync::Arc;

use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, FleetState, RegisteredInstance,
};
use jayreel_model::{Configuration, Customer, Incarnation};
use jayreel_programs::TokenKey;
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};

use super::store::SimulatedStore;
use super::{STEP_MS, Scenario};

const CUSTOMER: &str = "alpha";
const READ_INTERVAL_MS: u64 = 2_000;
const RENEW_INTERVAL_MS: u64 = 3_000;
const TICK_MS: u64 = 50;

/// An instance whose own clock starts at 0 when its process starts.
pub(super) struct SimulatedInstance {
    own: Incarnation,
    starts_ms: u64,
    scenario: Scenario,
    fleet: FleetState,
    /// Events to be delivered, each with its time of delivery in the simulation.
    inbox: VecDeque<(u64, FleetEvent)>,
    /// Messages to peers that were not sent yet.
    pub outgoing: Vec<FleetEffect>,
    /// Writes that were not sent to the store yet.
    writes: VecDeque<FleetEffect>,
    /// The answer to the last write, with its time in the simulation. The record is read
    /// again at that time.
    write_answer: Option<(u64, FleetEvent)>,
    /// Times in the simulation at which calls were served.
    pub served_ms: Vec<u64>,
}

impl SimulatedInstance {
    pub fn new(index: u64, starts_ms: u64, scenario: Scenario) -> SimulatedInstance {
        let own = Incarnation {
            instance: format!("entry-{index}"),
            number: 7 + index,
        };
        let token_key = TokenKey::derive("t");
        let settings =
            FleetSettings::new(own.clone(), "zone-0", own.to_string(), token_key);
        let mut fleet = FleetState::new(settings, 0);
        let configuration = Arc::new(configuration(scenario.rate_per_s));
        fleet.configure(0, &configuration);
        fleet.apply(0, FleetEvent::ConfigurationChanged(configuration));
        SimulatedInstance {
            own,
            starts_ms,
            scenario,
            fleet,
            inbox: VecDeque::new(),
            outgoing: Vec::new(),
            writes: VecDeque::new(),
            write_answer: None,
            served_ms: Vec::new(),
        }
    }

    pub fn name(&self) -> String {
        self.own.instance.clone()
    }

    /// Home weight by the record that this instance has read, 0 before it starts.
    pub fn home_weight_ppm(&mut self, now_ms: u64) -> u32 {
        let local_ms = self.local_ms(now_ms);
        local_ms.map_or(0, |local_ms| self.fleet.status(local_ms).home_weight_ppm)
    }

    /// Whether this instance holds a home weight by the record that is not in force yet.
    pub fn has_weight_not_in_force(&mut self, now_ms: u64) -> bool {
        let status = self
            .local_ms(now_ms)
            .map(|local_ms| self.fleet.status(local_ms));
        status.is_some_and(|status| status.home_in_force_ppm < status.home_weight_ppm)
    }

    /// Whether this instance considers the other one alive.
    pub fn sees_peer(&mut self, now_ms: u64) -> bool {
        let local_ms = self.local_ms(now_ms);
        let peers =
            local_ms.map_or(Vec::new(), |local_ms| self.fleet.status(local_ms).peers);
        peers.iter().any(|peer| peer.liveness == "alive")
    }

    pub fn is_ready(&mut self, now_ms: u64) -> bool {
        let local_ms = self.local_ms(now_ms);
        local_ms.is_some_and(|local_ms| self.fleet.is_ready(local_ms))
    }

    /// Delivers an event at the time `at_ms` of the simulation.
    pub fn deliver(&mut self, at_ms: u64, event: FleetEvent) {
        self.inbox.push_back((at_ms, event));
    }

    /// Simulates one time step. Events for an instance that has not started are lost.
    pub fn step(&mut self, now_ms: u64, store: &mut SimulatedStore) {
        let Some(local_ms) = self.local_ms(now_ms) else {
            self.inbox.clear();
            return;
        };
        self.receive(now_ms, local_ms);
        self.contact_store(now_ms, local_ms, store);
        self.write_home(now_ms, local_ms, store);
        if local_ms.is_multiple_of(TICK_MS) {
            self.fleet.apply(local_ms, FleetEvent::Tick);
        }
        if local_ms.is_multiple_of(self.scenario.call_interval_ms) {
            self.call(now_ms, local_ms);
        }
        for effect in self.fleet.take_effects() {
            match effect {
                FleetEffect::Send { .. } => self.outgoing.push(effect),
                FleetEffect::WriteHomeWeights { .. } => self.writes.push_back(effect),
                _ => {}
            }
        }
    }

    /// Time of this instance's own clock. `None` before it starts.
    fn local_ms(&self, now_ms: u64) -> Option<u64> {
        now_ms.checked_sub(self.starts_ms)
    }

    fn receive(&mut self, now_ms: u64, local_ms: u64) {
        for (at_ms, event) in std::mem::take(&mut self.inbox) {
            match at_ms <= now_ms {
                true => self.fleet.apply(local_ms, event),
                false => self.inbox.push_back((at_ms, event)),
            }
        }
    }

    /// A call of the customer arrives. It is served if the quota permits.
    fn call(&mut self, now_ms: u64, local_ms: u64) {
        if self.fleet.take(local_ms, CUSTOMER) == QuotaDecision::Taken {
            self.fleet.sent(local_ms, CUSTOMER, local_ms);
            self.served_ms.push(now_ms);
        }
    }

    /// Renews the registration and reads registrations and home weights, at fixed
    /// intervals.
    fn contact_store(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        store: &mut SimulatedStore,
    ) {
        let since_ms = sent_at_ms.checked_sub(self.scenario.registration_ms);
        if since_ms.is_some_and(|since_ms| since_ms.is_multiple_of(RENEW_INTERVAL_MS)) {
            let entry = RegisteredInstance {
                incarnation: self.own.clone(),
                availability_zone: "zone-0".to_string(),
                peer_address: self.own.to_string(),
                leaving: false,
            };
            if store.register(entry) {
                let event = FleetEvent::RegistrationRenewed { sent_at_ms };
                self.deliver(now_ms + STEP_MS, event);
            }
        }
        if sent_at_ms.is_multiple_of(READ_INTERVAL_MS) {
            if let Some(registered) = store.registrations() {
                let event = FleetEvent::RegistrationsRead {
                    sent_at_ms,
                    registered,
                    own_lease: Some(1),
                };
                self.deliver(now_ms + STEP_MS, event);
            }
            self.read_home(now_ms, sent_at_ms, store);
        }
    }

    /// Carries out one write of the home weights at a time, as the thread for writes does.
    fn write_home(&mut self, now_ms: u64, local_ms: u64, store: &mut SimulatedStore) {
        if let Some((at_ms, event)) = self.write_answer.take() {
            if now_ms < at_ms {
                self.write_answer = Some((at_ms, event));
                return;
            }
            self.deliver(now_ms + STEP_MS, event);
            self.read_home(now_ms, local_ms, store);
        }
        let Some(FleetEffect::WriteHomeWeights {
            record, version, ..
        }) = self.writes.pop_front()
        else {
            return;
        };
        if let Some(accepted) = store.write_home(record, version) {
            let event = FleetEvent::HomeWeightsWritten { version, accepted };
            self.write_answer = Some((now_ms + self.scenario.write_answer_ms, event));
        }
    }

    fn read_home(&mut self, now_ms: u64, sent_at_ms: u64, store: &mut SimulatedStore) {
        if let Some((record, version)) = store.home() {
            let event = FleetEvent::HomeWeightsRead {
                sent_at_ms,
                record,
                version,
            };
            self.deliver(now_ms + STEP_MS, event);
        }
    }
}

fn configuration(rate_per_s: u64) -> Configuration {
    let mut configuration = Configuration {
        revision: 1,
        ..Configuration::default()
    };
    let customer = Customer {
        rate_mreq_per_s: rate_per_s * 1_000,
        burst_mreq: rate_per_s * 1_000,
        weight: 1,
    };
    configuration.customers.insert(CUSTOMER.into(), customer);
    configuration
}
