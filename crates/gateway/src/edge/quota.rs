//! Tokens of customers' rates, taken from the members of the group.

use std::rc::Rc;

use jayreel_ledger::{QuotaPurpose, QuotaRequest, RateLimit};

use crate::clock::now_ms;
use crate::edge::Edge;
use crate::edge::refusal::Refusal;
use crate::quota_buffer::BufferedToken;

/// Pause between two requests for tokens in advance, in milliseconds.
pub(crate) const REFILL_INTERVAL_MS: u64 = 150;

/// Tokens are taken in advance for this time, in milliseconds: until the next refill has
/// come, and a little less than tokens live.
const AHEAD_MS: u64 = 250;

/// After all members had no token, a customer is refused for this time without asking, in
/// milliseconds: about the time in which a small customer earns one.
const OVER_RATE_PAUSE_MS: u64 = 40;

/// Shortest Retry-After for a customer over its rate, in milliseconds.
const LEAST_RETRY_MS: u64 = 200;

/// Longest Retry-After for a customer over its rate, in milliseconds.
const MOST_RETRY_MS: u64 = 1_000;

/// Retry-After while no member answers, in milliseconds.
const NO_MEMBER_RETRY_MS: u64 = 300;

impl Edge {
    /// Takes the token of one request. Returns the one that it took from the stock, if any.
    pub(crate) async fn take_quota(
        self: &Rc<Self>,
        want: QuotaRequest,
        version: u64,
    ) -> Result<Option<BufferedToken>, Refusal> {
        let (customer, limit) = (&want.customer, want.limit);
        if limit.rate_per_s <= 0.0 {
            return Ok(None);
        }
        let held = self.quota.borrow_mut().take(now_ms(), customer);
        if held.is_some() {
            return Ok(held);
        }
        let until_ms = self.over_rate_until_ms.borrow().get(customer).copied();
        let is_paused = until_ms.is_some_and(|until_ms| now_ms() < until_ms);
        // Members may know that a program has begun, of which this instance knows nothing.
        if is_paused && want.program.is_none() {
            return Err(over_rate(limit));
        }
        self.take_from_members(want, version).await.map(|()| None)
    }

    /// A request that had a token, held here or not, did not run.
    pub(crate) fn return_token(&self, customer: &str, token: Option<BufferedToken>) {
        let mut stock = self.quota.borrow_mut();
        stock.refund_token(now_ms(), customer, token);
    }

    async fn take_from_members(
        self: &Rc<Self>,
        want: QuotaRequest,
        version: u64,
    ) -> Result<(), Refusal> {
        let mut has_answer = false;
        for member in self.members.nearest_first(&want.customer) {
            let wants = vec![want.clone()];
            let granted = self.members.take_quota(&member, version, wants).await;
            let count = granted.and_then(|granted| granted.first().copied());
            has_answer |= count.is_some();
            if count.is_some_and(|count| count > 0) {
                return Ok(());
            }
        }
        match has_answer {
            true => {
                let until_ms = now_ms() + OVER_RATE_PAUSE_MS;
                let mut paused = self.over_rate_until_ms.borrow_mut();
                paused.insert(want.customer, until_ms);
                Err(over_rate(want.limit))
            }
            false => Err(Refusal::not_now("quota_unreachable", NO_MEMBER_RETRY_MS)),
        }
    }

    /// Takes tokens in advance for customers that send steadily.
    pub(crate) async fn refill_quota(self: &Rc<Self>) {
        let configuration = self.configuration();
        let wanted = self
            .quota
            .borrow_mut()
            .tokens_to_request(now_ms(), AHEAD_MS);
        let mut wants: Vec<QuotaRequest> = wanted
            .into_iter()
            .filter_map(|(customer, requests)| {
                let limit = configuration.customers.get(&customer)?.limit;
                Some(QuotaRequest {
                    customer,
                    program: None,
                    requests,
                    quota_purpose: QuotaPurpose::Prefetch,
                    budget: None,
                    limit,
                })
            })
            .collect();
        for member in self.members.nearest_first("") {
            wants.retain(|want| want.requests > 0 && want.limit.rate_per_s > 0.0);
            if wants.is_empty() {
                return;
            }
            let asked_ms = now_ms();
            let asked = wants.clone();
            let version = configuration.version;
            let granted = self.members.take_quota(&member, version, asked).await;
            for (want, count) in wants.iter_mut().zip(granted.unwrap_or_default()) {
                self.quota.borrow_mut().add(asked_ms, &want.customer, count);
                want.requests = want.requests.saturating_sub(count);
            }
        }
    }
}

/// A customer may come back when its rate has earned a few tokens.
fn over_rate(limit: RateLimit) -> Refusal {
    let retry_ms = (4_000.0 / limit.rate_per_s.max(0.1)) as u64;
    Refusal::over_rate(retry_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS))
}
