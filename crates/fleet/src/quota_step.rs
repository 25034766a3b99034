//! The quota step: buckets, and loans from peers when they are short.

use jayreel_model::{Configuration, Incarnation};
use jayreel_quota::{LoanReturn, Take};
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};

use crate::event::{FleetEffect, PeerMessage};
use crate::fleet::Fleet;

/// Time after which a caller may ask again if the bucket cannot tell.
const RETRY_AFTER_MS: u64 = 1_000;

impl QuotaAdmission for Fleet {
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
                self.ask_for_loan(now_ms, customer);
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

impl Fleet {
    /// Gives loans back to their lenders.
    pub(crate) fn send_returns(&mut self, returns: Vec<LoanReturn>) {
        for returned in returns {
            if let Ok(lender) = returned.lender.parse::<Incarnation>() {
                self.send(lender.instance, PeerMessage::LoanReturn(returned));
            }
        }
    }

    /// Asks the next peer in turn for a part of its share.
    fn ask_for_loan(&mut self, now_ms: u64, customer: &str) {
        let Some(key) = self.quota.quota_key(customer) else {
            return;
        };
        let peers = self.lenders();
        if peers.is_empty() {
            return;
        }
        if let Some(request) = self.quota.loan_request(now_ms, key) {
            self.next_lender = (self.next_lender + 1) % peers.len();
            let to = peers[self.next_lender].clone();
            self.effects.push(FleetEffect::Send {
                to,
                message: PeerMessage::LoanRequest(request),
            });
        }
    }
}
