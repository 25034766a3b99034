//! Interface between the scheduler and program management, which decides whether a call of a
//! program may run: ownership, order of turns, token budget and idempotency.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Debug;

use jayreel_model::{Incarnation, Profile, Ran, Refusal, RefusalReason, RequestId};

use crate::effect::Reply;
use crate::event::{CallArrived, CallOperation, TokenUsage};

/// A call that passed the configuration checks, for a decision by [`ProgramAdmission`].
#[derive(Clone, Copy, Debug)]
pub struct ProgramCall<'a> {
    /// Metadata of the call.
    pub arrived: &'a CallArrived,
    /// Name of the authenticated customer. `None` on open routes.
    pub customer: Option<&'a str>,
    /// Name of the call's profile.
    pub profile_name: &'a str,
    /// Content of the call's profile.
    pub profile: &'a Profile,
    /// Maximum number of tokens to generate under the profile. `None` unless the call is a
    /// chat completion.
    pub max_tokens: Option<u64>,
    /// Whether the call is idempotent.
    pub repeatable: bool,
}

/// Decision about a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProgramDecision {
    /// The call may run. The scheduler calls [`ProgramAdmission::end`] exactly once.
    Proceed(ProgramGrant),
    /// The call must wait, usually because an earlier call of the program has not ended. A
    /// decision follows in [`ProgramChanges::decided`] unless [`ProgramAdmission::end`] is
    /// called before.
    Wait,
    /// Another instance owns the program and must handle the call.
    Forward {
        /// The process that owns the program.
        to: Incarnation,
    },
    /// The call is rejected.
    Refuse(Refusal),
    /// The call is an operation on a program and is complete.
    Reply(Reply),
}

/// Permission to run a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProgramGrant {
    /// The program that the call belongs to. `None` for a call without program.
    pub program: Option<ProgramIdentity>,
    /// Maximum number of tokens to generate under the remaining budget.
    pub max_tokens: Option<u64>,
    /// Headers to add to the response to the caller.
    pub response_headers: Vec<(String, String)>,
}

/// Identifies a program towards the scheduler and the engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramIdentity {
    /// Tag of the program's cache at engines. Unique and never reused.
    pub cache_tag: String,
    /// Cache tag of the root program. Equal to `cache_tag` if the program is a root.
    pub root: String,
}

/// How a call ended that was waiting or allowed to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The call completed.
    Finished {
        /// Token counts. `None` if the endpoint reported none.
        usage: Option<TokenUsage>,
    },
    /// The call failed, was refused or was cancelled.
    Failed {
        /// Whether an endpoint may have processed the call.
        ran: Ran,
    },
}

/// Decisions made since the last [`ProgramAdmission::take_changes`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProgramChanges {
    /// Decisions about calls that had to wait. Never [`ProgramDecision::Wait`].
    pub decided: Vec<(RequestId, ProgramDecision)>,
    /// Cache tags of programs that have ended.
    pub ended: Vec<String>,
}

/// Decides which calls of programs may run, and when.
pub trait ProgramAdmission: Debug + Send {
    /// Returns the name of the profile of the call's program. `None` if the call belongs to
    /// no program.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the program token is malformed, unknown or of another customer.
    fn profile(
        &self,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<Option<String>, Refusal>;

    /// Decides whether an arriving call may run.
    fn admit(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision;

    /// Records the end of a call that was waiting or allowed to run.
    fn end(&mut self, now_ms: u64, request_id: RequestId, outcome: CallOutcome);

    /// Returns the decisions since the last call of this method.
    fn take_changes(&mut self, now_ms: u64) -> ProgramChanges;
}

/// Program management of a single instance: runs the calls of a program one at a time in the
/// order of arrival, without budgets, turn numbers or idempotency records.
#[derive(Clone, Debug, Default)]
pub struct LocalPrograms {
    /// Number of programs opened so far, used for tokens.
    opened: u64,
    /// Open programs by token.
    programs: BTreeMap<String, LocalProgram>,
    /// Program tokens of the calls that are waiting or running.
    calls: HashMap<RequestId, String>,
    changes: ProgramChanges,
}

#[derive(Clone, Debug)]
struct LocalProgram {
    customer: String,
    profile_name: String,
    root: String,
    idle_timeout_ms: u64,
    last_used_ms: u64,
    running: Option<RequestId>,
    waiting: VecDeque<(RequestId, ProgramGrant)>,
}

impl LocalPrograms {
    fn open(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision {
        let parent = call.arrived.parent.as_ref();
        let root = match parent.map(|token| self.programs.get(token)) {
            None => None,
            Some(None) => return ProgramDecision::Refuse(unknown_program()),
            Some(Some(parent)) => Some(parent.root.clone()),
        };
        self.opened += 1;
        let token = format!("p{}", self.opened);
        let program = LocalProgram {
            customer: call.customer.unwrap_or_default().to_string(),
            profile_name: call.profile_name.to_string(),
            root: root.unwrap_or_else(|| token.clone()),
            idle_timeout_ms: call.profile.idle_timeout_ms,
            last_used_ms: now_ms,
            running: None,
            waiting: VecDeque::new(),
        };
        self.programs.insert(token.clone(), program);
        ProgramDecision::Reply(Reply::ProgramOpened {
            token,
            epoch: String::new(),
            budget_tokens: call.profile.budget_tokens,
        })
    }

    fn close(&mut self, token: &str) -> ProgramDecision {
        let Some(program) = self.programs.remove(token) else {
            return ProgramDecision::Refuse(unknown_program());
        };
        for (request_id, _) in program.waiting {
            self.calls.remove(&request_id);
            let decision = ProgramDecision::Refuse(unknown_program());
            self.changes.decided.push((request_id, decision));
        }
        self.changes.ended.push(token.to_string());
        ProgramDecision::Reply(Reply::ProgramClosed)
    }

    fn join(
        &mut self,
        now_ms: u64,
        token: &str,
        call: ProgramCall<'_>,
    ) -> ProgramDecision {
        let Some(program) = self.programs.get_mut(token) else {
            return ProgramDecision::Refuse(unknown_program());
        };
        program.last_used_ms = now_ms;
        let request_id = call.arrived.request_id;
        let grant = ProgramGrant {
            program: Some(ProgramIdentity {
                cache_tag: token.to_string(),
                root: program.root.clone(),
            }),
            max_tokens: call.max_tokens,
            response_headers: Vec::new(),
        };
        self.calls.insert(request_id, token.to_string());
        if program.running.is_some() {
            program.waiting.push_back((request_id, grant));
            return ProgramDecision::Wait;
        }
        program.running = Some(request_id);
        ProgramDecision::Proceed(grant)
    }
}

impl ProgramAdmission for LocalPrograms {
    fn profile(
        &self,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<Option<String>, Refusal> {
        let token = match &arrived.operation {
            CallOperation::CloseProgram { token } => Some(token),
            _ => arrived.program.as_ref(),
        };
        let Some(token) = token else {
            return Ok(None);
        };
        let program = self.programs.get(token).ok_or_else(unknown_program)?;
        match customer == Some(program.customer.as_str()) {
            true => Ok(Some(program.profile_name.clone())),
            false => Err(unknown_program()),
        }
    }

    fn admit(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision {
        match (&call.arrived.operation, &call.arrived.program) {
            (CallOperation::OpenProgram { .. }, _) => self.open(now_ms, call),
            (CallOperation::CloseProgram { token }, _) => self.close(token),
            (_, Some(token)) => self.join(now_ms, token, call),
            (_, None) => ProgramDecision::Proceed(ProgramGrant {
                max_tokens: call.max_tokens,
                ..ProgramGrant::default()
            }),
        }
    }

    fn end(&mut self, now_ms: u64, request_id: RequestId, _outcome: CallOutcome) {
        let Some(token) = self.calls.remove(&request_id) else {
            return;
        };
        let Some(program) = self.programs.get_mut(&token) else {
            return;
        };
        program.last_used_ms = now_ms;
        program
            .waiting
            .retain(|(waiting, _)| *waiting != request_id);
        if program.running != Some(request_id) {
            return;
        }
        let next = program.waiting.pop_front();
        program.running = next.as_ref().map(|(next, _)| *next);
        if let Some((next, grant)) = next {
            let decision = ProgramDecision::Proceed(grant);
            self.changes.decided.push((next, decision));
        }
    }

    fn take_changes(&mut self, now_ms: u64) -> ProgramChanges {
        let expired: Vec<String> = self
            .programs
            .iter()
            .filter(|(_, program)| program.running.is_none())
            .filter(|(_, program)| {
                now_ms >= program.last_used_ms + program.idle_timeout_ms
            })
            .map(|(token, _)| token.clone())
            .collect();
        for token in expired {
            self.programs.remove(&token);
            self.changes.ended.push(token);
        }
        std::mem::take(&mut self.changes)
    }
}

fn unknown_program() -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, "no such program")
}
