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

/// After all members have responded that a customer has no tokens, its requests are refused for
/// this time without another request to the members, in milliseconds: about the time in which
/// the rate of a customer with a low limit yields one token.
const REFUSAL_CACHE_MS: u64 = 40;

/// Lower bound of Retry-After for a customer over its rate limit, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Upper bound of Retry-After for a customer over its rate limit, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

/// Retry-After while no member can be reached for tokens, in milliseconds.
const NO_MEMBER_RETRY_AFTER_MS: u64 = 300;

impl Edge {
    /// Consumes a rate-limit token for one request, from the local buffer or from a member.
    /// Returns the token if it came from the local buffer. Customers without a rate limit need
    /// none.
    pub(crate) async fn take_quota(
        self: &Rc<Self>,
        quota_request: QuotaRequest,
        version: u64,
    ) -> Result<Option<BufferedToken>, Refusal> {
        let (customer, limit) = (&quota_request.customer, quota_request.limit);
        if limit.rate_per_s <= 0.0 {
            return Ok(None);
        }
        let buffered = self.quota.borrow_mut().take(now_ms(), customer);
        if buffered.is_some() {
            return Ok(buffered);
        }
        let until_ms = self.refused_until_ms.borrow().get(customer).copied();
        let is_paused = until_ms.is_some_and(|until_ms| now_ms() < until_ms);
        // A program may have started through another instance. Only the members know that, so a
        // request of a program is always sent to them.
        if is_paused && quota_request.program.is_none() {
            return Err(over_rate(limit));
        }
        self.take_from_members(quota_request, version)
            .await
            .map(|()| None)
    }

    /// Called when a request that consumed a token did not run. `token` is `None` if a member
    /// granted it directly.
    pub(crate) fn return_token(&self, customer: &str, token: Option<BufferedToken>) {
        let mut buffer = self.quota.borrow_mut();
        buffer.refund_token(now_ms(), customer, token);
    }

    /// Requests a token from the members one after another, until one grants it.
    async fn take_from_members(
        self: &Rc<Self>,
        quota_request: QuotaRequest,
        version: u64,
    ) -> Result<(), Refusal> {
        let mut has_response = false;
        for member in self.members.nearest_first(&quota_request.customer) {
            let quota_requests = vec![quota_request.clone()];
            let granted = self
                .members
                .take_quota(&member, version, quota_requests)
                .await;
            let count = granted.and_then(|granted| granted.first().copied());
            has_response |= count.is_some();
            if count.is_some_and(|count| count > 0) {
                return Ok(());
            }
        }
        match has_response {
            true => {
                let until_ms = now_ms() + REFUSAL_CACHE_MS;
                let mut paused = self.refused_until_ms.borrow_mut();
                paused.insert(quota_request.customer, until_ms);
                Err(over_rate(quota_request.limit))
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
        let mut quota_requests: Vec<QuotaRequest> = requested
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
            quota_requests.retain(|quota_request| {
                quota_request.requests > 0 && quota_request.limit.rate_per_s > 0.0
            });
            if quota_requests.is_empty() {
                return;
            }
            let requested_ms = now_ms();
            let sent = quota_requests.clone();
            let version = configuration.version;
            let granted = self.members.take_quota(&member, version, sent).await;
            for (quota_request, count) in
                quota_requests.iter_mut().zip(granted.unwrap_or_default())
            {
                self.quota
                    .borrow_mut()
                    .add(requested_ms, &quota_request.customer, count);
                quota_request.requests = quota_request.requests.saturating_sub(count);
            }
        }
    }
}

/// Refuses a request over the rate limit. Retry-After is the time in which the customer's
/// rate yields four tokens, within the bounds above.
fn over_rate(limit: RateLimit) -> Refusal {
    let retry_after_ms = (4_000.0 / limit.rate_per_s.max(0.1)) as u64;
    Refusal::over_rate(retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS))
}
