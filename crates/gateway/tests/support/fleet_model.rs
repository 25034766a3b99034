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

/// Requests that wait at an endpoint for each slot before it rejects others.
const QUEUE_PER_SLOT: usize = 3;

/// Endpoints to which one request is sent at most.
const MAX_ATTEMPTS: usize = 2;

/// Mean number of turns of a program.
const TURNS_PER_PROGRAM: f64 = 10.0;

/// How long a machine keeps its work factor, in milliseconds.
const SLOWED_MS: u64 = 600;

/// Work factor of a machine that also does other work.
const SLOWED_FACTOR: f64 = 2.5;

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

/// The load and the machines of a model.
#[derive(Clone, Debug)]
pub struct ModelSettings {
    pub seed: u64,
    /// Number of instances in each zone.
    pub instances: usize,
    /// Time per request of the endpoints of each zone, relative to `request_ms`.
    pub speeds: Vec<f64>,
    pub slots: u32,
    pub request_ms: f64,
    /// Share of the time of a request that varies between requests, exponentially distributed.
    pub varying: f64,
    /// Over all zones.
    pub arrivals_per_s: f64,
    /// Share of the machines that are slowed at a time.
    pub slowed: f64,
    pub zones: usize,
    /// By how much the demand of a zone differs from the mean at most. The waves of the zones are
    /// shifted against each other.
    pub wave: f64,
    /// Time that a request to another zone takes longer, in milliseconds.
    pub crossing_ms: f64,
    /// Number of programs at a time, to which requests belong at random. 0 for requests without
    /// programs.
    pub programs: usize,
    /// Share of the turns that arrive at the instance of the program's turn before.
    pub same_instance: f64,
    pub has_program_affinity: bool,
    /// The programs are objects: a request on one that the endpoint holds is half of the work.
    pub are_objects: bool,
    /// Requests on objects name them.
    pub names_objects: bool,
    /// Endpoints report their work factors, so they are ranked by expected time.
    pub reports_work_factor: bool,
    /// From this time on no endpoint reports anything.
    pub reports_stop_ms: u64,
    /// At this time the endpoint `VANISHING` vanishes with its requests.
    pub vanishes_ms: u64,
}

impl Default for ModelSettings {
    fn default() -> ModelSettings {
        ModelSettings {
            seed: 7,
            instances: 50,
            speeds: Vec::new(),
            slots: 6,
            request_ms: 240.0,
            varying: 0.0,
            arrivals_per_s: 100.0,
            slowed: 0.0,
            zones: 1,
            wave: 0.0,
            crossing_ms: 20.0,
            programs: 0,
            same_instance: 0.0,
            has_program_affinity: false,
            are_objects: false,
            names_objects: false,
            reports_work_factor: false,
            reports_stop_ms: u64::MAX,
            vanishes_ms: u64::MAX,
        }
    }
}

/// Number of the endpoint that vanishes.
pub const VANISHING: usize = 1;

/// Latencies and rejections of the first seconds are not counted: each instance has heard from few
/// endpoints then.
const WARM_UP_MS: u64 = 6_000;

/// Length of the windows in which local and remote requests are compared, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Period of the waves, in milliseconds.
const WAVE_MS: f64 = 12_000.0;

/// What callers and endpoints saw.
#[derive(Clone, Debug)]
pub struct ModelResult {
    pub p50_ms: f64,
    pub p95_ms: f64,
    /// Share of the requests whose history was held.
    pub cached_share: f64,
    /// Share of the requests that were sent to another zone.
    pub remote_share: f64,
    /// Number of requests by endpoint.
    pub counts: Vec<usize>,
    /// Largest number of requests that waited at one endpoint.
    pub max_waiting: usize,
    /// Requests that an endpoint took with it.
    pub lost: usize,
    /// Share of the requests that no endpoint took.
    pub rejected_share: f64,
    /// Changes between mostly local and mostly remote, per second and zone.
    pub changes_per_s: f64,
}

#[derive(Clone, Debug)]
struct Request {
    arrived_ms: u64,
    instance: usize,
    /// The endpoint's key at the instance.
    key: EndpointKey,
    program: usize,
    is_remote: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ModelProgram {
    id: usize,
    turns: u32,
    instance: usize,
}

#[derive(Debug)]
struct ModelEndpoint {
    speed: f64,
    work_factor: f64,
    has_vanished: bool,
    /// With the time that each one still needs, in milliseconds.
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
    remote: usize,
    rejected: usize,
    /// By zone: requests and remote ones of the current window, whether most of those of
    /// the last were remote, and how often that has changed.
    windows: Vec<(usize, usize, bool, usize)>,
    result: ModelResult,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl FleetModel {
    pub fn new(settings: &ModelSettings) -> FleetModel {
        let mut balancers = Vec::new();
        let total = settings.speeds.len() * settings.zones;
        for instance in 0..settings.instances * settings.zones {
            let mut balancer = Balancer::new(&zone_name(instance % settings.zones));
            if settings.has_program_affinity {
                balancer.enable_program_affinity();
            }
            for number in 0..total {
                let zone = zone_name(number % settings.zones);
                balancer.upsert(entry(&number.to_string(), &zone, settings.slots));
            }
            balancers.push(balancer);
        }
        let endpoint = |number: usize| ModelEndpoint {
            speed: settings.speeds[number / settings.zones],
            work_factor: 1.0,
            has_vanished: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            histories: VecDeque::new(),
        };
        let program = |id: usize| ModelProgram {
            id,
            ..ModelProgram::default()
        };
        FleetModel {
            random: StdRng::seed_from_u64(settings.seed),
            endpoints: (0..total).map(endpoint).collect(),
            last_endpoints: vec![HashMap::new(); balancers.len()],
            balancers,
            programs: (0..settings.programs).map(program).collect(),
            latencies_ms: Vec::new(),
            cached: 0,
            started: 0,
            remote: 0,
            rejected: 0,
            windows: vec![(0, 0, false, 0); settings.zones],
            result: ModelResult {
                p50_ms: 0.0,
                p95_ms: 0.0,
                cached_share: 0.0,
                remote_share: 0.0,
                counts: vec![0; total],
                max_waiting: 0,
                lost: 0,
                rejected_share: 0.0,
                changes_per_s: 0.0,
            },
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
            if now_ms % WINDOW_MS == 0 {
                self.count_changes();
            }
            self.change_machines(now_ms);
            for number in 0..self.endpoints.len() {
                self.complete(now_ms, number);
                self.start_waiting(number);
            }
        }
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        let changes: usize = self.windows.iter().map(|(_, _, _, changes)| changes).sum();
        let zone_s = duration_ms as f64 / 1_000.0 * self.settings.zones as f64;
        ModelResult {
            p50_ms: self.latencies_ms[count / 2],
            p95_ms: self.latencies_ms[count * 95 / 100],
            cached_share: self.cached as f64 / self.started as f64,
            remote_share: self.remote as f64 / self.started as f64,
            rejected_share: self.rejected as f64 / (self.rejected + count) as f64,
            changes_per_s: changes as f64 / zone_s,
            ..self.result
        }
    }

    fn count_changes(&mut self) {
        for (requests, remote, was_remote, changes) in &mut self.windows {
            let is_remote = *remote * 2 > *requests;
            *changes += usize::from(is_remote != *was_remote);
            (*requests, *remote, *was_remote) = (0, 0, is_remote);
        }
    }

    fn change_machines(&mut self, now_ms: u64) {
        let count = self.endpoints.len() as u64;
        for (number, endpoint) in self.endpoints.iter_mut().enumerate() {
            let offset_ms = number as u64 * SLOWED_MS / count;
            if now_ms % SLOWED_MS == offset_ms {
                let is_slowed = self.random.random::<f64>() < self.settings.slowed;
                endpoint.work_factor = if is_slowed { SLOWED_FACTOR } else { 1.0 };
            }
        }
        if now_ms == self.settings.vanishes_ms {
            let endpoint = &mut self.endpoints[VANISHING];
            endpoint.has_vanished = true;
            let running = endpoint.running.drain(..).map(|(_, request)| request);
            for request in running.chain(endpoint.waiting.drain(..)) {
                self.result.lost += 1;
                let balancer = &mut self.balancers[request.instance];
                balancer.end(request.key);
                balancer.fail(now_ms, request.key);
            }
        }
    }

    /// The program of the next request, with this request counted.
    fn next_turn(&mut self) -> ModelProgram {
        if self.programs.is_empty() {
            return ModelProgram {
                turns: 1,
                ..ModelProgram::default()
            };
        }
        let index = self.random.random_range(0..self.programs.len());
        let ends = self.random.random::<f64>() < 1.0 / TURNS_PER_PROGRAM;
        if ends && !self.settings.are_objects {
            let newest = self.programs.iter().map(|program| program.id).max();
            self.programs[index] = ModelProgram {
                id: newest.unwrap_or_default() + 1,
                ..ModelProgram::default()
            };
        }
        self.programs[index].turns += 1;
        self.programs[index]
    }

    /// An instance to which a caller sends a request, in proportion to the demand of the zones.
    fn instance(&mut self, now_ms: u64) -> usize {
        loop {
            let instance = self.random.random_range(0..self.balancers.len());
            let zone = (instance % self.settings.zones) as f64;
            let phase = now_ms as f64 / WAVE_MS + zone / self.settings.zones as f64;
            let wave = self.settings.wave * (phase * std::f64::consts::TAU).sin();
            if self.random.random::<f64>() * 2.0 < 1.0 + wave {
                return instance;
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let mut program = self.next_turn();
        let is_same = self.random.random::<f64>() < self.settings.same_instance;
        if !is_same || program.turns == 1 {
            program.instance = self.instance(now_ms);
        }
        let mut active = self.programs.iter_mut();
        if let Some(active) = active.find(|active| active.id == program.id) {
            *active = program;
        }
        let (instance, turn) = (program.instance, program.turns);
        let program = program.id;
        let has_program = self.settings.programs > 0;
        let last = self.last_endpoints[instance].get(&program).cloned();
        let last = last.as_ref().filter(|_| has_program);
        let id = program.to_string();
        let is_program = has_program && !self.settings.are_objects;
        let last = last.filter(|_| is_program);
        let program_key = is_program.then(|| AffinityKey::program(&id));
        let names_objects = self.settings.names_objects;
        let object_key = names_objects.then(|| AffinityKey::object("engines", &id));
        let mut tried = Vec::new();
        let balancer = &mut self.balancers[instance];
        let pick = loop {
            let request = PickRequest {
                last_endpoint: last.map(|(_, id, _)| id.as_str()),
                previous_turn: last
                    .filter(|(last, _, _)| last + 1 == turn)
                    .map(|(_, _, key)| *key),
                program: program_key,
                object: object_key,
                random: Some(self.random.random()),
                ..PickRequest::new("engines", &tried)
            };
            let pick = balancer.choose(now_ms, &request).expect("an endpoint");
            let endpoint = &self.endpoints[number_of(&pick.id)];
            let max_waiting = self.settings.slots as usize * QUEUE_PER_SLOT;
            if endpoint.has_vanished {
                balancer.suspend(pick.key);
            } else if endpoint.waiting.len() < max_waiting {
                break pick;
            } else {
                balancer.reject(now_ms, pick.key);
                tried.push(pick.id);
            }
            if tried.len() == MAX_ATTEMPTS {
                self.rejected += usize::from(now_ms >= WARM_UP_MS);
                return;
            }
        };
        balancer.begin(pick.key);
        let number = number_of(&pick.id);
        self.last_endpoints[instance].insert(program, (turn, pick.id, pick.key));
        self.remote += usize::from(pick.is_remote);
        let window = &mut self.windows[instance % self.settings.zones];
        window.0 += 1;
        window.1 += usize::from(pick.is_remote);
        self.result.counts[number] += 1;
        let endpoint = &mut self.endpoints[number];
        endpoint.waiting.push_back(Request {
            arrived_ms: now_ms,
            instance,
            key: pick.key,
            program,
            is_remote: pick.is_remote,
        });
        if now_ms >= WARM_UP_MS {
            self.result.max_waiting = self.result.max_waiting.max(endpoint.waiting.len());
        }
    }

    fn start_waiting(&mut self, number: usize) {
        let settings = &self.settings;
        let endpoint = &mut self.endpoints[number];
        while endpoint.running.len() < settings.slots as usize {
            let Some(request) = endpoint.waiting.pop_front() else {
                return;
            };
            let mut histories = endpoint.histories.iter();
            let held = histories.position(|held| *held == request.program);
            self.started += 1;
            let mut delay_ms = 0.0;
            let mut work = 1.0;
            match held {
                Some(index) => {
                    self.cached += 1;
                    endpoint.histories.remove(index);
                    work = if settings.are_objects { 0.5 } else { 1.0 };
                }
                None if settings.are_objects => {}
                None if settings.programs > 0 => {
                    delay_ms = READ_MS * endpoint.speed;
                    for (left_ms, _) in &mut endpoint.running {
                        *left_ms += delay_ms;
                    }
                }
                None => {}
            }
            endpoint.histories.push_back(request.program);
            if endpoint.histories.len() > HELD_HISTORIES {
                endpoint.histories.pop_front();
            }
            let uniform = 1.0 - self.random.random::<f64>();
            let size = 1.0 - settings.varying * (1.0 + uniform.ln());
            let work_ms = settings.request_ms * endpoint.speed * work * size + delay_ms;
            endpoint.running.push((work_ms, request));
        }
    }

    fn complete(&mut self, now_ms: u64, number: usize) {
        let endpoint = &mut self.endpoints[number];
        let load = Load {
            running: endpoint.running.len() as u32,
            waiting: endpoint.waiting.len() as u32,
            slots: self.settings.slots,
        };
        let mut running = std::mem::take(&mut endpoint.running);
        for (left_ms, _) in &mut running {
            *left_ms -= 1.0 / endpoint.work_factor;
        }
        let (ended, running) = running
            .into_iter()
            .partition(|(left_ms, _)| *left_ms <= 0.0);
        endpoint.running = running;
        for (_, request) in ended {
            let elapsed_ms = now_ms - request.arrived_ms;
            let balancer = &mut self.balancers[request.instance];
            if now_ms < self.settings.reports_stop_ms {
                balancer.report(now_ms, request.key, load);
                let reported = self.settings.reports_work_factor;
                let factor = reported.then_some(endpoint.work_factor);
                balancer.report_work_factor(now_ms, request.key, factor);
            }
            balancer.end(request.key);
            balancer.succeed(now_ms, request.key, elapsed_ms);
            balancer.complete(now_ms, request.key, elapsed_ms);
            let crossing_ms = match request.is_remote {
                true => self.settings.crossing_ms,
                false => 0.0,
            };
            if request.arrived_ms >= WARM_UP_MS {
                self.latencies_ms.push(elapsed_ms as f64 + crossing_ms);
            }
        }
    }
}

fn number_of(id: &str) -> usize {
    id.parse().expect("a number")
}
