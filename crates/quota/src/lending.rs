//! Loans between instances.

use crate::WHOLE_PPM;
use crate::bucket::{PREQ_PER_MREQ, PREQ_PER_REQUEST};
use crate::ledger::{Asked, Borrowed, Ledger, Lent};
use crate::loan::{LoanGrant, LoanId, LoanRequest, LoanReturn};
use crate::quota::{Quota, QuotaKey};

/// A lender keeps this part of its own share even without demand, so that its first call
/// is not always short.
const IDLE_RESERVE_DIVISOR: u32 = 20;

/// A lender keeps its demand plus one part in this many.
const DEMAND_RESERVE_DIVISOR: u32 = 4;

/// A lender in full use evens out only differences above its share divided by this, so
/// that two busy instances do not exchange small loans.
const EVEN_OUT_DIVISOR: u32 = 8;

/// A loan is returned this long before its term ends. Longer than the time between two
/// ticks of an instance, which is 50 ms.
const RETURN_LEAD_MS: u64 = 100;

/// A borrower asks for capacity for at least this many requests.
const MIN_CAPACITY_MREQ: u64 = 2_000;

impl Quota {
    /// A request to send to one peer, or `None` if the bucket is not short, or it is too
    /// early for another request. Requests go to peers in turn, own zone first.
    pub fn loan_request(&mut self, now_ms: u64, key: QuotaKey) -> Option<LoanRequest> {
        let id = LoanId {
            borrower: self.settings.incarnation.clone(),
            sequence: self.next_sequence,
        };
        if self.stopping {
            return None;
        }
        let interval = self.settings.clone();
        let ledger = self.advance(now_ms, key)?;
        if !ledger.active || !ledger.demand.is_short(now_ms) {
            return None;
        }
        if ledger.bucket.tokens_preq() >= PREQ_PER_REQUEST {
            return None;
        }
        if now_ms < ledger.next_request_ms {
            return None;
        }
        ledger
            .asked
            .retain(|asked| now_ms < asked.sent_ms + interval.loan_term_ms);
        ledger.asked.push(Asked {
            sequence: id.sequence,
            sent_ms: now_ms,
        });
        let doublings = ledger.attempts / interval.loan_attempts_per_step.max(1);
        let wait_ms = interval.loan_interval_ms << doublings.min(16);
        ledger.next_request_ms = now_ms + wait_ms.min(interval.loan_interval_max_ms);
        ledger.attempts = ledger.attempts.saturating_add(1);
        let request = request(ledger, now_ms, id);
        self.next_sequence += 1;
        Some(request)
    }

    /// Answers a peer's request. What is granted is no longer used here until the loan
    /// term plus margin has passed, or the loan is returned.
    pub fn lend(&mut self, now_ms: u64, request: &LoanRequest) -> LoanGrant {
        let mut grant = LoanGrant {
            id: request.id.clone(),
            customer: request.customer.clone(),
            lender: self.settings.incarnation.clone(),
            weight_ppm: 0,
            tokens_mreq: 0,
        };
        let ends_ms = now_ms + self.settings.lent_ms();
        if self.stopping || request.id.borrower == self.settings.incarnation {
            return grant;
        }
        let Some(key) = self.quota_key(&request.customer) else {
            return grant;
        };
        let Some(ledger) = self.advance(now_ms, key) else {
            return grant;
        };
        if let Some(lent) = ledger.lent.iter().find(|lent| lent.id == request.id) {
            grant.weight_ppm = lent.weight_ppm;
            grant.tokens_mreq = lent.tokens_mreq;
            return grant;
        }
        let (weight_ppm, tokens_mreq) = spare(ledger, now_ms, request);
        if weight_ppm == 0 {
            return grant;
        }
        grant.weight_ppm = weight_ppm;
        grant.tokens_mreq = tokens_mreq;
        let id = request.id.clone();
        ledger.lent.push(Lent {
            id,
            weight_ppm,
            tokens_mreq,
            ends_ms,
        });
        ledger
            .bucket
            .remove(u128::from(tokens_mreq) * PREQ_PER_MREQ);
        ledger.update_share();
        grant
    }

    /// Takes up a grant. Returns false if it is empty, late, unknown or a duplicate.
    pub fn receive(&mut self, now_ms: u64, grant: LoanGrant) -> bool {
        if self.stopping || grant.id.borrower != self.settings.incarnation {
            return false;
        }
        let term_ms = self.settings.loan_term_ms;
        let Some(key) = self.quota_key(&grant.customer) else {
            return false;
        };
        let Some(ledger) = self.advance(now_ms, key) else {
            return false;
        };
        let sequence = grant.id.sequence;
        let position = ledger
            .asked
            .iter()
            .position(|asked| asked.sequence == sequence);
        let Some(position) = position else {
            return false;
        };
        let ends_ms = ledger.asked.remove(position).sent_ms + term_ms;
        if now_ms >= ends_ms || grant.weight_ppm == 0 {
            return false;
        }
        ledger.attempts = 0;
        ledger.borrowed.push(Borrowed {
            id: grant.id,
            lender: grant.lender,
            weight_ppm: grant.weight_ppm.min(WHOLE_PPM),
            ends_ms,
        });
        ledger.update_share();
        add_tokens(ledger, grant.weight_ppm, grant.tokens_mreq);
        true
    }

    /// Begins or continues a planned stop: nothing is lent or borrowed from now on, and
    /// the loans that are no longer needed are returned. Call it until
    /// [`Quota::has_loans`] is false.
    pub fn return_loans(&mut self, now_ms: u64) -> Vec<LoanReturn> {
        self.stopping = true;
        self.advance_all(now_ms);
        let mut returns = Vec::new();
        for ledger in self.ledgers.values_mut() {
            ledger.asked.clear();
            return_loans(ledger, &mut returns, |_| true);
        }
        returns
    }

    /// Returns the loans whose term is about to end. The lender has them back at once
    /// instead of after its margin, which would waste a part of each loan.
    pub fn return_expiring_loans(&mut self, now_ms: u64) -> Vec<LoanReturn> {
        self.advance_all(now_ms);
        let mut returns = Vec::new();
        for ledger in self.ledgers.values_mut() {
            return_loans(ledger, &mut returns, |loan| {
                loan.ends_ms <= now_ms + RETURN_LEAD_MS
            });
        }
        returns
    }

    /// Whether loans from peers are in use.
    pub fn has_loans(&mut self, now_ms: u64) -> bool {
        self.advance_all(now_ms);
        self.ledgers
            .values()
            .any(|ledger| !ledger.borrowed.is_empty())
    }

    /// Takes back a loan that a peer returned before its term. Returns false if the loan
    /// is not known: its term has ended, or the message is a duplicate.
    pub fn accept_return(&mut self, now_ms: u64, returned: &LoanReturn) -> bool {
        let Some(key) = self.by_name.get(&returned.customer).copied() else {
            return false;
        };
        let Some(ledger) = self.advance(now_ms, key) else {
            return false;
        };
        let position = ledger.lent.iter().position(|lent| lent.id == returned.id);
        let Some(position) = position else {
            return false;
        };
        let lent = ledger.lent.remove(position);
        ledger.update_share();
        add_tokens(ledger, lent.weight_ppm, returned.tokens_mreq);
        true
    }
}

/// Adds tokens that moved with a loan, at most the capacity of the loan. The other side may
/// have counted them under a larger contract.
fn add_tokens(ledger: &mut Ledger, weight_ppm: u32, tokens_mreq: u64) {
    let tokens_preq = u128::from(tokens_mreq) * PREQ_PER_MREQ;
    let capacity_preq = ledger.capacity_preq(weight_ppm);
    ledger.bucket.add(tokens_preq.min(capacity_preq));
}

/// Asks to double the weight, and for enough capacity for a call.
fn request(ledger: &mut Ledger, now_ms: u64, id: LoanId) -> LoanRequest {
    let weight_ppm = ledger.weight_ppm();
    let floor_ppm = ledger.weight_for_capacity(MIN_CAPACITY_MREQ);
    let demand_mreq_per_s = ledger.demand.rate_mreq_per_s(now_ms);
    let demand_ppm = ledger.weight_for_rate(demand_mreq_per_s.saturating_mul(2));
    let aim_ppm = floor_ppm.max(demand_ppm).max(weight_ppm.saturating_mul(2));
    let missing_preq = PREQ_PER_REQUEST.saturating_sub(ledger.bucket.tokens_preq());
    let missing_mreq = missing_preq.div_ceil(PREQ_PER_MREQ);
    LoanRequest {
        id,
        customer: ledger.customer.clone(),
        weight_ppm,
        wanted_ppm: aim_ppm.min(WHOLE_PPM).saturating_sub(weight_ppm),
        wanted_tokens_mreq: u64::try_from(missing_mreq).unwrap_or(u64::MAX),
    }
}

/// What a lender can spare: weight, and tokens in thousandths of a request.
fn spare(ledger: &mut Ledger, now_ms: u64, request: &LoanRequest) -> (u32, u64) {
    let own_ppm = ledger.own_ppm();
    let spare_ppm = own_ppm.saturating_sub(needed_ppm(ledger, now_ms));
    let even_ppm = even_out_ppm(ledger, request.weight_ppm);
    let free_ppm = unheld_ppm(ledger);
    let weight_ppm = spare_ppm
        .max(even_ppm)
        .min(free_ppm)
        .min(request.wanted_ppm);
    if weight_ppm == 0 {
        return (0, 0);
    }
    let tokens_preq = ledger.bucket.tokens_preq();
    let part = tokens_preq * u128::from(weight_ppm) / u128::from(ledger.weight_ppm());
    let wanted = match weight_ppm <= spare_ppm {
        true => u128::from(request.wanted_tokens_mreq) * PREQ_PER_MREQ,
        false => 0,
    };
    let capacity_preq = ledger.capacity_preq(weight_ppm);
    let tokens_preq = part.max(wanted).min(tokens_preq).min(capacity_preq);
    let tokens_mreq = tokens_preq / PREQ_PER_MREQ;
    (weight_ppm, u64::try_from(tokens_mreq).unwrap_or(u64::MAX))
}

/// The part of its own weight that the lender needs for its own calls.
fn needed_ppm(ledger: &mut Ledger, now_ms: u64) -> u32 {
    let own_ppm = ledger.own_ppm();
    if ledger.demand.is_short(now_ms) {
        return own_ppm;
    }
    let demand_mreq_per_s = ledger.demand.rate_mreq_per_s(now_ms);
    let demand_ppm = ledger.weight_for_rate(demand_mreq_per_s);
    let with_reserve_ppm = demand_ppm.saturating_add(demand_ppm / DEMAND_RESERVE_DIVISOR);
    let needed_ppm = with_reserve_ppm.saturating_sub(ledger.borrowed_ppm());
    needed_ppm.max(own_ppm / IDLE_RESERVE_DIVISOR)
}

/// Half of what the lender has more than the borrower.
fn even_out_ppm(ledger: &Ledger, borrower_ppm: u32) -> u32 {
    let weight_ppm = ledger.weight_ppm();
    let difference_ppm = weight_ppm.saturating_sub(borrower_ppm);
    match difference_ppm > weight_ppm / EVEN_OUT_DIVISOR {
        true => (difference_ppm / 2).min(ledger.own_ppm()),
        false => 0,
    }
}

/// The part of its own weight whose capacity is not occupied by calls about to be sent.
fn unheld_ppm(ledger: &Ledger) -> u32 {
    let held_mreq = ledger.bucket.held_preq() / PREQ_PER_MREQ;
    if held_mreq == 0 {
        return ledger.own_ppm();
    }
    let held_mreq = u64::try_from(held_mreq).unwrap_or(u64::MAX);
    let held_ppm = ledger.weight_for_capacity(held_mreq);
    ledger
        .weight_ppm()
        .saturating_sub(held_ppm)
        .min(ledger.own_ppm())
}

/// Returns the loans that are `due` and whose capacity is not occupied by calls about to
/// be sent.
fn return_loans(
    ledger: &mut Ledger,
    returns: &mut Vec<LoanReturn>,
    is_due: impl Fn(&Borrowed) -> bool,
) {
    for index in (0..ledger.borrowed.len()).rev() {
        let loan = &ledger.borrowed[index];
        let loan_preq = ledger.capacity_preq(loan.weight_ppm);
        let rest_preq = ledger.bucket.capacity_preq().saturating_sub(loan_preq);
        if !is_due(loan) || ledger.bucket.held_preq() > rest_preq {
            continue;
        }
        let tokens_preq = ledger.bucket.tokens_preq().min(loan_preq);
        let tokens_mreq = tokens_preq / PREQ_PER_MREQ;
        ledger.bucket.remove(tokens_mreq * PREQ_PER_MREQ);
        let loan = ledger.borrowed.remove(index);
        ledger.update_share();
        returns.push(LoanReturn {
            id: loan.id,
            customer: ledger.customer.clone(),
            lender: loan.lender,
            tokens_mreq: u64::try_from(tokens_mreq).unwrap_or(u64::MAX),
        });
    }
}
