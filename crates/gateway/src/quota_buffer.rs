//! Tokens of customers' rates that an entry instance holds.
//!
//! Tokens are taken from the members of the group a little before they are needed, and lapse
//! soon, so that what is handed out in a window is what is used in it.

use std::collections::{HashMap, VecDeque};

/// Tokens lapse after this time, in milliseconds. The sum over a window exceeds the limit by
/// at most the rate in this time, which the agreed tolerance of a tenth of a 5 s window covers.
const TOKEN_LIFE_MS: u64 = 450;

/// Demand is averaged over this time, in milliseconds: a few times the life of tokens, so
/// that a pause of a customer does not empty its stock.
const DEMAND_WINDOW_MS: f64 = 1_500.0;

/// A token that a request took from the stock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferedToken {
    /// When it lapses, in milliseconds.
    expires_ms: u64,
}

#[derive(Debug, Default)]
struct Stock {
    /// Expiry and number of tokens, oldest first. No entry has 0 tokens.
    tokens: VecDeque<(u64, u32)>,
    demand_per_ms: f64,
    updated_ms: u64,
}

impl Stock {
    fn note_demand(&mut self, now_ms: u64, requests: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.demand_per_ms *= (-elapsed_ms / DEMAND_WINDOW_MS).exp();
        self.demand_per_ms += requests / DEMAND_WINDOW_MS;
        self.updated_ms = now_ms;
    }

    fn lapse(&mut self, now_ms: u64) {
        self.tokens.retain(|(expires_ms, _)| *expires_ms > now_ms);
    }

    fn held(&self) -> u32 {
        self.tokens.iter().map(|(_, count)| count).sum()
    }
}

/// Tokens of all customers.
#[derive(Debug, Default)]
pub struct QuotaBuffer {
    stocks: HashMap<String, Stock>,
}

impl QuotaBuffer {
    /// A request of a customer arrives and takes a token, if one is held.
    pub fn take(&mut self, now_ms: u64, customer: &str) -> Option<BufferedToken> {
        let stock = self.stock(customer);
        stock.note_demand(now_ms, 1.0);
        stock.lapse(now_ms);
        let (expires_ms, count) = stock.tokens.pop_front()?;
        if count > 1 {
            stock.tokens.push_front((expires_ms, count - 1));
        }
        Some(BufferedToken { expires_ms })
    }

    /// A request did not run, so it was no demand, and the token that it took from the stock
    /// may serve another one. The token lapses when it would have.
    pub fn refund_token(
        &mut self,
        now_ms: u64,
        customer: &str,
        token: Option<BufferedToken>,
    ) {
        let stock = self.stock(customer);
        stock.note_demand(now_ms, -1.0);
        stock.demand_per_ms = stock.demand_per_ms.max(0.0);
        if let Some(token) = token {
            stock.tokens.push_front((token.expires_ms, 1));
        }
    }

    /// Adds tokens that were asked for at `asked_ms`.
    pub fn add(&mut self, asked_ms: u64, customer: &str, count: u32) {
        if count > 0 {
            let expires_ms = asked_ms + TOKEN_LIFE_MS;
            self.stock(customer).tokens.push_back((expires_ms, count));
        }
    }

    /// How many tokens to ask for in advance, to last for `ahead_ms`.
    pub fn tokens_to_request(
        &mut self,
        now_ms: u64,
        ahead_ms: u64,
    ) -> Vec<(String, u32)> {
        self.stocks.retain(|_, stock| {
            stock.note_demand(now_ms, 0.0);
            stock.lapse(now_ms);
            stock.demand_per_ms * DEMAND_WINDOW_MS > 0.05
        });
        let stocks = self.stocks.iter();
        stocks
            .filter_map(|(customer, stock)| {
                let needed = (stock.demand_per_ms * ahead_ms as f64).floor() as u32;
                let missing = needed.saturating_sub(stock.held());
                (missing > 0).then(|| (customer.clone(), missing))
            })
            .collect()
    }

    fn stock(&mut self, customer: &str) -> &mut Stock {
        self.stocks.entry(customer.to_string()).or_default()
    }
}
