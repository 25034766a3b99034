//! One instance with the threads that talk to the store for it.

use std::collections::VecDeque;
use std::sync::Arc;

use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, FleetState, RegisteredInstance,
};
use jayreel_model::{Configuration, Customer, Incarnation};
use jayreel_programs::TokenKey;
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};

use super::store::Store;
use super::{Plan, STEP_MS};

const CUSTOMER: &str = "alpha";
const READ_INTERVAL_MS: u64 = 2_000;
const RENEW_INTERVAL_MS: u64 = 3_000;
const TICK_MS: u64 = 50;

/// An instance. Its clock starts at 0 when the process starts.
pub(super) struct Node {
    own: Incarnation,
    starts_ms: u64,
    plan: Plan,
    fleet: FleetState,
    /// What it will learn, with the time of delivery.
    inbox: VecDeque<(u64, FleetEvent)>,
    /// Messages to peers that are not under way yet.
    pub sends: Vec<FleetEffect>,
    /// Writes that the store has not processed yet.
    writes: VecDeque<FleetEffect>,
    /// The answer to the last write, and the read after it, come at this time.
    write_answer: Option<(u64, FleetEvent)>,
    pub served_ms: Vec<u64>,
}

impl Node {
    pub fn new(index: u64, starts_ms: u64, plan: Plan) -> Node {
        let own = Incarnation {
            instance: format!("entry-{index}"),
            number: 7 + index,
        };
        let token_key = TokenKey::derive("t");
        let settings =
            FleetSettings::new(own.clone(), "zone-0", own.to_string(), token_key);
        let mut fleet = FleetState::new(settings, 0);
        let configuration = Arc::new(configuration(plan.rate_per_s));
        fleet.configure(0, &configuration);
        fleet.apply(0, FleetEvent::ConfigurationChanged(configuration));
        Node {
            own,
            starts_ms,
            plan,
            fleet,
            inbox: VecDeque::new(),
            sends: Vec::new(),
            writes: VecDeque::new(),
            write_answer: None,
            served_ms: Vec::new(),
        }
    }

    pub fn name(&self) -> String {
        self.own.instance.clone()
    }

    /// Home weight by the record that this instance has read.
    pub fn held_ppm(&mut self, now_ms: u64) -> u32 {
        let own_ms = self.own_ms(now_ms);
        own_ms.map_or(0, |own_ms| self.fleet.status(own_ms).home_weight_ppm)
    }

    /// Whether it knows of a home weight that is not in force yet.
    pub fn waits_for_share(&mut self, now_ms: u64) -> bool {
        let status = self.own_ms(now_ms).map(|own_ms| self.fleet.status(own_ms));
        status.is_some_and(|status| status.home_in_force_ppm < status.home_weight_ppm)
    }

    /// Whether the other instance is alive, as this one sees it.
    pub fn sees_peer(&mut self, now_ms: u64) -> bool {
        let own_ms = self.own_ms(now_ms);
        let peers = own_ms.map_or(Vec::new(), |own_ms| self.fleet.status(own_ms).peers);
        peers.iter().any(|peer| peer.liveness == "alive")
    }

    pub fn is_ready(&mut self, now_ms: u64) -> bool {
        let own_ms = self.own_ms(now_ms);
        own_ms.is_some_and(|own_ms| self.fleet.is_ready(own_ms))
    }

    /// Delivers an event at a time of the simulation.
    pub fn deliver(&mut self, at_ms: u64, event: FleetEvent) {
        self.inbox.push_back((at_ms, event));
    }

    pub fn step(&mut self, now_ms: u64, store: &mut Store) {
        let Some(own_ms) = self.own_ms(now_ms) else {
            self.inbox.clear();
            return;
        };
        self.receive(now_ms, own_ms);
        self.contact_store(now_ms, own_ms, store);
        self.write_home(now_ms, own_ms, store);
        if own_ms.is_multiple_of(TICK_MS) {
            self.fleet.apply(own_ms, FleetEvent::Tick);
        }
        if own_ms.is_multiple_of(self.plan.call_interval_ms) {
            self.call(now_ms, own_ms);
        }
        for effect in self.fleet.take_effects() {
            match effect {
                FleetEffect::Send { .. } => self.sends.push(effect),
                FleetEffect::WriteHomeWeights { .. } => self.writes.push_back(effect),
                _ => {}
            }
        }
    }

    fn own_ms(&self, now_ms: u64) -> Option<u64> {
        now_ms.checked_sub(self.starts_ms)
    }

    fn receive(&mut self, now_ms: u64, own_ms: u64) {
        for (at_ms, event) in std::mem::take(&mut self.inbox) {
            match at_ms <= now_ms {
                true => self.fleet.apply(own_ms, event),
                false => self.inbox.push_back((at_ms, event)),
            }
        }
    }

    fn call(&mut self, now_ms: u64, own_ms: u64) {
        if self.fleet.take(own_ms, CUSTOMER) == QuotaDecision::Taken {
            self.fleet.sent(own_ms, CUSTOMER, own_ms);
            self.served_ms.push(now_ms);
        }
    }

    /// Renews the registration and reads what all instances share.
    fn contact_store(&mut self, now_ms: u64, sent_at_ms: u64, store: &mut Store) {
        let since_ms = sent_at_ms.checked_sub(self.plan.registration_ms);
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

    /// Carries out one write at a time, as the thread for writes does.
    fn write_home(&mut self, now_ms: u64, own_ms: u64, store: &mut Store) {
        if let Some((at_ms, event)) = self.write_answer.take() {
            if now_ms < at_ms {
                self.write_answer = Some((at_ms, event));
                return;
            }
            self.deliver(now_ms + STEP_MS, event);
            self.read_home(now_ms, own_ms, store);
        }
        let Some(FleetEffect::WriteHomeWeights {
            record, version, ..
        }) = self.writes.pop_front()
        else {
            return;
        };
        if let Some(accepted) = store.write_home(record, version) {
            let event = FleetEvent::HomeWeightsWritten { version, accepted };
            self.write_answer = Some((now_ms + self.plan.write_answer_ms, event));
        }
    }

    fn read_home(&mut self, now_ms: u64, sent_at_ms: u64, store: &mut Store) {
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
