//! The memory of a model engine, in tokens.

/// Tokens of the requests that this instance has running at one engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenLoad {
    own_tokens: u64,
    own_requests: u32,
}

impl TokenLoad {
    /// Counts a request with this many tokens, of the prompt and to be generated.
    pub fn begin(&mut self, tokens: u32) {
        self.own_tokens += u64::from(tokens);
        self.own_requests = self.own_requests.saturating_add(1);
    }

    /// Counts a request as finished. Called once for each `begin`, with the same number.
    pub fn end(&mut self, tokens: u32) {
        self.own_tokens = self.own_tokens.saturating_sub(u64::from(tokens));
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Tokens of the requests of all instances, of which there are `requests`. Those of others are
    /// assumed to be as large as those of this instance, or as `typical_tokens` if it has none.
    pub fn estimated_tokens(&self, requests: f64, typical_tokens: f64) -> f64 {
        let others = (requests - f64::from(self.own_requests)).max(0.0);
        let mean_tokens = match self.own_requests {
            0 => typical_tokens,
            own_requests => self.own_tokens as f64 / f64::from(own_requests),
        };
        self.own_tokens as f64 + others * mean_tokens
    }

    /// Whether a request with this many tokens fits in the memory of an engine, which holds
    /// `capacity_tokens`.
    pub fn has_room(
        &self,
        requests: f64,
        typical_tokens: f64,
        tokens: u32,
        capacity_tokens: u32,
    ) -> bool {
        let held_tokens = self.estimated_tokens(requests, typical_tokens);
        held_tokens + f64::from(tokens) <= f64::from(capacity_tokens)
    }
}
