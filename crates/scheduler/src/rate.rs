//! Customers whose rate is used up.

use std::collections::BTreeMap;

use jayreel_model::{Refusal, RefusalReason, RequestId};

use crate::call::{CallKey, CallState};
use crate::effect::Effect;
use crate::group::GroupKey;
use crate::policy::CustomerId;
use crate::quota_admission::QuotaDecision;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Takes one request of the customer's rate for a call that is about to be sent. If
    /// the customer is short, its waiting calls begin to count the time until they are
    /// refused.
    pub(crate) fn take_quota(
        &mut self,
        now_ms: u64,
        group: GroupKey,
        key: CallKey,
    ) -> bool {
        let Some(customer) = self.calls[key].customer else {
            return true;
        };
        match self.try_quota(now_ms, customer) {
            None => true,
            Some(QuotaDecision::Taken) => {
                self.calls[key].quota_taken_at_ms = Some(now_ms);
                if let Some(record) = self.customers.get_mut(customer) {
                    record.record_taken(now_ms);
                }
                true
            }
            Some(QuotaDecision::Exhausted { retry_after_ms }) => {
                self.mark_short(now_ms, group, customer, retry_after_ms);
                false
            }
        }
    }

    fn try_quota(&mut self, now_ms: u64, customer: CustomerId) -> Option<QuotaDecision> {
        let name = self.customers.name(customer)?;
        Some(self.quota.take(now_ms, name))
    }

    fn mark_short(
        &mut self,
        now_ms: u64,
        group: GroupKey,
        customer: CustomerId,
        retry_after_ms: u64,
    ) {
        let record = self.customers.get_mut(customer);
        let had_quota = record.is_some_and(|record| record.record_short(now_ms));
        let group = &self.groups[group];
        for waiting in group.queue.calls(group.flow(Some(customer))) {
            let call = &mut self.calls[*waiting];
            if call.customer != Some(customer) {
                continue;
            }
            if had_quota {
                call.short_since_ms = None;
            }
            call.short_since_ms.get_or_insert(now_ms);
            call.rate_retry_after_ms = retry_after_ms;
        }
    }

    /// Whether the customer has no quota at the moment. The endpoints may have been full
    /// since quota was tried last.
    fn is_short(&mut self, now_ms: u64, customer: CustomerId) -> bool {
        if self.try_quota(now_ms, customer) != Some(QuotaDecision::Taken) {
            return true;
        }
        if let Some(name) = self.customers.name(customer) {
            self.quota.give_back(now_ms, name, now_ms);
        }
        if let Some(record) = self.customers.get_mut(customer) {
            record.record_taken(now_ms);
        }
        false
    }

    /// Ends the time that a sent call occupies in its customer's bucket.
    pub(crate) fn quota_sent(&mut self, now_ms: u64, request_id: RequestId) {
        let Some(call) = self.calls_by_id.get(&request_id) else {
            return;
        };
        let call = &self.calls[*call];
        let customer = call.customer.and_then(|id| self.customers.name(id));
        if let (Some(name), Some(at_ms)) = (customer, call.quota_taken_at_ms) {
            self.quota.sent(now_ms, name, at_ms);
        }
    }

    /// Returns the request of an attempt that did not run.
    pub(crate) fn return_quota(&mut self, now_ms: u64, key: CallKey) {
        let call = &mut self.calls[key];
        let taken_at_ms = call.quota_taken_at_ms.take();
        let customer = call.customer.and_then(|id| self.customers.name(id));
        if let (Some(name), Some(at_ms)) = (customer, taken_at_ms) {
            self.quota.give_back(now_ms, name, at_ms);
        }
    }

    /// Refuses the calls that have waited too long for their customer's rate.
    pub(crate) fn refuse_short(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let limit_ms = self.settings.quota_wait_ms;
        let mut short: BTreeMap<CustomerId, Vec<CallKey>> = BTreeMap::new();
        for (key, call) in &self.calls {
            let waiting = matches!(call.state, CallState::Waiting { .. });
            let overdue = call
                .short_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + limit_ms);
            if let (true, true, Some(customer)) = (waiting, overdue, call.customer) {
                short.entry(customer).or_default().push(key);
            }
        }
        for (customer, calls) in short {
            let is_short = self.is_short(now_ms, customer);
            for key in calls {
                match is_short {
                    true => self.refuse_for_rate(now_ms, key, out),
                    false => self.calls[key].short_since_ms = None,
                }
            }
        }
    }

    fn refuse_for_rate(&mut self, now_ms: u64, key: CallKey, out: &mut Vec<Effect>) {
        // The refusal of an earlier call may have ended this one as well.
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let refusal = Refusal::not_run(
            RefusalReason::RateExceeded,
            "the customer's rate is used up",
        )
        .retry_after_ms(call.rate_retry_after_ms);
        self.refuse_waiting(now_ms, key, refusal, out);
    }
}
