//! Exhaustive search for the models of program ownership and of keyed calls.
//!
//! The models are in the modules whose names begin with `ownership_`.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::Instant;

use jayreel_model::Incarnation;
use jayreel_programs::TakeoverRecord;
use pathfinding::directed::bfs::bfs;

/// A transition system with a safety property.
pub trait Model {
    /// State of the whole system: processes, store and messages under way.
    type State: Clone + Eq + Hash;

    /// The state in which every search begins.
    fn initial(&self) -> Self::State;

    /// All steps that are possible in `state`, each with the state that follows.
    fn steps(&self, state: &Self::State) -> Vec<(Step, Self::State)>;

    /// The safety property that `state` violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Label of a step, printed in traces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// What happened.
    pub event: &'static str,
    /// Index of the process or instance at which it happened.
    pub process: usize,
    /// Number of the request, process or message that the step concerns, or 0.
    pub subject: usize,
}

impl Step {
    /// Labels a step at `process` that concerns `subject`.
    pub fn new(event: &'static str, process: usize, subject: usize) -> Step {
        Step {
            event,
            process,
            subject,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at process {}, subject {}",
            self.event, self.process, self.subject
        )
    }
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// Number of distinct states whose successors were computed.
    pub states: usize,
    /// Length of the shortest path to the most distant of these states, in steps.
    pub depth: usize,
    /// The violated property, with a shortest trace to the violation.
    pub violation: Option<(&'static str, Vec<Step>)>,
}

#[derive(Clone)]
struct Node<S> {
    state: S,
    /// The step that first reached the state. Ignored when nodes are compared.
    step: Option<Step>,
    depth: usize,
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Eq> PartialEq for Node<S> {
    fn eq(&self, other: &Node<S>) -> bool {
        self.state == other.state
    }
}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// Visits all states that `model` can reach, or stops at the first violation. Prints the
/// number of states, the depth, the time and the trace under `name`.
pub fn explore<M: Model>(name: &str, model: &M) -> SearchReport {
    let start_time = Instant::now();
    let (mut states, mut depth) = (0, 0);
    let start = Node {
        state: model.initial(),
        step: None,
        depth: 0,
    };
    let path = bfs(
        &start,
        |node| {
            states += 1;
            depth = depth.max(node.depth);
            let steps = model.steps(&node.state).into_iter();
            let depth = node.depth + 1;
            steps
                .map(|(step, state)| Node {
                    state,
                    step: Some(step),
                    depth,
                })
                .collect::<Vec<_>>()
        },
        |node| model.violation(&node.state).is_some(),
    );
    let violation = path.and_then(|path| {
        let property = path.last().and_then(|node| model.violation(&node.state))?;
        Some((
            property,
            path.iter().filter_map(|node| node.step).collect::<Vec<_>>(),
        ))
    });
    let report = SearchReport {
        states,
        depth,
        violation,
    };
    print_report(name, &report, start_time.elapsed().as_millis());
    report
}

fn print_report(name: &str, report: &SearchReport, elapsed_ms: u128) {
    let SearchReport {
        states,
        depth,
        violation,
    } = report;
    println!("search={name} states={states} depth={depth} elapsed_ms={elapsed_ms}");
    if let Some((property, trace)) = violation {
        println!("  violated: {property}");
        for step in trace {
            println!("  {step}");
        }
    }
}

/// Incarnation of process number `process`: 0 is instance `a`, 1 is instance `b`, and 2 is
/// instance `a` after a restart.
pub fn incarnation(process: usize) -> Incarnation {
    let (instance, number) = match process {
        0 => ("a", 1),
        1 => ("b", 1),
        _ => ("a", 2),
    };
    Incarnation {
        instance: instance.to_string(),
        number,
    }
}

/// Number of the process with this incarnation. The inverse of [`incarnation`].
pub fn process(incarnation: &Incarnation) -> usize {
    match (incarnation.instance.as_str(), incarnation.number) {
        ("a", 1) => 0,
        ("b", _) => 1,
        _ => 2,
    }
}

/// The takeover records in the store, each with the number of the process that is taken
/// over. `successors[n]` is the process that took over from process `n`.
pub(crate) fn takeover_records(
    successors: &[Option<usize>],
) -> Vec<(usize, TakeoverRecord)> {
    let records = successors
        .iter()
        .enumerate()
        .filter_map(|(predecessor, successor)| {
            let record = TakeoverRecord {
                successor: incarnation((*successor)?),
                is_planned: false,
            };
            Some((predecessor, record))
        });
    records.collect()
}
