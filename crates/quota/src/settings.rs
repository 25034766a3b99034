//! Periods and limits of the quota.

/// The settings of a [`crate::Quota`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaSettings {
    /// The incarnation of this process, as text. Must differ for each process start.
    pub incarnation: String,
    /// How long a borrower may use a loan, from the time of its request.
    pub loan_term_ms: u64,
    /// Longest time between the decision to send a call and its first byte.
    pub dispatch_deadline_ms: u64,
    /// Allowance for the difference of two clocks' rates over one loan term.
    pub clock_margin_ms: u64,
    /// Initial time between two loan requests for one customer.
    pub loan_interval_ms: u64,
    /// Longest time between two loan requests for one customer.
    pub loan_interval_max_ms: u64,
    /// Number of unsuccessful requests after which the interval doubles. Should be at
    /// least the number of peers, which are asked in turn.
    pub loan_attempts_per_step: u32,
}

impl QuotaSettings {
    /// Creates the default settings.
    pub fn new(incarnation: impl Into<String>) -> QuotaSettings {
        QuotaSettings {
            incarnation: incarnation.into(),
            loan_term_ms: 5_000,
            dispatch_deadline_ms: 1_000,
            clock_margin_ms: 500,
            loan_interval_ms: 20,
            loan_interval_max_ms: 2_000,
            loan_attempts_per_step: 8,
        }
    }

    /// How long a call that was neither sent nor given back occupies capacity of the
    /// bucket.
    pub(crate) fn hold_ms(&self) -> u64 {
        self.dispatch_deadline_ms + self.clock_margin_ms
    }

    /// How long a lender does not use what it lent. Longer than the loan term, because
    /// the borrower may still send its last call one dispatch deadline after the end of
    /// the term.
    pub(crate) fn lent_ms(&self) -> u64 {
        self.loan_term_ms + self.dispatch_deadline_ms + self.clock_margin_ms
    }
}
