//! Completion, failure, retry and cancellation of calls.

use jayreel_model::{Ran, Refusal, RefusalReason, RequestId};

use crate::call::{CallKey, CallState, Running, Slot};
use crate::cost;
use crate::effect::Effect;
use crate::event::TokenUsage;
use crate::health::Failure;
use crate::program_admission::CallOutcome;
use crate::scheduler::{Scheduler, refuse};

/// Maximum number of attempts per call, including the first one.
const MAX_ATTEMPTS: u32 = 3;

impl Scheduler {
    /// Handles `CallSent`: from now on a byte of the call may have reached the endpoint.
    pub(crate) fn mark_sent(&mut self, now_ms: u64, request_id: RequestId) {
        self.quota_sent(now_ms, request_id);
        if let Some(running) = self.running_mut(request_id) {
            running.sent = true;
        }
    }

    /// Handles `FirstToken`: from now on the caller may have received part of the response.
    pub(crate) fn mark_response_started(&mut self, request_id: RequestId) {
        if let Some(running) = self.running_mut(request_id) {
            running.sent = true;
            running.response_started = true;
        }
    }

    /// Handles `CallFinished`.
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
            self.record_statistics(now_ms, slot, usage);
        }
        self.remove_call(now_ms, key, Some(CallOutcome::Finished { usage }), out);
        self.drop_unused_endpoints();
    }

    /// Handles `CallFailed`: retries the call if that is allowed, otherwise refuses it.
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
        let attempt_ran = corrected_ran(ran, running.sent);
        let ran = corrected_ran(attempt_ran, self.calls[key].may_have_run);
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
        if self.may_retry(key, running, ran, reason) {
            self.retry(now_ms, key, running, ran, out);
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
        self.drop_unused_endpoints();
    }

    /// Records a failure for the health of the endpoint, if the endpoint caused it.
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
            (RefusalReason::EndpointFailed, _) => Failure::InvalidResponse,
            _ => return,
        };
        let health = &mut self.endpoints[slot.endpoint].health;
        health.record_failure(now_ms, failure);
    }

    /// Whether a failed call may be retried. The endpoint must have caused the failure, the
    /// caller must not have received any part of the response, and unless the call is
    /// idempotent, no byte of it may have reached an endpoint. Takes from the retry budget.
    fn may_retry(
        &mut self,
        key: CallKey,
        running: Running,
        ran: Ran,
        reason: RefusalReason,
    ) -> bool {
        let call = &self.calls[key];
        let is_endpoint_failure = matches!(
            reason,
            RefusalReason::EndpointFailed | RefusalReason::EndpointTimeout
        );
        is_endpoint_failure
            && running.slot.is_some()
            && !running.cancelled
            && !running.response_started
            && (call.repeatable || ran == Ran::No)
            && call.failed_attempts + 1 < MAX_ATTEMPTS
            && self.retry_budget.take()
    }

    /// Puts a failed call back into a queue.
    fn retry(
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
        call.avoid_endpoint = running.slot.map(|slot| slot.endpoint);
        call.waiting_since_ms = now_ms;
        self.enqueue(now_ms, key, out);
    }

    /// Handles `CallerGone`.
    pub(crate) fn caller_gone(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        out: &mut Vec<Effect>,
    ) {
        if let Some(key) = self.calls_by_id.get(&request_id).copied() {
            let reason = RefusalReason::CallerGone;
            let message = "the caller went away";
            self.cancel(now_ms, key, reason, message, out);
        }
    }

    /// Refuses a call and aborts it if it is running. A running call keeps its slot until
    /// `CallFinished` or `CallFailed` reports that the endpoint has stopped.
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
            // The thread that dispatches the call may send it before it learns of the
            // cancellation, so the call may run even if no `CallSent` has arrived.
            refusal.ran = Ran::Unknown;
            out.push(Effect::Cancel { request_id });
            refuse(out, request_id, refusal);
        }
    }

    /// Refuses a call that is not running.
    pub(crate) fn refuse_waiting(
        &mut self,
        now_ms: u64,
        key: CallKey,
        mut refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let call = &self.calls[key];
        let request_id = call.request_id;
        refusal.ran = corrected_ran(refusal.ran, call.may_have_run);
        let outcome = CallOutcome::Failed { ran: refusal.ran };
        self.remove_call(now_ms, key, Some(outcome), out);
        refuse(out, request_id, refusal);
    }

    /// Cost of an attempt that may have reached its endpoint. Falls back to the estimate for
    /// a model call without reported token counts.
    fn actual_cost(
        &self,
        now_ms: u64,
        key: CallKey,
        slot: Slot,
        usage: Option<TokenUsage>,
    ) -> u64 {
        match usage {
            Some(usage) => cost::of_usage(usage),
            None if self.calls[key].is_model_call() => slot.estimated_cost,
            None => cost::of_service_ms(now_ms.saturating_sub(slot.taken_at_ms)),
        }
    }

    /// Frees a slot, charges the actual instead of the estimated cost to the customer, and
    /// adds it to the program's attained service.
    fn free_slot(&mut self, now_ms: u64, key: CallKey, slot: Slot, cost: u64) {
        self.endpoints[slot.endpoint].load.remove(now_ms);
        let call = &self.calls[key];
        if let Some(program) = call.program {
            self.program_table.add_service(program, cost);
        }
        if let Some(group) = self.groups.get_mut(slot.group) {
            let flow = group.flow(call.customer);
            let weight = self.customers.weight(flow);
            group
                .fairness
                .settle(flow, weight, slot.estimated_cost, cost);
        }
    }

    /// Updates the health and the group's means from a completed call. Failed calls are left
    /// out because they would distort the means.
    fn record_statistics(&mut self, now_ms: u64, slot: Slot, usage: Option<TokenUsage>) {
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

    /// Removes a call from its queue and its program. `outcome` is passed on to program
    /// admission; `None` if program admission has ended the call itself.
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
        if let (true, Some(outcome)) = (call.in_program_admission, outcome) {
            self.programs.end(now_ms, call.request_id, outcome);
        }
        if let Some(program) = call.program {
            let releases = self.program_table.end_call(now_ms, program);
            self.request_releases(now_ms, releases, out);
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

/// Replaces `Ran::No` by `Ran::Unknown` if a byte of the call may have reached an endpoint.
fn corrected_ran(ran: Ran, may_have_run: bool) -> Ran {
    match ran {
        Ran::No if may_have_run => Ran::Unknown,
        ran => ran,
    }
}
