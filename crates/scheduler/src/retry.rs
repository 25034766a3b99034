//! The retry budget, which limits retries to a percentage of calls.

/// Maximum number of unused retries that accumulate, and can then be spent in a burst.
const MAX_BALANCE_RETRIES: u64 = 10;
/// Balance that one retry costs. Each call adds the percentage of the budget.
const RETRY_COST: u64 = 100;
/// Upper bound of the balance.
const MAX_BALANCE: u64 = MAX_BALANCE_RETRIES * RETRY_COST;

/// Limits retries to a percentage of calls, so that retries do not multiply the load when
/// endpoints fail.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    percent: u32,
    /// Available retries, in hundredths. At most `MAX_BALANCE`.
    balance: u64,
}

impl RetryBudget {
    pub fn new(percent: u32) -> RetryBudget {
        let balance = match percent {
            0 => 0,
            _ => MAX_BALANCE,
        };
        RetryBudget { percent, balance }
    }

    /// Adds to the budget for the first dispatch of a call.
    pub fn record_call(&mut self) {
        self.balance = (self.balance + u64::from(self.percent)).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn take(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }
}
