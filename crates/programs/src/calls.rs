//! Admitting, finishing and failing the calls of programs.

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

/// Most calls of one program that wait at the same time.
pub const MAX_WAITING_CALLS: usize = 64;

/// Time after which a budget that other calls have reserved may be free again.
const RESERVED_RETRY_MS: u64 = 1_000;

impl Programs {
    /// Asks whether a call may run. The checks are, in this order: the program is live;
    /// the named epoch; the idempotency key; the turn; the turn limit; the budget.
    pub fn admit(
        &mut self,
        now_ms: u64,
        program: ProgramId,
        facts: CallParams,
    ) -> Admission {
        match self.check(program, &facts) {
            Ok(key) => self.enqueue(now_ms, program, WaitingCall { facts, key }),
            Err(refusal) => Admission::Refuse(refusal),
        }
    }

    /// Ends a call that ran. Without a usage the whole reservation counts as used. A call
    /// that is not running is ignored.
    pub fn finish(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        usage: Option<Usage>,
    ) -> ProgramEffects {
        self.end_call(now_ms, request_id, Ran::Yes, usage)
    }

    /// Ends a call that failed, whether it waits or runs. If it did not run, its turn, its
    /// idempotency key and its reservation are given back; otherwise the reservation
    /// counts as used.
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
        facts: &CallParams,
    ) -> Result<Option<KeyDigest>, Refusal> {
        self.check_serving()?;
        let program = self.programs.get(&id).ok_or_else(ended_refusal)?;
        if program.closing {
            return Err(ended_refusal());
        }
        check_epoch(program, facts, &self.config.own)?;
        let key = check_key(program, facts)?;
        check_turn(program, facts)?;
        if program.waiting.len() >= MAX_WAITING_CALLS {
            return Err(Refusal::not_run(
                RefusalReason::Overloaded,
                "too many calls of the program wait",
            ));
        }
        Ok(key)
    }

    fn enqueue(&mut self, now_ms: u64, id: ProgramId, call: WaitingCall) -> Admission {
        let request_id = call.facts.request_id;
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
        let mut transition = ProgramEffects::default();
        self.start_next(id, &mut transition);
        match transition.resolved.pop() {
            Some(resolved) => resolved.admission,
            None => Admission::Wait,
        }
    }

    /// Starts the first waiting call, or refuses it and tries the next.
    pub(crate) fn start_next(&mut self, id: ProgramId, transition: &mut ProgramEffects) {
        while let Some((request_id, admission)) = self.try_start(id) {
            let is_refused = matches!(admission, Admission::Refuse(_));
            if is_refused {
                self.calls.remove(&request_id);
            }
            transition.resolved.push(DeferredAdmission {
                request_id,
                admission,
            });
            if !is_refused {
                return;
            }
        }
    }

    fn try_start(&mut self, id: ProgramId) -> Option<(RequestId, Admission)> {
        let program = self.programs.get_mut(&id)?;
        if program.running.is_some() {
            return None;
        }
        let account = &mut self.accounts.get_mut(&program.token.root)?.account;
        let call = program.waiting.front()?;
        let request_id = call.facts.request_id;
        let reservation = reserve(program, account, &call.facts);
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
        let mut transition = ProgramEffects::default();
        let Some(id) = self.calls.get(&request_id).copied() else {
            return transition;
        };
        let Some(program) = self.programs.get_mut(&id) else {
            return transition;
        };
        let Some(call) = program
            .running
            .take_if(|call| call.request_id == request_id)
        else {
            return transition;
        };
        self.calls.remove(&request_id);
        record_outcome(program, &call, ran);
        let root = program.token.root.clone();
        if let Some(entry) = self.accounts.get_mut(&root) {
            settle(&mut entry.account, call.reserved_tokens, ran, usage);
        }
        self.touch(now_ms, id);
        self.after_call(now_ms, id, &mut transition);
        self.retry_account(&root, &mut transition);
        transition
    }

    fn after_call(
        &mut self,
        now_ms: u64,
        id: ProgramId,
        transition: &mut ProgramEffects,
    ) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        if program.closing {
            self.end(now_ms, id, EndReason::Closed, transition);
            return;
        }
        let is_spent = self
            .accounts
            .get(&program.token.root)
            .is_some_and(|entry| entry.account.is_exhausted());
        if is_spent && !program.exhausted {
            program.exhausted = true;
            transition
                .ended
                .push(ended(id, program, EndReason::BudgetExhausted));
        }
        self.start_next(id, transition);
    }

    /// Tries calls that waited for a grant, since a settled call may have left enough.
    pub(crate) fn retry_account(
        &mut self,
        root: &CacheTag,
        transition: &mut ProgramEffects,
    ) {
        let members = self.accounts.get(root).map(|entry| entry.members.clone());
        for id in members.into_iter().flatten() {
            let waits = self
                .programs
                .get(&id)
                .is_some_and(|program| program.needs_grant);
            if waits {
                self.start_next(id, transition);
            }
        }
    }

    fn withdraw(
        &mut self,
        now_ms: u64,
        id: ProgramId,
        request_id: RequestId,
    ) -> ProgramEffects {
        let mut transition = ProgramEffects::default();
        self.calls.remove(&request_id);
        let Some(program) = self.programs.get_mut(&id) else {
            return transition;
        };
        let position = program
            .waiting
            .iter()
            .position(|call| call.facts.request_id == request_id);
        let Some(position) = position else {
            return transition;
        };
        if position == 0 {
            program.needs_grant = false;
        }
        let key = program.waiting.remove(position).and_then(|call| call.key);
        if let Some(key) = key {
            program.keys.remove(&key);
        }
        self.touch(now_ms, id);
        self.start_next(id, &mut transition);
        transition
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

/// Earlier calls may have given back their turn or used up the limit since the call began
/// to wait, so the turn is checked again.
fn reserve(
    program: &Program,
    account: &mut Account,
    facts: &CallParams,
) -> Result<Reservation, Refusal> {
    let next = program.next_turn.or(facts.turn).unwrap_or(0);
    match facts.turn {
        Some(turn) if turn != next => Err(turn_refusal(turn, next)),
        _ => Ok(account.reserve(facts.prompt_bound_tokens, facts.max_tokens)),
    }
}

fn run_first(program: &mut Program, reserved_tokens: u64) -> u32 {
    let call = program
        .waiting
        .pop_front()
        .expect("the first call was just read");
    let turn = program.next_turn.or(call.facts.turn).unwrap_or(0);
    program.needs_grant = false;
    program.next_turn = Some(turn.saturating_add(1));
    program.running = Some(RunningCall {
        request_id: call.facts.request_id,
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
