//! Local buffer of the quota tokens that an entry instance took in advance.
//!
//! A request of a customer with a rate limit needs one token, which the members of the group
//! grant. For customers with steady demand an entry instance requests tokens shortly before
//! they are needed, so that most requests don't wait for a member. Unused tokens expire soon,
//! so that nearly all tokens granted in a rate window are used in the same window.

use std::collections::{HashMap, VecDeque};

/// Lifetime of a token, in milliseconds. A customer can exceed its limit in a window by at most
/// the requests that its rate allows in this time. The agreed tolerance, a tenth of a 5 s
/// window, covers that.
const TOKEN_LIFETIME_MS: u64 = 450;

/// Time constant of the moving average of a customer's demand, in milliseconds: a few times the
/// lifetime of tokens, so that its buffer is not left empty after a short pause.
const DEMAND_WINDOW_MS: f64 = 1_500.0;

/// A token that a request took from the buffer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferedToken {
    /// Time at which it expires.
    expires_ms: u64,
}

/// The tokens and the demand of one customer.
#[derive(Debug, Default)]
struct CustomerBuffer {
    /// Expiry time and number of tokens, oldest first. No entry has 0 tokens.
    tokens: VecDeque<(u64, u32)>,
    /// Moving average of the requests per millisecond, as of `updated_ms`.
    demand_per_ms: f64,
    updated_ms: u64,
}

impl CustomerBuffer {
    /// Decays the demand to `now_ms` and adds a number of requests to it.
    fn update_demand(&mut self, now_ms: u64, requests: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.demand_per_ms *= (-elapsed_ms / DEMAND_WINDOW_MS).exp();
        self.demand_per_ms += requests / DEMAND_WINDOW_MS;
        self.updated_ms = now_ms;
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.tokens.retain(|(expires_ms, _)| *expires_ms > now_ms);
    }

    /// Number of buffered tokens, including those that expired since `remove_expired`.
    fn token_count(&self) -> u32 {
        self.tokens.iter().map(|(_, count)| count).sum()
    }
}

/// The buffered tokens of all customers.
#[derive(Debug, Default)]
pub struct QuotaBuffer {
    buffers: HashMap<String, CustomerBuffer>,
}

impl QuotaBuffer {
    /// Records a request of a customer and takes a token for it, if one is buffered.
    pub fn take(&mut self, now_ms: u64, customer: &str) -> Option<BufferedToken> {
        let buffer = self.buffer(customer);
        buffer.update_demand(now_ms, 1.0);
        buffer.remove_expired(now_ms);
        let (expires_ms, count) = buffer.tokens.pop_front()?;
        if count > 1 {
            buffer.tokens.push_front((expires_ms, count - 1));
        }
        Some(BufferedToken { expires_ms })
    }

    /// Reverts `take` for a request that did not run. The request no longer counts as demand, and
    /// the token that it took from the buffer, if any, may serve another one until it expires.
    pub fn refund_token(
        &mut self,
        now_ms: u64,
        customer: &str,
        token: Option<BufferedToken>,
    ) {
        let buffer = self.buffer(customer);
        buffer.update_demand(now_ms, -1.0);
        buffer.demand_per_ms = buffer.demand_per_ms.max(0.0);
        if let Some(token) = token {
            buffer.tokens.push_front((token.expires_ms, 1));
        }
    }

    /// Adds tokens granted by a member. Their lifetime counts from the request at `requested_ms`.
    pub fn add(&mut self, requested_ms: u64, customer: &str, count: u32) {
        if count > 0 {
            let expires_ms = requested_ms + TOKEN_LIFETIME_MS;
            self.buffer(customer).tokens.push_back((expires_ms, count));
        }
    }

    /// Number of tokens to request from members for each customer, so that the buffer lasts for
    /// `ahead_ms`. Drops the buffers of customers without recent demand.
    pub fn tokens_to_request(
        &mut self,
        now_ms: u64,
        ahead_ms: u64,
    ) -> Vec<(String, u32)> {
        self.buffers.retain(|_, buffer| {
            buffer.update_demand(now_ms, 0.0);
            buffer.remove_expired(now_ms);
            buffer.demand_per_ms * DEMAND_WINDOW_MS > 0.05
        });
        let buffers = self.buffers.iter();
        buffers
            .filter_map(|(customer, buffer)| {
                let needed = (buffer.demand_per_ms * ahead_ms as f64).floor() as u32;
                let missing = needed.saturating_sub(buffer.token_count());
                (missing > 0).then(|| (customer.clone(), missing))
            })
            .collect()
    }

    fn buffer(&mut self, customer: &str) -> &mut CustomerBuffer {
        self.buffers.entry(customer.to_string()).or_default()
    }
}
