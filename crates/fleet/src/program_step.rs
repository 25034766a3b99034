//! The program step: tokens, ownership, order and budget.

use jayreel_model::{Incarnation, Profile, Ran, Refusal, RefusalReason, RequestId};
use jayreel_programs::{
    Admission, CallParams, Decision, KeyedAdmission, OpenRequest, ProgramEffects,
    ProgramToken, Usage, ownership,
};
use jayreel_scheduler::effect::Reply;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_scheduler::program_admission::{
    CallOutcome, ProgramAdmission, ProgramCall, ProgramChanges, ProgramDecision,
    ProgramGrant, ProgramIdentity,
};

use crate::fleet::{Fleet, HeldCall, PendingCall};

/// Time between two searches for idle programs. A search visits every program, and this
/// step runs on every event.
const EXPIRY_INTERVAL_MS: u64 = 250;

impl ProgramAdmission for Fleet {
    fn profile(
        &self,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<Option<String>, Refusal> {
        match named_program(arrived) {
            None => Ok(None),
            Some(text) => Ok(Some(self.verify(text, customer)?.profile)),
        }
    }

    fn admit(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision {
        self.may_need_grant = true;
        let held = HeldCall::new(&call);
        self.decide_call(now_ms, &held)
            .unwrap_or_else(ProgramDecision::Refuse)
    }

    fn end(&mut self, now_ms: u64, request_id: RequestId, outcome: CallOutcome) {
        self.may_need_grant = true;
        let Some(call) = self.calls.remove(&request_id) else {
            return;
        };
        match (call, outcome) {
            (PendingCall::Program { .. }, CallOutcome::Finished { usage }) => {
                let usage = usage.map(|usage| Usage {
                    prompt_tokens: usage.prompt_tokens,
                    cached_tokens: usage.cached_tokens,
                    generated_tokens: usage.generated_tokens,
                });
                let transition = self.programs.finish(now_ms, request_id, usage);
                self.record(transition);
            }
            (PendingCall::Program { .. }, CallOutcome::Failed { ran }) => {
                let transition = self.programs.fail(now_ms, request_id, ran);
                self.record(transition);
            }
            (PendingCall::Keyed, CallOutcome::Finished { .. }) => {
                self.keyed.finish(now_ms, request_id, Ran::Yes);
            }
            (PendingCall::Keyed, CallOutcome::Failed { ran }) => {
                self.keyed.finish(now_ms, request_id, ran);
            }
            (PendingCall::Takeover { of }, _) => self.drop_held(&of, request_id),
        }
    }

    fn take_changes(&mut self, now_ms: u64) -> ProgramChanges {
        if now_ms >= self.next_expiry_ms {
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
            let transition = self.programs.expire(now_ms);
            self.record(transition);
        }
        std::mem::take(&mut self.changes)
    }
}

impl Fleet {
    /// Decides about a call that arrived, or that waited for a takeover.
    pub(crate) fn decide_call(
        &mut self,
        now_ms: u64,
        held: &HeldCall,
    ) -> Result<ProgramDecision, Refusal> {
        match (&held.arrived.operation, named_program(&held.arrived)) {
            (CallOperation::OpenProgram { budget_tokens }, _) => {
                self.open(now_ms, held, *budget_tokens)
            }
            (_, Some(text)) => {
                let token = self.verify(text, held.customer.as_deref())?;
                self.join(now_ms, held, &token)
            }
            (_, None) => Ok(self.admit_single(now_ms, held)),
        }
    }

    fn open(
        &mut self,
        now_ms: u64,
        held: &HeldCall,
        budget_tokens: Option<u64>,
    ) -> Result<ProgramDecision, Refusal> {
        let customer = held.customer.clone().ok_or_else(needs_customer)?;
        let parent = match &held.arrived.parent {
            None => None,
            Some(text) => {
                let token = self.verify(text, Some(&customer))?;
                match self.place(now_ms, held, &token)? {
                    Place::Elsewhere(decision) => return Ok(decision),
                    Place::Here => {
                        let profile = self.profile_of(&token.profile, &held.profile);
                        Some(self.programs.resolve(now_ms, &token, &profile)?)
                    }
                }
            }
        };
        let opened = self.programs.open(
            now_ms,
            OpenRequest {
                customer: &customer,
                profile_name: &held.profile_name,
                profile: &held.profile,
                budget_tokens,
                parent,
                now_unix_s: self.now_unix_s(now_ms),
            },
        )?;
        Ok(ProgramDecision::Reply(Reply::ProgramOpened {
            token: opened.token.sign(&self.settings.token_key),
            epoch: self.settings.own.to_string(),
            budget_tokens: opened.token.budget_tokens,
        }))
    }

    fn join(
        &mut self,
        now_ms: u64,
        held: &HeldCall,
        token: &ProgramToken,
    ) -> Result<ProgramDecision, Refusal> {
        if let Place::Elsewhere(decision) = self.place(now_ms, held, token)? {
            return Ok(decision);
        }
        let program = self.programs.resolve(now_ms, token, &held.profile)?;
        match &held.arrived.operation {
            CallOperation::CloseProgram { .. } => {
                let transition = self.programs.close(now_ms, program);
                self.record(transition);
                Ok(ProgramDecision::Reply(Reply::ProgramClosed))
            }
            _ => {
                let facts = call_facts(held)?;
                let request_id = held.arrived.request_id;
                let admission = self.programs.admit(now_ms, program, facts);
                let max_tokens = held.max_tokens;
                let pending = PendingCall::Program {
                    program,
                    max_tokens,
                };
                self.calls.insert(request_id, pending);
                Ok(self.decision(request_id, admission))
            }
        }
    }

    /// A call without a program.
    fn admit_single(&mut self, now_ms: u64, held: &HeldCall) -> ProgramDecision {
        let arrived = &held.arrived;
        let key = (&arrived.idempotency_key, held.customer.as_deref());
        let (Some(key), Some(customer), false) = (key.0, key.1, held.repeatable) else {
            return ProgramDecision::Proceed(ProgramGrant {
                max_tokens: held.max_tokens,
                response_headers: vec![self.epoch_header()],
                ..ProgramGrant::default()
            });
        };
        let request_id = arrived.request_id;
        let forwarded = arrived.was_forwarded;
        match self
            .keyed
            .admit(now_ms, request_id, customer, key, forwarded)
        {
            KeyedAdmission::Run => {
                self.calls.insert(request_id, PendingCall::Keyed);
                ProgramDecision::Proceed(ProgramGrant {
                    max_tokens: held.max_tokens,
                    response_headers: vec![self.epoch_header()],
                    ..ProgramGrant::default()
                })
            }
            KeyedAdmission::Forward { instance } => self.forward_to_instance(&instance),
            KeyedAdmission::Refuse(refusal) => ProgramDecision::Refuse(refusal),
        }
    }

    fn forward_to_instance(&self, instance: &str) -> ProgramDecision {
        match self.membership.incarnation(instance) {
            Some(to) => ProgramDecision::Forward { to: to.clone() },
            None => ProgramDecision::Refuse(ownership::unreachable()),
        }
    }

    /// Where a call of the program is served.
    fn place(
        &mut self,
        now_ms: u64,
        held: &HeldCall,
        token: &ProgramToken,
    ) -> Result<Place, Refusal> {
        match self.owner_of(now_ms, &token.owner, held.arrived.was_forwarded) {
            Decision::Serve => Ok(Place::Here),
            Decision::Forward { to } => {
                Ok(Place::Elsewhere(ProgramDecision::Forward { to }))
            }
            Decision::ClaimTakeover { of } => {
                self.hold_for_takeover(of, held.clone());
                Ok(Place::Elsewhere(ProgramDecision::Wait))
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    fn verify(
        &self,
        text: &str,
        customer: Option<&str>,
    ) -> Result<ProgramToken, Refusal> {
        let customer = customer.ok_or_else(needs_customer)?;
        let now_unix_s = self.now_unix_s(self.last_now_ms);
        ProgramToken::verify(text, &self.settings.token_key, customer, now_unix_s)
    }

    /// Turns later answers of the programs into decisions.
    pub(crate) fn record(&mut self, transition: ProgramEffects) {
        self.may_need_grant = true;
        for resolved in transition.resolved {
            let decision = self.decision(resolved.request_id, resolved.admission);
            self.changes.decided.push((resolved.request_id, decision));
        }
        for ended in transition.ended {
            self.changes.ended.push(ended.cache_tag.to_string());
        }
    }

    fn decision(
        &mut self,
        request_id: RequestId,
        admission: Admission,
    ) -> ProgramDecision {
        match admission {
            Admission::Run { max_tokens, turn } => {
                self.grant(request_id, max_tokens, turn)
            }
            Admission::Wait | Admission::NeedsGrant => ProgramDecision::Wait,
            Admission::Refuse(refusal) => {
                self.calls.remove(&request_id);
                ProgramDecision::Refuse(refusal)
            }
        }
    }

    fn grant(
        &mut self,
        request_id: RequestId,
        max_tokens: u64,
        turn: u32,
    ) -> ProgramDecision {
        let Some(PendingCall::Program {
            program,
            max_tokens: asked,
        }) = self.calls.get(&request_id)
        else {
            return ProgramDecision::Wait;
        };
        let identity = self.programs.token(*program).map(|token| ProgramIdentity {
            cache_tag: token.cache_tag().to_string(),
            root: token.root.to_string(),
        });
        let next_turn = turn + 1;
        ProgramDecision::Proceed(ProgramGrant {
            program: identity,
            max_tokens: asked.map(|_| max_tokens),
            response_headers: vec![
                self.epoch_header(),
                ("jayreel-turn".to_string(), next_turn.to_string()),
            ],
        })
    }

    fn epoch_header(&self) -> (String, String) {
        ("jayreel-epoch".to_string(), self.settings.own.to_string())
    }

    fn profile_of(&self, name: &str, otherwise: &Profile) -> Profile {
        let configuration = self.configuration.as_ref();
        let profile = configuration.and_then(|c| c.profiles.get(name));
        profile.unwrap_or(otherwise).clone()
    }
}

/// Where a call is served.
enum Place {
    Here,
    Elsewhere(ProgramDecision),
}

fn named_program(arrived: &CallArrived) -> Option<&str> {
    match &arrived.operation {
        CallOperation::CloseProgram { token } => Some(token),
        CallOperation::OpenProgram { .. } => None,
        _ => arrived.program.as_deref(),
    }
}

fn call_facts(held: &HeldCall) -> Result<CallParams, Refusal> {
    let arrived = &held.arrived;
    let prompt_bound_tokens = match &arrived.operation {
        CallOperation::Chat {
            prompt_bound_tokens,
            ..
        } => *prompt_bound_tokens,
        _ => 0,
    };
    Ok(CallParams {
        request_id: arrived.request_id,
        repeatable: held.repeatable,
        turn: arrived.turn,
        epoch: epoch(arrived)?,
        idempotency_key: arrived.idempotency_key.clone(),
        prompt_bound_tokens,
        max_tokens: held.max_tokens.unwrap_or(0),
    })
}

fn epoch(arrived: &CallArrived) -> Result<Option<Incarnation>, Refusal> {
    match &arrived.epoch {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| {
            Refusal::not_run(
                RefusalReason::InvalidRequest,
                "Jayreel-Epoch is not an incarnation",
            )
        }),
    }
}

fn needs_customer() -> Refusal {
    Refusal::not_run(RefusalReason::NotAllowed, "a program needs a customer key")
}
