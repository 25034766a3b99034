//! The quota of one customer at one instance: its contract, share, loans and token
//! bucket.

use jayreel_model::Customer;

use crate::WHOLE_PPM;
use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::home::HomeSchedule;
use crate::loan::LoanId;

/// A loan received from another instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct BorrowedLoan {
    pub id: LoanId,
    /// Incarnation of the lender.
    pub lender: String,
    pub weight_ppm: u32,
    /// End of the loan term, which starts when the request was sent.
    pub ends_ms: u64,
}

/// A loan given to another instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LentLoan {
    pub id: LoanId,
    pub weight_ppm: u32,
    pub tokens_mreq: u64,
    /// When the lender may use the weight again. Starts from the grant and includes the
    /// margins of [`crate::QuotaSettings::lent_ms`].
    pub ends_ms: u64,
}

/// A loan request that was sent and may still get a response.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PendingRequest {
    pub sequence: u64,
    pub sent_ms: u64,
}

/// The quota of one customer at this instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct CustomerQuota {
    pub name: String,
    /// The contract's rate, in thousandths of a request per second. 0 once the customer
    /// was removed.
    pub rate_mreq_per_s: u64,
    /// The contract's burst, in thousandths of a request. 0 once the customer was
    /// removed.
    pub burst_mreq: u64,
    /// Cleared when the customer is removed from the configuration. The entry then stays
    /// until its loans have ended, because a customer that is added again must not use
    /// what is still lent.
    pub active: bool,
    pub bucket: Bucket,
    pub demand: Demand,
    /// The home weight in effect.
    pub home_ppm: u32,
    pub borrowed: Vec<BorrowedLoan>,
    pub lent: Vec<LentLoan>,
    pub pending_requests: Vec<PendingRequest>,
    /// Loan requests since the last loan was received.
    pub attempts: u32,
    /// Earliest time of the next loan request.
    pub next_request_ms: u64,
}

impl CustomerQuota {
    pub fn new(name: &str, now_ms: u64) -> CustomerQuota {
        let mut bucket = Bucket::default();
        bucket.accrue(now_ms);
        CustomerQuota {
            name: name.to_string(),
            rate_mreq_per_s: 0,
            burst_mreq: 0,
            active: true,
            bucket,
            demand: Demand::default(),
            home_ppm: 0,
            borrowed: Vec::new(),
            lent: Vec::new(),
            pending_requests: Vec::new(),
            attempts: 0,
            next_request_ms: 0,
        }
    }

    /// Sets the contract. Shares and loans are fractions of it and change with it.
    pub fn set_contract(&mut self, contract: &Customer) {
        self.rate_mreq_per_s = contract.rate_mreq_per_s;
        self.burst_mreq = contract.burst_mreq;
        self.active = true;
        self.update_share();
    }

    /// Ends the contract of a customer that was removed from the configuration.
    pub fn retire(&mut self) {
        self.rate_mreq_per_s = 0;
        self.burst_mreq = 0;
        self.active = false;
        self.update_share();
    }

    /// Whether the customer was removed and all its loans have ended, so that the entry
    /// can be dropped.
    pub fn is_unused(&self) -> bool {
        !self.active && self.lent.is_empty() && self.borrowed.is_empty()
    }

    pub fn lent_ppm(&self) -> u32 {
        self.lent.iter().map(|loan| loan.weight_ppm).sum()
    }

    pub fn borrowed_ppm(&self) -> u32 {
        self.borrowed.iter().map(|loan| loan.weight_ppm).sum()
    }

    /// The part of the home weight that is not lent to other instances.
    pub fn own_ppm(&self) -> u32 {
        self.home_ppm.saturating_sub(self.lent_ppm())
    }

    /// The weight of the share: home weight less loans given plus loans received.
    pub fn weight_ppm(&self) -> u32 {
        self.own_ppm() + self.borrowed_ppm()
    }

    /// Whether the home weight covers everything that is lent or about to be sent. It may
    /// not after it was reduced.
    pub fn is_within_home_weight(&self) -> bool {
        self.lent_ppm() <= self.home_ppm && self.bucket.holds_fit_capacity()
    }

    /// The rate that a weight gives, in picorequests per millisecond.
    fn rate_preq_per_ms(&self, weight_ppm: u32) -> u128 {
        u128::from(self.rate_mreq_per_s) * u128::from(weight_ppm)
    }

    /// The bucket capacity that a weight gives, in picorequests.
    pub fn capacity_preq(&self, weight_ppm: u32) -> u128 {
        u128::from(self.burst_mreq) * u128::from(weight_ppm) * 1_000
    }

    /// The smallest weight that gives more than this capacity. More than the whole
    /// contract if no weight does.
    pub fn weight_for_capacity(&self, mreq: u64) -> u32 {
        let whole = u128::from(WHOLE_PPM);
        let weight = u128::from(mreq) * whole;
        let weight = weight.checked_div(u128::from(self.burst_mreq));
        let weight = weight.map_or(whole, |weight| weight.min(whole));
        u32::try_from(weight).unwrap_or(WHOLE_PPM).saturating_add(1)
    }

    /// The smallest weight that gives at least this rate, at most the whole contract.
    pub fn weight_for_rate(&self, mreq_per_s: u64) -> u32 {
        let weight = u128::from(mreq_per_s) * u128::from(WHOLE_PPM);
        let weight = weight.div_ceil(u128::from(self.rate_mreq_per_s.max(1)));
        u32::try_from(weight).unwrap_or(u32::MAX).min(WHOLE_PPM)
    }

    /// Sets the bucket's rate and capacity according to contract, home weight and loans.
    pub fn update_share(&mut self) {
        let weight_ppm = self.weight_ppm();
        let rate_preq_per_ms = self.rate_preq_per_ms(weight_ppm);
        self.bucket
            .set_share(rate_preq_per_ms, self.capacity_preq(weight_ppm));
    }

    /// Brings the quota up to `now_ms`. Each change of the share that lies in between
    /// takes effect at its own time, even if the process was paused meanwhile.
    pub fn advance(&mut self, now_ms: u64, home: &HomeSchedule, hold_ms: u64) {
        while let Some(at_ms) = self.next_change_ms(home, hold_ms) {
            if at_ms > now_ms {
                break;
            }
            self.step_to(at_ms, home, hold_ms);
        }
        self.step_to(now_ms, home, hold_ms);
    }

    /// The next time after the last update at which the share changes or a hold expires.
    fn next_change_ms(&self, home: &HomeSchedule, hold_ms: u64) -> Option<u64> {
        let updated_ms = self.bucket.updated_ms();
        let hold_ends_ms = self.bucket.oldest_hold_ms().map(|at_ms| at_ms + hold_ms);
        let borrowed = self.borrowed.iter().map(|loan| loan.ends_ms);
        let lent = self.lent.iter().map(|loan| loan.ends_ms);
        borrowed
            .chain(lent)
            .chain(hold_ends_ms)
            .chain(home.next_change_ms(updated_ms))
            .filter(|&at_ms| at_ms > updated_ms)
            .min()
    }

    /// Accrues tokens with the present share up to `at_ms` and then applies the changes
    /// of that time.
    fn step_to(&mut self, at_ms: u64, home: &HomeSchedule, hold_ms: u64) {
        self.bucket.accrue(at_ms);
        let at_ms = self.bucket.updated_ms();
        if let Some(until_ms) = at_ms.checked_sub(hold_ms) {
            self.bucket.expire_holds(until_ms);
        }
        self.borrowed.retain(|loan| at_ms < loan.ends_ms);
        self.lent.retain(|loan| at_ms < loan.ends_ms);
        self.home_ppm = home.weight_at(at_ms);
        self.update_share();
    }
}
