//! Model of configuration changes: two operators, the store, and the instances that follow
//! the configuration.
//!
//! It checks that an operator is told correctly whether a change was accepted, also when
//! the response of the store is lost, and that instances never go back to an older
//! configuration. The transactions, the keyspace and the configuration feed of an instance
//! are those of `jayreel-store`; the model adds the order of steps and the failures.
//!
//! A [`Scenario`] bounds the number of edits, lost messages, outages, silent watches,
//! restarts and expired leases. A store of several members and compaction are not modelled.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use jayreel_model::{CustomerKey, KeyHash, Profile};
use jayreel_store::configuration::change;
use jayreel_store::configuration::layout::record_key;
use jayreel_store::{Keyspace, Transaction};
use pathfinding::directed::bfs::bfs;

use crate::configuration_instance::Instance;
use crate::configuration_operator::{Message, Operator, Report};

pub use crate::configuration_operator::Edit;

/// Name of the profile that the operators change.
pub(crate) const PROFILE: &str = "standard";

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SeededFault {
    /// After a lost response, the operator takes its own value at a newer version for proof
    /// that the change was accepted.
    CompareValues,
    /// After a lost response, the operator takes an unchanged version for proof that the
    /// change was not accepted, although the request may still arrive.
    NoCancellation,
    /// Records are written without a condition on their version.
    NoVersionCheck,
    /// Instances apply every configuration that they receive, also one with a lower revision.
    ApplyLowerRevision,
    /// Instances forget a withdrawal when they apply a configuration that lacks it.
    ForgetWithdrawals,
}

/// How many times each kind of failure may occur.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct FailureBounds {
    /// Requests whose connection breaks before they arrive, and responses that are lost.
    pub lost_messages: u8,
    /// Outages of the store.
    pub outages: u8,
    /// Watches that stop delivering changes without an error.
    pub silent_watches: u8,
    /// Restarts of instances.
    pub restarts: u8,
    /// Leases that expire after the outcome of their change was reported.
    pub lease_ends: u8,
}

/// What a search covers.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The edits of each operator, in the order in which it makes them.
    pub scripts: [Vec<Edit>; 2],
    /// Number of instances.
    pub instances: usize,
    /// How many times each kind of failure may occur.
    pub failure_bounds: FailureBounds,
    /// The rule to break, if any.
    pub fault: Option<SeededFault>,
}

/// A violation of a safety property.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// Two changes based on the same version of a record were both reported as accepted.
    BothAccepted,
    /// A change was reported as not accepted, but the store applied it.
    FalseNotAccepted,
    /// A change was reported as accepted, but the store did not apply it.
    FalseAccepted,
    /// An instance replaced its configuration by one with a lower revision.
    LowerRevision,
    /// A key became valid again after it was withdrawn, in the store or at an instance that
    /// knew of the withdrawal.
    WithdrawnKeyValid,
}

/// State of the whole system. `step` and `depth` tell how it was first reached and are
/// ignored when states are compared.
#[derive(Clone)]
pub(crate) struct World {
    /// Label of the step that led here.
    pub(crate) step: String,
    depth: u32,
    pub(crate) store: Arc<Keyspace>,
    pub(crate) store_is_up: bool,
    /// How many more times each kind of failure may occur.
    pub(crate) failures_left: FailureBounds,
    pub(crate) operators: [Operator; 2],
    /// Delayed requests that may still arrive.
    pub(crate) messages: Vec<Message>,
    pub(crate) instances: Vec<Instance>,
    /// Whether the stored key is withdrawn; `None` if the store has no key. Cached.
    key_is_withdrawn: Option<bool>,
    /// Whether the key was withdrawn in the store at any time.
    was_withdrawn: bool,
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.store_is_up == other.store_is_up
            && self.failures_left == other.failures_left
            && self.operators == other.operators
            && self.messages == other.messages
            && self.was_withdrawn == other.was_withdrawn
            && self.instances == other.instances
            && self.store == other.store
    }
}

impl Eq for World {}

/// Hashes only the revision of the store, since the whole keyspace is slow to hash.
impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.store_is_up.hash(hasher);
        self.failures_left.hash(hasher);
        self.operators.hash(hasher);
        self.messages.hash(hasher);
        self.was_withdrawn.hash(hasher);
        self.store.revision().hash(hasher);
        for instance in &self.instances {
            instance.hash(hasher);
        }
    }
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.step)
    }
}

/// The customer key that the operators create and withdraw.
pub(crate) fn customer_key() -> KeyHash {
    KeyHash([7; 32])
}

pub(crate) fn key_record(withdrawn: bool) -> CustomerKey {
    CustomerKey {
        customer: "acme".into(),
        withdrawn,
    }
}

impl World {
    fn start(scenario: &Scenario) -> World {
        let mut store = Keyspace::new();
        let profile = change::replace(PROFILE, &Profile::default(), 0)
            .expect("a profile can be encoded");
        store.commit(&profile).expect("no lease is involved");
        let operators = [0, 1].map(|i| Operator::new(&scenario.scripts[i], &mut store));
        World {
            step: "start".into(),
            depth: 0,
            store: Arc::new(store),
            store_is_up: true,
            failures_left: scenario.failure_bounds,
            operators,
            messages: Vec::new(),
            instances: vec![Instance::default(); scenario.instances],
            key_is_withdrawn: None,
            was_withdrawn: false,
        }
    }

    /// A copy of this state, labelled as the result of `step`.
    pub(crate) fn next(&self, step: impl Into<String>) -> World {
        let mut next = self.clone();
        next.step = step.into();
        next.depth += 1;
        next
    }

    /// Applies a transaction at the store. Returns false if one of its conditions failed.
    pub(crate) fn commit(&mut self, transaction: &Transaction) -> bool {
        let store = Arc::make_mut(&mut self.store);
        let committed = store
            .commit(transaction)
            .is_ok_and(|commit| commit.succeeded);
        if committed {
            self.key_is_withdrawn = self.stored_key_is_withdrawn();
            self.was_withdrawn |= self.key_is_withdrawn == Some(true);
        }
        committed
    }

    fn stored_key_is_withdrawn(&self) -> Option<bool> {
        let key = record_key::<CustomerKey>(&customer_key().to_string());
        let entry = self.store.get(&key)?;
        let record: CustomerKey = serde_json::from_slice(&entry.value).ok()?;
        Some(record.withdrawn)
    }

    fn store_steps(&self) -> Vec<World> {
        let mut steps = Vec::new();
        if self.store_is_up && self.failures_left.outages > 0 {
            let mut next = self.next("store outage begins");
            next.failures_left.outages -= 1;
            next.store_is_up = false;
            steps.push(next);
        }
        if !self.store_is_up {
            let mut next = self.next("store outage ends");
            next.store_is_up = true;
            steps.push(next);
        }
        steps
    }

    fn successors(&self, fault: Option<SeededFault>) -> Vec<World> {
        let mut steps = self.store_steps();
        for index in 0..self.operators.len() {
            steps.extend(self.operator_steps(index, fault));
        }
        steps.extend(self.message_steps());
        for index in 0..self.instances.len() {
            steps.extend(self.instance_steps(index, fault));
        }
        steps
            .iter_mut()
            .for_each(|next| next.instances.sort_by_key(Instance::sort_key));
        steps
    }

    fn violation(&self) -> Option<Violation> {
        let attempts = || {
            self.operators
                .iter()
                .flat_map(|operator| &operator.attempts)
        };
        let accepted = || attempts().filter(|a| a.report == Some(Report::Accepted));
        let is_double_acceptance = accepted().any(|one| {
            accepted().any(|other| {
                one.id != other.id
                    && one.edit.is_of_profile() == other.edit.is_of_profile()
                    && one.base == other.base
            })
        });
        let is_false_refusal =
            attempts().any(|a| a.report == Some(Report::NotAccepted) && a.was_applied);
        let is_valid_again = self.was_withdrawn && self.key_is_withdrawn == Some(false)
            || self.instances.iter().any(Instance::has_valid_withdrawn_key);
        match () {
            _ if is_double_acceptance => Some(Violation::BothAccepted),
            _ if is_false_refusal => Some(Violation::FalseNotAccepted),
            _ if accepted().any(|a| !a.was_applied) => Some(Violation::FalseAccepted),
            _ if self.instances.iter().any(Instance::has_lowered_revision) => {
                Some(Violation::LowerRevision)
            }
            _ if is_valid_again => Some(Violation::WithdrawnKeyValid),
            _ => None,
        }
    }
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of distinct states whose successors were computed.
    pub states: usize,
    /// Length of the shortest path to the most distant of these states, in steps.
    pub depth: u32,
    /// The violation that was found, if any, with a shortest trace to it. The first entry of
    /// the trace stands for the initial state.
    pub trace: Option<(Violation, Vec<String>)>,
}

/// Visits all states that `scenario` can reach, or stops at the first violation.
pub fn explore(scenario: &Scenario) -> Outcome {
    let start = World::start(scenario);
    let (mut states, mut depth) = (0, 0);
    let path = bfs(
        &start,
        |world| {
            states += 1;
            depth = world.depth;
            world.successors(scenario.fault)
        },
        |world| world.violation().is_some(),
    );
    let trace = path.and_then(|path| {
        let violation = path.last()?.violation()?;
        Some((
            violation,
            path.iter().map(|world| world.step.clone()).collect(),
        ))
    });
    Outcome {
        states,
        depth,
        trace,
    }
}
