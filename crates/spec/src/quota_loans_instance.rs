//! Model of loans between instances: an instance and its quota.

use std::collections::BTreeMap;
use std::rc::Rc;

use jayreel_model::Customer;
use jayreel_quota::{LoanRequest, Quota, QuotaKey, QuotaSettings, Take};

use crate::quota_loans::{
    DEADLINE_TICKS, LoanFault, LoanScope, MARGIN_TICKS, TERM_TICKS, TICK_MS,
};

const CUSTOMER: &str = "c";

/// Distance between the start times of the clocks of two instances. It is large because the
/// protocol must not compare times of different clocks.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

/// Time before the first tick in which home weights take effect and buckets fill.
const WARM_UP_MS: u64 = 900_000;

/// State of one instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Instance {
    /// Time by the clock of this instance.
    pub now_ms: u64,
    /// When the instance last read its clock. Always 0 without
    /// [`LoanFault::StaleClock`].
    pub last_event_ms: u64,
    /// Whether the fault is [`LoanFault::StaleClock`].
    pub reads_stale_clock: bool,
    /// Number of restarts so far.
    pub starts: u8,
    pub quota: Rc<Quota>,
    /// When the tokens of calls that are neither sent nor given back were taken, oldest first.
    pub unsent_ms: Vec<u64>,
    /// Whether this instance uses the lowered contract.
    pub contract_lowered: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    pub summary: QuotaSummary,
}

/// Values that follow from the quota and the time. Cached.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct QuotaSummary {
    /// The home weight without what is lent, plus what is borrowed.
    pub weight_ppm: u32,
    /// Whether there is a token for a call.
    pub can_take: bool,
    /// Whether the instance has borrowed.
    pub has_loans: bool,
}

impl Instance {
    pub fn new(scope: &LoanScope, index: usize) -> Instance {
        let mut instance = Instance {
            now_ms: CLOCK_OFFSET_MS * (index as u64 + 1),
            last_event_ms: 0,
            reads_stale_clock: scope.fault == Some(LoanFault::StaleClock),
            starts: 0,
            quota: Rc::new(Quota::new(settings(scope, index, 0))),
            unsent_ms: Vec::new(),
            contract_lowered: false,
            stopping: false,
            summary: QuotaSummary::default(),
        };
        instance.set_up(scope, index, instance.now_ms);
        instance.now_ms += WARM_UP_MS;
        let now_ms = instance.now_ms;
        instance.quota_mut().expire(now_ms);
        instance.refresh_summary();
        instance
    }

    /// Sets the contract and the home weight at `at_ms`.
    pub fn set_up(&mut self, scope: &LoanScope, index: usize, at_ms: u64) {
        let customers = customers(scope, self.contract_lowered);
        let quota = self.quota_mut();
        quota.set_customers(at_ms, &customers);
        quota.set_home_weight(at_ms, scope.weights_ppm[index], u64::MAX);
    }

    /// Replaces the process by a new one without memory. With `backdated` its home weight is
    /// valid at once, as if it had started earlier.
    pub fn restart(&mut self, scope: &LoanScope, index: usize, backdated: bool) {
        self.starts += 1;
        self.unsent_ms.clear();
        self.stopping = false;
        self.quota = Rc::new(Quota::new(settings(scope, index, self.starts)));
        let delay_ms = (TERM_TICKS + DEADLINE_TICKS + MARGIN_TICKS) * TICK_MS;
        let at_ms = self.now_ms - if backdated { delay_ms } else { 0 };
        self.set_up(scope, index, at_ms);
        let now_ms = self.now_ms;
        self.quota_mut().expire(now_ms);
    }

    /// Whether the summary of `before` is still valid.
    pub fn is_unchanged(&self, before: &Instance) -> bool {
        Rc::ptr_eq(&self.quota, &before.quota) && self.now_ms == before.now_ms
    }

    /// Updates the summary, which depends on the quota and on the time.
    pub fn refresh_summary(&mut self) {
        let mut quota = (*self.quota).clone();
        let can_take = quota.take(self.take_ms(), self.key()) == Take::Taken;
        let share = quota
            .share(self.now_ms, self.key())
            .expect("the customer is configured");
        let own_ppm = share.home_ppm.saturating_sub(share.lent_ppm);
        self.summary = QuotaSummary {
            weight_ppm: own_ppm + share.borrowed_ppm,
            can_take,
            has_loans: share.borrowed_ppm > 0,
        };
    }

    /// Requests a loan, unless there is a token for a call.
    pub fn request_loan(&mut self) -> Option<LoanRequest> {
        let (now_ms, key) = (self.now_ms, self.key());
        let mut probe = (*self.quota).clone();
        if probe.take(now_ms, key) == Take::Taken {
            return None;
        }
        self.quota = Rc::new(probe);
        self.quota_mut().loan_request(now_ms, key)
    }

    pub fn lower_contract(&mut self, scope: &LoanScope) {
        self.contract_lowered = true;
        let now_ms = self.now_ms;
        let customers = customers(scope, true);
        self.quota_mut().set_customers(now_ms, &customers);
    }

    /// The time at which a call takes a token, as the instance reads it.
    pub fn take_ms(&self) -> u64 {
        if self.reads_stale_clock {
            self.last_event_ms
        } else {
            self.now_ms
        }
    }

    /// The quota for a change. Reads the clock.
    pub fn quota_mut(&mut self) -> &mut Quota {
        if self.reads_stale_clock {
            self.last_event_ms = self.now_ms;
        }
        Rc::make_mut(&mut self.quota)
    }

    pub fn key(&self) -> QuotaKey {
        self.quota
            .quota_key(CUSTOMER)
            .expect("the customer is configured")
    }
}

/// The contract of the only customer, halved if it was lowered.
fn customers(scope: &LoanScope, contract_lowered: bool) -> BTreeMap<String, Customer> {
    let divisor = if contract_lowered { 2 } else { 1 };
    let contract = Customer {
        rate_mreq_per_s: scope.rate_mreq_per_s / divisor,
        burst_mreq: scope.burst_mreq / divisor,
        weight: 1,
    };
    BTreeMap::from([(CUSTOMER.to_string(), contract)])
}

/// Settings of the quota. The faults that concern margins and holds are applied here.
fn settings(scope: &LoanScope, index: usize, starts: u8) -> QuotaSettings {
    let mut settings = QuotaSettings::new(format!("{index}.{starts}"));
    settings.loan_term_ms = TERM_TICKS * TICK_MS;
    settings.dispatch_deadline_ms = DEADLINE_TICKS * TICK_MS;
    settings.clock_margin_ms = MARGIN_TICKS * TICK_MS;
    settings.loan_interval_ms = 0;
    match scope.fault {
        Some(LoanFault::NoHold) => {
            settings.clock_margin_ms = 0;
            settings.dispatch_deadline_ms = 0;
        }
        // Instance 1 is the lender. A shorter term there leaves the time for which tokens are
        // held unchanged.
        Some(LoanFault::NoClockMargin) if index == 1 => {
            settings.loan_term_ms -= MARGIN_TICKS * TICK_MS;
        }
        Some(LoanFault::NoMargin) if index == 1 => {
            settings.loan_term_ms -= (MARGIN_TICKS + DEADLINE_TICKS) * TICK_MS;
        }
        _ => {}
    }
    settings
}
