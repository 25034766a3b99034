//! Model of calls that have an idempotency key but belong to no program.
//!
//! It checks that such a call runs at most once within a time window. There are two
//! instances, `a` and `b`, and all calls have the same key. [`KeyedCalls`] decides which
//! instance may run a call: `b` while it is registered, otherwise `a`. In each tick:
//!
//! - An instance may read the registrations or not, so its view may have any age.
//! - A call may arrive at either instance.
//! - An admitted call may be dispatched later, up to the dispatch deadline.
//! - An instance may restart without memory.
//! - The registration of `b` may lapse or return.
//!
//! A search is bounded to a number of ticks, changes of the registration, calls and restarts.
//! The window is 3 ticks long; the longest age of a usable view and the dispatch deadline are
//! 1 tick each. Both instances have been settled before the start, and their clocks run at
//! the same rate.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::LazyLock;

use jayreel_model::{Incarnation, Ran, RequestId};
use jayreel_programs::idempotency::KeyDigest;
use jayreel_programs::keyed::responsible;
use jayreel_programs::{KeyedAdmission, KeyedCalls, KeyedConfig};

use crate::intern::intern;
use crate::ownership::{Model, Step};

/// Length of the window: a repeat must not run within this time after a run. A tick is one
/// millisecond.
pub const WINDOW_MS: u64 = 3;

/// Longest age at which a view of the registrations may be used.
const FRESHNESS_MS: u64 = 1;
/// Longest time between the admission of a call and its dispatch.
const DISPATCH_MS: u64 = 1;

/// Start of the search. By then both instances have read the registrations since time 0, and
/// are settled.
const START_MS: u64 = 20;

const CUSTOMER: &str = "acme";

/// Lease of the initial registrations.
const LEASE: Option<i64> = Some(0);

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No rule is broken.
    None,
    /// The age of a view is counted from the arrival of the response, up to a tick after the
    /// registrations were read.
    DatedAtArrival,
    /// A call is dispatched two ticks after the deadline.
    LateDispatch,
    /// A restarted instance does not wait until the window is over.
    NoWaitAfterRestart,
    /// An instance does not notice that its own registration has lapsed and returned.
    LeaseIgnored,
}

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub struct KeyedModel {
    /// Number of ticks.
    pub ticks: u64,
    /// Number of changes of the registration of `b`.
    pub changes: u8,
    /// Number of admitted calls.
    pub calls: u8,
    /// Number of restarts.
    pub restarts: u8,
    /// The rule to break.
    pub fault: Fault,
}

/// Phase within a tick, which limits the order of steps to keep the number of states low.
/// First come reads, those of `a` before those of `b` unless the registration changes
/// between them; then admissions, then runs. All other orders have the same effect as one of
/// these, since steps of different instances commute, and a view that is read after an
/// admission does not affect it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    Reading,
    BHasRead,
    Admitting,
    Running,
}

/// State of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    now_ms: u64,
    instances: [Rc<KeyedCalls>; 2],
    /// Whether the instance has read the registrations in this tick.
    has_read: [bool; 2],
    phase: Phase,
    /// Whether `b` is registered.
    b_is_registered: bool,
    /// Whether `b` was registered at the start of the last tick and of this one. Used only with
    /// [`Fault::DatedAtArrival`].
    b_was_registered: [bool; 2],
    changes: u8,
    calls: u8,
    restarts: u8,
    /// Calls that are admitted and not dispatched yet: the instance and the time of admission.
    admitted: Vec<(usize, u64)>,
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

/// The registered processes: without `b`, and with `b`.
static REGISTRATIONS: LazyLock<[BTreeMap<String, Incarnation>; 2]> =
    LazyLock::new(|| [processes(&["a"]), processes(&["a", "b"])]);

/// A key for which `b` is responsible while it is registered.
static KEY: LazyLock<String> = LazyLock::new(key);

/// Incarnation of an instance. It stays the same after a restart, since this model does not
/// distinguish the processes of an instance by their number.
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

fn registrations(b_is_registered: bool) -> BTreeMap<String, Incarnation> {
    REGISTRATIONS[usize::from(b_is_registered)].clone()
}

fn key() -> String {
    (0..)
        .map(|number: u32| number.to_string())
        .find(|key| {
            let digest = KeyDigest::of(CUSTOMER, key).expect("a valid key");
            responsible(registrations(true).keys(), digest) == Some("b")
        })
        .expect("b is responsible for some keys")
}

impl Model for KeyedModel {
    type State = State;

    fn initial(&self) -> State {
        let settled = |at| {
            let mut instance = new_instance(at);
            (0..=START_MS).for_each(|time| {
                instance.registrations_read(time, registrations(true), LEASE)
            });
            Rc::new(instance)
        };
        State {
            now_ms: START_MS,
            instances: [settled(0), settled(1)],
            has_read: [true, true],
            phase: Phase::Reading,
            b_is_registered: true,
            b_was_registered: [true, true],
            changes: 0,
            calls: 0,
            restarts: 0,
            admitted: Vec::new(),
            last_run_ms: None,
            ran_twice: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.calls >= self.calls && state.admitted.is_empty() {
            // No further call can run, so no violation can follow.
            return steps;
        }
        self.pass_time(state, &mut steps);
        if state.changes < self.changes && state.phase <= Phase::BHasRead {
            let mut next = state.clone();
            next.phase = Phase::Reading;
            next.changes += 1;
            next.b_is_registered = !state.b_is_registered;
            steps.push((Step::new("registration changes", 1, 0), next));
        }
        for at in 0..2 {
            self.read_registrations(state, at, &mut steps);
            self.admit_call(state, at, &mut steps);
            self.restart(state, at, &mut steps);
        }
        for index in 0..state.admitted.len() {
            let mut next = state.clone();
            let (at, _) = next.admitted.remove(index);
            next.phase = Phase::Running;
            next.run(at);
            steps.push((Step::new("run call", at, 0), next));
        }
        for (_, next) in &mut steps {
            next.instances = next.instances.each_ref().map(intern);
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state
            .ran_twice
            .then_some("a call with the same key ran twice within the window")
    }
}

impl KeyedModel {
    /// Advances the time by one tick. Admitted calls beyond the dispatch deadline are dropped
    /// and reported as not run.
    fn pass_time(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        if state.now_ms >= START_MS + self.ticks {
            return;
        }
        let extra_ms = match self.fault {
            Fault::LateDispatch => 2,
            _ => 0,
        };
        let mut next = state.clone();
        next.now_ms += 1;
        next.has_read = [false, false];
        next.phase = Phase::Reading;
        if self.fault == Fault::DatedAtArrival {
            next.b_was_registered = [state.b_was_registered[1], state.b_is_registered];
        }
        let now_ms = next.now_ms;
        let is_overdue = |admitted_ms: u64| now_ms - admitted_ms > DISPATCH_MS + extra_ms;
        for (at, _) in state.admitted.iter().filter(|call| is_overdue(call.1)) {
            Rc::make_mut(&mut next.instances[*at]).finish(now_ms, RequestId(0), Ran::No);
        }
        next.admitted.retain(|call| !is_overdue(call.1));
        steps.push((Step::new("tick", 0, 0), next));
    }

    /// An instance reads the registrations.
    fn read_registrations(
        &self,
        state: &State,
        at: usize,
        steps: &mut Vec<(Step, State)>,
    ) {
        let last_phase = [Phase::Reading, Phase::BHasRead][at];
        if state.has_read[at] || state.phase > last_phase {
            return;
        }
        let mut possible_views = BTreeSet::from([state.b_is_registered]);
        if self.fault == Fault::DatedAtArrival {
            possible_views.insert(state.b_was_registered[0]);
        }
        for b_is_registered in possible_views {
            let mut next = state.clone();
            next.has_read[at] = true;
            next.phase = last_phase;
            // Each return of `b` to the registrations has a new lease.
            let lease = match (at, self.fault) {
                (1, Fault::LeaseIgnored) | (0, _) => LEASE,
                _ => b_is_registered.then_some(i64::from(state.changes / 2)),
            };
            Rc::make_mut(&mut next.instances[at]).registrations_read(
                state.now_ms,
                registrations(b_is_registered),
                lease,
            );
            steps.push((
                Step::new("read registrations", at, usize::from(b_is_registered)),
                next,
            ));
        }
    }

    /// A call arrives, and the instance admits it. Refused calls have no step, since they do not
    /// run.
    fn admit_call(&self, state: &State, at: usize, steps: &mut Vec<(Step, State)>) {
        if state.calls >= self.calls || state.phase > Phase::Admitting {
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
            next.phase = Phase::Admitting;
            next.admitted.push((at, now_ms));
            next.admitted.sort_unstable();
            steps.push((Step::new("admit call", at, 0), next));
        }
    }

    /// An instance restarts without memory and without its admitted calls.
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
        next.admitted.retain(|call| call.0 != at);
        steps.push((Step::new("restart", at, 0), next));
    }
}

impl State {
    /// Runs a call at instance `at`.
    fn run(&mut self, at: usize) {
        let is_repeat = self
            .last_run_ms
            .is_some_and(|ms| self.now_ms - ms <= WINDOW_MS);
        self.ran_twice |= is_repeat;
        self.last_run_ms = Some(self.now_ms);
        Rc::make_mut(&mut self.instances[at]).finish(self.now_ms, RequestId(0), Ran::Yes);
    }
}
