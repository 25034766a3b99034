//! A deterministic model of entry instances and model engines, to compare runs with and without
//! admission control. It has the parts that matter for it: programs of several turns with
//! deadlines, engines that run turns by priority, and instances that know an engine's load only
//! from the responses to their own turns.

#![allow(dead_code, reason = "each test file uses a part of the model")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use jayreel_admission::{
    Claimant, Decision, EndpointLoad, ProgramAdmission, ProgramKey, Turn,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Requests that an engine runs at the same time, and that it queues.
pub const SLOTS: usize = 6;
const QUEUE: usize = 18;

/// Average time of a turn on an idle engine, in milliseconds.
pub const TURN_MS: u64 = 240;

/// Time that a caller waits for a turn, in milliseconds.
const TURN_TIMEOUT_MS: u64 = 3_000;

/// Half-life of the load that other instances cause, in milliseconds, in the choice of an engine.
const OTHERS_HALF_LIFE_MS: f64 = 400.0;

/// Penalty in the choice of an engine in another zone, in load per slot.
const REMOTE_PENALTY: f64 = 0.7;

/// Load per slot above which an engine counts as overloaded.
const OVERLOAD: f64 = 3.5;

const SERVICE: &str = "engines";

/// The two kinds of programs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Four turns, urgent.
    Short,
    /// Eleven turns, less urgent. Two of them are first turns of sub-agents.
    Long,
}

impl Kind {
    pub const ALL: [Kind; 2] = [Kind::Short, Kind::Long];

    fn name(self) -> &'static str {
        match self {
            Kind::Short => "short",
            Kind::Long => "long",
        }
    }

    fn rank(self) -> u8 {
        match self {
            Kind::Short => 0,
            Kind::Long => 1,
        }
    }

    fn turns(self) -> u64 {
        match self {
            Kind::Short => 4,
            Kind::Long => 11,
        }
    }

    fn retries(self) -> u32 {
        match self {
            Kind::Short => 1,
            Kind::Long => 2,
        }
    }

    fn is_first_of_agent(self, turn: u64) -> bool {
        turn == 0 || (self == Kind::Long && (turn == 3 || turn == 7))
    }

    /// Time within which a program must end, given its time on idle engines.
    fn deadline_ms(self, ideal_ms: u64) -> u64 {
        match self {
            Kind::Short => ideal_ms * 12 / 10 + 200,
            Kind::Long => ideal_ms * 14 / 10 + 400,
        }
    }
}

/// A time in which programs begin more often.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from_ms: u64,
    pub until_ms: u64,
    pub factor: f64,
    /// `None`: of both kinds.
    pub kind: Option<Kind>,
    /// `None`: of all customers.
    pub customer: Option<usize>,
}

/// What happens to instances and engines.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The instance starts anew and has lost its state.
    Restart { at_ms: u64, instance: usize },
    /// The instance gets no reports at all.
    NoReports { instance: usize },
    /// The instance reaches only the engines of its own zone.
    CutOff {
        from_ms: u64,
        until_ms: u64,
        instance: usize,
    },
    /// These engines are gone for good; their turns are sent again once.
    EnginesGone { at_ms: u64, count: usize },
    /// One engine takes this many times as long.
    SlowEngine { engine: usize, factor: u64 },
}

/// One run of the model.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    pub engines: usize,
    pub customers: usize,
    pub zones: usize,
    /// Part of the engines' capacity that the usual load takes.
    pub utilisation: f64,
    pub bursts: Vec<Burst>,
    pub faults: Vec<Fault>,
    pub has_control: bool,
    /// Programs begin at even intervals, and not at random.
    pub is_even: bool,
    /// Until when programs begin.
    pub until_ms: u64,
}

impl Scenario {
    /// 57 instances and 44 engines in three zones, with the usual load.
    pub fn usual() -> Scenario {
        Scenario {
            seed: 1,
            instances: 57,
            engines: 44,
            customers: 12,
            zones: 3,
            utilisation: 0.65,
            bursts: Vec::new(),
            faults: Vec::new(),
            has_control: true,
            is_even: false,
            until_ms: 20_000,
        }
    }
}

/// How the programs ended that began in one interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ends {
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
    pub rejected: u32,
    /// Programs that were rejected at a later turn. They are counted as failed, too.
    pub rejected_begun: u32,
}

impl Ends {
    pub fn total(&self) -> u32 {
        self.in_time + self.late + self.failed + self.rejected
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total().max(1))
    }

    pub fn add(&mut self, other: &Ends) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.rejected_begun += other.rejected_begun;
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By kind, customer and second of the begin.
    ends: BTreeMap<(Kind, usize, u64), Ends>,
    /// Rejections, retries of callers included.
    pub rejections: u32,
    /// Rejections by instance.
    pub rejections_by_instance: Vec<u32>,
    /// Turns that engines ran for programs that failed or ended late.
    pub wasted_turns: u64,
    /// When the last rejection was.
    pub last_rejection_ms: u64,
    /// Real load per slot, sampled every 100 ms.
    pub load_per_slot: Vec<f64>,
}

impl Outcome {
    pub fn ends(&self, of: impl Fn(Kind, usize, u64) -> bool) -> Ends {
        let mut sum = Ends::default();
        for ((kind, customer, second), ends) in &self.ends {
            if of(*kind, *customer, *second) {
                sum.add(ends);
            }
        }
        sum
    }

    pub fn all(&self) -> Ends {
        self.ends(|_, _, _| true)
    }

    pub fn of_kind(&self, kind: Kind) -> Ends {
        self.ends(|of, _, _| of == kind)
    }
}

#[derive(Clone, Debug)]
struct Program {
    kind: Kind,
    customer: usize,
    instance: usize,
    began_ms: u64,
    deadline_ms: u64,
    turn: u64,
    turns_run: u64,
    retries_left: u32,
    turn_began_ms: u64,
    tried: Vec<usize>,
    is_ended: bool,
    think_ms: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    zone: usize,
    running: usize,
    /// Priority, sequence number, program and instance.
    waiting: BinaryHeap<Reverse<(u8, u64, usize, usize)>>,
    factor: u64,
    is_gone: bool,
    running_programs: Vec<(usize, usize)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct View {
    own: f64,
    others: f64,
    reported_ms: Option<u64>,
}

impl View {
    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = self.reported_ms.map_or(0, |at_ms| now_ms - at_ms) as f64;
        let others = self.others * (-age_ms / OTHERS_HALF_LIFE_MS).exp2();
        (self.own + others) / SLOTS as f64
    }
}

#[derive(Debug)]
struct Instance {
    zone: usize,
    views: Vec<View>,
    admission: ProgramAdmission,
    has_reports: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Begin {
        kind: Kind,
        customer: usize,
    },
    Turn {
        program: usize,
    },
    TurnEnd {
        program: usize,
        engine: usize,
        instance: usize,
    },
    Fault {
        index: usize,
    },
    Sample,
}

struct Model {
    scenario: Scenario,
    /// For arrivals, so that they are the same with and without control.
    arrivals: StdRng,
    rng: StdRng,
    now_ms: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    programs: Vec<Program>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    outcome: Outcome,
}

/// Runs a scenario until all programs have ended.
pub fn run(scenario: &Scenario) -> Outcome {
    let mut model = Model::new(scenario.clone());
    while let Some(Reverse((at_ms, _, event))) = model.events.pop() {
        model.now_ms = at_ms;
        model.handle(event);
    }
    model.outcome
}

impl Model {
    fn new(scenario: Scenario) -> Model {
        let engines = (0..scenario.engines).map(|index| Engine {
            zone: index % scenario.zones,
            factor: 1,
            ..Engine::default()
        });
        let instances = (0..scenario.instances).map(|index| Instance {
            zone: index % scenario.zones,
            views: vec![View::default(); scenario.engines],
            admission: ProgramAdmission::new(0),
            has_reports: true,
        });
        let mut model = Model {
            arrivals: StdRng::seed_from_u64(scenario.seed),
            rng: StdRng::seed_from_u64(scenario.seed + 1_000),
            now_ms: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            programs: Vec::new(),
            engines: engines.collect(),
            instances: instances.collect(),
            outcome: Outcome {
                rejections_by_instance: vec![0; scenario.instances],
                ..Outcome::default()
            },
            scenario,
        };
        for kind in Kind::ALL {
            for customer in 0..model.scenario.customers {
                model.schedule_begin(kind, customer);
            }
        }
        for (index, fault) in model.scenario.faults.clone().into_iter().enumerate() {
            match fault {
                Fault::Restart { at_ms, .. } | Fault::EnginesGone { at_ms, .. } => {
                    model.schedule(at_ms, Event::Fault { index });
                }
                Fault::NoReports { instance } => {
                    model.instances[instance].has_reports = false;
                }
                Fault::SlowEngine { engine, factor } => {
                    model.engines[engine].factor = factor;
                }
                Fault::CutOff { .. } => {}
            }
        }
        model.schedule(0, Event::Sample);
        model
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    /// Programs of a customer and kind per second, at a time.
    fn rate_per_s(&self, kind: Kind, customer: usize, at_ms: u64) -> f64 {
        let capacity = (self.scenario.engines * SLOTS) as f64 * 1_000.0 / TURN_MS as f64;
        let work_share = match kind {
            Kind::Short => 0.4,
            Kind::Long => 0.6,
        };
        let turns_per_s = capacity * self.scenario.utilisation * work_share;
        let usual = turns_per_s / kind.turns() as f64 / self.scenario.customers as f64;
        let bursts = self.scenario.bursts.iter().filter(|burst| {
            (burst.from_ms..burst.until_ms).contains(&at_ms)
                && burst.kind.is_none_or(|of| of == kind)
                && burst.customer.is_none_or(|of| of == customer)
        });
        bursts.fold(usual, |rate, burst| rate * burst.factor)
    }

    /// Schedules the next begin of a Poisson process, thinned from the highest rate.
    fn schedule_begin(&mut self, kind: Kind, customer: usize) {
        let usual = self.rate_per_s(kind, customer, u64::MAX);
        if self.scenario.is_even {
            // The first programs of the customers are spread over one interval.
            let interval_ms = 1_000.0 / usual;
            let phase = (customer + 1) as f64 / self.scenario.customers as f64;
            let delay_ms = match self.now_ms {
                0 => interval_ms * phase,
                _ => interval_ms,
            };
            let at_ms = (self.now_ms as f64 + delay_ms).round() as u64;
            if at_ms < self.scenario.until_ms {
                self.schedule(at_ms, Event::Begin { kind, customer });
            }
            return;
        }
        let highest = usual * 12.0;
        let mut at_ms = self.now_ms as f64;
        loop {
            let draw: f64 = self.arrivals.random();
            at_ms += -(1.0 - draw).ln() / highest * 1_000.0;
            if at_ms >= self.scenario.until_ms as f64 {
                return;
            }
            let rate = self.rate_per_s(kind, customer, at_ms as u64);
            if self.arrivals.random::<f64>() * highest < rate {
                return self.schedule(at_ms as u64, Event::Begin { kind, customer });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin { kind, customer } => {
                self.schedule_begin(kind, customer);
                self.begin(kind, customer);
            }
            Event::Turn { program } => self.turn(program),
            Event::TurnEnd {
                program,
                engine,
                instance,
            } => self.end_turn(program, engine, instance),
            Event::Fault { index } => self.fault(self.scenario.faults[index]),
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        let present = self.engines.iter().filter(|engine| !engine.is_gone);
        let requests: usize = present
            .clone()
            .map(|engine| engine.running + engine.waiting.len())
            .sum();
        let slots = present.count() * SLOTS;
        self.outcome
            .load_per_slot
            .push(requests as f64 / slots.max(1) as f64);
        if self.now_ms < self.scenario.until_ms + 5_000 {
            self.schedule(self.now_ms + 100, Event::Sample);
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Restart { instance, .. } => {
                let engines = self.engines.len();
                let restarted = &mut self.instances[instance];
                restarted.admission = ProgramAdmission::new(self.now_ms);
                restarted.views = vec![View::default(); engines];
            }
            Fault::EnginesGone { count, .. } => {
                for index in 0..count {
                    let engine = &mut self.engines[index];
                    engine.is_gone = true;
                    let waiting = std::mem::take(&mut engine.waiting).into_vec();
                    let waiting = waiting.into_iter().map(|entry| (entry.0.2, entry.0.3));
                    let lost: Vec<_> =
                        engine.running_programs.drain(..).chain(waiting).collect();
                    engine.running = 0;
                    for (program, instance) in lost {
                        self.instances[instance].views[index].own = 0.0;
                        self.programs[program].tried.push(index);
                        self.send(program);
                    }
                }
            }
            Fault::NoReports { .. } | Fault::CutOff { .. } | Fault::SlowEngine { .. } => {
            }
        }
    }

    fn begin(&mut self, kind: Kind, customer: usize) {
        let think_ms: Vec<u64> = (0..kind.turns())
            .map(|_| self.arrivals.random_range(10..60))
            .collect();
        let thinking_ms: u64 = think_ms[1..].iter().sum();
        let ideal_ms = kind.turns() * TURN_MS + thinking_ms;
        let instance = self.arrivals.random_range(0..self.instances.len());
        self.programs.push(Program {
            kind,
            customer,
            instance,
            began_ms: self.now_ms,
            deadline_ms: self.now_ms + kind.deadline_ms(ideal_ms),
            turn: 0,
            turns_run: 0,
            retries_left: kind.retries(),
            turn_began_ms: self.now_ms,
            tried: Vec::new(),
            is_ended: false,
            think_ms,
        });
        self.turn(self.programs.len() - 1);
    }

    fn end(&mut self, program: usize, count: impl Fn(&mut Ends)) {
        let ended = &mut self.programs[program];
        ended.is_ended = true;
        let key = (ended.kind, ended.customer, ended.began_ms / 1_000);
        count(self.outcome.ends.entry(key).or_default());
    }

    fn fail(&mut self, program: usize) {
        self.outcome.wasted_turns += self.programs[program].turns_run;
        self.end(program, |ends| ends.failed += 1);
    }

    /// The caller sends a turn, or sends it again.
    fn turn(&mut self, program: usize) {
        if self.programs[program].is_ended {
            return;
        }
        self.programs[program].tried.clear();
        self.programs[program].turn_began_ms = self.now_ms;
        let instance = self.programs[program].instance;
        if self.is_overloaded(instance) {
            return self.refuse(program, 250);
        }
        if self.scenario.has_control
            && let Decision::Reject(rejection) = self.decide(program)
        {
            self.outcome.rejections += 1;
            self.outcome.rejections_by_instance[instance] += 1;
            self.outcome.last_rejection_ms = self.now_ms;
            let time_left_ms = self.programs[program]
                .deadline_ms
                .saturating_sub(self.now_ms);
            let may_retry = rejection.retry_after_ms <= time_left_ms / 3;
            if may_retry && self.programs[program].retries_left > 0 {
                self.programs[program].retries_left -= 1;
                return self.schedule(
                    self.now_ms + rejection.retry_after_ms,
                    Event::Turn { program },
                );
            }
            return match self.programs[program].turn {
                0 => self.end(program, |ends| ends.rejected += 1),
                _ => {
                    self.end(program, |ends| ends.rejected_begun += 1);
                    self.fail(program);
                }
            };
        }
        self.send(program);
    }

    /// Refuses a turn for lack of room: the caller tries it again, if it may.
    fn refuse(&mut self, program: usize, retry_after_ms: u64) {
        let refused = &mut self.programs[program];
        if refused.retries_left > 0 {
            refused.retries_left -= 1;
            return self.schedule(self.now_ms + retry_after_ms, Event::Turn { program });
        }
        match refused.turn {
            0 => self.end(program, |ends| ends.rejected += 1),
            _ => self.fail(program),
        }
    }

    fn decide(&mut self, program: usize) -> Decision {
        let now_ms = self.now_ms;
        let draws = (self.rng.random(), self.rng.random());
        let asking = &self.programs[program];
        let index = asking.instance;
        let loads = self.loads(index);
        let customer = format!("customer-{}", asking.customer);
        let turn = Turn {
            service: SERVICE,
            program: ProgramKey::new(&customer, &program.to_string()),
            claimant: Claimant {
                customer: &customer,
                weight: 1.0,
                kind: asking.kind.name(),
                rank: asking.kind.rank(),
            },
            is_continuation: !asking.kind.is_first_of_agent(asking.turn),
            time_left_ms: Some(asking.deadline_ms.saturating_sub(now_ms)),
            tokens: 100,
            turn_ms: TURN_MS as f64,
        };
        let admission = &mut self.instances[index].admission;
        admission.decide(now_ms, &turn, &loads, draws)
    }

    fn loads(&self, instance: usize) -> Vec<EndpointLoad> {
        let Instance { zone, views, .. } = &self.instances[instance];
        let loads = views.iter().enumerate().filter_map(|(index, view)| {
            let engine = &self.engines[index];
            self.is_reachable(instance, index).then(|| EndpointLoad {
                load_per_slot: (view.own + view.others) / SLOTS as f64,
                report_age_ms: view.reported_ms.map(|at_ms| self.now_ms - at_ms),
                is_remote: engine.zone != *zone,
            })
        });
        loads.collect()
    }

    fn is_reachable(&self, instance: usize, engine: usize) -> bool {
        let is_remote = self.engines[engine].zone != self.instances[instance].zone;
        let is_cut_off = self.scenario.faults.iter().any(|fault| match fault {
            Fault::CutOff {
                from_ms,
                until_ms,
                instance: cut_off,
            } => *cut_off == instance && (*from_ms..*until_ms).contains(&self.now_ms),
            _ => false,
        });
        !(self.engines[engine].is_gone || is_cut_off && is_remote)
    }

    fn is_overloaded(&self, instance: usize) -> bool {
        let views = self.instances[instance].views.iter().enumerate();
        let mut reachable =
            views.filter(|(engine, _)| self.is_reachable(instance, *engine));
        reachable.all(|(_, view)| view.decayed(self.now_ms) > OVERLOAD)
    }

    /// The instance sends a turn to the engine with the lowest score, to two engines at most.
    fn send(&mut self, program: usize) {
        loop {
            let sent = &self.programs[program];
            if sent.is_ended {
                return;
            }
            let instance = sent.instance;
            if sent.tried.len() >= 2 {
                return self.refuse(program, 250);
            }
            let offset = self.rng.random_range(0..self.engines.len());
            let zone = self.instances[instance].zone;
            let candidates =
                (0..self.engines.len()).map(|at| (at + offset) % self.engines.len());
            let score = |index: usize| {
                let view = &self.instances[instance].views[index];
                let is_remote = self.engines[index].zone != zone;
                view.decayed(self.now_ms) + if is_remote { REMOTE_PENALTY } else { 0.0 }
            };
            let best = candidates
                .filter(|index| {
                    self.is_reachable(instance, *index) && !sent.tried.contains(index)
                })
                .min_by(|a, b| score(*a).total_cmp(&score(*b)));
            let Some(index) = best else {
                return self.refuse(program, 250);
            };
            self.programs[program].tried.push(index);
            if self.accept(program, index, instance) {
                return;
            }
            let view = &mut self.instances[instance].views[index];
            view.others = view.others.max(SLOTS as f64 * OVERLOAD);
            view.reported_ms = Some(self.now_ms);
        }
    }

    /// An engine takes a turn. Returns false if its queue is full.
    fn accept(&mut self, program: usize, index: usize, instance: usize) -> bool {
        let priority = self.priority(program);
        self.sequence += 1;
        let entry = Reverse((priority, self.sequence, program, instance));
        let engine = &mut self.engines[index];
        if engine.waiting.len() >= QUEUE {
            return false;
        }
        engine.waiting.push(entry);
        self.instances[instance].views[index].own += 1.0;
        self.start_next(index);
        true
    }

    /// As in `engine_priority` of the gateway.
    fn priority(&self, program: usize) -> u8 {
        let of = &self.programs[program];
        match of.deadline_ms.saturating_sub(self.now_ms) {
            0 => 9,
            left_ms => {
                let levels = [600, 1_500, 4_000];
                let level = levels.iter().filter(|above| left_ms > **above).count();
                2 * level as u8 + of.kind.rank()
            }
        }
    }

    fn start_next(&mut self, index: usize) {
        while self.engines[index].running < SLOTS {
            let Some(Reverse((_, _, program, instance))) =
                self.engines[index].waiting.pop()
            else {
                return;
            };
            let waited_ms = self.now_ms - self.programs[program].turn_began_ms;
            if self.programs[program].is_ended || waited_ms >= TURN_TIMEOUT_MS {
                self.instances[instance].views[index].own -= 1.0;
                if !self.programs[program].is_ended {
                    self.fail(program);
                }
                continue;
            }
            let engine = &mut self.engines[index];
            engine.running += 1;
            engine.running_programs.push((program, instance));
            let turn_ms =
                self.rng.random_range(TURN_MS - 40..=TURN_MS + 40) * engine.factor;
            self.report(index, instance);
            self.schedule(
                self.now_ms + turn_ms,
                Event::TurnEnd {
                    program,
                    engine: index,
                    instance,
                },
            );
        }
    }

    /// The head of a response reports the load.
    fn report(&mut self, index: usize, instance: usize) {
        let engine = &self.engines[index];
        let total = (engine.running + engine.waiting.len()) as f64;
        let reporting = &mut self.instances[instance];
        if reporting.has_reports {
            let view = &mut reporting.views[index];
            view.others = (total - view.own).max(0.0);
            view.reported_ms = Some(self.now_ms);
        }
    }

    fn end_turn(&mut self, program: usize, index: usize, instance: usize) {
        if self.engines[index].is_gone {
            return;
        }
        let engine = &mut self.engines[index];
        engine.running -= 1;
        let position = engine
            .running_programs
            .iter()
            .position(|running| *running == (program, instance));
        engine
            .running_programs
            .swap_remove(position.expect("the turn runs"));
        let own = &mut self.instances[instance].views[index].own;
        *own = (*own - 1.0).max(0.0);
        self.start_next(index);
        let now_ms = self.now_ms;
        let ended = &mut self.programs[program];
        ended.turn += 1;
        ended.turns_run += 1;
        if ended.turn < ended.kind.turns() {
            let think_ms = ended.think_ms[ended.turn as usize];
            // Some turns arrive at another instance than the one before.
            if !ended.kind.is_first_of_agent(ended.turn) && self.rng.random_bool(0.1) {
                ended.instance = self.rng.random_range(0..self.instances.len());
            }
            return self.schedule(now_ms + think_ms, Event::Turn { program });
        }
        match now_ms <= ended.deadline_ms {
            true => self.end(program, |ends| ends.in_time += 1),
            false => {
                self.outcome.wasted_turns += ended.turns_run;
                self.end(program, |ends| ends.late += 1);
            }
        }
    }
}
