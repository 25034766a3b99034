//! Rate-limit tokens of customers, granted by the members of the storage group.
//!
//! For customers that send steadily, tokens are fetched in advance, so that most requests need
//! no round trip to a member.

use std::rc::Rc;

use jayreel_ledger::{QuotaPurpose, QuotaRequest, RateLimit};

use crate::clock::now_ms;
use crate::edge::Edge;
use crate::edge::refusal::Refusal;
use crate::quota_buffer::BufferedToken;

/// Interval at which tokens are fetched in advance, in milliseconds.
pub(crate) const REFILL_INTERVAL_MS: u64 = 150;

/// Tokens are fetched to cover the demand of this time, in milliseconds: long enough to last
/// until the next refill arrives, and slightly shorter than the lifetime of a token.
const PREFETCH_MS: u64 = 250;

/// After all members have replied that a customer has no tokens, its requests are refused for
/// this time without asking again, in milliseconds: about the time in which a customer with a
/// low rate earns one token.
const REFUSAL_CACHE_MS: u64 = 40;

/// Lower bound of Retry-After for a customer over its rate limit, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Upper bound of Retry-After for a customer over its rate limit, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

/// Retry-After while no member can be reached for tokens, in milliseconds.
const NO_MEMBER_RETRY_AFTER_MS: u64 = 300;

impl Edge {
    /// Consumes a rate-limit token for one request, from the local stock or from a member.
    /// Returns the token if it came from the local stock. Customers without a rate limit need
    /// none.
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
        let until_ms = self.refused_until_ms.borrow().get(customer).copied();
        let is_paused = until_ms.is_some_and(|until_ms| now_ms() < until_ms);
        // A program may have begun through another instance. Only the members know that, so a
        // request of a program is always passed on to them.
        if is_paused && want.program.is_none() {
            return Err(over_rate(limit));
        }
        self.take_from_members(want, version).await.map(|()| None)
    }

    /// Called when a request that consumed a token did not run. `token` is `None` if a member
    /// granted it directly.
    pub(crate) fn return_token(&self, customer: &str, token: Option<BufferedToken>) {
        let mut stock = self.quota.borrow_mut();
        stock.refund_token(now_ms(), customer, token);
    }

    /// Asks the members one after another, until one grants a token.
    async fn take_from_members(
        self: &Rc<Self>,
        want: QuotaRequest,
        version: u64,
    ) -> Result<(), Refusal> {
        let mut any_answered = false;
        for member in self.members.nearest_first(&want.customer) {
            let wants = vec![want.clone()];
            let granted = self.members.take_quota(&member, version, wants).await;
            let count = granted.and_then(|granted| granted.first().copied());
            any_answered |= count.is_some();
            if count.is_some_and(|count| count > 0) {
                return Ok(());
            }
        }
        match any_answered {
            true => {
                let until_ms = now_ms() + REFUSAL_CACHE_MS;
                let mut paused = self.refused_until_ms.borrow_mut();
                paused.insert(want.customer, until_ms);
                Err(over_rate(want.limit))
            }
            false => Err(Refusal::retry_later(
                "quota_unreachable",
                NO_MEMBER_RETRY_AFTER_MS,
            )),
        }
    }

    /// Fetches tokens in advance for customers with recent demand.
    pub(crate) async fn refill_quota(self: &Rc<Self>) {
        let configuration = self.configuration();
        let requested = self
            .quota
            .borrow_mut()
            .tokens_to_request(now_ms(), PREFETCH_MS);
        let mut wants: Vec<QuotaRequest> = requested
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
            let request = wants.clone();
            let version = configuration.version;
            let granted = self.members.take_quota(&member, version, request).await;
            for (want, count) in wants.iter_mut().zip(granted.unwrap_or_default()) {
                self.quota.borrow_mut().add(asked_ms, &want.customer, count);
                want.requests = want.requests.saturating_sub(count);
            }
        }
    }
}

/// Refuses a request over the rate limit. Retry-After is the time in which the customer earns
/// four tokens, within the bounds above.
fn over_rate(limit: RateLimit) -> Refusal {
    let retry_after_ms = (4_000.0 / limit.rate_per_s.max(0.1)) as u64;
    Refusal::over_rate(retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
}
