//! A deterministic model of endpoints and entry instances without a network: endpoints with
//! different speeds and a queue each, machines that are slowed for a while, and instances that
//! learn of loads only from the responses to their own requests.

use std::collections::{HashMap, VecDeque};

use jayreel_gateway::{Balancer, EndpointEntry, EndpointKey, Load, PickRequest};
use jayreel_placement::AffinityKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time to read a history that an engine does not hold, in which it serves no other request, in
/// milliseconds.
const READ_MS: f64 = 10.0;

/// Number of histories that one engine holds.
const HELD_HISTORIES: usize = 25;

pub fn entry(id: &str, zone: &str, slots: u32) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: zone.to_string(),
        slots,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: Some(1),
    }
}

/// Mean number of turns of a program.
const TURNS_PER_PROGRAM: f64 = 10.0;

/// The load and the machines of a model.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    pub seed: u64,
    /// Number of instances, all in zone `a`.
    pub instances: usize,
    /// Time per request of each endpoint, relative to `request_ms`.
    pub speeds: Vec<f64>,
    pub slots: u32,
    pub request_ms: f64,
    pub arrivals_per_s: f64,
    /// Number of programs at a time, to which requests belong at random. 0 for requests without
    /// programs.
    pub programs: usize,
    /// Share of the turns that arrive at the instance of the program's turn before.
    pub same_instance: f64,
    pub has_program_affinity: bool,
}

impl Default for ModelSettings {
    fn default() -> ModelSettings {
        ModelSettings {
            seed: 7,
            instances: 50,
            speeds: Vec::new(),
            slots: 6,
            request_ms: 100.0,
            arrivals_per_s: 100.0,
            programs: 0,
            same_instance: 0.0,
            has_program_affinity: false,
        }
    }
}

/// What callers and endpoints saw.
#[derive(Clone, Debug)]
pub struct ModelResult {
    pub p50_ms: f64,
    pub p95_ms: f64,
    /// Share of the requests whose history was held.
    pub cached_share: f64,
}

#[derive(Clone, Debug)]
struct Request {
    arrived_ms: u64,
    instance: usize,
    /// The endpoint's key at the instance.
    key: EndpointKey,
    program: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct ModelProgram {
    id: usize,
    turns: u32,
    instance: usize,
}

#[derive(Debug, Default)]
struct ModelEndpoint {
    running: Vec<(f64, Request)>,
    waiting: VecDeque<Request>,
    /// Most recently used last.
    histories: VecDeque<usize>,
}

/// A running model.
pub struct FleetModel {
    settings: ModelSettings,
    random: StdRng,
    endpoints: Vec<ModelEndpoint>,
    balancers: Vec<Balancer>,
    /// The programs that are active.
    programs: Vec<ModelProgram>,
    /// By instance and program: the program's last turn there, and its endpoint.
    last_endpoints: Vec<HashMap<usize, (u32, String, EndpointKey)>>,
    latencies_ms: Vec<f64>,
    cached: usize,
    started: usize,
}

impl FleetModel {
    pub fn new(settings: &ModelSettings) -> FleetModel {
        let mut balancer_of_zone: Vec<Balancer> = Vec::new();
        for _ in 0..settings.instances {
            let mut balancer = Balancer::new("a");
            if settings.has_program_affinity {
                balancer.enable_program_affinity();
            }
            for number in 0..settings.speeds.len() {
                balancer.upsert(entry(&number.to_string(), "a", settings.slots));
            }
            balancer_of_zone.push(balancer);
        }
        FleetModel {
            random: StdRng::seed_from_u64(settings.seed),
            endpoints: settings
                .speeds
                .iter()
                .map(|_| ModelEndpoint::default())
                .collect(),
            balancers: balancer_of_zone,
            programs: (0..settings.programs)
                .map(|id| ModelProgram {
                    id,
                    ..ModelProgram::default()
                })
                .collect(),
            last_endpoints: vec![HashMap::new(); settings.instances],
            latencies_ms: Vec::new(),
            cached: 0,
            started: 0,
            settings: settings.clone(),
        }
    }

    /// Runs for some time, in steps of a millisecond.
    pub fn run(mut self, duration_ms: u64) -> ModelResult {
        let mut next_ms = 0.0;
        for now_ms in 0..duration_ms {
            while next_ms <= now_ms as f64 {
                let uniform = 1.0 - self.random.random::<f64>();
                next_ms -= uniform.ln() * 1_000.0 / self.settings.arrivals_per_s;
                self.arrive(now_ms);
            }
            for number in 0..self.endpoints.len() {
                self.complete(now_ms, number);
                self.start_waiting(now_ms, number);
            }
        }
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        ModelResult {
            p50_ms: self.latencies_ms[count / 2],
            p95_ms: self.latencies_ms[count * 95 / 100],
            cached_share: self.cached as f64 / self.started as f64,
        }
    }

    /// The program of the next request, with this request counted.
    fn next_turn(&mut self) -> ModelProgram {
        if self.programs.is_empty() {
            return ModelProgram::default();
        }
        let index = self.random.random_range(0..self.programs.len());
        if self.random.random::<f64>() < 1.0 / TURNS_PER_PROGRAM {
            let newest = self.programs.iter().map(|program| program.id).max();
            self.programs[index] = ModelProgram {
                id: newest.unwrap_or_default() + 1,
                ..ModelProgram::default()
            };
        }
        self.programs[index].turns += 1;
        self.programs[index]
    }

    fn arrive(&mut self, now_ms: u64) {
        let mut program = self.next_turn();
        if self.random.random::<f64>() >= self.settings.same_instance
            || program.turns == 1
        {
            program.instance = self.random.random_range(0..self.settings.instances);
        }
        if let Some(active) = self
            .programs
            .iter_mut()
            .find(|active| active.id == program.id)
        {
            *active = program;
        }
        let (instance, turn) = (program.instance, program.turns);
        let program = program.id;
        let has_program = self.settings.programs > 0;
        let last = self.last_endpoints[instance].get(&program).cloned();
        let request = PickRequest {
            last_endpoint: last.as_ref().map(|(_, id, _)| id.as_str()),
            previous_turn: last
                .as_ref()
                .filter(|(last, _, _)| last + 1 == turn)
                .map(|(_, _, key)| *key),
            program: has_program.then(|| AffinityKey::program(&program.to_string())),
            ..PickRequest::new("engines", &[])
        };
        let balancer = &mut self.balancers[instance];
        let pick = balancer.choose(now_ms, &request).expect("an endpoint");
        balancer.begin(pick.key);
        let number: usize = pick.id.parse().expect("a number");
        self.last_endpoints[instance].insert(program, (turn, pick.id, pick.key));
        self.endpoints[number].waiting.push_back(Request {
            arrived_ms: now_ms,
            instance,
            key: pick.key,
            program,
        });
    }

    fn start_waiting(&mut self, now_ms: u64, number: usize) {
        let settings = &self.settings;
        let endpoint = &mut self.endpoints[number];
        while endpoint.running.len() < settings.slots as usize {
            let Some(request) = endpoint.waiting.pop_front() else {
                return;
            };
            let held = endpoint
                .histories
                .iter()
                .position(|held| *held == request.program);
            self.started += 1;
            let mut delay_ms = 0.0;
            match held {
                Some(index) => {
                    self.cached += 1;
                    endpoint.histories.remove(index);
                }
                None if settings.programs > 0 => {
                    delay_ms = READ_MS * settings.speeds[number];
                    for (ends_ms, _) in &mut endpoint.running {
                        *ends_ms += delay_ms;
                    }
                }
                None => {}
            }
            endpoint.histories.push_back(request.program);
            if endpoint.histories.len() > HELD_HISTORIES {
                endpoint.histories.pop_front();
            }
            let work_ms = settings.request_ms * settings.speeds[number] + delay_ms;
            endpoint.running.push((now_ms as f64 + work_ms, request));
        }
    }

    fn complete(&mut self, now_ms: u64, number: usize) {
        let endpoint = &mut self.endpoints[number];
        let load = Load {
            running: endpoint.running.len() as u32,
            waiting: endpoint.waiting.len() as u32,
            slots: self.settings.slots,
        };
        let is_over = |ends_ms: f64| ends_ms <= now_ms as f64;
        let running = std::mem::take(&mut endpoint.running);
        let (ended, running) = running
            .into_iter()
            .partition(|(ends_ms, _)| is_over(*ends_ms));
        endpoint.running = running;
        for (_, request) in ended {
            let elapsed_ms = now_ms - request.arrived_ms;
            let balancer = &mut self.balancers[request.instance];
            balancer.report(now_ms, request.key, load);
            balancer.end(request.key);
            balancer.succeed(now_ms, request.key, elapsed_ms);
            self.latencies_ms.push(elapsed_ms as f64);
        }
    }
}
