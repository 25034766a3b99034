//! A reducer with a state of a given size, and the events that are timed on it.

use std::sync::Arc;
use std::time::Instant;

use eyre::{bail, eyre};
use jayreel_fleet::{
    FleetEffect, FleetEvent, FleetSettings, Input, Output, PeerMessage, Reducer,
    RegisteredInstance,
};
use jayreel_membership::{Heartbeat, InstanceState};
use jayreel_model::{
    ClassOfService, Configuration, Customer, CustomerKey, Endpoint, EndpointKind,
    EndpointState, Incarnation, KeyHash, Profile, RequestId,
};
use jayreel_programs::TokenKey;
use jayreel_quota::home_weights::{HomeRecord, HomeWeight};
use jayreel_quota::{LoanId, LoanRequest};
use jayreel_scheduler::effect::Reply;
use jayreel_scheduler::event::{CallArrived, CallOperation, LoadReport, TokenUsage};
use jayreel_scheduler::{Effect, Event, SchedulerSettings};
use serde::{Deserialize, Serialize};

/// Rate and burst of each customer, so that no call waits for its rate.
const UNLIMITED_MREQ: u64 = 1_000_000_000;
/// Slots of each worker, so that each of 690 instances may use some.
const WORKER_SLOTS: u32 = 10_000;
/// Longest history of a program: one hash for each message.
const PREFIXES: u64 = 40;
/// Times that an event is timed. The state changes little in between.
const REPETITIONS: usize = 100;
/// Repetitions of events that take milliseconds.
const SLOW_REPETITIONS: usize = 20;
/// Repetitions of events that need a long preparation.
const FEW_REPETITIONS: usize = 5;

/// Sizes of the parts of the state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Size {
    /// Programs owned.
    pub programs: u64,
    /// Workers in the configuration.
    pub workers: u64,
    /// Customers, each with one key.
    pub customers: u64,
    /// Other live instances.
    pub peers: u64,
    /// Calls that wait for a full worker of their model.
    pub waiting: u64,
}

/// Median and slowest time of an event.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Timing {
    /// Name of the event.
    pub event: String,
    /// Median in microseconds.
    pub median_us: f64,
    /// Slowest in microseconds.
    pub slowest_us: f64,
}

/// A reducer and what is needed to send it valid events.
pub struct State {
    reducer: Reducer,
    size: Size,
    now_ms: u64,
    next_request: u64,
    tokens: Vec<(u64, String)>,
    configuration: Configuration,
    home_version: u64,
}

fn own() -> Incarnation {
    incarnation("entry-0000")
}

fn incarnation(instance: &str) -> Incarnation {
    Incarnation {
        instance: instance.to_string(),
        number: 4_503_599_627_370_497,
    }
}

fn peer(index: u64) -> String {
    format!("entry-{:04}", index + 1)
}

fn worker(index: u64) -> String {
    format!("worker-{index:04}")
}

fn key(customer: u64) -> KeyHash {
    KeyHash::of_key(&format!("key-{customer}"))
}

fn zone(index: u64) -> String {
    format!("zone-{:02}", index % 13)
}

impl State {
    /// Builds the state through events alone.
    ///
    /// # Errors
    ///
    /// If the reducer refuses something that the state needs.
    pub fn new(size: Size) -> eyre::Result<State> {
        let scheduler = SchedulerSettings::new(own(), zone(0), 7);
        let fleet =
            FleetSettings::new(own(), zone(0), "127.0.0.1:1", TokenKey::derive("bench"));
        let mut state = State {
            reducer: Reducer::new(scheduler, fleet, 1_700_000_000_000),
            size,
            now_ms: 1_000,
            next_request: 1,
            tokens: Vec::new(),
            configuration: configuration(size),
            home_version: 0,
        };
        // Programs are opened before the rest of the state makes events slow.
        let first = Size {
            workers: 1,
            peers: 0,
            ..size
        };
        state.configure(configuration(first));
        state.take_home()?;
        state.open_programs()?;
        state.configuration.revision += 1;
        let full = state.configuration.clone();
        state.configure(full);
        state.read_registrations();
        state.hear_peers();
        state.add_waiting()?;
        Ok(state)
    }

    fn configure(&mut self, configuration: Configuration) {
        let event = Event::ConfigurationChanged(Arc::new(configuration));
        self.schedule(event);
    }

    fn apply(&mut self, input: Input) -> Vec<Output> {
        self.reducer.apply(self.now_ms, input)
    }

    fn schedule(&mut self, event: Event) -> Vec<Output> {
        self.apply(Input::Schedule(event))
    }

    fn fleet(&mut self, event: FleetEvent) -> Vec<Output> {
        self.apply(Input::Fleet(event))
    }

    /// Gets the whole home weight, as the first instance of a fleet does.
    fn take_home(&mut self) -> eyre::Result<()> {
        let sent_at_ms = self.now_ms;
        self.fleet(FleetEvent::RegistrationRenewed { sent_at_ms });
        self.fleet(FleetEvent::RegistrationsRead {
            sent_at_ms,
            registered: vec![registered("entry-0000", 0)],
            own_lease: Some(1),
        });
        let outputs = self.fleet(FleetEvent::HomeWeightsRead {
            sent_at_ms,
            record: HomeRecord::default(),
            version: 0,
        });
        let record = outputs.into_iter().find_map(|output| match output {
            Output::Fleet(FleetEffect::WriteHomeWeights { record, .. }) => Some(record),
            _ => None,
        });
        let record = record.ok_or_else(|| eyre!("no home weight was written"))?;
        self.home_version = 1;
        self.fleet(FleetEvent::HomeWeightsRead {
            sent_at_ms,
            record,
            version: 1,
        });
        self.now_ms += 1_000;
        match self.reducer.is_ready(self.now_ms) {
            true => Ok(()),
            false => bail!("the reducer has no home share"),
        }
    }

    /// Opens the programs, each with one call that has ended.
    fn open_programs(&mut self) -> eyre::Result<()> {
        for index in 0..self.size.programs {
            // 20,000 programs are opened within 10 s of the reducer's time.
            self.now_ms = 2_000 + index / 2;
            let customer = index % self.size.customers;
            let token = self.open(customer)?;
            let id = self.dispatch(customer, Some(token.clone()))?;
            self.finish(id);
            self.tokens.push((customer, token));
        }
        Ok(())
    }

    fn open(&mut self, customer: u64) -> eyre::Result<String> {
        let event = self.open_event(customer).1;
        let outputs = self.schedule(event);
        let token = outputs.iter().find_map(|output| match output {
            Output::Schedule(Effect::Reply {
                reply: Reply::ProgramOpened { token, .. },
                ..
            }) => Some(token.clone()),
            _ => None,
        });
        token.ok_or_else(|| eyre!("program not opened: {outputs:?}"))
    }

    fn dispatch(
        &mut self,
        customer: u64,
        program: Option<String>,
    ) -> eyre::Result<RequestId> {
        let (id, event) = self.chat_event(customer, program, "model");
        let outputs = self.schedule(event);
        let dispatched = outputs
            .iter()
            .any(|output| matches!(output, Output::Schedule(Effect::Dispatch(_))));
        match dispatched {
            true => Ok(id),
            false => bail!("call not dispatched: {outputs:?}"),
        }
    }

    fn finish(&mut self, id: RequestId) {
        self.schedule(Event::CallSent { request_id: id });
        self.schedule(Event::FirstToken { request_id: id });
        self.schedule(finished(id));
    }

    fn read_registrations(&mut self) {
        let event = self.registrations_event();
        self.fleet(event);
    }

    fn hear_peers(&mut self) {
        for index in 0..self.size.peers {
            let event = heartbeat_event(index, false);
            self.fleet(event);
        }
    }

    fn add_waiting(&mut self) -> eyre::Result<()> {
        if self.size.waiting == 0 {
            return Ok(());
        }
        // Fills the only worker of the model, then lets calls wait for it.
        for index in 0..=self.size.waiting {
            let customer = index % self.size.customers;
            let event = self.chat_event(customer, None, "full-model").1;
            let outputs = self.schedule(event);
            let refused = outputs
                .iter()
                .any(|output| matches!(output, Output::Schedule(Effect::Refuse { .. })));
            if refused {
                bail!("call refused: {outputs:?}");
            }
        }
        Ok(())
    }

    fn next_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    fn chat_event(
        &mut self,
        customer: u64,
        program: Option<String>,
        model: &str,
    ) -> (RequestId, Event) {
        let id = self.next_id();
        let start = id.0 * 1_000;
        let operation = CallOperation::Chat {
            model: model.to_string(),
            max_tokens: Some(256),
            prompt_bound_tokens: 4_000,
            prefix_hashes: (start..start + PREFIXES).collect(),
        };
        (id, self.arrived(id, customer, program, operation))
    }

    fn open_event(&mut self, customer: u64) -> (RequestId, Event) {
        let id = self.next_id();
        let operation = CallOperation::OpenProgram {
            budget_tokens: None,
        };
        (id, self.arrived(id, customer, None, operation))
    }

    fn close_event(&mut self, customer: u64, token: String) -> (RequestId, Event) {
        let id = self.next_id();
        let operation = CallOperation::CloseProgram { token };
        (id, self.arrived(id, customer, None, operation))
    }

    fn arrived(
        &self,
        request_id: RequestId,
        customer: u64,
        program: Option<String>,
        operation: CallOperation,
    ) -> Event {
        Event::CallArrived(Box::new(CallArrived {
            request_id,
            key: Some(key(customer)),
            profile: None,
            program,
            parent: None,
            turn: None,
            epoch: None,
            idempotency_key: None,
            was_forwarded: false,
            operation,
        }))
    }

    fn registrations_event(&self) -> FleetEvent {
        let peers = (0..self.size.peers).map(|index| registered(&peer(index), index));
        FleetEvent::RegistrationsRead {
            sent_at_ms: self.now_ms,
            registered: peers.chain([registered("entry-0000", 0)]).collect(),
            own_lease: Some(1),
        }
    }

    fn home_event(&mut self) -> FleetEvent {
        self.home_version += 1;
        let weight_ppm = 1_000_000 / (self.size.peers as u32 + 1);
        let weight = |name: String| {
            let weight = HomeWeight {
                weight_ppm,
                incarnation: incarnation(&name),
                address: "127.0.0.1:1".to_string(),
                written_on: self.home_version - 1,
                settled_ppm: weight_ppm,
            };
            (name, weight)
        };
        let names = (0..self.size.peers)
            .map(peer)
            .chain(["entry-0000".to_string()]);
        FleetEvent::HomeWeightsRead {
            sent_at_ms: self.now_ms,
            record: HomeRecord {
                founder: None,
                released_ppm: 0,
                weights: names.map(weight).collect(),
            },
            version: self.home_version,
        }
    }

    fn loan_event(&self, index: u64) -> FleetEvent {
        FleetEvent::PeerMessage {
            from: peer(0),
            message: PeerMessage::LoanRequest(LoanRequest {
                id: LoanId {
                    borrower: incarnation(&peer(0)).to_string(),
                    sequence: index,
                },
                customer: format!("customer-{}", index % self.size.customers),
                weight_ppm: 0,
                wanted_ppm: 10,
                wanted_tokens_mreq: 2_000,
            }),
        }
    }

    /// Times each kind of event.
    ///
    /// # Errors
    ///
    /// If a call is not dispatched.
    pub fn time_all(&mut self) -> eyre::Result<Vec<Timing>> {
        let mut timings = Vec::new();
        timings.push(self.time("tick", REPETITIONS, |state, _| {
            state.now_ms += 1;
            Input::Schedule(Event::Tick)
        }));
        timings.push(
            self.time("tick with heartbeats", FEW_REPETITIONS, |state, _| {
                state.now_ms += 1_001;
                state.hear_peers();
                Input::Schedule(Event::Tick)
            }),
        );
        self.hear_peers();
        timings.push(self.time("store contact", REPETITIONS, |_, _| {
            Input::Schedule(Event::StoreContact { age_ms: 10 })
        }));
        timings.push(self.time("load report", REPETITIONS, |state, index| {
            Input::Schedule(Event::LoadReported {
                endpoint: worker(index % state.size.workers),
                report: LoadReport::default(),
            })
        }));
        self.time_calls(&mut timings)?;
        self.time_programs(&mut timings)?;
        timings.push(self.time("key withdrawn", REPETITIONS, |_, index| {
            let key = KeyHash::of_key(&format!("unknown-{index}"));
            Input::Schedule(Event::KeyWithdrawn { key })
        }));
        self.time_fleet(&mut timings);
        timings.push(
            self.time("configuration", SLOW_REPETITIONS, |state, index| {
                state.configuration.revision += 1;
                let name = format!("customer-{}", index % state.size.customers);
                if let Some(customer) = state.configuration.customers.get_mut(&name) {
                    customer.burst_mreq += 1;
                }
                let configuration = Arc::new(state.configuration.clone());
                Input::Schedule(Event::ConfigurationChanged(configuration))
            }),
        );
        Ok(timings)
    }

    fn time_calls(&mut self, timings: &mut Vec<Timing>) -> eyre::Result<()> {
        let mut ids = Vec::new();
        timings.push(self.time("call arrived", REPETITIONS, |state, index| {
            let customer = index % state.size.customers;
            let (id, event) = state.chat_event(customer, None, "model");
            ids.push(id);
            Input::Schedule(event)
        }));
        let with_id = |ids: &[RequestId], index: u64| ids[index as usize];
        timings.push(self.time("call sent", REPETITIONS, |_, index| {
            let request_id = with_id(&ids, index);
            Input::Schedule(Event::CallSent { request_id })
        }));
        timings.push(self.time("first token", REPETITIONS, |_, index| {
            let request_id = with_id(&ids, index);
            Input::Schedule(Event::FirstToken { request_id })
        }));
        timings.push(self.time("call finished", REPETITIONS, |_, index| {
            Input::Schedule(finished(with_id(&ids, index)))
        }));
        let mut gone = Vec::new();
        for index in 0..SLOW_REPETITIONS as u64 {
            gone.push(self.dispatch(index % self.size.customers, None)?);
        }
        timings.push(self.time("caller gone", SLOW_REPETITIONS, |_, index| {
            let request_id = with_id(&gone, index);
            Input::Schedule(Event::CallerGone { request_id })
        }));
        for id in gone {
            self.schedule(finished(id));
        }
        Ok(())
    }

    fn time_programs(&mut self, timings: &mut Vec<Timing>) -> eyre::Result<()> {
        if self.tokens.len() < 2 * REPETITIONS {
            return Ok(());
        }
        let mut ids = Vec::new();
        timings.push(
            self.time("program call arrived", REPETITIONS, |state, index| {
                let (customer, token) = state.tokens[index as usize].clone();
                let (id, event) = state.chat_event(customer, Some(token), "model");
                ids.push(id);
                Input::Schedule(event)
            }),
        );
        timings.push(self.time("program call finished", REPETITIONS, |_, index| {
            Input::Schedule(finished(ids[index as usize]))
        }));
        timings.push(self.time("program opened", REPETITIONS, |state, index| {
            Input::Schedule(state.open_event(index % state.size.customers).1)
        }));
        timings.push(self.time("program closed", REPETITIONS, |state, index| {
            let (customer, token) = state.tokens[REPETITIONS + index as usize].clone();
            Input::Schedule(state.close_event(customer, token).1)
        }));
        Ok(())
    }

    fn time_fleet(&mut self, timings: &mut Vec<Timing>) {
        timings.push(self.time("contact age", REPETITIONS, |_, _| {
            Input::Fleet(FleetEvent::StoreContactAge(Some(10)))
        }));
        timings.push(self.time("registration renewed", REPETITIONS, |state, _| {
            let sent_at_ms = state.now_ms;
            Input::Fleet(FleetEvent::RegistrationRenewed { sent_at_ms })
        }));
        if self.size.peers > 0 {
            timings.push(self.time("heartbeat", REPETITIONS, |state, index| {
                Input::Fleet(heartbeat_event(index % state.size.peers, false))
            }));
            timings.push(self.time("heartbeat answer", REPETITIONS, |state, index| {
                Input::Fleet(heartbeat_event(index % state.size.peers, true))
            }));
            timings.push(self.time("loan request", REPETITIONS, |state, index| {
                Input::Fleet(state.loan_event(index))
            }));
        }
        timings.push(
            self.time("registrations read", SLOW_REPETITIONS, |state, _| {
                Input::Fleet(state.registrations_event())
            }),
        );
        timings.push(
            self.time("home weights read", SLOW_REPETITIONS, |state, _| {
                Input::Fleet(state.home_event())
            }),
        );
    }

    fn time(
        &mut self,
        event: &str,
        repetitions: usize,
        mut input: impl FnMut(&mut State, u64) -> Input,
    ) -> Timing {
        let mut times_us: Vec<f64> = (0..repetitions as u64)
            .map(|index| {
                let input = input(self, index);
                let start = Instant::now();
                let outputs = self.reducer.apply(self.now_ms, input);
                let time_us = start.elapsed().as_nanos() as f64 / 1_000.0;
                drop(outputs);
                time_us
            })
            .collect();
        times_us.sort_by(f64::total_cmp);
        Timing {
            event: event.to_string(),
            median_us: times_us[times_us.len() / 2],
            slowest_us: times_us.last().copied().unwrap_or(0.0),
        }
    }
}

fn configuration(size: Size) -> Configuration {
    let customer = |index| {
        let contract = Customer {
            rate_mreq_per_s: UNLIMITED_MREQ,
            burst_mreq: UNLIMITED_MREQ,
            weight: 1,
        };
        (format!("customer-{index}"), contract)
    };
    let record = |index| {
        let record = CustomerKey {
            customer: format!("customer-{index}"),
            withdrawn: false,
        };
        (key(index), record)
    };
    let mut configuration = Configuration {
        revision: 1,
        customers: (0..size.customers).map(customer).collect(),
        keys: (0..size.customers).map(record).collect(),
        endpoints: (0..size.workers)
            .map(|index| (worker(index), endpoint(index, "model", WORKER_SLOTS)))
            .collect(),
        ..Configuration::default()
    };
    if size.waiting > 0 {
        let full = endpoint(0, "full-model", 1);
        configuration
            .endpoints
            .insert("worker-full".to_string(), full);
    }
    let profile = Profile {
        class: ClassOfService::Standard,
        max_wait_ms: 1_000_000_000,
        ..Profile::default()
    };
    configuration
        .profiles
        .insert("default".to_string(), profile);
    configuration
}

fn endpoint(index: u64, model: &str, slots: u32) -> Endpoint {
    Endpoint {
        kind: EndpointKind::ModelEngine,
        group: "models".to_string(),
        availability_zone: zone(index),
        address: format!("127.0.0.1:{}", 10_000 + index),
        models: vec![model.to_string()],
        versions: Default::default(),
        adapters: Default::default(),
        slots,
        checks_fencing: true,
        state: EndpointState::Active,
    }
}

fn finished(request_id: RequestId) -> Event {
    let usage = Some(TokenUsage {
        prompt_tokens: 1_000,
        cached_tokens: 900,
        generated_tokens: 200,
    });
    Event::CallFinished { request_id, usage }
}

fn registered(instance: &str, index: u64) -> RegisteredInstance {
    RegisteredInstance {
        incarnation: incarnation(instance),
        availability_zone: zone(index),
        peer_address: "127.0.0.1:1".to_string(),
        leaving: false,
    }
}

fn heartbeat_event(index: u64, is_answer: bool) -> FleetEvent {
    let heartbeat = Heartbeat {
        incarnation: incarnation(&peer(index)),
        availability_zone: zone(index),
        config_revision: 1,
        store_contact_age_ms: Some(100),
        state: InstanceState::Serving,
        running_calls: 20,
        waiting_calls: 0,
        peer_address: "127.0.0.1:8082".to_string(),
    };
    let message = match is_answer {
        true => PeerMessage::HeartbeatAnswer(heartbeat),
        false => PeerMessage::Heartbeat(heartbeat),
    };
    FleetEvent::PeerMessage {
        from: peer(index),
        message,
    }
}
