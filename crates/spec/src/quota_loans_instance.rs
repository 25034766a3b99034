//! Model of loans between instances: one instance.

use std::collections::BTreeMap;
use std::rc::Rc;

use jayreel_model::Customer;
use jayreel_quota::{LoanRequest, Quota, QuotaKey, QuotaSettings, Take};

use crate::quota_loans::{
    DEADLINE_TICKS, LoanFault, LoanScope, MARGIN_TICKS, TERM_TICKS, TICK_MS,
};

const CUSTOMER: &str = "c";

/// Clocks of instances start this far apart, because they are never compared.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

/// Time before the first tick in which home weights come into use and buckets fill.
const WARM_UP_MS: u64 = 900_000;

/// One instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Instance {
    pub now_ms: u64,
    /// The time of the last event here. Only with [`LoanFault::StaleClock`], else 0.
    pub seen_ms: u64,
    pub stale: bool,
    pub starts: u8,
    pub quota: Rc<Quota>,
    /// Times of taken calls that are neither sent nor given back.
    pub unsent_ms: Vec<u64>,
    pub lowered: bool,
    pub stopping: bool,
    pub seen: Seen,
}

/// What follows from the quota at the instance's time. Kept to save time.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Seen {
    pub weight_ppm: u32,
    pub can_take: bool,
    pub has_loans: bool,
}

impl Instance {
    pub fn new(scope: &LoanScope, index: usize) -> Instance {
        let mut instance = Instance {
            now_ms: CLOCK_OFFSET_MS * (index as u64 + 1),
            seen_ms: 0,
            stale: scope.fault == Some(LoanFault::StaleClock),
            starts: 0,
            quota: Rc::new(Quota::new(settings(scope, index, 0))),
            unsent_ms: Vec::new(),
            lowered: false,
            stopping: false,
            seen: Seen::default(),
        };
        instance.set_up(scope, index, instance.now_ms);
        instance.now_ms += WARM_UP_MS;
        let now_ms = instance.now_ms;
        instance.quota_mut().expire(now_ms);
        instance.look();
        instance
    }

    pub fn set_up(&mut self, scope: &LoanScope, index: usize, at_ms: u64) {
        let customers = customers(scope, self.lowered);
        let quota = self.quota_mut();
        quota.set_customers(at_ms, &customers);
        quota.set_home_weight(at_ms, scope.weights_ppm[index], u64::MAX);
    }

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

    pub fn is_same(&self, before: &Instance) -> bool {
        Rc::ptr_eq(&self.quota, &before.quota) && self.now_ms == before.now_ms
    }

    pub fn look(&mut self) {
        let mut quota = (*self.quota).clone();
        let can_take = quota.take(self.take_ms(), self.key()) == Take::Taken;
        let share = quota.share(self.now_ms, self.key()).expect("configured");
        let own_ppm = share.home_ppm.saturating_sub(share.lent_ppm);
        self.seen = Seen {
            weight_ppm: own_ppm + share.borrowed_ppm,
            can_take,
            has_loans: share.borrowed_ppm > 0,
        };
    }

    pub fn ask(&mut self) -> Option<LoanRequest> {
        let (now_ms, key) = (self.now_ms, self.key());
        let mut probe = (*self.quota).clone();
        if probe.take(now_ms, key) == Take::Taken {
            return None;
        }
        self.quota = Rc::new(probe);
        self.quota_mut().loan_request(now_ms, key)
    }

    pub fn lower(&mut self, scope: &LoanScope) {
        self.lowered = true;
        let now_ms = self.now_ms;
        let customers = customers(scope, true);
        self.quota_mut().set_customers(now_ms, &customers);
    }

    /// The time that a call sees when it takes a token.
    pub fn take_ms(&self) -> u64 {
        if self.stale {
            self.seen_ms
        } else {
            self.now_ms
        }
    }

    pub fn quota_mut(&mut self) -> &mut Quota {
        if self.stale {
            self.seen_ms = self.now_ms;
        }
        Rc::make_mut(&mut self.quota)
    }

    pub fn key(&self) -> QuotaKey {
        self.quota.quota_key(CUSTOMER).expect("configured")
    }
}

fn customers(scope: &LoanScope, lowered: bool) -> BTreeMap<String, Customer> {
    let divisor = if lowered { 2 } else { 1 };
    let contract = Customer {
        rate_mreq_per_s: scope.rate_mreq_per_s / divisor,
        burst_mreq: scope.burst_mreq / divisor,
        weight: 1,
    };
    BTreeMap::from([(CUSTOMER.to_string(), contract)])
}

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
        // A shorter term at the lender leaves the holds as they are.
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
