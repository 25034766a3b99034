//! Model of the home weight record: bounds, seeded faults and events.
//!
//! The record in the store assigns each instance a home weight, its share of all customer
//! contracts. The model checks that instances never use more than the whole of a contract
//! together while weights move between them and instances join, stop or fail.
//!
//! A search is bounded to 2 or 3 instances, a number of ticks, and a few lost responses,
//! abandoned calls, clock lags, crashes and restarts. An outage of the store is a period in
//! which it processes none of the calls under way. Reads are atomic, but an instance may
//! plan with what it read at any later time. Without loans, an increased weight takes effect
//! at once. With loans there is one customer; grants may arrive late, while loan requests and
//! returns arrive at once. Duplicated messages and calls of customers are covered by
//! [`crate::quota_loans`].

use jayreel_model::Incarnation;
use jayreel_quota::home_weights::HomeRecord;

/// Milliseconds in one tick.
pub const TICK_MS: u64 = 1_000;

/// Time after which a registration expires unless it is renewed, in ticks.
pub const TTL_TICKS: u64 = 2;

/// Time for which a home weight may be used after a renewal was sent, in ticks. Measured by
/// the clock of the sender.
pub const TERM_TICKS: u64 = 3;

/// Time that must pass beyond [`TERM_TICKS`] before a weight is reclaimed, in ticks.
pub const MARGIN_TICKS: u64 = 1;

/// Length of a loan in ticks. Longer than [`TTL_TICKS`], so that a process can be replaced
/// while the weight that it has lent is still in use.
pub const LOAN_TICKS: u64 = 3;

/// A protocol rule to break, to show that the search finds the resulting violation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HomeFault {
    /// A weight that was adopted from an earlier process of the instance counts as settled at
    /// once.
    AdoptSettled,
    /// An instance forgets a write without a response, although the store may still apply it.
    ForgetWriteWithoutResponse,
    /// A weight that an operator removes from a dead instance counts as released.
    ForgetReleases,
    /// A weight is reclaimed as soon as the registration of its holder is absent.
    ReclaimEarly,
    /// After its weight has lapsed, an instance uses it again because the record still shows
    /// it, without writing the record first.
    NoRewriteAfterLapse,
    /// A weight that was not settled yet is passed on as released.
    ReleaseUncounted,
    /// An instance writes a smaller weight while it has lent more than that.
    ReleaseWhileLent,
    /// A renewal makes a lapsed weight valid again.
    RenewAfterLapse,
    /// After its weight has lapsed, an instance plans with a record that it read before.
    StaleReadAfterLapse,
    /// A larger weight is used as soon as its write is sent, before it was read back.
    UseBeforeReadBack,
    /// A smaller weight is written while the larger one is still in use.
    WriteBeforeReduce,
}

/// Bounds of a search.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HomeScope {
    /// Weights in the record at the start, in parts per million.
    pub weights_ppm: Vec<u32>,
    /// Number of instances, from the first on, that renew their registration and read the
    /// record exactly once in each tick. Only they reclaim weights. The other instances
    /// renew and read at any time at which this leads to a new state.
    pub steady_instances: usize,
    /// Number of renewals and reads of all other instances together.
    pub store_contacts: u8,
    /// Number of the last tick.
    pub ticks: u64,
    /// Calls to the store for whose response the sender stops waiting. The store may still
    /// process them.
    pub abandoned_calls: u8,
    /// Responses of the store that are lost.
    pub lost_responses: u8,
    /// Number of ticks in which the clock of one instance stands still.
    pub clock_lags: u8,
    /// Processes that crash and do not start again.
    pub crashes: u8,
    /// Processes that crash and start again with the same name and address.
    pub restarts: u8,
    /// Planned stops.
    pub stops: u8,
    /// Loans from one instance to another.
    pub loans: u8,
    /// Whether a grant may arrive late. Otherwise it arrives at once.
    pub late_grants: bool,
    /// Dead instances whose weight an operator removes.
    pub removals: u8,
    /// The rule to break, if any.
    pub fault: Option<HomeFault>,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoreCall {
    /// Registers a process, or renews its registration.
    Renew {
        /// The process to register.
        incarnation: Incarnation,
        /// When the call was sent, by the clock of the sender.
        sent_ms: u64,
    },
    /// Writes the record.
    Write {
        /// The revision that the stored record must have.
        revision: u64,
        /// The new record.
        record: HomeRecord,
        /// Names of instances that must not be registered.
        requires_absent: Vec<String>,
    },
}

/// A transition of the model. Instances, calls and grants are identified by index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeEvent {
    /// One tick passes.
    Tick,
    /// One tick passes, but the clock of this instance stands still.
    Lag(usize),
    /// An instance sends a renewal of its registration.
    Renew(usize),
    /// The store processes a call and its response arrives.
    ProcessCall(usize),
    /// The store processes a call and its response is lost.
    ProcessAndLoseResponse(usize),
    /// An instance stops waiting for the response to its call.
    AbandonCall(usize),
    /// An instance reads the record and the registrations.
    Read(usize),
    /// An instance executes the step that it plans from what it read last.
    ExecuteNextStep(usize),
    /// A process crashes.
    Crash(usize),
    /// A process crashes and starts again with the same name and address.
    Restart(usize),
    /// A planned stop begins.
    Stop(usize),
    /// The second instance requests a loan, and the first one grants it if it can.
    Lend(usize, usize),
    /// A grant arrives at the borrower.
    DeliverGrant(usize),
    /// A stopping instance returns its loans.
    ReturnLoans(usize),
    /// An operator removes a dead instance.
    RemoveDeadInstance(usize),
}
