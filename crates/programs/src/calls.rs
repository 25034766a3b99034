//! Admits calls of programs, queues them and records their end.

use jayreel_model::{Ran, Refusal, RefusalReason, RequestId};

use crate::account::{Account, Reservation};
use crate::admission::{
    Admission, CallParams, DeferredAdmission, EndReason, ProgramEffects, Usage,
};
use crate::checks::{check_epoch, check_key, check_turn, turn_refusal};
use crate::idempotency::{KeyDigest, KeyState};
use crate::program::{Program, ProgramId, RunningCall, WaitingCall};
use crate::programs::{Programs, ended, ended_refusal};
use crate::token::CacheTag;

/// Maximum number of waiting calls of one program. Further calls are refused.
pub const MAX_WAITING_CALLS: usize = 64;

/// Retry delay suggested to a caller whose call does not fit into the budget while other
/// calls hold reservations: when they end, unused tokens become free.
const RESERVED_RETRY_MS: u64 = 1_000;

impl Programs {
    /// Decides whether a call may run now, must wait or is refused. Checks, in this
    /// order: that the program is live; the epoch that the call names; the idempotency
    /// key; the turn; the turn limit; the length of the queue; the budget.
    pub fn admit(
        &mut self,
        now_ms: u64,
        program: ProgramId,
        params: CallParams,
    ) -> Admission {
        match self.check(program, &params) {
            Ok(key) => self.enqueue(now_ms, program, WaitingCall { params, key }),
            Err(refusal) => Admission::Refuse(refusal),
        }
    }

    /// Ends a call that ran. If `usage` is `None`, the whole reservation counts as used.
    /// A call that is not running is ignored.
    pub fn finish(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        usage: Option<Usage>,
    ) -> ProgramEffects {
        self.end_call(now_ms, request_id, Ran::Yes, usage)
    }

    /// Ends a call that failed, whether it was waiting or running. If it did not run, its
    /// turn, its idempotency key and its reservation are released; otherwise the whole
    /// reservation counts as used.
    pub fn fail(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        ran: Ran,
    ) -> ProgramEffects {
        let program = self.calls.get(&request_id).copied();
        let runs = program
            .and_then(|id| self.programs.get(&id))
            .and_then(|program| program.running.as_ref())
            .is_some_and(|call| call.request_id == request_id);
        match (program, runs) {
            (None, _) => ProgramEffects::default(),
            (Some(_), true) => self.end_call(now_ms, request_id, ran, None),
            (Some(id), false) => self.withdraw(now_ms, id, request_id),
        }
    }

    fn check(
        &self,
        id: ProgramId,
        params: &CallParams,
    ) -> Result<Option<KeyDigest>, Refusal> {
        self.check_serving()?;
        let program = self.programs.get(&id).ok_or_else(ended_refusal)?;
        if program.closing {
            return Err(ended_refusal());
        }
        check_epoch(program, params, &self.config.own)?;
        let key = check_key(program, params)?;
        check_turn(program, params)?;
        if program.waiting.len() >= MAX_WAITING_CALLS {
            return Err(Refusal::not_run(
                RefusalReason::Overloaded,
                "too many calls of the program wait",
            ));
        }
        Ok(key)
    }

    fn enqueue(&mut self, now_ms: u64, id: ProgramId, call: WaitingCall) -> Admission {
        let request_id = call.params.request_id;
        let Some(program) = self.programs.get_mut(&id) else {
            return Admission::Refuse(ended_refusal());
        };
        if let Some(key) = call.key {
            program.keys.insert(key, KeyState::Running);
        }
        let is_first = !program.is_busy();
        program.waiting.push_back(call);
        self.calls.insert(request_id, id);
        self.touch(now_ms, id);
        if !is_first {
            return Admission::Wait;
        }
        let mut effects = ProgramEffects::default();
        self.start_next(id, &mut effects);
        match effects.resolved.pop() {
            Some(resolved) => resolved.admission,
            None => Admission::Wait,
        }
    }

    /// Starts the first waiting call that is not refused, and adds the decisions to
    /// `effects`.
    pub(crate) fn start_next(&mut self, id: ProgramId, effects: &mut ProgramEffects) {
        while let Some((request_id, admission)) = self.try_start(id) {
            let is_refused = matches!(admission, Admission::Refuse(_));
            if is_refused {
                self.calls.remove(&request_id);
            }
            effects.resolved.push(DeferredAdmission {
                request_id,
                admission,
            });
            if !is_refused {
                return;
            }
        }
    }

    /// Tries to start the first waiting call. `None` if there is no new decision: no
    /// call waits, another one runs, or the first was already reported to need a grant.
    fn try_start(&mut self, id: ProgramId) -> Option<(RequestId, Admission)> {
        let program = self.programs.get_mut(&id)?;
        if program.running.is_some() {
            return None;
        }
        let account = &mut self.accounts.get_mut(&program.token.root)?.account;
        let call = program.waiting.front()?;
        let request_id = call.params.request_id;
        let reservation = reserve(program, account, &call.params);
        match reservation {
            Ok(Reservation::NeedsGrant) if program.needs_grant => None,
            Ok(Reservation::NeedsGrant) => {
                program.needs_grant = true;
                Some((request_id, Admission::NeedsGrant))
            }
            Ok(Reservation::Reserved {
                max_tokens,
                reserved_tokens,
            }) => {
                let turn = run_first(program, reserved_tokens);
                Some((request_id, Admission::Run { max_tokens, turn }))
            }
            Ok(Reservation::Exhausted) => {
                program.drop_first();
                let refusal = exhausted_refusal(account);
                Some((request_id, Admission::Refuse(refusal)))
            }
            Err(refusal) => {
                program.drop_first();
                Some((request_id, Admission::Refuse(refusal)))
            }
        }
    }

    fn end_call(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        ran: Ran,
        usage: Option<Usage>,
    ) -> ProgramEffects {
        let mut effects = ProgramEffects::default();
        let Some(id) = self.calls.get(&request_id).copied() else {
            return effects;
        };
        let Some(program) = self.programs.get_mut(&id) else {
            return effects;
        };
        let Some(call) = program
            .running
            .take_if(|call| call.request_id == request_id)
        else {
            return effects;
        };
        self.calls.remove(&request_id);
        record_outcome(program, &call, ran);
        let root = program.token.root.clone();
        if let Some(entry) = self.accounts.get_mut(&root) {
            settle(&mut entry.account, call.reserved_tokens, ran, usage);
        }
        self.touch(now_ms, id);
        self.after_call(now_ms, id, &mut effects);
        self.retry_account(&root, &mut effects);
        effects
    }

    fn after_call(&mut self, now_ms: u64, id: ProgramId, effects: &mut ProgramEffects) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        if program.closing {
            self.end(now_ms, id, EndReason::Closed, effects);
            return;
        }
        let is_spent = self
            .accounts
            .get(&program.token.root)
            .is_some_and(|entry| entry.account.is_exhausted());
        if is_spent && !program.exhausted {
            program.exhausted = true;
            effects
                .ended
                .push(ended(id, program, EndReason::BudgetExhausted));
        }
        self.start_next(id, effects);
    }

    /// Retries the calls of an account that need a grant. A larger grant, or tokens that
    /// a finished call did not use, may now suffice.
    pub(crate) fn retry_account(
        &mut self,
        root: &CacheTag,
        effects: &mut ProgramEffects,
    ) {
        let members = self.accounts.get(root).map(|entry| entry.members.clone());
        for id in members.into_iter().flatten() {
            let waits = self
                .programs
                .get(&id)
                .is_some_and(|program| program.needs_grant);
            if waits {
                self.start_next(id, effects);
            }
        }
    }

    fn withdraw(
        &mut self,
        now_ms: u64,
        id: ProgramId,
        request_id: RequestId,
    ) -> ProgramEffects {
        let mut effects = ProgramEffects::default();
        self.calls.remove(&request_id);
        let Some(program) = self.programs.get_mut(&id) else {
            return effects;
        };
        let position = program
            .waiting
            .iter()
            .position(|call| call.params.request_id == request_id);
        let Some(position) = position else {
            return effects;
        };
        if position == 0 {
            program.needs_grant = false;
        }
        let key = program.waiting.remove(position).and_then(|call| call.key);
        if let Some(key) = key {
            program.keys.remove(&key);
        }
        self.touch(now_ms, id);
        self.start_next(id, &mut effects);
        effects
    }
}

fn exhausted_refusal(account: &Account) -> Refusal {
    let refusal = Refusal::not_run(
        RefusalReason::BudgetExhausted,
        format!(
            "{} tokens are left in the budget",
            account.remaining_tokens()
        ),
    );
    match account.reserved_tokens {
        0 => refusal,
        _ => refusal.retry_after_ms(RESERVED_RETRY_MS),
    }
}

/// Reserves the call's tokens. Checks the turn again, because an earlier call that did
/// not run may have released its turn since this call was queued.
fn reserve(
    program: &Program,
    account: &mut Account,
    params: &CallParams,
) -> Result<Reservation, Refusal> {
    let next = program.next_turn.or(params.turn).unwrap_or(0);
    match params.turn {
        Some(turn) if turn != next => Err(turn_refusal(turn, next)),
        _ => Ok(account.reserve(params.prompt_bound_tokens, params.max_tokens)),
    }
}

/// Marks the first waiting call as running and returns its turn.
fn run_first(program: &mut Program, reserved_tokens: u64) -> u32 {
    let call = program
        .waiting
        .pop_front()
        .expect("the caller checked that a call is waiting");
    let turn = program.next_turn.or(call.params.turn).unwrap_or(0);
    program.needs_grant = false;
    program.next_turn = Some(turn.saturating_add(1));
    program.running = Some(RunningCall {
        request_id: call.params.request_id,
        key: call.key,
        reserved_tokens,
        turn,
    });
    turn
}

fn record_outcome(program: &mut Program, call: &RunningCall, ran: Ran) {
    if ran == Ran::No {
        program.next_turn = Some(call.turn);
    }
    match (call.key, KeyState::after(ran)) {
        (Some(key), Some(state)) => program.keys.insert(key, state),
        (Some(key), None) => program.keys.remove(&key),
        (None, _) => None,
    };
}

fn settle(account: &mut Account, reserved_tokens: u64, ran: Ran, usage: Option<Usage>) {
    let used_tokens = match (ran, usage) {
        (Ran::No, _) => 0,
        (_, Some(usage)) => usage.charged_tokens(),
        (_, None) => reserved_tokens,
    };
    let service_mtokens = match usage {
        Some(usage) => usage.service_mtokens(),
        None => used_tokens.saturating_mul(1_000),
    };
    account.settle(reserved_tokens, used_tokens);
    account.service_mtokens = account.service_mtokens.saturating_add(service_mtokens);
}
