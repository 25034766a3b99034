//! Exhaustive breadth-first search for the models of quotas, home weights and budgets.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use pathfinding::directed::bfs::bfs;

/// A state of a finite transition system with a safety property.
pub trait Model: Clone + Eq + Hash {
    /// Label of a transition, printed in traces.
    type Event: Clone + Debug;

    /// The events that are possible in this state.
    fn events(&self) -> Vec<Self::Event>;

    /// The state after `event`, which is one of [`Model::events`].
    fn apply(&self, event: &Self::Event) -> Self;

    /// Describes the safety property that this state violates, if any.
    fn violation(&self) -> Option<String>;
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of distinct states whose successors were computed.
    pub states: usize,
    /// Length of the shortest path to the most distant of these states, in events.
    pub depth: usize,
    /// The first violation found, which has a shortest trace.
    pub violation: Option<Violation>,
}

/// A violated property.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Description of the property.
    pub property: String,
    /// The events that lead from the start to the violation, in `Debug` format.
    pub trace: Vec<String>,
}

#[derive(Clone)]
struct Node<M: Model> {
    model: M,
    /// The event that first reached the state. Ignored when nodes are compared.
    event: Option<M::Event>,
    depth: usize,
}

impl<M: Model> PartialEq for Node<M> {
    fn eq(&self, other: &Node<M>) -> bool {
        self.model == other.model
    }
}

impl<M: Model> Eq for Node<M> {}

impl<M: Model> Hash for Node<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.model.hash(state);
    }
}

/// Visits all states that can be reached from `start`, or stops at the first violation.
/// Prints the number of states, the depth, the time and the violation under `name`.
pub fn search<M: Model>(name: &str, start: M) -> Outcome {
    let start_time = Instant::now();
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let start = Node {
        model: start,
        event: None,
        depth: 0,
    };
    let successors = |node: &Node<M>| {
        states.set(states.get() + 1);
        depth.set(node.depth.max(depth.get()));
        successors(node)
    };
    let path = bfs(&start, successors, |node| node.model.violation().is_some());
    let outcome = Outcome {
        states: states.get(),
        depth: depth.get(),
        violation: path.and_then(|path| violation(&path)),
    };
    println!(
        "{name}: states={} depth={} seconds={:.1} violation={:?}",
        outcome.states,
        outcome.depth,
        start_time.elapsed().as_secs_f64(),
        outcome.violation,
    );
    outcome
}

fn successors<M: Model>(node: &Node<M>) -> Vec<Node<M>> {
    let events = node.model.events();
    let next = events.into_iter().map(|event| Node {
        model: node.model.apply(&event),
        event: Some(event),
        depth: node.depth + 1,
    });
    next.collect()
}

fn violation<M: Model>(path: &[Node<M>]) -> Option<Violation> {
    let property = path.last()?.model.violation()?;
    let events = path.iter().filter_map(|node| node.event.as_ref());
    let trace = events.map(|event| format!("{event:?}")).collect();
    Some(Violation { property, trace })
}
