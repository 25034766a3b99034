//! Builds a reducer with a state of a given size, and times events on it.

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

/// Rate and burst of each customer. Too large for a call to wait because of a rate limit.
const UNLIMITED_MREQ: u64 = 1_000_000_000;
/// Slots of each worker. Large enough for each of 690 instances to be allowed some of them.
const WORKER_SLOTS: u32 = 10_000;
/// Prefix hashes of a call. There is one for each message, so this is the longest history of a
/// program.
const PREFIX_HASHES: u64 = 40;
/// How often most events are timed. So few events hardly change the size of the state.
const REPETITIONS: usize = 100;
/// How often events are timed that take milliseconds.
const SLOW_EVENT_REPETITIONS: usize = 20;
/// How often events are timed whose preparation takes long.
const SLOW_SETUP_REPETITIONS: usize = 5;

/// Number of items in each part of the state. Printed through `Debug` at the head of the
/// report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Size {
    /// Open programs, all owned by this instance.
    pub programs: u64,
    /// Model engines in the configuration.
    pub workers: u64,
    /// Customers, each with one key.
    pub customers: u64,
    /// Other live instances.
    pub peers: u64,
    /// Calls that wait because the only worker of their model has no free slot.
    pub waiting: u64,
}

/// Times that the reducer took for one kind of event.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Timing {
    /// Label of the event in the printed table.
    pub event: String,
    /// Median over all repetitions, in microseconds.
    pub median_us: f64,
    /// Slowest repetition, in microseconds.
    pub slowest_us: f64,
}

/// A reducer, together with the data needed to construct valid events for its state.
pub struct State {
    reducer: Reducer,
    size: Size,
    now_ms: u64,
    next_request: u64,
    /// Customer and token of each open program.
    program_tokens: Vec<(u64, String)>,
    configuration: Configuration,
    /// Store version of the last record of home weights given to the reducer.
    home_version: u64,
}

/// The incarnation of the instance whose reducer is measured.
fn own_incarnation() -> Incarnation {
    incarnation("entry-0000")
}

fn incarnation(instance: &str) -> Incarnation {
    Incarnation {
        instance: instance.to_string(),
        number: 4_503_599_627_370_497,
    }
}

fn peer_name(index: u64) -> String {
    format!("entry-{:04}", index + 1)
}

fn worker_name(index: u64) -> String {
    format!("worker-{index:04}")
}

fn customer_key(customer: u64) -> KeyHash {
    KeyHash::of_key(&format!("key-{customer}"))
}

fn zone_name(index: u64) -> String {
    format!("zone-{:02}", index % 13)
}

impl State {
    /// Builds the state by applying events to a new reducer, as in a running instance.
    ///
    /// # Errors
    ///
    /// If the reducer refuses a program or call, or does not become ready.
    pub fn new(size: Size) -> eyre::Result<State> {
        let scheduler = SchedulerSettings::new(own_incarnation(), zone_name(0), 7);
        let fleet = FleetSettings::new(
            own_incarnation(),
            zone_name(0),
            "127.0.0.1:1",
            TokenKey::derive("bench"),
        );
        let mut state = State {
            reducer: Reducer::new(scheduler, fleet, 1_700_000_000_000),
            size,
            now_ms: 1_000,
            next_request: 1,
            program_tokens: Vec::new(),
            configuration: configuration(size),
            home_version: 0,
        };
        // Opens the programs in a small fleet with one worker, since events take longer once
        // the rest of the state has been added.
        let opening_size = Size {
            workers: 1,
            peers: 0,
            ..size
        };
        state.configure(configuration(opening_size));
        state.acquire_home_weight()?;
        state.open_programs()?;
        state.configuration.revision += 1;
        let full_configuration = state.configuration.clone();
        state.configure(full_configuration);
        state.apply_registrations();
        state.receive_heartbeats();
        state.add_waiting_calls()?;
        Ok(state)
    }

    fn configure(&mut self, configuration: Configuration) {
        let event = Event::ConfigurationChanged(Arc::new(configuration));
        self.apply_scheduler_event(event);
    }

    fn apply(&mut self, input: Input) -> Vec<Output> {
        self.reducer.apply(self.now_ms, input)
    }

    fn apply_scheduler_event(&mut self, event: Event) -> Vec<Output> {
        self.apply(Input::Schedule(event))
    }

    fn apply_fleet_event(&mut self, event: FleetEvent) -> Vec<Output> {
        self.apply(Input::Fleet(event))
    }

    /// Acquires the whole home weight, as the first instance of a fleet does. The reducer is
    /// not ready before it has a home share.
    fn acquire_home_weight(&mut self) -> eyre::Result<()> {
        let sent_at_ms = self.now_ms;
        self.apply_fleet_event(FleetEvent::RegistrationRenewed { sent_at_ms });
        self.apply_fleet_event(FleetEvent::RegistrationsRead {
            sent_at_ms,
            registered: vec![registered_instance("entry-0000", 0)],
            own_lease: Some(1),
        });
        let outputs = self.apply_fleet_event(FleetEvent::HomeWeightsRead {
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
        self.apply_fleet_event(FleetEvent::HomeWeightsRead {
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

    /// Opens the programs and completes one call in each.
    fn open_programs(&mut self) -> eyre::Result<()> {
        for index in 0..self.size.programs {
            // Advances the reducer's clock by 1 ms for every two programs, so that 20,000
            // programs are opened within 10 s.
            self.now_ms = 2_000 + index / 2;
            let customer = index % self.size.customers;
            let token = self.open_program(customer)?;
            let id = self.dispatch_call(customer, Some(token.clone()))?;
            self.finish_call(id);
            self.program_tokens.push((customer, token));
        }
        Ok(())
    }

    fn open_program(&mut self, customer: u64) -> eyre::Result<String> {
        let event = self.open_program_event(customer).1;
        let outputs = self.apply_scheduler_event(event);
        let token = outputs.iter().find_map(|output| match output {
            Output::Schedule(Effect::Reply {
                reply: Reply::ProgramOpened { token, .. },
                ..
            }) => Some(token.clone()),
            _ => None,
        });
        token.ok_or_else(|| eyre!("program not opened: {outputs:?}"))
    }

    /// Applies the arrival of a model call and checks that the reducer dispatches it at once.
    fn dispatch_call(
        &mut self,
        customer: u64,
        program: Option<String>,
    ) -> eyre::Result<RequestId> {
        let (id, event) = self.chat_event(customer, program, "model");
        let outputs = self.apply_scheduler_event(event);
        let dispatched = outputs
            .iter()
            .any(|output| matches!(output, Output::Schedule(Effect::Dispatch(_))));
        match dispatched {
            true => Ok(id),
            false => bail!("call not dispatched: {outputs:?}"),
        }
    }

    fn finish_call(&mut self, id: RequestId) {
        self.apply_scheduler_event(Event::CallSent { request_id: id });
        self.apply_scheduler_event(Event::FirstToken { request_id: id });
        self.apply_scheduler_event(call_finished_event(id));
    }

    fn apply_registrations(&mut self) {
        let event = self.registrations_event();
        self.apply_fleet_event(event);
    }

    /// Applies one heartbeat from each peer.
    fn receive_heartbeats(&mut self) {
        for index in 0..self.size.peers {
            let event = heartbeat_event(index, false);
            self.apply_fleet_event(event);
        }
    }

    /// Adds the calls that wait for the worker of `full-model`, which has one slot.
    fn add_waiting_calls(&mut self) -> eyre::Result<()> {
        if self.size.waiting == 0 {
            return Ok(());
        }
        // The first call takes the only slot for the model, and all others wait for it.
        for index in 0..=self.size.waiting {
            let customer = index % self.size.customers;
            let event = self.chat_event(customer, None, "full-model").1;
            let outputs = self.apply_scheduler_event(event);
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
            prefix_hashes: (start..start + PREFIX_HASHES).collect(),
        };
        (
            id,
            self.call_arrived_event(id, customer, program, operation),
        )
    }

    fn open_program_event(&mut self, customer: u64) -> (RequestId, Event) {
        let id = self.next_id();
        let operation = CallOperation::OpenProgram {
            budget_tokens: None,
        };
        (id, self.call_arrived_event(id, customer, None, operation))
    }

    fn close_program_event(
        &mut self,
        customer: u64,
        token: String,
    ) -> (RequestId, Event) {
        let id = self.next_id();
        let operation = CallOperation::CloseProgram { token };
        (id, self.call_arrived_event(id, customer, None, operation))
    }

    fn call_arrived_event(
        &self,
        request_id: RequestId,
        customer: u64,
        program: Option<String>,
        operation: CallOperation,
    ) -> Event {
        Event::CallArrived(Box::new(CallArrived {
            request_id,
            key: Some(customer_key(customer)),
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
        let peers = (0..self.size.peers)
            .map(|index| registered_instance(&peer_name(index), index));
        FleetEvent::RegistrationsRead {
            sent_at_ms: self.now_ms,
            registered: peers
                .chain([registered_instance("entry-0000", 0)])
                .collect(),
            own_lease: Some(1),
        }
    }

    fn home_weights_event(&mut self) -> FleetEvent {
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
            .map(peer_name)
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

    /// A request by the first peer to borrow a part of a customer's quota.
    fn loan_request_event(&self, index: u64) -> FleetEvent {
        FleetEvent::PeerMessage {
            from: peer_name(0),
            message: PeerMessage::LoanRequest(LoanRequest {
                id: LoanId {
                    borrower: incarnation(&peer_name(0)).to_string(),
                    sequence: index,
                },
                customer: format!("customer-{}", index % self.size.customers),
                weight_ppm: 0,
                wanted_ppm: 10,
                wanted_tokens_mreq: 2_000,
            }),
        }
    }

    /// Times each kind of event. The labels appear in the printed table.
    ///
    /// # Errors
    ///
    /// If the reducer does not dispatch a call that must run before an event can be timed.
    pub fn time_all(&mut self) -> eyre::Result<Vec<Timing>> {
        let mut timings = Vec::new();
        timings.push(self.time("tick", REPETITIONS, |state, _| {
            state.now_ms += 1;
            Input::Schedule(Event::Tick)
        }));
        timings.push(self.time(
            "tick with heartbeats",
            SLOW_SETUP_REPETITIONS,
            |state, _| {
                state.now_ms += 1_001;
                state.receive_heartbeats();
                Input::Schedule(Event::Tick)
            },
        ));
        self.receive_heartbeats();
        timings.push(self.time("store contact", REPETITIONS, |_, _| {
            Input::Schedule(Event::StoreContact { age_ms: 10 })
        }));
        timings.push(self.time("load report", REPETITIONS, |state, index| {
            Input::Schedule(Event::LoadReported {
                endpoint: worker_name(index % state.size.workers),
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
        timings.push(self.time(
            "configuration",
            SLOW_EVENT_REPETITIONS,
            |state, index| {
                state.configuration.revision += 1;
                let name = format!("customer-{}", index % state.size.customers);
                if let Some(customer) = state.configuration.customers.get_mut(&name) {
                    customer.burst_mreq += 1;
                }
                let configuration = Arc::new(state.configuration.clone());
                Input::Schedule(Event::ConfigurationChanged(configuration))
            },
        ));
        Ok(timings)
    }

    /// Times the events in the life of a call that belongs to no program.
    fn time_calls(&mut self, timings: &mut Vec<Timing>) -> eyre::Result<()> {
        let mut ids = Vec::new();
        timings.push(self.time("call arrived", REPETITIONS, |state, index| {
            let customer = index % state.size.customers;
            let (id, event) = state.chat_event(customer, None, "model");
            ids.push(id);
            Input::Schedule(event)
        }));
        let id_at = |ids: &[RequestId], index: u64| ids[index as usize];
        timings.push(self.time("call sent", REPETITIONS, |_, index| {
            let request_id = id_at(&ids, index);
            Input::Schedule(Event::CallSent { request_id })
        }));
        timings.push(self.time("first token", REPETITIONS, |_, index| {
            let request_id = id_at(&ids, index);
            Input::Schedule(Event::FirstToken { request_id })
        }));
        timings.push(self.time("call finished", REPETITIONS, |_, index| {
            Input::Schedule(call_finished_event(id_at(&ids, index)))
        }));
        let mut dispatched = Vec::new();
        for index in 0..SLOW_EVENT_REPETITIONS as u64 {
            dispatched.push(self.dispatch_call(index % self.size.customers, None)?);
        }
        timings.push(
            self.time("caller gone", SLOW_EVENT_REPETITIONS, |_, index| {
                let request_id = id_at(&dispatched, index);
                Input::Schedule(Event::CallerGone { request_id })
            }),
        );
        for id in dispatched {
            self.apply_scheduler_event(call_finished_event(id));
        }
        Ok(())
    }

    /// Times opening and closing programs and the calls in them. Does nothing if the state has
    /// too few programs for each repetition to use a different one.
    fn time_programs(&mut self, timings: &mut Vec<Timing>) -> eyre::Result<()> {
        if self.program_tokens.len() < 2 * REPETITIONS {
            return Ok(());
        }
        let mut ids = Vec::new();
        timings.push(
            self.time("program call arrived", REPETITIONS, |state, index| {
                let (customer, token) = state.program_tokens[index as usize].clone();
                let (id, event) = state.chat_event(customer, Some(token), "model");
                ids.push(id);
                Input::Schedule(event)
            }),
        );
        timings.push(self.time("program call finished", REPETITIONS, |_, index| {
            Input::Schedule(call_finished_event(ids[index as usize]))
        }));
        timings.push(self.time("program opened", REPETITIONS, |state, index| {
            Input::Schedule(state.open_program_event(index % state.size.customers).1)
        }));
        timings.push(self.time("program closed", REPETITIONS, |state, index| {
            let (customer, token) =
                state.program_tokens[REPETITIONS + index as usize].clone();
            Input::Schedule(state.close_program_event(customer, token).1)
        }));
        Ok(())
    }

    /// Times messages from peers and responses of the store.
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
                Input::Fleet(state.loan_request_event(index))
            }));
        }
        timings.push(self.time(
            "registrations read",
            SLOW_EVENT_REPETITIONS,
            |state, _| Input::Fleet(state.registrations_event()),
        ));
        timings.push(self.time(
            "home weights read",
            SLOW_EVENT_REPETITIONS,
            |state, _| Input::Fleet(state.home_weights_event()),
        ));
    }

    /// Times `repetitions` events, which `input` creates. The time of `input` itself does not
    /// count.
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
        let record = Customer {
            rate_mreq_per_s: UNLIMITED_MREQ,
            burst_mreq: UNLIMITED_MREQ,
            weight: 1,
        };
        (format!("customer-{index}"), record)
    };
    let record = |index| {
        let record = CustomerKey {
            customer: format!("customer-{index}"),
            withdrawn: false,
        };
        (customer_key(index), record)
    };
    let mut configuration = Configuration {
        revision: 1,
        customers: (0..size.customers).map(customer).collect(),
        keys: (0..size.customers).map(record).collect(),
        endpoints: (0..size.workers)
            .map(|index| (worker_name(index), endpoint(index, "model", WORKER_SLOTS)))
            .collect(),
        ..Configuration::default()
    };
    if size.waiting > 0 {
        let full_worker = endpoint(0, "full-model", 1);
        configuration
            .endpoints
            .insert("worker-full".to_string(), full_worker);
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
        availability_zone: zone_name(index),
        address: format!("127.0.0.1:{}", 10_000 + index),
        models: vec![model.to_string()],
        versions: Default::default(),
        adapters: Default::default(),
        slots,
        checks_fencing: true,
        state: EndpointState::Active,
    }
}

fn call_finished_event(request_id: RequestId) -> Event {
    let usage = Some(TokenUsage {
        prompt_tokens: 1_000,
        cached_tokens: 900,
        generated_tokens: 200,
    });
    Event::CallFinished { request_id, usage }
}

fn registered_instance(instance: &str, index: u64) -> RegisteredInstance {
    RegisteredInstance {
        incarnation: incarnation(instance),
        availability_zone: zone_name(index),
        peer_address: "127.0.0.1:1".to_string(),
        leaving: false,
    }
}

fn heartbeat_event(index: u64, is_answer: bool) -> FleetEvent {
    let heartbeat = Heartbeat {
        incarnation: incarnation(&peer_name(index)),
        availability_zone: zone_name(index),
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
        from: peer_name(index),
        message,
    }
}
