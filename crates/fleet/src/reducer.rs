//! [`Reducer`]: the state machine of one instance. It combines the scheduler with
//! [`FleetState`].

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jayreel_model::{Configuration, EngineOrder, Refusal, RequestId};
use jayreel_scheduler::event::CallArrived;
use jayreel_scheduler::program_admission::{
    CallOutcome, ProgramAdmission, ProgramCall, ProgramChanges, ProgramDecision,
};
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};
use jayreel_scheduler::{Effect, Event, Scheduler, SchedulerBuilder, SchedulerSettings};

use crate::event::{FleetEffect, FleetEvent};
use crate::fleet::FleetState;
use crate::model_reconciler::NeededUnload;
use crate::settings::FleetSettings;
use crate::status::FleetStatus;

/// One input of the reducer.
#[derive(Clone, Debug)]
pub enum Input {
    /// An event from peers, the store or the reports of engines.
    Fleet(FleetEvent),
    /// An event from callers or endpoints, a new configuration, or the timer.
    Schedule(Event),
}

/// One output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// An action towards peers or the store, or an order to an engine.
    Fleet(FleetEffect),
    /// An action towards callers or endpoints.
    Schedule(Effect),
}

/// The state machine of one instance. It runs on a single thread.
#[derive(Debug)]
pub struct Reducer {
    scheduler: Scheduler,
    fleet: SharedFleet,
    /// Number of live instances and the index of this one among them, as the scheduler last
    /// received them.
    position: (u32, u32),
}

impl Reducer {
    /// The reducer of a process that has just started. `unix_ms_at_zero` is the Unix time
    /// in milliseconds at which the monotonic clock was 0.
    pub fn new(
        scheduler: SchedulerSettings,
        fleet: FleetSettings,
        unix_ms_at_zero: u64,
    ) -> Reducer {
        let fleet = SharedFleet::new(FleetState::new(fleet, unix_ms_at_zero));
        let scheduler = SchedulerBuilder::new(scheduler)
            .programs(Box::new(fleet.clone()))
            .quota(Box::new(fleet.clone()))
            .build();
        Reducer {
            scheduler,
            fleet,
            position: (1, 0),
        }
    }

    /// Applies one input at `now_ms`, in milliseconds of the monotonic clock, and returns
    /// the actions to carry out, in order.
    pub fn apply(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        let mut effects = Vec::new();
        // The count of live peers visits all peers, so it is updated only at ticks, which
        // come every 50 ms.
        let updates_position = matches!(input, Input::Schedule(Event::Tick));
        match input {
            Input::Schedule(event) => {
                self.apply_to_fleet(now_ms, &event);
                effects.extend(self.scheduler.apply(now_ms, event));
            }
            Input::Fleet(event) => {
                let affects_calls = event.affects_calls();
                self.fleet.lock().apply(now_ms, event);
                if affects_calls {
                    effects.extend(self.scheduler.apply(now_ms, Event::AdmissionChanged));
                }
            }
        }
        if updates_position {
            effects.extend(self.update_position(now_ms));
        }
        let fleet_effects = self.fleet.lock().take_effects();
        let scheduled = effects.into_iter().map(Output::Schedule);
        scheduled
            .chain(fleet_effects.into_iter().map(Output::Fleet))
            .collect()
    }

    /// The status that operators can query.
    pub fn status(&self, now_ms: u64) -> FleetStatus {
        self.fleet.lock().status(now_ms)
    }

    /// Whether the instance can serve calls: it has a configuration, and its own or a
    /// borrowed share of the customers' rates.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.fleet.lock().is_ready(now_ms)
    }

    /// Number of calls in the scheduler that have not ended.
    pub fn call_count(&self) -> usize {
        self.scheduler.call_count()
    }

    /// Whether a planned stop has handed over all programs and keys and returned all loans
    /// and the home share.
    pub fn is_stopped(&self, now_ms: u64) -> bool {
        self.fleet.lock().is_stopped(now_ms)
    }

    fn apply_to_fleet(&self, now_ms: u64, event: &Event) {
        let mut fleet = self.fleet.lock();
        match event {
            Event::ConfigurationChanged(configuration) => {
                let configuration = Arc::clone(configuration);
                fleet.apply(now_ms, FleetEvent::ConfigurationChanged(configuration));
            }
            Event::DrainStarted => fleet.apply(now_ms, FleetEvent::StopStarted),
            Event::Tick => {
                fleet.set_waiting_calls(self.scheduler.waiting_count());
                let permitted = self.permitted_unloads(fleet.needed_unloads());
                fleet.set_permitted_unloads(permitted);
                fleet.apply(now_ms, FleetEvent::Tick);
            }
            _ => fleet.set_now(now_ms),
        }
    }

    /// Those of the needed unloads whose model or adapter no call of this instance uses.
    fn permitted_unloads(
        &self,
        needed: Vec<NeededUnload>,
    ) -> BTreeSet<(String, EngineOrder)> {
        let is_used = |unload: &NeededUnload| {
            let mut names = unload.names.iter();
            names.any(|name| {
                self.scheduler.has_call_dispatched_by(
                    &unload.endpoint,
                    name,
                    unload.since_ms,
                )
            })
        };
        needed
            .into_iter()
            .filter(|unload| !is_used(unload))
            .map(|unload| (unload.endpoint, unload.order))
            .collect()
    }

    fn update_position(&mut self, now_ms: u64) -> Vec<Effect> {
        let position = self.fleet.lock().position(now_ms);
        if position == self.position {
            return Vec::new();
        }
        self.position = position;
        let (live_instances, position) = position;
        let event = Event::FleetChanged {
            live_instances,
            position,
        };
        self.scheduler.apply(now_ms, event)
    }
}

/// Shares [`FleetState`] between the reducer and the scheduler, which calls it for program
/// and quota admission. The reducer runs on one thread, so the lock is never contended.
#[derive(Clone, Debug)]
struct SharedFleet(Arc<Mutex<FleetState>>);

impl SharedFleet {
    fn new(fleet: FleetState) -> SharedFleet {
        SharedFleet(Arc::new(Mutex::new(fleet)))
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ProgramAdmission for SharedFleet {
    fn profile(
        &self,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<Option<String>, Refusal> {
        self.lock().profile(arrived, customer)
    }

    fn admit(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision {
        self.lock().admit(now_ms, call)
    }

    fn end(&mut self, now_ms: u64, request_id: RequestId, outcome: CallOutcome) {
        self.lock().end(now_ms, request_id, outcome);
    }

    fn take_changes(&mut self, now_ms: u64) -> ProgramChanges {
        self.lock().take_changes(now_ms)
    }
}

impl QuotaAdmission for SharedFleet {
    fn configure(&mut self, now_ms: u64, configuration: &Configuration) {
        self.lock().configure(now_ms, configuration);
    }

    fn take(&mut self, now_ms: u64, customer: &str) -> QuotaDecision {
        self.lock().take(now_ms, customer)
    }

    fn sent(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64) {
        self.lock().sent(now_ms, customer, taken_at_ms);
    }

    fn give_back(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64) {
        self.lock().give_back(now_ms, customer, taken_at_ms);
    }
}
