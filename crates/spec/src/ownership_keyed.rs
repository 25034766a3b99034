//! At-most-once execution of a call with an idempotency key but without a program.
//!
//! Instances `a` and `b` register and leave; the product's own [`KeyedCalls`] decides who runs
//! the one key. Time passes in ticks. In each tick each instance may or may not read the
//! registrations, so its view may be as old as it likes; a call may arrive at either; a
//! decided call may be dispatched later, up to the deadline; an instance may restart without
//! memory; and the registration of `b`, to which the key belongs when it is registered, may
//! come and go.
//!
//! Bounded: the number of ticks, changes of the registration, calls and restarts, and the
//! scale: the window is 3 ticks, freshness and dispatch deadline 1 tick each. Both instances
//! begin settled. Clocks run at the same rate.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::LazyLock;

use jayreel_model::{Incarnation, Ran, RequestId};
use jayreel_programs::idempotency::KeyDigest;
use jayreel_programs::keyed::responsible;
use jayreel_programs::{KeyedAdmission, KeyedCalls, KeyedConfig};

use crate::intern::intern;
use crate::ownership::{Model, Step};

/// A repeat within this time after a run must not run.
pub const WINDOW_MS: u64 = 3;

const FRESHNESS_MS: u64 = 1;
const DISPATCH_MS: u64 = 1;

/// Both instances have been settled for longer than this when the search begins.
const START_MS: u64 = 20;

const CUSTOMER: &str = "acme";

/// The lease of a registration at the start.
const LEASE: Option<i64> = Some(0);

/// A rule that is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// All rules are kept.
    None,
    /// A view counts from the arrival of the answer, up to a tick after it was taken.
    DatedAtArrival,
    /// A call is dispatched two ticks after the deadline.
    LateDispatch,
    /// A restarted instance does not wait for the window.
    NoWaitAfterRestart,
    /// An instance does not notice that its own registration lapsed and returned.
    LeaseIgnored,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct KeyedModel {
    /// Ticks after the start.
    pub ticks: u64,
    /// Changes of the registration of `b`.
    pub changes: u8,
    /// Calls with the key.
    pub calls: u8,
    /// Restarts.
    pub restarts: u8,
    /// The rule that is left out.
    pub fault: Fault,
}

/// The order of steps within a tick. Reads of `a` come before those of `b` unless the
/// registration changes between them; then decisions, then runs. Other orders have the same
/// effect, since steps of different instances commute and a view that is read after a
/// decision does not concern it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    Reading,
    BHasRead,
    Deciding,
    Running,
}

/// One state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    now_ms: u64,
    instances: [Rc<KeyedCalls>; 2],
    /// Whether the instance has read the registrations in this tick.
    has_read: [bool; 2],
    phase: Phase,
    is_registered: bool,
    /// The registration of `b` at the start of the last tick and of this one, for the fault.
    was_registered: [bool; 2],
    changes: u8,
    calls: u8,
    restarts: u8,
    /// Decided calls: the instance and the time of the decision.
    decided: Vec<(usize, u64)>,
    last_run_ms: Option<u64>,
    ran_twice: bool,
}

fn new_instance(at: usize) -> KeyedCalls {
    KeyedCalls::new(KeyedConfig {
        own: process(["a", "b"][at]),
        late_repeat_window_ms: WINDOW_MS,
        registration_freshness_ms: FRESHNESS_MS,
        dispatch_deadline_ms: DISPATCH_MS,
    })
}

/// The registered processes, with and without `b`.
static REGISTRATIONS: LazyLock<[BTreeMap<String, Incarnation>; 2]> =
    LazyLock::new(|| [processes(&["a"]), processes(&["a", "b"])]);

/// A key that belongs to `b` while `b` is registered.
static KEY: LazyLock<String> = LazyLock::new(key);

/// Restarts keep their incarnation: a process of the same name has no other memory here.
fn process(name: &str) -> Incarnation {
    Incarnation {
        instance: name.to_string(),
        number: 1,
    }
}

fn processes(names: &[&str]) -> BTreeMap<String, Incarnation> {
    let named = names.iter().map(|name| (name.to_string(), process(name)));
    named.collect()
}

fn registrations(has_b: bool) -> BTreeMap<String, Incarnation> {
    REGISTRATIONS[usize::from(has_b)].clone()
}

fn key() -> String {
    (0..)
        .map(|number: u32| number.to_string())
        .find(|key| {
            let digest = KeyDigest::of(CUSTOMER, key).expect("a valid key");
            responsible(registrations(true).keys(), digest) == Some("b")
        })
        .expect("both instances get keys")
}

impl Model for KeyedModel {
    type State = State;

    fn initial(&self) -> State {
        let settled = |at| {
            let mut one = new_instance(at);
            (0..=START_MS).for_each(|time| {
                one.registrations_read(time, registrations(true), LEASE)
            });
            Rc::new(one)
        };
        State {
            now_ms: START_MS,
            instances: [settled(0), settled(1)],
            has_read: [true, true],
            phase: Phase::Reading,
            is_registered: true,
            was_registered: [true, true],
            changes: 0,
            calls: 0,
            restarts: 0,
            decided: Vec::new(),
            last_run_ms: None,
            ran_twice: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.calls >= self.calls && state.decided.is_empty() {
            // No call can run any more.
            return steps;
        }
        self.pass_time(state, &mut steps);
        if state.changes < self.changes && state.phase <= Phase::BHasRead {
            let mut next = state.clone();
            next.phase = Phase::Reading;
            next.changes += 1;
            next.is_registered = !state.is_registered;
            steps.push((Step::new("registration changes", 1, 0), next));
        }
        for at in 0..2 {
            self.read(state, at, &mut steps);
            self.call(state, at, &mut steps);
            self.restart(state, at, &mut steps);
        }
        for index in 0..state.decided.len() {
            let mut next = state.clone();
            let (at, _) = next.decided.remove(index);
            next.phase = Phase::Running;
            next.run(at);
            steps.push((Step::new("run", at, 0), next));
        }
        for (_, next) in &mut steps {
            next.instances = next.instances.each_ref().map(intern);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state
            .ran_twice
            .then_some("a key ran twice within the window")
    }
}

impl KeyedModel {
    /// A decided call that reaches the deadline is given back.
    fn pass_time(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        if state.now_ms >= START_MS + self.ticks {
            return;
        }
        let late_ms = match self.fault {
            Fault::LateDispatch => 2,
            _ => 0,
        };
        let mut next = state.clone();
        next.now_ms += 1;
        next.has_read = [false, false];
        next.phase = Phase::Reading;
        if self.fault == Fault::DatedAtArrival {
            next.was_registered = [state.was_registered[1], state.is_registered];
        }
        let now_ms = next.now_ms;
        let is_late = |decided_ms: u64| now_ms - decided_ms > DISPATCH_MS + late_ms;
        for (at, _) in state.decided.iter().filter(|one| is_late(one.1)) {
            Rc::make_mut(&mut next.instances[*at]).finish(now_ms, RequestId(0), Ran::No);
        }
        next.decided.retain(|one| !is_late(one.1));
        steps.push((Step::new("tick", 0, 0), next));
    }

    fn read(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        let last_phase = [Phase::Reading, Phase::BHasRead][at];
        if state.has_read[at] || state.phase > last_phase {
            return;
        }
        let mut seen = BTreeSet::from([state.is_registered]);
        if self.fault == Fault::DatedAtArrival {
            seen.insert(state.was_registered[0]);
        }
        for has_b in seen {
            let mut next = state.clone();
            next.has_read[at] = true;
            next.phase = last_phase;
            // Each return of `b` to the registrations has a new lease.
            let lease = match (at, self.fault) {
                (1, Fault::LeaseIgnored) | (0, _) => LEASE,
                _ => has_b.then_some(i64::from(state.changes / 2)),
            };
            Rc::make_mut(&mut next.instances[at]).registrations_read(
                state.now_ms,
                registrations(has_b),
                lease,
            );
            steps.push((Step::new("read", at, usize::from(has_b)), next));
        }
    }

    fn call(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        if state.calls >= self.calls || state.phase > Phase::Deciding {
            return;
        }
        let mut next = state.clone();
        let now_ms = state.now_ms;
        let admission = Rc::make_mut(&mut next.instances[at]).admit(
            now_ms,
            RequestId(0),
            CUSTOMER,
            &KEY,
            false,
        );
        if admission == KeyedAdmission::Run {
            next.calls += 1;
            next.phase = Phase::Deciding;
            next.decided.push((at, now_ms));
            next.decided.sort_unstable();
            steps.push((Step::new("decide to run", at, 0), next));
        }
    }

    fn restart(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        if state.restarts >= self.restarts || state.phase > Phase::BHasRead {
            return;
        }
        let mut next = state.clone();
        next.restarts += 1;
        next.has_read[at] = false;
        next.instances[at] = Rc::new(new_instance(at));
        if self.fault == Fault::NoWaitAfterRestart {
            let instance = Rc::make_mut(&mut next.instances[at]);
            (0..=state.now_ms).for_each(|time| {
                instance.registrations_read(time, registrations(true), LEASE);
            });
        }
        next.decided.retain(|one| one.0 != at);
        steps.push((Step::new("restart", at, 0), next));
    }
}

impl State {
    fn run(&mut self, at: usize) {
        let is_repeat = self
            .last_run_ms
            .is_some_and(|ms| self.now_ms - ms <= WINDOW_MS);
        self.ran_twice |= is_repeat;
        self.last_run_ms = Some(self.now_ms);
        Rc::make_mut(&mut self.instances[at]).finish(self.now_ms, RequestId(0), Ran::Yes);
    }
}
