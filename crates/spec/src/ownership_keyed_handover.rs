//! Model of calls that have an idempotency key but belong to no program, while the first
//! instance of the fleet stops and hands its keys over.
//!
//! It checks, like [`crate::ownership_keyed`], that a call with the key runs at most once
//! within a time window. The first instance `f`, the founder, is responsible for all keys
//! while it is registered. Without it `b` is responsible for the key of the search, and `a`
//! if `b` is not registered either. [`KeyedCalls`] makes the decisions.
//!
//! The founder may retire, export its keys and leave in any order that [`KeyedCalls`] allows,
//! or leave without a handover like a process that is killed. The parts of the handover may be
//! lost, duplicated, delayed and reordered, and may reach a later process of the same name.
//! In each tick an instance may read the registrations or not. `b` may restart, and the
//! registrations of `f` and `b` may lapse and return.
//!
//! A search is bounded to a number of ticks, changes of registrations, calls and restarts. The
//! window, the age of views and the dispatch deadline are those of
//! [`crate::ownership_keyed`]. Calls with another key are not searched, but the founder has
//! run one such key before the start, so that a handover can have two parts.

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

/// Longest age at which a view of the registrations may be used.
const FRESHNESS_MS: u64 = 1;
/// Longest time between the admission of a call and its dispatch.
const DISPATCH_MS: u64 = 1;

/// Start of the search. By then the instances have run for longer than they need to settle.
const START_MS: u64 = 20;

const CUSTOMER: &str = "acme";
/// Names of the instances, by index.
const NAMES: [&str; 3] = ["f", "a", "b"];
/// Index of `f`.
const FOUNDER: usize = 0;
/// Index of `b`, the only instance that restarts.
const INSTANCE_B: usize = 2;

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No rule is broken.
    None,
    /// The founder goes on admitting calls after it has retired.
    NoRetirement,
    /// The founder exports its keys while a call is under way.
    ExportWhileRunning,
    /// The founder exports its keys to each receiver as if it were the only successor.
    EachIsSuccessor,
    /// A later process with the name of a successor may use the handover.
    SuccessorByName,
    /// The handover takes effect when the first of its parts arrives.
    OnePartIsEnough,
    /// A restarted founder exports as if it knew all earlier runs.
    UnsettledClaim,
}

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub struct HandoverModel {
    /// Number of ticks.
    pub ticks: u64,
    /// Number of changes of registrations.
    pub changes: u8,
    /// Whether the registration of `b` changes too. Otherwise `a` is never responsible for the
    /// key, and its steps are left out.
    pub b_may_leave: bool,
    /// Number of admitted calls.
    pub calls: u8,
    /// Number of restarts of `b`.
    pub restarts: u8,
    /// Whether the founder has just restarted, and its predecessor ran a call with the key right
    /// before.
    pub has_restarted_founder: bool,
    /// Whether to search for a run by a successor instead of a second run, to show that the
    /// search reaches such runs.
    pub seek_run_by_successor: bool,
    /// The rule to break.
    pub fault: Fault,
}

/// A part of the handover that is under way: the index of the receiver, the incarnation number
/// of the process to which it is addressed, and the content.
type Message = (usize, u64, KeyedHandover);

/// State of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    now_ms: u64,
    instances: [Rc<KeyedCalls>; 3],
    /// Incarnation number of the current process of each instance.
    numbers: [u64; 3],
    /// The instances from this one on may still read in this tick. Reads of different
    /// instances commute, so it suffices to search one order until a registration changes.
    next_reader: usize,
    /// Whether the instance has read the registrations in this tick.
    has_read: [bool; 3],
    is_registered: [bool; 3],
    /// The leases of the registrations. A registration that returns has a new lease.
    leases: [i64; 3],
    /// Whether the process of `b` has started and not read the registrations yet.
    b_assumes_founder: bool,
    /// Whether a call was admitted in this tick. Reads and changes of registrations come before
    /// the admissions of a tick, which come before its runs.
    has_admitted_call: bool,
    /// Whether a call ran in this tick.
    has_run_call: bool,
    changes: u8,
    calls: u8,
    restarts: u8,
    has_retired: bool,
    has_exported: bool,
    /// Parts of the handover under way. They are not removed on delivery, so that each may be
    /// delivered again.
    messages: Rc<Vec<Message>>,
    /// Calls that are admitted and not dispatched yet: the instance and the time of admission.
    admitted: Vec<(usize, u64)>,
    last_run_ms: Option<u64>,
    ran_twice: bool,
    /// Whether an instance other than the founder ran a call.
    successor_ran: bool,
}

/// The key of the search, and one that the founder has run before. `b` is responsible for both
/// while it is registered and the founder is not.
static KEYS: LazyLock<[String; 2]> = LazyLock::new(|| {
    let names = ["a", "b"].map(str::to_string);
    let mut keys = (0..).map(|number: u32| number.to_string()).filter(|key| {
        let digest = KeyDigest::of(CUSTOMER, key).expect("a valid key");
        responsible(&names, digest) == Some("b")
    });
    [(); 2].map(|()| keys.next().expect("b is responsible for some keys"))
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

/// The processes among which keys are divided while the founder is registered.
fn founder_only() -> BTreeMap<String, Incarnation> {
    BTreeMap::from([("f".to_string(), process(FOUNDER, 1))])
}

/// An instance that has read the registrations in each tick from `from_ms` to `until_ms`, with
/// only the founder registered.
fn instance_with_views(
    at: usize,
    from_ms: u64,
    until_ms: u64,
    is_founder: bool,
) -> KeyedCalls {
    let founder = founder_only();
    let mut instance = new_instance(at, 1);
    if is_founder {
        instance.assume_founder();
    }
    (from_ms..=until_ms)
        .for_each(|time| instance.registrations_read(time, founder.clone(), Some(0)));
    instance
}

/// A settled founder that has run no key.
fn settled_founder(now_ms: u64) -> KeyedCalls {
    instance_with_views(FOUNDER, 0, now_ms, true)
}

impl State {
    /// The registered processes among which keys are divided: only the founder while it is
    /// registered.
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

    /// Runs a call at instance `at`.
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
            true if at == FOUNDER => instance_with_views(at, START_MS, START_MS, false),
            _ => instance_with_views(at, 0, START_MS, at == FOUNDER),
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
            b_assumes_founder: false,
            has_admitted_call: false,
            has_run_call: false,
            changes: 0,
            calls: 0,
            restarts: 0,
            has_retired: false,
            has_exported: false,
            messages: Rc::default(),
            admitted: Vec::new(),
            last_run_ms: self.has_restarted_founder.then_some(START_MS),
            ran_twice: false,
            successor_ran: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.calls >= self.calls && state.admitted.is_empty() {
            return steps;
        }
        self.pass_time(state, &mut steps);
        if !state.has_admitted_call && !state.has_run_call {
            self.change_registration(state, FOUNDER, &mut steps);
            if self.b_may_leave {
                self.change_registration(state, INSTANCE_B, &mut steps);
            }
            self.restart(state, &mut steps);
            let active = (0..3).filter(|at| self.is_active(*at));
            active.for_each(|at| steps::read_registrations(state, at, &mut steps));
        }
        self.retire(state, &mut steps);
        self.export(state, &mut steps);
        if !state.has_run_call {
            self.deliver(state, &mut steps);
        }
        (0..3).for_each(|at| self.admit_call(state, at, &mut steps));
        for index in 0..state.admitted.len() {
            let mut next = state.clone();
            let (at, _) = next.admitted.remove(index);
            next.has_run_call = true;
            next.run(at);
            steps.push((Step::new("run call", at, 0), next));
        }
        for (_, next) in &mut steps {
            next.instances = next.instances.each_ref().map(intern);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        match self.seek_run_by_successor {
            true => state
                .successor_ran
                .then_some("a successor ran a call with the key"),
            false => state
                .ran_twice
                .then_some("a call with the same key ran twice within the window"),
        }
    }
}
