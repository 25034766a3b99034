//! The program step of admission: ownership, order, budget and idempotency.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Debug;

use jayreel_model::{Incarnation, Profile, Ran, Refusal, RefusalReason, RequestId};

use crate::effect::Reply;
use crate::event::{CallArrived, CallOperation, TokenUsage};

/// A checked call that asks for its place in a program.
#[derive(Clone, Copy, Debug)]
pub struct ProgramCall<'a> {
    /// The facts of the call.
    pub arrived: &'a CallArrived,
    /// The authenticated customer. `None` on open routes.
    pub customer: Option<&'a str>,
    /// Name of the profile that applies.
    pub profile_name: &'a str,
    /// The profile that applies.
    pub profile: &'a Profile,
    /// The most tokens to generate under the profile.
    pub max_tokens: Option<u64>,
    /// Whether the call may be sent twice without harm.
    pub repeatable: bool,
}

/// The answer of the program step to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProgramDecision {
    /// The call may run. [`ProgramAdmission::end`] follows exactly once.
    Proceed(ProgramGrant),
    /// An earlier call of the program has not ended. A decision follows in
    /// [`ProgramChanges::decided`] unless [`ProgramAdmission::end`] is called before.
    Wait,
    /// Another instance owns the program.
    Forward {
        /// The process that serves it.
        to: Incarnation,
    },
    /// The call is refused.
    Refuse(Refusal),
    /// The call is answered without an endpoint.
    Reply(Reply),
}

/// Permission to run a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProgramGrant {
    /// The program. `None` for a program of one call.
    pub program: Option<ProgramIdentity>,
    /// The most tokens to generate under the remaining budget.
    pub max_tokens: Option<u64>,
    /// Headers to add to the answer.
    pub response_headers: Vec<(String, String)>,
}

/// A program as the scheduling policies know it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramIdentity {
    /// The cache tag. Unique for each program and never used again.
    pub cache_tag: String,
    /// The cache tag of the root program. Equal to `cache_tag` for a root.
    pub root: String,
}

/// How a call that the program step let proceed has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The call is complete.
    Finished {
        /// Tokens as reported by the endpoint, if it did.
        usage: Option<TokenUsage>,
    },
    /// The call failed or was refused or cancelled.
    Failed {
        /// Whether it may have run.
        ran: Ran,
    },
}

/// What the program step decided since it was last asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ProgramChanges {
    /// Decisions about calls that were told to wait. Never [`ProgramDecision::Wait`].
    pub decided: Vec<(RequestId, ProgramDecision)>,
    /// Cache tags of programs that ended.
    pub ended: Vec<String>,
}

/// The program step.
pub trait ProgramAdmission: Debug + Send {
    /// The profile that the call's program token names. `None` if the call names no
    /// program.
    ///
    /// # Errors
    ///
    /// A refusal if the token is malformed, unknown or not of this customer.
    fn profile(
        &self,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<Option<String>, Refusal>;

    /// Decides about a call.
    fn admit(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision;

    /// Records the end of a call that waits or may proceed.
    fn end(&mut self, now_ms: u64, request_id: RequestId, outcome: CallOutcome);

    /// Returns and forgets the decisions since the last call.
    fn take_changes(&mut self, now_ms: u64) -> ProgramChanges;
}

/// Programs of a single instance: calls in order of arrival, without budget, turns or
/// idempotency records.
#[derive(Clone, Debug, Default)]
pub struct LocalPrograms {
    opened: u64,
    programs: BTreeMap<String, LocalProgram>,
    /// Programs of calls that wait or run.
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
