//! State of the whole system, and the implementation of the model.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::LazyLock;

use jayreel_model::Profile;
use jayreel_programs::ownership::{claim_requires_absent, takeover_key};
use jayreel_programs::{Handover, OpenRequest, TakeoverRecord};
use jayreel_programs::{ProgramToken, Programs, ProgramsConfig, Takeovers};

use super::model::{CallsModel, Property};
use crate::ownership::{Model, Step, incarnation, takeover_records};

/// Response to a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Response {
    /// The call ran.
    Done,
    /// The call was refused and did not run.
    NotRun,
    /// It is unknown whether the call ran. Holds the process whose epoch a repeat may name, if
    /// the response says so.
    Unknown(Option<usize>),
}

/// A message under way.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Message {
    /// A request to process `at`, from the caller or from the forwarding process `forwarder`.
    Call {
        request: usize,
        at: usize,
        forwarder: Option<usize>,
    },
    /// The handover from process 0 to process 1. It is not removed when it arrives, so that it
    /// may arrive again.
    Handover,
    /// A request from process `by` that the endpoint runs when it arrives.
    Endpoint { request: usize, by: usize },
}

/// Stage of a call at a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Stage {
    /// Waits for its admission.
    Waiting,
    /// Admitted and not dispatched yet.
    Admitted,
    /// Sent to the endpoint.
    Sent,
    /// Forwarded to another process.
    Forwarded,
}

/// A call that a process has not responded to yet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct PendingCall {
    pub(super) request: usize,
    pub(super) stage: Stage,
    /// The process that forwarded the call to this one.
    pub(super) forwarder: Option<usize>,
    /// Whether it was forwarded again. Only with [`Fault::RetryAfterSending`].
    ///
    /// [`Fault::RetryAfterSending`]: super::Fault::RetryAfterSending
    pub(super) was_retried: bool,
}

/// State of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Process {
    pub(super) is_running: bool,
    pub(super) programs: Rc<Programs>,
    /// The takeover records that the process has read.
    pub(super) takeovers: Takeovers,
    pub(super) pending_calls: BTreeSet<PendingCall>,
}

/// A request that the caller has sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Request {
    pub(super) action: usize,
    /// The process whose epoch the request names. Without it, process 0 is meant.
    pub(super) epoch: Option<usize>,
    /// How many times the endpoint has run the request.
    pub(super) runs: u8,
    /// Whether the caller was told that the request did not run.
    pub(super) was_refused_as_not_run: bool,
}

/// State of the whole system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct State {
    pub(super) processes: Vec<Rc<Process>>,
    /// The takeover records in the store: the successor of each process.
    pub(super) successors: Vec<Option<usize>>,
    pub(super) messages: BTreeSet<Message>,
    pub(super) requests: Vec<Request>,
    /// The next action of the caller that is not done.
    pub(super) action: usize,
    /// The process whose epoch the caller names in new requests.
    pub(super) epoch: Option<usize>,
    /// The newest request, while it has no response.
    pub(super) awaited_request: Option<usize>,
    /// Whether the caller sends no more requests.
    pub(super) caller_has_stopped: bool,
    /// The handover that process 0 exported.
    pub(super) handover: Option<Rc<Handover>>,
    /// Highest number of an action that ran so far.
    pub(super) highest_run_action: usize,
    /// Whether an action ran after a later one.
    pub(super) is_out_of_order: bool,
}

impl CallsModel {
    /// The initial programs of a process: process 0 has opened the program, the others have
    /// none.
    pub(super) fn programs(&self, own: usize) -> Rc<Programs> {
        Rc::new(match own {
            0 => OPENED.0.clone(),
            _ => programs(own),
        })
    }

    pub(super) fn token(&self) -> &'static ProgramToken {
        &OPENED.1
    }
}

/// The programs of process 0 after it opened the program, and the token of the program.
static OPENED: LazyLock<(Programs, ProgramToken)> = LazyLock::new(|| {
    let mut programs = programs(0);
    let profile = Profile::default();
    let request = OpenRequest {
        customer: "acme",
        profile_name: "default",
        profile: &profile,
        budget_tokens: None,
        parent: None,
        now_unix_s: 0,
    };
    let token = programs
        .open(0, request)
        .expect("the request is valid")
        .token;
    (programs, token)
});

fn programs(own: usize) -> Programs {
    Programs::new(ProgramsConfig {
        own: incarnation(own),
        first_tranche_percent: 25,
        token_lifetime_s: 3_600,
    })
}

/// Leaves out programs and takeover records, which are slow to hash and follow from the
/// other fields in most states.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for process in &self.processes {
            (process.is_running, &process.pending_calls).hash(state);
        }
        (&self.successors, &self.messages, &self.requests).hash(state);
        (
            self.action,
            self.epoch,
            self.awaited_request,
            self.highest_run_action,
        )
            .hash(state);
    }
}

impl Model for CallsModel {
    type State = State;

    fn initial(&self) -> State {
        let processes = (0..self.processes)
            .map(|own| Process {
                is_running: own < 2,
                programs: self.programs(own),
                takeovers: Takeovers::default(),
                pending_calls: BTreeSet::new(),
            })
            .map(Rc::new)
            .collect();
        State {
            processes,
            successors: vec![None; self.processes],
            messages: BTreeSet::new(),
            requests: Vec::new(),
            action: 0,
            epoch: None,
            awaited_request: None,
            caller_has_stopped: false,
            handover: None,
            highest_run_action: 0,
            is_out_of_order: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        self.caller_steps(state, &mut steps);
        for message in &state.messages {
            self.message_steps(state, *message, &mut steps);
        }
        for at in 0..self.processes {
            if state.processes[at].is_running {
                self.process_steps(state, at, &mut steps);
            }
        }
        self.restart(state, &mut steps);
        steps.iter_mut().for_each(|(_, next)| next.prune());
        steps.retain(|(_, next)| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let is_checked =
            |property| self.property.is_none_or(|checked| checked == property);
        let ran_after_refusal = state
            .requests
            .iter()
            .any(|request| request.was_refused_as_not_run && request.runs > 0);
        if is_checked(Property::NotRun) && ran_after_refusal {
            return Some("a request that was refused as not run ran");
        }
        if is_checked(Property::Order) && self.caller_waits && state.is_out_of_order {
            return Some("an earlier call ran after a later one");
        }
        let ran_twice = match (self.repeatable, self.has_idempotency_key) {
            (true, _) => false,
            (false, false) => state.requests.iter().any(|request| request.runs > 1),
            (false, true) => keyed_action_ran_twice(state),
        };
        (is_checked(Property::AtMostOnce) && ran_twice)
            .then_some("a non-repeatable request ran twice")
    }
}

/// Whether an action ran twice under the same epoch. A request without an epoch counts as one
/// under that of process 0.
fn keyed_action_ran_twice(state: &State) -> bool {
    state.requests.iter().any(|one| {
        let same = state.requests.iter().filter(|other| {
            other.action == one.action
                && other.epoch.unwrap_or(0) == one.epoch.unwrap_or(0)
        });
        same.map(|other| u32::from(other.runs)).sum::<u32>() > 1
    })
}

impl State {
    pub(super) fn process(&mut self, at: usize) -> &mut Process {
        Rc::make_mut(&mut self.processes[at])
    }

    /// Creates the record that `by` takes over from `of`, unless one of the keys that must be
    /// absent exists.
    pub(super) fn apply_claim(&mut self, of: usize, by: usize) {
        let keys = claim_requires_absent(&incarnation(of), &incarnation(by));
        let exists = |key: &String| {
            let mut records = self.successors.iter().enumerate();
            records.any(|(predecessor, successor)| {
                successor.is_some() && takeover_key(&incarnation(predecessor)) == *key
            })
        };
        if !keys.iter().any(exists) {
            self.successors[of] = Some(by);
        }
    }

    /// Removes messages that can have no effect any more, so that states which differ only in
    /// such messages are merged.
    fn prune(&mut self) {
        let State {
            processes,
            messages,
            ..
        } = self;
        messages.retain(|message| match *message {
            Message::Call { at, .. } => processes[at].is_running,
            Message::Endpoint { .. } | Message::Handover => true,
        });
    }

    /// The takeover records in the store.
    pub(super) fn takeover_records(&self) -> Vec<(usize, TakeoverRecord)> {
        takeover_records(&self.successors)
    }
}
