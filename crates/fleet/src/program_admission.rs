//! Program admission: checks a call's program token, decides which instance serves the
//! program, and admits the call by the program's order, budget and idempotency keys.

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

use crate::fleet::{FleetState, OwnedProgramCall, PendingCall};

/// Time between two checks for idle programs. A check visits every program, and
/// [`FleetState::take_changes`] runs after every event.
const EXPIRY_INTERVAL_MS: u64 = 250;

impl ProgramAdmission for FleetState {
    fn profile(
        &self,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<Option<String>, Refusal> {
        match program_token(arrived) {
            None => Ok(None),
            Some(text) => Ok(Some(self.verify_token(text, customer)?.profile)),
        }
    }

    fn admit(&mut self, now_ms: u64, call: ProgramCall<'_>) -> ProgramDecision {
        self.may_need_grant = true;
        let call = OwnedProgramCall::new(&call);
        self.admit_call(now_ms, &call)
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
                let effects = self.programs.finish(now_ms, request_id, usage);
                self.apply_program_effects(effects);
            }
            (PendingCall::Program { .. }, CallOutcome::Failed { ran }) => {
                let effects = self.programs.fail(now_ms, request_id, ran);
                self.apply_program_effects(effects);
            }
            (PendingCall::Keyed, CallOutcome::Finished { .. }) => {
                self.keyed.finish(now_ms, request_id, Ran::Yes);
            }
            (PendingCall::Keyed, CallOutcome::Failed { ran }) => {
                self.keyed.finish(now_ms, request_id, ran);
            }
            (PendingCall::Takeover { of }, _) => {
                self.remove_awaiting_takeover(&of, request_id)
            }
        }
    }

    fn take_changes(&mut self, now_ms: u64) -> ProgramChanges {
        if now_ms >= self.next_expiry_ms {
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
            let effects = self.programs.expire(now_ms);
            self.apply_program_effects(effects);
        }
        std::mem::take(&mut self.changes)
    }
}

impl FleetState {
    /// Decides the admission of a call that has just arrived or has waited for a takeover.
    pub(crate) fn admit_call(
        &mut self,
        now_ms: u64,
        call: &OwnedProgramCall,
    ) -> Result<ProgramDecision, Refusal> {
        match (&call.arrived.operation, program_token(&call.arrived)) {
            (CallOperation::OpenProgram { budget_tokens }, _) => {
                self.open_program(now_ms, call, *budget_tokens)
            }
            (_, Some(text)) => {
                let token = self.verify_token(text, call.customer.as_deref())?;
                self.admit_to_program(now_ms, call, &token)
            }
            (_, None) => Ok(self.admit_without_program(now_ms, call)),
        }
    }

    /// Opens a program for the caller, below its parent program if the call names one. The
    /// parent's owner opens it, so the call may be forwarded there.
    fn open_program(
        &mut self,
        now_ms: u64,
        call: &OwnedProgramCall,
        budget_tokens: Option<u64>,
    ) -> Result<ProgramDecision, Refusal> {
        let customer = call.customer.clone().ok_or_else(customer_required)?;
        let parent = match &call.arrived.parent {
            None => None,
            Some(text) => {
                let token = self.verify_token(text, Some(&customer))?;
                match self.check_owner(now_ms, call, &token)? {
                    OwnerCheck::NotLocal(decision) => return Ok(decision),
                    OwnerCheck::Local => {
                        let profile = self.profile_or(&token.profile, &call.profile);
                        Some(self.programs.resolve(now_ms, &token, &profile)?)
                    }
                }
            }
        };
        let opened = self.programs.open(
            now_ms,
            OpenRequest {
                customer: &customer,
                profile_name: &call.profile_name,
                profile: &call.profile,
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

    /// Admits a call to its program, or closes the program, if this instance serves it.
    fn admit_to_program(
        &mut self,
        now_ms: u64,
        call: &OwnedProgramCall,
        token: &ProgramToken,
    ) -> Result<ProgramDecision, Refusal> {
        if let OwnerCheck::NotLocal(decision) = self.check_owner(now_ms, call, token)? {
            return Ok(decision);
        }
        let program = self.programs.resolve(now_ms, token, &call.profile)?;
        match &call.arrived.operation {
            CallOperation::CloseProgram { .. } => {
                let effects = self.programs.close(now_ms, program);
                self.apply_program_effects(effects);
                Ok(ProgramDecision::Reply(Reply::ProgramClosed))
            }
            _ => {
                let params = call_params(call)?;
                let request_id = call.arrived.request_id;
                let admission = self.programs.admit(now_ms, program, params);
                let max_tokens = call.max_tokens;
                let pending = PendingCall::Program {
                    program,
                    max_tokens,
                };
                self.calls.insert(request_id, pending);
                Ok(self.decision(request_id, admission))
            }
        }
    }

    /// Admits a call without a program. The idempotency key of a repeatable call, or of one
    /// without a customer, is ignored.
    fn admit_without_program(
        &mut self,
        now_ms: u64,
        call: &OwnedProgramCall,
    ) -> ProgramDecision {
        let arrived = &call.arrived;
        let key = arrived.idempotency_key.as_ref();
        let customer = call.customer.as_deref();
        let (Some(key), Some(customer), false) = (key, customer, call.repeatable) else {
            return ProgramDecision::Proceed(ProgramGrant {
                max_tokens: call.max_tokens,
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
                    max_tokens: call.max_tokens,
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

    /// Whether this instance serves the program of the token. A call whose program must be
    /// taken over first is kept until that is done.
    fn check_owner(
        &mut self,
        now_ms: u64,
        call: &OwnedProgramCall,
        token: &ProgramToken,
    ) -> Result<OwnerCheck, Refusal> {
        match self.ownership_decision(now_ms, &token.owner, call.arrived.was_forwarded) {
            Decision::Serve => Ok(OwnerCheck::Local),
            Decision::Forward { to } => {
                Ok(OwnerCheck::NotLocal(ProgramDecision::Forward { to }))
            }
            Decision::ClaimTakeover { of } => {
                self.hold_for_takeover(of, call.clone());
                Ok(OwnerCheck::NotLocal(ProgramDecision::Wait))
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Checks signature, customer and validity of a program token.
    fn verify_token(
        &self,
        text: &str,
        customer: Option<&str>,
    ) -> Result<ProgramToken, Refusal> {
        let customer = customer.ok_or_else(customer_required)?;
        let now_unix_s = self.now_unix_s(self.last_now_ms);
        ProgramToken::verify(text, &self.settings.token_key, customer, now_unix_s)
    }

    /// Records the decisions about waiting calls and the ended programs that a change of
    /// the programs caused, for the next [`FleetState::take_changes`].
    pub(crate) fn apply_program_effects(&mut self, effects: ProgramEffects) {
        self.may_need_grant = true;
        for resolved in effects.resolved {
            let decision = self.decision(resolved.request_id, resolved.admission);
            self.changes.decided.push((resolved.request_id, decision));
        }
        for ended in effects.ended {
            self.changes.ended.push(ended.cache_tag.to_string());
        }
    }

    /// The scheduler's form of an admission by a program. Forgets the call if it is
    /// refused.
    fn decision(
        &mut self,
        request_id: RequestId,
        admission: Admission,
    ) -> ProgramDecision {
        match admission {
            Admission::Run { max_tokens, turn } => {
                self.proceed(request_id, max_tokens, turn)
            }
            Admission::Wait | Admission::NeedsGrant => ProgramDecision::Wait,
            Admission::Refuse(refusal) => {
                self.calls.remove(&request_id);
                ProgramDecision::Refuse(refusal)
            }
        }
    }

    /// The permission for a call of a program, with the headers of its response.
    fn proceed(
        &mut self,
        request_id: RequestId,
        max_tokens: u64,
        turn: u32,
    ) -> ProgramDecision {
        let Some(PendingCall::Program {
            program,
            max_tokens: requested,
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
            max_tokens: requested.map(|_| max_tokens),
            response_headers: vec![
                self.epoch_header(),
                ("jayreel-turn".to_string(), next_turn.to_string()),
            ],
        })
    }

    fn epoch_header(&self) -> (String, String) {
        ("jayreel-epoch".to_string(), self.settings.own.to_string())
    }

    /// The named profile, or `fallback` if the configuration has none of that name.
    fn profile_or(&self, name: &str, fallback: &Profile) -> Profile {
        let configuration = self.configuration.as_ref();
        let profile = configuration.and_then(|c| c.profiles.get(name));
        profile.unwrap_or(fallback).clone()
    }
}

/// Whether this instance serves the program of a call.
enum OwnerCheck {
    /// It does.
    Local,
    /// It does not. The decision is to forward the call or to wait for a takeover.
    NotLocal(ProgramDecision),
}

/// Token of the program that a call belongs to. `None` for a call that opens a program,
/// even if it names a parent.
fn program_token(arrived: &CallArrived) -> Option<&str> {
    match &arrived.operation {
        CallOperation::CloseProgram { token } => Some(token),
        CallOperation::OpenProgram { .. } => None,
        _ => arrived.program.as_deref(),
    }
}

/// What the programs need to know of a call. Only chat calls have a bound on prompt tokens.
fn call_params(call: &OwnedProgramCall) -> Result<CallParams, Refusal> {
    let arrived = &call.arrived;
    let prompt_bound_tokens = match &arrived.operation {
        CallOperation::Chat {
            prompt_bound_tokens,
            ..
        } => *prompt_bound_tokens,
        _ => 0,
    };
    Ok(CallParams {
        request_id: arrived.request_id,
        repeatable: call.repeatable,
        turn: arrived.turn,
        epoch: parse_epoch(arrived)?,
        idempotency_key: arrived.idempotency_key.clone(),
        prompt_bound_tokens,
        max_tokens: call.max_tokens.unwrap_or(0),
    })
}

/// The incarnation that the caller's `Jayreel-Epoch` header names, if there is one.
fn parse_epoch(arrived: &CallArrived) -> Result<Option<Incarnation>, Refusal> {
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

fn customer_required() -> Refusal {
    Refusal::not_run(RefusalReason::NotAllowed, "a program needs a customer key")
}
