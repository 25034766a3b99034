//! The token budget of a root program, shared with its sub-agents.
//!
//! A call reserves the maximum number of tokens that it may use before it runs, and
//! settles what it used when it ends. The owner may spend the first tranche of the budget
//! freely. Beyond it, a larger grant must be recorded in the store first, so that a
//! successor knows how much may have been spent if the owner crashes.

/// The token accounting of one root program.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Account {
    /// The whole budget of the root program.
    pub budget_tokens: u64,
    /// Tokens used by calls that ended, plus the tokens that predecessors may have used.
    pub spent_tokens: u64,
    /// Tokens reserved by running calls.
    pub reserved_tokens: u64,
    /// Maximum of `spent_tokens + reserved_tokens` for new reservations. A maximum above the
    /// first tranche is recorded in the store before it takes effect.
    pub granted_tokens: u64,
    /// The grant that waiting calls need. At most the budget.
    pub wanted_tokens: u64,
    /// The smallest step by which a grant grows, so that a program causes few store
    /// writes. At least 1.
    pub tranche_tokens: u64,
    /// Service received by all calls, in thousandths of a prompt token.
    pub service_mtokens: u64,
}

/// The result of [`Account::reserve`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The tokens are reserved.
    Reserved {
        /// Maximum number of tokens that the call may generate.
        max_tokens: u64,
        /// Reserved tokens, to be passed to [`Account::settle`] when the call ends.
        reserved_tokens: u64,
    },
    /// The grant is too small. Its needed size is in [`Account::wanted_tokens`].
    NeedsGrant,
    /// The rest of the budget is too small for the prompt and one generated token.
    Exhausted,
}

impl Account {
    /// Creates the account of a new program, whose first tranche may be spent without a
    /// record in the store.
    pub fn opened(budget_tokens: u64, first_tranche_tokens: u64) -> Account {
        Account {
            granted_tokens: first_tranche_tokens.min(budget_tokens),
            ..Account::charged(budget_tokens, first_tranche_tokens, 0)
        }
    }

    /// Creates the account of a program that was taken over and whose predecessors may
    /// have spent `charged_tokens`. Nothing may be spent before a grant is recorded.
    pub fn charged(
        budget_tokens: u64,
        tranche_tokens: u64,
        charged_tokens: u64,
    ) -> Account {
        Account {
            budget_tokens,
            spent_tokens: charged_tokens,
            reserved_tokens: 0,
            granted_tokens: charged_tokens,
            wanted_tokens: charged_tokens,
            tranche_tokens: tranche_tokens.max(1),
            service_mtokens: 0,
        }
    }

    /// Tokens of the budget that are neither spent nor reserved.
    pub fn remaining_tokens(&self) -> u64 {
        let used = self.spent_tokens.saturating_add(self.reserved_tokens);
        self.budget_tokens.saturating_sub(used)
    }

    /// Reserves `prompt_tokens` plus up to `max_tokens` generated tokens, at least one. A
    /// call with both at 0 uses no tokens and always succeeds.
    pub fn reserve(&mut self, prompt_tokens: u64, max_tokens: u64) -> Reservation {
        if prompt_tokens == 0 && max_tokens == 0 {
            return Reservation::Reserved {
                max_tokens: 0,
                reserved_tokens: 0,
            };
        }
        let available_tokens = self.remaining_tokens().saturating_sub(prompt_tokens);
        let max_tokens = max_tokens.max(1).min(available_tokens);
        if max_tokens == 0 {
            return Reservation::Exhausted;
        }
        let reserved_tokens = prompt_tokens + max_tokens;
        let used_tokens = self.spent_tokens + self.reserved_tokens + reserved_tokens;
        if used_tokens > self.granted_tokens {
            self.wanted_tokens = self.wanted_tokens.max(used_tokens);
            return Reservation::NeedsGrant;
        }
        self.reserved_tokens += reserved_tokens;
        Reservation::Reserved {
            max_tokens,
            reserved_tokens,
        }
    }

    /// Replaces a reservation by the number of tokens used.
    pub fn settle(&mut self, reserved_tokens: u64, used_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_tokens = self.spent_tokens.saturating_add(used_tokens);
    }

    /// Whether to record a larger grant: a call waits for it, or less than half a tranche
    /// of the current one is left.
    pub fn wants_grant(&self) -> bool {
        let used_tokens = self.spent_tokens.saturating_add(self.reserved_tokens);
        let left_tokens = self.granted_tokens.saturating_sub(used_tokens);
        let is_low = left_tokens < self.tranche_tokens.div_ceil(2);
        let can_grow = self.granted_tokens < self.budget_tokens;
        can_grow && (is_low || self.wanted_tokens > self.granted_tokens)
    }

    /// The grant to write into the next budget record. The current grant if no larger one
    /// is needed.
    pub fn next_grant_tokens(&self) -> u64 {
        let next_tokens = self.granted_tokens.saturating_add(self.tranche_tokens);
        match self.wants_grant() {
            true => next_tokens.max(self.wanted_tokens).min(self.budget_tokens),
            false => self.granted_tokens,
        }
    }

    /// Applies a grant that was recorded in the store. Grants never shrink.
    pub fn grant(&mut self, granted_tokens: u64) {
        let granted_tokens = granted_tokens.min(self.budget_tokens);
        self.granted_tokens = self.granted_tokens.max(granted_tokens);
    }

    /// Whether the whole budget is spent, so that no further model call can run.
    pub fn is_exhausted(&self) -> bool {
        self.budget_tokens <= self.spent_tokens
    }
}

/// The part of a budget that may be spent without a record in the store.
pub fn first_tranche_tokens(budget_tokens: u64, first_tranche_percent: u8) -> u64 {
    let percent = u128::from(first_tranche_percent.min(100));
    let tokens = u128::from(budget_tokens) * percent / 100;
    u64::try_from(tokens).unwrap_or(budget_tokens)
}
