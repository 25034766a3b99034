//! Quota admission: takes tokens from the customers' buckets and borrows rate from peers
//! when a bucket is empty.

use jayreel_model::{Configuration, Incarnation};
use jayreel_quota::{LoanReturn, Take};
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::FleetState;

/// Time after which a caller may retry if it is not known when the bucket has a token again.
const RETRY_AFTER_MS: u64 = 1_000;

impl QuotaAdmission for FleetState {
    fn configure(&mut self, now_ms: u64, configuration: &Configuration) {
        self.quota.set_customers(now_ms, &configuration.customers);
    }

    fn take(&mut self, now_ms: u64, customer: &str) -> QuotaDecision {
        let Some(key) = self.quota.quota_key(customer) else {
            return QuotaDecision::Exhausted {
                retry_after_ms: RETRY_AFTER_MS,
            };
        };
        match self.quota.take(now_ms, key) {
            Take::Taken => QuotaDecision::Taken,
            Take::Short { wait_ms } => {
                self.request_loan(now_ms, customer);
                let retry_after_ms = wait_ms.unwrap_or(RETRY_AFTER_MS).max(1);
                QuotaDecision::Exhausted { retry_after_ms }
            }
        }
    }

    fn sent(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64) {
        if let Some(key) = self.quota.quota_key(customer) {
            self.quota.sent(now_ms, key, taken_at_ms);
        }
    }

    fn give_back(&mut self, now_ms: u64, customer: &str, taken_at_ms: u64) {
        if let Some(key) = self.quota.quota_key(customer) {
            self.quota.give_back(now_ms, key, taken_at_ms);
        }
    }
}

impl FleetState {
    /// Returns loans to their lenders.
    pub(crate) fn send_returns(&mut self, returns: Vec<LoanReturn>) {
        for returned in returns {
            if let Ok(lender) = returned.lender.parse::<Incarnation>() {
                self.send(lender.instance, PeerMessage::LoanReturn(returned));
            }
        }
    }

    /// Asks a live peer for a loan of the customer's rate. The peers are asked in
    /// round-robin order.
    fn request_loan(&mut self, now_ms: u64, customer: &str) {
        let Some(key) = self.quota.quota_key(customer) else {
            return;
        };
        let peers = self.live_peers();
        if peers.is_empty() {
            return;
        }
        if let Some(request) = self.quota.loan_request(now_ms, key) {
            self.last_lender = (self.last_lender + 1) % peers.len();
            let to = peers[self.last_lender].clone();
            self.effects.push(FleetEffect::Send {
                to,
                message: PeerMessage::LoanRequest(request),
            });
        }
    }
}
