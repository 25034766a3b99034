//! How calls end.

use jayreel_model::{Ran, Refusal, RefusalReason, RequestId};

use crate::call::{CallKey, CallState, Running, Slot};
use crate::cost;
use crate::effect::Effect;
use crate::event::TokenUsage;
use crate::health::Failure;
use crate::program_admission::CallOutcome;
use crate::scheduler::{Scheduler, refuse};

/// Most attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

impl Scheduler {
    /// Records that a byte of the call may reach the endpoint from now on.
    pub(crate) fn mark_sent(&mut self, now_ms: u64, request_id: RequestId) {
        self.quota_sent(now_ms, request_id);
        if let Some(running) = self.running_mut(request_id) {
            running.sent = true;
        }
    }

    /// Records that the caller has part of the answer.
    pub(crate) fn mark_answered(&mut self, request_id: RequestId) {
        if let Some(running) = self.running_mut(request_id) {
            running.sent = true;
            running.answered = true;
        }
    }

    /// Ends a call that is complete.
    pub(crate) fn finish(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        usage: Option<TokenUsage>,
        out: &mut Vec<Effect>,
    ) {
        let Some((key, running)) = self.running(request_id) else {
            return;
        };
        if let Some(slot) = running.slot {
            let cost = self.actual_cost(now_ms, key, slot, usage);
            self.free_slot(now_ms, key, slot, cost);
            self.observe(now_ms, slot, usage);
        }
        self.remove_call(now_ms, key, Some(CallOutcome::Finished { usage }), out);
        self.collect_endpoints();
    }

    /// Ends or repeats a call that failed at its endpoint.
    pub(crate) fn fail(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        ran: Ran,
        reason: RefusalReason,
        message: String,
        out: &mut Vec<Effect>,
    ) {
        let Some((key, running)) = self.running(request_id) else {
            return;
        };
        let attempt_ran = truthful(ran, running.sent);
        let ran = truthful(attempt_ran, self.calls[key].may_have_run);
        if let Some(slot) = running.slot {
            let cost = match attempt_ran {
                Ran::No => 0,
                _ => self.actual_cost(now_ms, key, slot, None),
            };
            self.free_slot(now_ms, key, slot, cost);
            self.record_failure(now_ms, slot, running, attempt_ran, reason);
        }
        if attempt_ran == Ran::No {
            self.return_quota(now_ms, key);
        }
        if self.may_repeat(key, running, ran, reason) {
            self.repeat(now_ms, key, running, ran, out);
        } else {
            self.remove_call(now_ms, key, Some(CallOutcome::Failed { ran }), out);
            if !running.cancelled {
                let refusal = Refusal {
                    reason,
                    ran,
                    retry_after_ms: None,
                    message,
                };
                refuse(out, request_id, refusal);
            }
        }
        self.collect_endpoints();
    }

    fn record_failure(
        &mut self,
        now_ms: u64,
        slot: Slot,
        running: Running,
        ran: Ran,
        reason: RefusalReason,
    ) {
        let failure = match (reason, ran) {
            _ if running.cancelled => return,
            (RefusalReason::EndpointTimeout, _) => Failure::Unresponsive,
            (RefusalReason::EndpointFailed, Ran::No) => Failure::Unresponsive,
            (RefusalReason::EndpointFailed, _) => Failure::Broken,
            _ => return,
        };
        let health = &mut self.endpoints[slot.endpoint].health;
        health.record_failure(now_ms, failure);
    }

    /// Whether a failed call may be sent again: its caller has no part of the answer,
    /// and no byte reached an endpoint unless the call is repeatable.
    fn may_repeat(
        &mut self,
        key: CallKey,
        running: Running,
        ran: Ran,
        reason: RefusalReason,
    ) -> bool {
        let call = &self.calls[key];
        let endpoint_fault = matches!(
            reason,
            RefusalReason::EndpointFailed | RefusalReason::EndpointTimeout
        );
        endpoint_fault
            && running.slot.is_some()
            && !running.cancelled
            && !running.answered
            && (call.repeatable || ran == Ran::No)
            && call.failed_attempts + 1 < MAX_ATTEMPTS
            && self.retries.take()
    }

    fn repeat(
        &mut self,
        now_ms: u64,
        key: CallKey,
        running: Running,
        ran: Ran,
        out: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[key];
        call.failed_attempts += 1;
        call.may_have_run |= ran != Ran::No;
        call.avoid = running.slot.map(|slot| slot.endpoint);
        call.waiting_since_ms = now_ms;
        self.enqueue(now_ms, key, out);
    }

    /// Ends a call whose caller went away.
    pub(crate) fn caller_gone(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        out: &mut Vec<Effect>,
    ) {
        if let Some(key) = self.calls_by_id.get(&request_id).copied() {
            let reason = RefusalReason::CallerGone;
            self.cancel(now_ms, key, reason, "the caller went away", out);
        }
    }

    /// Ends a call for its caller. A running call keeps its slot until its endpoint
    /// reports the end.
    pub(crate) fn cancel(
        &mut self,
        now_ms: u64,
        key: CallKey,
        reason: RefusalReason,
        message: &str,
        out: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[key];
        let request_id = call.request_id;
        let mut refusal = Refusal::not_run(reason, message);
        let CallState::Running(running) = &mut call.state else {
            return self.refuse_waiting(now_ms, key, refusal, out);
        };
        if !running.cancelled {
            running.cancelled = true;
            // The dispatching thread may write before it learns of the cancellation, so
            // even a call without `CallSent` may have run.
            refusal.ran = Ran::Unknown;
            out.push(Effect::Cancel { request_id });
            refuse(out, request_id, refusal);
        }
    }

    /// Refuses a call that holds no slot.
    pub(crate) fn refuse_waiting(
        &mut self,
        now_ms: u64,
        key: CallKey,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let call = &self.calls[key];
        let request_id = call.request_id;
        refusal.ran = truthful(refusal.ran, call.may_have_run);
        let outcome = CallOutcome::Failed { ran: refusal.ran };
        self.remove_call(now_ms, key, Some(outcome), out);
        refuse(out, request_id, refusal);
    }

    /// The cost of an attempt that reached its endpoint. Without reported usage the
    /// estimate stands.
    fn actual_cost(
        &self,
        now_ms: u64,
        key: CallKey,
        slot: Slot,
        usage: Option<TokenUsage>,
    ) -> u64 {
        match usage {
            Some(usage) => cost::of_usage(usage),
            None if self.calls[key].is_model_call() => slot.estimate,
            None => cost::of_service_ms(now_ms.saturating_sub(slot.taken_at_ms)),
        }
    }

    /// Frees a slot and replaces the estimated cost by the actual one.
    fn free_slot(&mut self, now_ms: u64, key: CallKey, slot: Slot, cost: u64) {
        self.endpoints[slot.endpoint].load.remove(now_ms);
        let call = &self.calls[key];
        if let Some(program) = call.program {
            self.program_cache.attain(program, cost);
        }
        if let Some(group) = self.groups.get_mut(slot.group) {
            let flow = group.flow(call.customer);
            let weight = self.customers.weight(flow);
            group.fairness.settle(flow, weight, slot.estimate, cost);
        }
    }

    /// Learns from a complete call. Failed calls would distort the means.
    fn observe(&mut self, now_ms: u64, slot: Slot, usage: Option<TokenUsage>) {
        self.endpoints[slot.endpoint].health.record_success();
        let Some(group) = self.groups.get_mut(slot.group) else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(slot.taken_at_ms);
        group.service_ms.record(elapsed_ms);
        if let Some(usage) = usage {
            group.generated_tokens.record(usage.generated_tokens);
        }
    }

    /// Removes a call, frees what it holds and tells the steps of admission.
    pub(crate) fn remove_call(
        &mut self,
        now_ms: u64,
        key: CallKey,
        outcome: Option<CallOutcome>,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.calls_by_id.remove(&call.request_id);
        match call.state {
            CallState::Waiting { group } => {
                let group = &mut self.groups[group];
                group.queue.remove(group.flow(call.customer), key);
            }
            CallState::AwaitingProgram | CallState::Running(_) => {}
        }
        if let (true, Some(outcome)) = (call.in_program_step, outcome) {
            self.programs.end(now_ms, call.request_id, outcome);
        }
        if let Some(program) = call.program {
            let releases = self.program_cache.leave(now_ms, program);
            self.release(now_ms, releases, out);
        }
    }

    fn running_mut(&mut self, request_id: RequestId) -> Option<&mut Running> {
        let key = *self.calls_by_id.get(&request_id)?;
        match &mut self.calls[key].state {
            CallState::Running(running) => Some(running),
            _ => None,
        }
    }

    fn running(&self, request_id: RequestId) -> Option<(CallKey, Running)> {
        let key = *self.calls_by_id.get(&request_id)?;
        match self.calls[key].state {
            CallState::Running(running) => Some((key, running)),
            _ => None,
        }
    }
}

/// Corrects a statement that a call did not run after a byte may have been sent.
fn truthful(ran: Ran, may_have_run: bool) -> Ran {
    match ran {
        Ran::No if may_have_run => Ran::Unknown,
        ran => ran,
    }
}
