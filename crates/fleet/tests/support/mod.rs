//! A reducer of one instance for tests, with a customer, an engine and a clock.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod engine;

use std::sync::Arc;

use jayreel_fleet::PeerMessage;
use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, Input, Output, Reducer, RegisteredInstance,
};
use jayreel_membership::{Heartbeat, InstanceState};
use jayreel_model::{
    Configuration, Customer, CustomerKey, Endpoint, EndpointKind, EndpointState,
    Incarnation, KeyHash, RequestId,
};
use jayreel_programs::TokenKey;
use jayreel_quota::home_weights::HomeRecord;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_scheduler::{Event, SchedulerSettings};

const KEY: &str = "key";

pub fn incarnation(instance: &str) -> Incarnation {
    Incarnation {
        instance: instance.to_string(),
        number: 1,
    }
}

pub fn registered(instance: &str, availability_zone: &str) -> RegisteredInstance {
    RegisteredInstance {
        incarnation: incarnation(instance),
        availability_zone: availability_zone.to_string(),
        peer_address: "127.0.0.1:1".to_string(),
        leaving: false,
    }
}

/// A heartbeat of a serving instance in `zone-0`, with its age of the store contact.
pub fn heartbeat(instance: &str, store_contact_age_ms: Option<u64>) -> Heartbeat {
    Heartbeat {
        incarnation: incarnation(instance),
        availability_zone: "zone-0".to_string(),
        config_revision: 1,
        store_contact_age_ms,
        state: InstanceState::Serving,
        running_calls: 0,
        waiting_calls: 0,
        peer_address: "127.0.0.1:2".to_string(),
    }
}

/// A call of the model `model` by the customer `alpha`.
pub fn chat(id: u64) -> Input {
    Input::Schedule(Event::CallArrived(Box::new(CallArrived {
        request_id: RequestId(id),
        key: Some(KeyHash::of_key(KEY)),
        profile: None,
        program: None,
        parent: None,
        turn: None,
        epoch: None,
        idempotency_key: None,
        was_forwarded: false,
        operation: CallOperation::Chat {
            model: "model".to_string(),
            max_tokens: Some(8),
            prompt_bound_tokens: 100,
            prefix_hashes: Vec::new(),
        },
    })))
}

/// Endpoint record of an engine in `zone-0` that is to load `model`, in any version.
pub fn engine() -> Endpoint {
    Endpoint {
        kind: EndpointKind::ModelEngine,
        group: "models".into(),
        availability_zone: "zone-0".into(),
        address: "127.0.0.1:2".into(),
        models: vec!["model".into()],
        versions: Default::default(),
        adapters: Default::default(),
        slots: 4,
        checks_fencing: true,
        state: EndpointState::Active,
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let customer = Customer {
        rate_mreq_per_s: 1_000_000,
        burst_mreq: 1_000_000,
        weight: 1,
    };
    configuration.customers.insert("alpha".into(), customer);
    let key = CustomerKey {
        customer: "alpha".into(),
        withdrawn: false,
    };
    configuration.keys.insert(KeyHash::of_key(KEY), key);
    configuration.endpoints.insert("engine-0".into(), engine());
    configuration
        .endpoint_revisions
        .insert("engine-0".into(), 10);
    configuration
}

/// The reducer of an instance, with its clock and configuration.
pub struct TestInstance {
    reducer: Reducer,
    pub configuration: Configuration,
    pub now_ms: u64,
}

impl TestInstance {
    /// The instance with this name, in `zone-0`. It has a configuration and no
    /// registrations.
    pub fn new(name: &str) -> TestInstance {
        let own = incarnation(name);
        let scheduler = SchedulerSettings::new(own.clone(), "zone-0", 7);
        let token_key = TokenKey::derive("t");
        let fleet = FleetSettings::new(own, "zone-0", "127.0.0.1:1", token_key);
        let mut instance = TestInstance {
            reducer: Reducer::new(scheduler, fleet, 0),
            configuration: configuration(),
            now_ms: 0,
        };
        instance.configure(|_| {});
        instance
    }

    /// Applies an input one millisecond after the previous one.
    pub fn apply(&mut self, input: Input) -> Vec<Output> {
        self.apply_after(1, input)
    }

    /// Applies an input `ms` milliseconds after the previous one.
    pub fn apply_after(&mut self, ms: u64, input: Input) -> Vec<Output> {
        self.now_ms += ms;
        self.reducer.apply(self.now_ms, input)
    }

    /// Changes the configuration and puts it in force with the next revision.
    pub fn configure(&mut self, change: impl FnOnce(&mut Configuration)) -> Vec<Output> {
        self.configuration.revision += 1;
        change(&mut self.configuration);
        let configuration = Arc::new(self.configuration.clone());
        self.apply(Input::Schedule(Event::ConfigurationChanged(configuration)))
    }

    /// The instance reads that these instances are registered.
    pub fn register(&mut self, registered: &[RegisteredInstance]) {
        let event = FleetEvent::RegistrationsRead {
            sent_at_ms: self.now_ms,
            registered: registered.to_vec(),
            own_lease: Some(1),
        };
        self.apply(Input::Fleet(event));
    }

    /// A heartbeat of an instance in `zone-0` arrives, which has just had contact with the
    /// store.
    pub fn receive_heartbeat(&mut self, from: &str) {
        let message = PeerMessage::Heartbeat(heartbeat(from, Some(0)));
        let from = from.to_string();
        let event = FleetEvent::PeerMessage { from, message };
        self.apply(Input::Fleet(event));
    }

    /// The instance creates the record of home weights and gets the whole rate of all
    /// customers.
    pub fn take_share(&mut self) {
        let sent_at_ms = self.now_ms;
        self.apply(Input::Fleet(FleetEvent::RegistrationRenewed { sent_at_ms }));
        let outputs = self.read_home(HomeRecord::default(), 0);
        let record = outputs.into_iter().find_map(|output| match output {
            Output::Fleet(FleetEffect::WriteHomeWeights { record, .. }) => Some(record),
            _ => None,
        });
        let (version, accepted) = (0, true);
        self.apply(Input::Fleet(FleetEvent::HomeWeightsWritten {
            version,
            accepted,
        }));
        self.read_home(record.expect("a write of the home weights"), 1);
        self.apply_after(1_000, Input::Schedule(Event::Tick));
    }

    fn read_home(&mut self, record: HomeRecord, version: u64) -> Vec<Output> {
        let sent_at_ms = self.now_ms;
        self.apply(Input::Fleet(FleetEvent::HomeWeightsRead {
            sent_at_ms,
            record,
            version,
        }))
    }
}
