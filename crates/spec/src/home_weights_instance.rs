//! Model of the home weight record: an instance and its quota.

use std::collections::BTreeMap;
use std::rc::Rc;

use jayreel_model::{Customer, Incarnation};
use jayreel_quota::home_weights::{
    AbsenceTracker, HomeOwner, HomeRecord, HomeStep, HomeView, plan,
};
use jayreel_quota::{LoanRequest, Quota, QuotaSettings};

use crate::home_weights::{
    HomeFault, HomeScope, LOAN_TICKS, MARGIN_TICKS, TERM_TICKS, TICK_MS,
};

const CUSTOMER: &str = "c";

/// Burst of the contract. A borrower requests a loan for the capacity of two calls, which
/// is 0.8 of the burst.
const BURST_MREQ: u64 = 2_500;

/// What an instance has read from the store in its last read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct View {
    pub record: HomeRecord,
    pub revision: u64,
    pub registered: BTreeMap<String, Incarnation>,
}

/// State of one instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Instance {
    pub owner: Rc<HomeOwner>,
    /// Time by the clock of this instance.
    pub now_ms: u64,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    pub quota: Rc<Quota>,
    /// What the instance read last. `None` before the first read, and after a lapse of the weight until the next read.
    pub view: Option<Rc<View>>,
    /// Revision of the record on which the last own write was based.
    pub last_write_on: Option<u64>,
    /// When the last renewal of the registration that got a response was sent.
    pub renewed_ms: Option<u64>,
    /// How long the registrations of other instances have been absent.
    pub absence: AbsenceTracker,
    /// Whether the instance waits for the response to a call to the store.
    pub awaits_response: bool,
    /// The home weight that is valid now, 0 if the process is dead. Cached.
    pub held_ppm: u32,
    /// The share of the customer's contract that the instance may use now: its home weight
    /// without what it has lent, plus what it has borrowed. 0 without loans. Cached.
    pub in_use_ppm: u32,
    /// Whether the instance has lent no more than its home weight. Cached.
    pub within_home_weight: bool,
}

/// Name of an instance, which also serves as its address.
pub(crate) fn name(index: usize) -> String {
    format!("i{index}")
}

/// The process of an instance with incarnation number `number`.
pub(crate) fn owner(index: usize, number: u64) -> HomeOwner {
    HomeOwner {
        incarnation: Incarnation {
            instance: name(index),
            number,
        },
        address: name(index),
    }
}

/// A tracker that lets a weight be reclaimed [`MARGIN_TICKS`] after its term.
fn absence(fault: Option<HomeFault>) -> AbsenceTracker {
    let margin_ticks = match fault {
        Some(HomeFault::ReclaimEarly) => 0,
        _ => MARGIN_TICKS,
    };
    AbsenceTracker::with_limits(TICK_MS, margin_ticks * TICK_MS)
}

/// A quota with one customer if there are loans, otherwise without customers. The contract
/// has a rate of 0, so that the states differ only in weights.
fn quota(owner: &HomeOwner, now_ms: u64, with_loans: bool) -> Quota {
    let mut settings = QuotaSettings::new(owner.incarnation.to_string());
    settings.loan_term_ms = u64::from(with_loans) * LOAN_TICKS * TICK_MS;
    settings.dispatch_deadline_ms = 0;
    settings.clock_margin_ms = 0;
    settings.loan_interval_ms = 0;
    settings.loan_interval_max_ms = 0;
    let mut quota = Quota::new(settings);
    if with_loans {
        let contract = Customer {
            rate_mreq_per_s: 0,
            burst_mreq: BURST_MREQ,
            weight: 1,
        };
        quota.set_customers(now_ms, &BTreeMap::from([(CUSTOMER.to_string(), contract)]));
    }
    quota
}

impl Instance {
    pub fn new(index: usize, number: u64, now_ms: u64, scope: &HomeScope) -> Instance {
        let owner = owner(index, number);
        Instance {
            quota: Rc::new(quota(&owner, now_ms, scope.loans > 0)),
            owner: Rc::new(owner),
            now_ms,
            alive: true,
            stopping: false,
            view: None,
            // The initial weights were written on the basis of revision 0.
            last_write_on: (number == 0).then_some(0),
            renewed_ms: None,
            absence: absence(scope.fault),
            awaits_response: false,
            held_ppm: 0,
            in_use_ppm: 0,
            within_home_weight: true,
        }
    }

    /// Updates the cached values, which depend on the quota and on the time.
    pub fn refresh_cached_usage(&mut self) {
        let mut quota = (*self.quota).clone();
        self.held_ppm = match self.alive {
            true => quota.home_weight_ppm(self.now_ms),
            false => 0,
        };
        let key = quota.quota_key(CUSTOMER).filter(|_| self.alive);
        let share = key.and_then(|key| quota.share(self.now_ms, key));
        self.in_use_ppm = share.map_or(0, |share| {
            share.home_ppm.saturating_sub(share.lent_ppm) + share.borrowed_ppm
        });
        self.within_home_weight = quota.is_within_home_weight(self.now_ms);
    }

    /// Whether the instance is stopping and has loans to return.
    pub fn has_loans(&self) -> bool {
        let has_loans = || (*self.quota).clone().has_loans(self.now_ms);
        self.alive && self.stopping && has_loans()
    }

    /// Requests a loan like an instance that lacks tokens for a call.
    pub fn request_loan(&mut self) -> Option<LoanRequest> {
        let now_ms = self.now_ms;
        let quota = Rc::make_mut(&mut self.quota);
        let key = quota.quota_key(CUSTOMER)?;
        quota.take(now_ms, key);
        quota.loan_request(now_ms, key)
    }

    /// The step that the instance plans from what it read last.
    pub fn next_step(&self, fault: Option<HomeFault>) -> HomeStep {
        let (Some(view), Some(_)) = (&self.view, self.renewed_ms) else {
            return HomeStep::Wait;
        };
        let term_ms = match fault {
            Some(HomeFault::ReclaimEarly) => 0,
            _ => TERM_TICKS * TICK_MS,
        };
        let last_write_on = match fault {
            Some(HomeFault::ForgetWriteWithoutResponse) => {
                let entry = view.record.weights.get(self.name());
                entry.map(|entry| entry.written_on)
            }
            _ => self.last_write_on,
        };
        plan(&HomeView {
            own: &self.owner,
            record: &view.record,
            revision: view.revision,
            last_write_on,
            live: &view.registered,
            reclaimable: &self.absence.reclaimable(term_ms),
            held_ppm: self.held_ppm,
            in_force_ppm: self.quota.home_in_force_ppm(self.now_ms),
            within_home_weight: self.within_home_weight
                || fault == Some(HomeFault::ReleaseWhileLent),
            stopping: self.stopping,
        })
    }

    /// Starts to use a home weight, which is valid for [`TERM_TICKS`] after the last renewal.
    pub fn use_weight(&mut self, weight_ppm: u32, settled_ppm: u32) {
        let Some(renewed_ms) = self.renewed_ms else {
            return;
        };
        let until_ms = renewed_ms + TERM_TICKS * TICK_MS;
        let now_ms = self.now_ms;
        Rc::make_mut(&mut self.quota).set_settled_home_weight(
            now_ms,
            weight_ppm,
            settled_ppm,
            until_ms,
        );
    }

    /// Falsifies the settled or released weight in a record that is about to be written, if
    /// one of these rules is broken.
    pub fn apply_record_fault(
        &self,
        before: &HomeRecord,
        after: &mut HomeRecord,
        fault: Option<HomeFault>,
    ) {
        let before_ppm = before.weight_ppm(self.name());
        let after_ppm = after.weight_ppm(self.name());
        match (fault, after.weights.get_mut(self.name())) {
            (Some(HomeFault::AdoptSettled), Some(entry)) => {
                entry.settled_ppm = entry.weight_ppm;
            }
            (Some(HomeFault::ReleaseUncounted), _) => {
                let reduced_ppm = before_ppm.saturating_sub(after_ppm);
                after.released_ppm = before.released_ppm + reduced_ppm;
            }
            _ => {}
        }
    }

    /// Extends the validity of the home weight after the response to a renewal that was sent at
    /// `sent_ms`.
    pub fn on_renewal_response(&mut self, sent_ms: u64, fault: Option<HomeFault>) {
        let held_ppm = match fault {
            Some(HomeFault::RenewAfterLapse) => {
                let record = self.view.as_ref().map(|view| &view.record);
                let own = record.and_then(|record| record.weights.get(self.name()));
                own.map_or(0, |entry| entry.weight_ppm)
            }
            _ => 0,
        };
        let until_ms = sent_ms + TERM_TICKS * TICK_MS;
        let now_ms = self.now_ms;
        let valid = Rc::make_mut(&mut self.quota).renew_home(now_ms, until_ms);
        self.renewed_ms = self.renewed_ms.max(Some(sent_ms));
        if held_ppm > 0 {
            self.use_weight(held_ppm, 0);
        } else if !valid {
            self.on_weight_lapse(fault);
        }
    }

    /// Forgets what must not be used after the home weight has lapsed.
    fn on_weight_lapse(&mut self, fault: Option<HomeFault>) {
        if fault != Some(HomeFault::StaleReadAfterLapse) {
            self.view = None;
        }
        if fault != Some(HomeFault::NoRewriteAfterLapse) {
            self.last_write_on = None;
        }
    }

    pub fn name(&self) -> &str {
        &self.owner.incarnation.instance
    }
}
