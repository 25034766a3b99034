//! Simulation of several instances that share engines, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use jayreel_model::{Incarnation, RequestId};
use jayreel_scheduler::event::LoadReport;
use jayreel_scheduler::{Effect, Event, Scheduler, SchedulerBuilder, SchedulerSettings};

use crate::harness::{LOCAL_ZONE, chat, configuration, profile_with};

const STEP_MS: u64 = 10;
const SERVICE_MS: u64 = 400;
const REPORT_INTERVAL_MS: u64 = 100;
const REPORT_LAG_MS: u64 = 150;

/// A running call at an engine: index of the instance, id of the call, and end time.
type EngineCall = (usize, u64, u64);

#[derive(Default)]
struct Engine {
    slots: usize,
    running: Vec<EngineCall>,
    waiting: VecDeque<(usize, u64)>,
}

impl Engine {
    fn step(&mut self, now_ms: u64) -> Vec<EngineCall> {
        let ended = |call: &EngineCall| call.2 <= now_ms;
        let (done, running) = self.running.drain(..).partition(ended);
        self.running = running;
        while self.running.len() < self.slots {
            let Some((instance, id)) = self.waiting.pop_front() else {
                break;
            };
            // Varies the service time, so that the calls do not all end at once.
            let service_ms = SERVICE_MS / 2 + (id * 7 % 11) * SERVICE_MS / 10;
            self.running.push((instance, id, now_ms + service_ms));
        }
        done
    }
}

/// Simulated instances and engines. Each instance keeps a given number of calls unfinished.
pub struct Simulation {
    schedulers: Vec<Scheduler>,
    engines: BTreeMap<String, Engine>,
    reports: VecDeque<(u64, String, LoadReport)>,
    unfinished: Vec<u64>,
    now_ms: u64,
    next_id: u64,
    /// Number of finished calls of each instance.
    pub finished: Vec<u64>,
    /// Maximum number of calls that waited at one engine.
    pub most_waiting: usize,
    waiting_sum: usize,
    running_sum: usize,
    slot_sum: usize,
}

impl Simulation {
    pub fn new(instances: u32, worker_slots: &[u32]) -> Simulation {
        let mut configuration = configuration(&["a"], worker_slots);
        let profile = profile_with(|profile| profile.max_wait_ms = 10_000_000);
        configuration
            .profiles
            .insert("default".to_string(), profile);
        let schedulers = (0..instances).map(|position| {
            let incarnation = Incarnation {
                instance: format!("i{position}"),
                number: 1,
            };
            let seed = u64::from(position);
            let settings = SchedulerSettings::new(incarnation, LOCAL_ZONE, seed);
            let mut scheduler = SchedulerBuilder::new(settings).build();
            let configuration = configuration.clone().into();
            scheduler.apply(0, Event::ConfigurationChanged(configuration));
            let live_instances = instances;
            let fleet = Event::FleetChanged {
                live_instances,
                position,
            };
            scheduler.apply(0, fleet);
            scheduler
        });
        let engines = worker_slots.iter().enumerate().map(|(index, slots)| {
            let engine = Engine {
                slots: *slots as usize,
                ..Engine::default()
            };
            (format!("w{index}"), engine)
        });
        Simulation {
            schedulers: schedulers.collect(),
            engines: engines.collect(),
            reports: VecDeque::new(),
            unfinished: vec![0; instances as usize],
            now_ms: 0,
            next_id: 1,
            finished: vec![0; instances as usize],
            most_waiting: 0,
            waiting_sum: 0,
            running_sum: 0,
            slot_sum: 0,
        }
    }

    /// Runs for `duration_ms`, and keeps `target(instance)` calls unfinished at each instance.
    pub fn run(&mut self, duration_ms: u64, target: impl Fn(usize) -> u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.finish_calls();
            self.send_reports();
            for instance in 0..self.schedulers.len() {
                while self.unfinished[instance] < target(instance) {
                    self.unfinished[instance] += 1;
                    let call = chat(self.next_id, "a");
                    self.next_id += 1;
                    self.apply(instance, Event::CallArrived(Box::new(call)));
                }
                self.apply(instance, Event::Tick);
            }
            for engine in self.engines.values() {
                self.most_waiting = self.most_waiting.max(engine.waiting.len());
                self.waiting_sum += engine.waiting.len();
                self.running_sum += engine.running.len();
                self.slot_sum += engine.slots;
            }
        }
    }

    /// Resets all counts, to exclude a warm-up phase.
    pub fn reset_counts(&mut self) {
        self.finished.fill(0);
        self.most_waiting = 0;
        self.waiting_sum = 0;
        self.running_sum = 0;
        self.slot_sum = 0;
    }

    /// Mean number of slots in use, in percent of all slots.
    pub fn mean_running_percent(&self) -> usize {
        self.running_sum * 100 / self.slot_sum
    }

    /// Mean number of calls that waited in the engines, in percent of the slots.
    pub fn mean_waiting_percent(&self) -> usize {
        self.waiting_sum * 100 / self.slot_sum
    }

    fn finish_calls(&mut self) {
        let now_ms = self.now_ms;
        let engines = self.engines.values_mut();
        let done: Vec<EngineCall> =
            engines.flat_map(|engine| engine.step(now_ms)).collect();
        for (instance, id, _) in done {
            self.finished[instance] += 1;
            self.unfinished[instance] -= 1;
            let event = Event::CallFinished {
                request_id: RequestId(id),
                usage: None,
            };
            self.apply(instance, event);
        }
    }

    fn send_reports(&mut self) {
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            for (name, engine) in &self.engines {
                let report = LoadReport {
                    running: engine.running.len() as u32,
                    waiting: engine.waiting.len() as u32,
                    age_ms: REPORT_LAG_MS,
                };
                let due_ms = self.now_ms + REPORT_LAG_MS;
                self.reports.push_back((due_ms, name.clone(), report));
            }
        }
        while self.reports.front().is_some_and(|r| r.0 <= self.now_ms) {
            let (_, endpoint, report) = self.reports.pop_front().unwrap();
            for instance in 0..self.schedulers.len() {
                let endpoint = endpoint.clone();
                self.apply(instance, Event::LoadReported { endpoint, report });
            }
        }
    }

    fn apply(&mut self, instance: usize, event: Event) {
        for effect in self.schedulers[instance].apply(self.now_ms, event) {
            if let Effect::Dispatch(dispatch) = effect {
                let engine = self.engines.get_mut(&dispatch.endpoint).unwrap();
                engine.waiting.push_back((instance, dispatch.request_id.0));
            }
        }
    }
}
