//! At-most-once execution of a call with an idempotency key while the founder of the fleet
//! stops and hands its keys over.
//!
//! The founder `f` is responsible for all keys while it is registered; without it the key
//! belongs to `b`, and to `a` while `b` is not registered either. The product's own
//! [`KeyedCalls`] decides. The founder may retire, export and leave in any order that the
//! product allows, or leave without a handover, as when it is killed. The parts of the
//! handover may be lost, doubled, late and out of order, and may reach a later process of the
//! same name. Each instance may or may not read the registrations in a tick; `b` may restart,
//! and the registrations of `f` and `b` may come and go.
//!
//! Bounded: ticks, changes of registrations, calls and restarts, and the scale of
//! [`crate::ownership_keyed`]. Calls with another key are not searched; one such key was
//! run by the founder before, so that a handover can have two parts.

mod steps;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::LazyLock;

use jayreel_model::{Incarnation, Ran, RequestId};
use jayreel_programs::idempotency::KeyDigest;
use jayreel_programs::keyed::responsible;
use jayreel_programs::{KeyedCalls, KeyedConfig, KeyedHandover};

use crate::intern::intern;
use crate::ownership::{Model, Step};
use crate::ownership_keyed::WINDOW_MS;

const FRESHNESS_MS: u64 = 1;
const DISPATCH_MS: u64 = 1;

/// The instances have run for longer than the settling time when the search begins.
const START_MS: u64 = 20;

const CUSTOMER: &str = "acme";
const NAMES: [&str; 3] = ["f", "a", "b"];
const FOUNDER: usize = 0;
const RESTARTING: usize = 2;

/// A rule that is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// All rules are kept.
    None,
    /// The founder admits calls after it has exported its keys.
    NoRetirement,
    /// The founder exports its keys while a call is under way.
    ExportWhileRunning,
    /// Each instance that gets the keys may use the claim for all keys.
    EachIsSuccessor,
    /// A later process of the successor's name may use the claim.
    SuccessorByName,
    /// The claim counts after the first part that arrives.
    OnePartIsEnough,
    /// A restarted founder claims to know the past.
    UnsettledClaim,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct HandoverModel {
    /// Ticks after the start.
    pub ticks: u64,
    /// Changes of registrations.
    pub changes: u8,
    /// Whether the registration of `b` changes too. Otherwise `a` never gets the key, and
    /// its steps are left out.
    pub b_may_leave: bool,
    /// Calls with the key.
    pub calls: u8,
    /// Restarts of `b`.
    pub restarts: u8,
    /// The founder has just restarted, and its predecessor ran the key at the very end.
    pub has_restarted_founder: bool,
    /// Looks for a run by a successor, to show that the search reaches it.
    pub seeks_run_by_successor: bool,
    /// The rule that is left out.
    pub fault: Fault,
}

/// A part under way: the receiver, its incarnation number, and the content.
type Message = (usize, u64, KeyedHandover);

/// One state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    now_ms: u64,
    instances: [Rc<KeyedCalls>; 3],
    /// Number of the current process of each instance.
    numbers: [u64; 3],
    /// The instances from this one on may read in this tick. Reads of different instances
    /// commute, so that one order is enough until a registration changes.
    next_reader: usize,
    has_read: [bool; 3],
    is_registered: [bool; 3],
    /// The leases of the registrations. Each return has a new one.
    leases: [i64; 3],
    /// Reads and changes come first in a tick, then decisions, then runs.
    is_deciding: bool,
    is_running: bool,
    changes: u8,
    calls: u8,
    restarts: u8,
    has_retired: bool,
    has_exported: bool,
    /// Parts under way. They stay, since each may be delivered again.
    messages: Rc<Vec<Message>>,
    decided: Vec<(usize, u64)>,
    last_run_ms: Option<u64>,
    ran_twice: bool,
    successor_ran: bool,
}

/// The key that is searched, and one that the founder has run before. Both belong to `b`
/// while `b` is registered and the founder is not.
static KEYS: LazyLock<[String; 2]> = LazyLock::new(|| {
    let names = ["a", "b"].map(str::to_string);
    let mut keys = (0..).map(|number: u32| number.to_string()).filter(|key| {
        let digest = KeyDigest::of(CUSTOMER, key).expect("a valid key");
        responsible(&names, digest) == Some("b")
    });
    [(); 2].map(|()| keys.next().expect("b gets keys"))
});

fn process(at: usize, number: u64) -> Incarnation {
    Incarnation {
        instance: NAMES[at].to_string(),
        number,
    }
}

fn new_instance(at: usize, number: u64) -> KeyedCalls {
    KeyedCalls::new(KeyedConfig {
        own: process(at, number),
        late_repeat_window_ms: WINDOW_MS,
        registration_freshness_ms: FRESHNESS_MS,
        dispatch_deadline_ms: DISPATCH_MS,
    })
}

/// An instance that has seen the founder registered in each tick.
fn reader(at: usize, from_ms: u64, until_ms: u64, is_founder: bool) -> KeyedCalls {
    let founder = BTreeMap::from([("f".to_string(), process(FOUNDER, 1))]);
    let mut one = new_instance(at, 1);
    if is_founder {
        one.assume_founder();
    }
    (from_ms..=until_ms)
        .for_each(|time| one.registrations_read(time, founder.clone(), Some(0)));
    one
}

/// A founder that knows no key.
fn settled_founder(now_ms: u64) -> KeyedCalls {
    reader(FOUNDER, 0, now_ms, true)
}

impl State {
    /// The processes among which keys are divided.
    fn processes(&self) -> BTreeMap<String, Incarnation> {
        let registered = |at: &usize| self.is_registered[*at];
        let range = match self.is_registered[FOUNDER] {
            true => 0..1,
            false => 1..3,
        };
        let processes = range.filter(registered).map(|at| {
            let process = process(at, self.numbers[at]);
            (process.instance.clone(), process)
        });
        processes.collect()
    }

    fn instance(&mut self, at: usize) -> &mut KeyedCalls {
        Rc::make_mut(&mut self.instances[at])
    }

    fn run(&mut self, at: usize) {
        let is_repeat = self
            .last_run_ms
            .is_some_and(|ms| self.now_ms - ms <= WINDOW_MS);
        self.ran_twice |= is_repeat;
        self.successor_ran |= at != FOUNDER;
        self.last_run_ms = Some(self.now_ms);
        let now_ms = self.now_ms;
        self.instance(at).finish(now_ms, RequestId(0), Ran::Yes);
    }
}

impl Model for HandoverModel {
    type State = State;

    fn initial(&self) -> State {
        let mut instances = [0, 1, 2].map(|at| match self.has_restarted_founder {
            true if at == FOUNDER => reader(at, START_MS, START_MS, false),
            _ => reader(at, 0, START_MS, at == FOUNDER),
        });
        if !self.has_restarted_founder {
            let other = RequestId(1);
            let key = &KEYS[1];
            let founder = &mut instances[FOUNDER];
            founder.admit(START_MS, other, CUSTOMER, key, false);
            founder.finish(START_MS, other, Ran::Yes);
        }
        State {
            now_ms: START_MS,
            instances: instances.map(Rc::new),
            numbers: [1; 3],
            next_reader: 0,
            has_read: [true; 3],
            is_registered: [true; 3],
            leases: [0; 3],
            is_deciding: false,
            is_running: false,
            changes: 0,
            calls: 0,
            restarts: 0,
            has_retired: false,
            has_exported: false,
            messages: Rc::default(),
            decided: Vec::new(),
            last_run_ms: self.has_restarted_founder.then_some(START_MS),
            ran_twice: false,
            successor_ran: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.calls >= self.calls && state.decided.is_empty() {
            return steps;
        }
        self.pass_time(state, &mut steps);
        if !state.is_deciding && !state.is_running {
            self.change(state, FOUNDER, &mut steps);
            if self.b_may_leave {
                self.change(state, RESTARTING, &mut steps);
            }
            self.restart(state, &mut steps);
            let active = (0..3).filter(|at| self.is_active(*at));
            active.for_each(|at| steps::read(state, at, &mut steps));
        }
        self.retire(state, &mut steps);
        self.export(state, &mut steps);
        if !state.is_running {
            self.deliver(state, &mut steps);
        }
        (0..3).for_each(|at| self.call(state, at, &mut steps));
        for index in 0..state.decided.len() {
            let mut next = state.clone();
            let (at, _) = next.decided.remove(index);
            next.is_running = true;
            next.run(at);
            steps.push((Step::new("run", at, 0), next));
        }
        for (_, next) in &mut steps {
            next.instances = next.instances.each_ref().map(intern);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        match self.seeks_run_by_successor {
            true => state.successor_ran.then_some("a successor ran the key"),
            false => state
                .ran_twice
                .then_some("a key ran twice within the window"),
        }
    }
}
