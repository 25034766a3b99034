//! Model of loans between instances: bounds, seeded faults and events.
//!
//! Each instance may use a share of a customer's contract: its home weight. An instance that
//! lacks tokens borrows a part of the share of another one for a limited time. The model
//! checks that the customer never gets more than the contract allows, although messages are
//! lost or duplicated, clocks lag and processes restart.
//!
//! A search is bounded to 2 or 3 instances, one customer, a number of ticks, and a few loan
//! requests, duplicated messages, restarts and clock lags. A message that is not delivered
//! before the last tick stands for a lost one. A process that is paused is one without events
//! for some ticks. A pause between the last check of the dispatch deadline and the first byte
//! that is sent is not modelled.

use jayreel_quota::{LoanGrant, LoanRequest, LoanReturn};

/// Milliseconds in one tick.
pub const TICK_MS: u64 = 1_000;

/// Length of a loan in ticks.
pub const TERM_TICKS: u64 = 2;

/// Dispatch deadline: longest time between taking a token for a call and sending the call,
/// in ticks.
pub const DEADLINE_TICKS: u64 = 1;

/// Allowance for clocks that run at different rates, in ticks.
pub const MARGIN_TICKS: u64 = 1;

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LoanFault {
    /// Loans are absolute amounts, which a change of the contract does not rescale.
    AbsoluteAmounts,
    /// The borrower counts the term of a loan from the receipt of the grant.
    TermFromReceipt,
    /// The borrower accepts each copy of a duplicated grant.
    DuplicateAccepted,
    /// A token that was taken does not occupy its place in the bucket until the call is sent.
    NoHold,
    /// The lender waits for the term and the dispatch deadline only, without the allowance for
    /// clock differences.
    NoClockMargin,
    /// The lender waits for the term only.
    NoMargin,
    /// The lender grants a loan first and reduces its own share some time later.
    ReduceAfterGrant,
    /// A restarted instance uses its home weight at once, without waiting until loans of the
    /// earlier process have ended.
    RestartWithoutDelay,
    /// The borrower goes on using a loan that it has returned.
    ReturnKeptInUse,
    /// A call is sent after the dispatch deadline.
    SentAfterDeadline,
    /// After a pause, an instance takes a token without reading the clock.
    StaleClock,
    /// A call that is given back late restores its token as if it had been taken later.
    LateRefund,
}

/// Bounds of a search.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LoanScope {
    /// Home weights of the instances, in parts per million.
    pub weights_ppm: Vec<u32>,
    /// Rate in thousandths of a request per second.
    pub rate_mreq_per_s: u64,
    /// Burst in thousandths of a request.
    pub burst_mreq: u64,
    /// Number of the last tick.
    pub ticks: u64,
    /// Number of loan requests.
    pub loan_requests: u8,
    /// Number of calls that are not sent at once after their token was taken.
    pub delayed_calls: u8,
    /// Number of messages that are delivered twice.
    pub duplicates: u8,
    /// Number of restarts.
    pub restarts: u8,
    /// Number of ticks in which the clock of one instance stands still.
    pub clock_lags: u8,
    /// Whether instances may stop and return their loans early.
    pub early_returns: bool,
    /// Whether the contract is halved at some time. Each instance learns of it on its own.
    pub contract_lowered: bool,
    /// Whether an instance reads its clock only when it has an event. Otherwise it expires
    /// loans at each tick.
    pub reads_clock_on_events: bool,
    /// The rule to break, if any.
    pub fault: Option<LoanFault>,
}

/// A message on its way to an instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LoanMessage {
    /// To the lender.
    Request(LoanRequest),
    /// To the borrower.
    Grant(LoanGrant),
    /// To the lender.
    Return(LoanReturn),
}

/// A transition of the model. Instances and messages are identified by index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoanEvent {
    /// One tick passes.
    Tick,
    /// One tick passes, but the clock of this instance stands still.
    Lag(usize),
    /// A call takes a token and is sent at once.
    CallAtOnce(usize),
    /// A call takes a token and is sent or given back later.
    TakeToken(usize),
    /// The oldest call that has a token is sent.
    SendCall(usize),
    /// The oldest call that has a token is given back without being sent.
    ReturnToken(usize),
    /// The first instance, which lacks tokens, requests a loan from the second.
    RequestLoan(usize, usize),
    /// A message arrives.
    Deliver(usize),
    /// A message arrives, and a copy of it stays under way.
    DeliverAndKeep(usize),
    /// An instance begins a planned stop and returns its loans.
    ReturnLoans(usize),
    /// A process crashes and starts again with the same name.
    Restart(usize),
    /// An instance applies the lowered contract.
    LowerContract(usize),
    /// With [`LoanFault::ReduceAfterGrant`]: a lender reduces its share.
    ReduceShare(usize),
}
