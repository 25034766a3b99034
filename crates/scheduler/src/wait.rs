//! Estimates of waiting times, and refusal of calls that waited too long.

use jayreel_model::{Refusal, RefusalReason};

use crate::call::{CallKey, CallState};
use crate::effect::Effect;
use crate::group::GroupKey;
use crate::policy::CustomerId;
use crate::scheduler::Scheduler;

/// Lower bound of the retry time that refusals tell the caller.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Upper bound of that time.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

impl Scheduler {
    /// Expected wait of a new call of the customer. Computed from the mean service time, the
    /// slots that this instance may use, and the customer's weight among all customers with
    /// waiting calls. `None` if no call has completed yet or no endpoint is active.
    pub(crate) fn expected_wait_ms(
        &self,
        group: GroupKey,
        customer: Option<CustomerId>,
    ) -> Option<u64> {
        let group = &self.groups[group];
        let service_ms = group.service_ms.get()?;
        let (slots, in_use) = self.usable_slots(group);
        let slots = u64::from(slots);
        let flow = group.flow(customer);
        let ahead = group.queue.flow_len(flow) as u64;
        match (slots, ahead) {
            (0, _) => return None,
            (_, 0) if u64::from(in_use) < slots => return Some(0),
            (_, 0) => return Some(service_ms / slots),
            _ => {}
        }
        let weight = |flow| u64::from(self.customers.weight(flow).max(1));
        let total_weight: u64 = group.queue.flows().map(weight).sum();
        let weighted_calls = (ahead + 1).saturating_mul(total_weight.max(weight(flow)));
        Some(weighted_calls.saturating_mul(service_ms) / weight(flow) / slots)
    }

    /// Time after which a refused call of the customer may be retried: the expected wait,
    /// within bounds.
    pub(crate) fn retry_after_ms(
        &self,
        group: GroupKey,
        customer: Option<CustomerId>,
    ) -> u64 {
        let wait_ms = self.expected_wait_ms(group, customer);
        wait_ms
            .unwrap_or(MIN_RETRY_AFTER_MS)
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Refuses calls that have waited for longer than their profile allows.
    pub(crate) fn refuse_overdue(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let overdue: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, call)| !matches!(call.state, CallState::Running(_)))
            .filter(|(_, call)| call.waited_ms(now_ms) >= call.max_wait_ms)
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            // Refusing a previous call may have ended this one, too.
            if self.calls.contains_key(key) {
                let refusal = self.overdue_refusal(key);
                self.refuse_waiting(now_ms, key, refusal, out);
            }
        }
    }

    fn overdue_refusal(&self, key: CallKey) -> Refusal {
        let call = &self.calls[key];
        match call.state {
            CallState::Waiting { group } => Refusal::not_run(
                RefusalReason::Overloaded,
                "no endpoint was free within the profile's waiting time",
            )
            .retry_after_ms(self.retry_after_ms(group, call.customer)),
            _ => Refusal::not_run(
                RefusalReason::Overloaded,
                "an earlier call of the program took longer than the waiting time",
            )
            .retry_after_ms(MIN_RETRY_AFTER_MS),
        }
    }
}
