//! Lends and borrows parts of contracts between instances.
//!
//! An instance whose share of a customer's contract does not suffice asks its peers, one
//! at a time, for a part of theirs. A lender gives what it does not need for its own
//! calls, or half of the difference between its own and the borrower's weight if that is
//! more. A loan ends on its own after a fixed term, even if messages are lost.

use crate::WHOLE_PPM;
use crate::bucket::{PREQ_PER_MREQ, PREQ_PER_REQUEST};
use crate::customer_quota::{BorrowedLoan, CustomerQuota, LentLoan, PendingRequest};
use crate::loan::{LoanGrant, LoanId, LoanRequest, LoanReturn};
use crate::quota::{Quota, QuotaKey};

/// A lender without demand keeps its own share divided by this, so that its first call
/// does not always lack a token.
const IDLE_RESERVE_DIVISOR: u32 = 20;

/// A lender keeps its demand plus its demand divided by this.
const DEMAND_RESERVE_DIVISOR: u32 = 4;

/// A fully used lender balances weights with a borrower only if they differ by more than
/// its own weight divided by this, so that two busy instances do not exchange small
/// loans.
const BALANCING_DIVISOR: u32 = 8;

/// A loan is returned this long before the end of its term. Longer than the time between
/// two ticks of an instance, which is 50 ms.
const RETURN_LEAD_MS: u64 = 100;

/// A borrower asks for a capacity of more than this, in thousandths of a request.
const MIN_CAPACITY_MREQ: u64 = 2_000;

impl Quota {
    /// Returns a loan request to send to one peer. `None` if the customer's share
    /// suffices or it is too early for another request. Send the requests to peers in
    /// turn, those of the own zone first.
    pub fn loan_request(&mut self, now_ms: u64, key: QuotaKey) -> Option<LoanRequest> {
        let id = LoanId {
            borrower: self.settings.incarnation.clone(),
            sequence: self.next_sequence,
        };
        if self.stopping {
            return None;
        }
        let settings = self.settings.clone();
        let customer = self.advance(now_ms, key)?;
        if !customer.active || !customer.demand.had_recent_shortage(now_ms) {
            return None;
        }
        if customer.bucket.tokens_preq() >= PREQ_PER_REQUEST {
            return None;
        }
        if now_ms < customer.next_request_ms {
            return None;
        }
        customer
            .pending_requests
            .retain(|pending| now_ms < pending.sent_ms + settings.loan_term_ms);
        customer.pending_requests.push(PendingRequest {
            sequence: id.sequence,
            sent_ms: now_ms,
        });
        let doublings = customer.attempts / settings.loan_attempts_per_step.max(1);
        let wait_ms = settings.loan_interval_ms << doublings.min(16);
        customer.next_request_ms = now_ms + wait_ms.min(settings.loan_interval_max_ms);
        customer.attempts = customer.attempts.saturating_add(1);
        let request = build_request(customer, now_ms, id);
        self.next_sequence += 1;
        Some(request)
    }

    /// Responds to a peer's loan request. What is granted is not used here until the loan is
    /// returned, or its term plus margins has passed.
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
        let Some(customer) = self.advance(now_ms, key) else {
            return grant;
        };
        if let Some(lent) = customer.lent.iter().find(|lent| lent.id == request.id) {
            grant.weight_ppm = lent.weight_ppm;
            grant.tokens_mreq = lent.tokens_mreq;
            return grant;
        }
        let (weight_ppm, tokens_mreq) = spare_share(customer, now_ms, request);
        if weight_ppm == 0 {
            return grant;
        }
        grant.weight_ppm = weight_ppm;
        grant.tokens_mreq = tokens_mreq;
        let id = request.id.clone();
        customer.lent.push(LentLoan {
            id,
            weight_ppm,
            tokens_mreq,
            ends_ms,
        });
        customer
            .bucket
            .remove(u128::from(tokens_mreq) * PREQ_PER_MREQ);
        customer.update_share();
        grant
    }

    /// Adds a loan that was granted. Returns false if the grant is empty, late, a
    /// duplicate or does not belong to a pending request.
    pub fn receive(&mut self, now_ms: u64, grant: LoanGrant) -> bool {
        if self.stopping || grant.id.borrower != self.settings.incarnation {
            return false;
        }
        let term_ms = self.settings.loan_term_ms;
        let Some(key) = self.quota_key(&grant.customer) else {
            return false;
        };
        let Some(customer) = self.advance(now_ms, key) else {
            return false;
        };
        let sequence = grant.id.sequence;
        let position = customer
            .pending_requests
            .iter()
            .position(|pending| pending.sequence == sequence);
        let Some(position) = position else {
            return false;
        };
        let ends_ms = customer.pending_requests.remove(position).sent_ms + term_ms;
        if now_ms >= ends_ms || grant.weight_ppm == 0 {
            return false;
        }
        customer.attempts = 0;
        customer.borrowed.push(BorrowedLoan {
            id: grant.id,
            lender: grant.lender,
            weight_ppm: grant.weight_ppm.min(WHOLE_PPM),
            ends_ms,
        });
        customer.update_share();
        add_tokens(customer, grant.weight_ppm, grant.tokens_mreq);
        true
    }

    /// Begins or continues a planned stop: nothing is lent or borrowed from now on, and
    /// loans that are no longer needed are returned. Call it until [`Quota::has_loans`]
    /// is false.
    pub fn return_loans(&mut self, now_ms: u64) -> Vec<LoanReturn> {
        self.stopping = true;
        self.advance_all(now_ms);
        let mut returns = Vec::new();
        for customer in self.customers.values_mut() {
            customer.pending_requests.clear();
            return_loans(customer, &mut returns, |_| true);
        }
        returns
    }

    /// Returns the loans whose term is about to end. The lender can then use them at once
    /// instead of after its margins, during which that part of the contract would be
    /// unused.
    pub fn return_expiring_loans(&mut self, now_ms: u64) -> Vec<LoanReturn> {
        self.advance_all(now_ms);
        let mut returns = Vec::new();
        for customer in self.customers.values_mut() {
            return_loans(customer, &mut returns, |loan| {
                loan.ends_ms <= now_ms + RETURN_LEAD_MS
            });
        }
        returns
    }

    /// Whether this instance holds loans from peers.
    pub fn has_loans(&mut self, now_ms: u64) -> bool {
        self.advance_all(now_ms);
        self.customers
            .values()
            .any(|customer| !customer.borrowed.is_empty())
    }

    /// Ends a loan that a peer returned before the end of its term. Returns false if the
    /// loan is unknown, because its time is over or the message is a duplicate.
    pub fn accept_return(&mut self, now_ms: u64, returned: &LoanReturn) -> bool {
        let Some(key) = self.by_name.get(&returned.customer).copied() else {
            return false;
        };
        let Some(customer) = self.advance(now_ms, key) else {
            return false;
        };
        let position = customer.lent.iter().position(|lent| lent.id == returned.id);
        let Some(position) = position else {
            return false;
        };
        let lent = customer.lent.remove(position);
        customer.update_share();
        add_tokens(customer, lent.weight_ppm, returned.tokens_mreq);
        true
    }
}

/// Adds tokens that moved with a loan, at most the capacity of the loan: the other
/// instance may have counted them under a larger contract.
fn add_tokens(customer: &mut CustomerQuota, weight_ppm: u32, tokens_mreq: u64) {
    let tokens_preq = u128::from(tokens_mreq) * PREQ_PER_MREQ;
    let capacity_preq = customer.capacity_preq(weight_ppm);
    customer.bucket.add(tokens_preq.min(capacity_preq));
}

/// Builds a request that asks for the largest of twice the present weight, twice the
/// recent demand and [`MIN_CAPACITY_MREQ`], and for the tokens that the next call lacks.
fn build_request(customer: &mut CustomerQuota, now_ms: u64, id: LoanId) -> LoanRequest {
    let weight_ppm = customer.weight_ppm();
    let minimum_ppm = customer.weight_for_capacity(MIN_CAPACITY_MREQ);
    let demand_mreq_per_s = customer.demand.rate_mreq_per_s(now_ms);
    let demand_ppm = customer.weight_for_rate(demand_mreq_per_s.saturating_mul(2));
    let target_ppm = minimum_ppm
        .max(demand_ppm)
        .max(weight_ppm.saturating_mul(2));
    let missing_preq = PREQ_PER_REQUEST.saturating_sub(customer.bucket.tokens_preq());
    let missing_mreq = missing_preq.div_ceil(PREQ_PER_MREQ);
    LoanRequest {
        id,
        customer: customer.name.clone(),
        weight_ppm,
        wanted_ppm: target_ppm.min(WHOLE_PPM).saturating_sub(weight_ppm),
        wanted_tokens_mreq: u64::try_from(missing_mreq).unwrap_or(u64::MAX),
    }
}

/// What to lend for a request: weight in parts per million, and tokens in thousandths of
/// a request.
fn spare_share(
    customer: &mut CustomerQuota,
    now_ms: u64,
    request: &LoanRequest,
) -> (u32, u64) {
    let own_ppm = customer.own_ppm();
    let spare_ppm = own_ppm.saturating_sub(needed_ppm(customer, now_ms));
    let even_ppm = balancing_ppm(customer, request.weight_ppm);
    let free_ppm = unoccupied_ppm(customer);
    let weight_ppm = spare_ppm
        .max(even_ppm)
        .min(free_ppm)
        .min(request.wanted_ppm);
    if weight_ppm == 0 {
        return (0, 0);
    }
    let tokens_preq = customer.bucket.tokens_preq();
    let part = tokens_preq * u128::from(weight_ppm) / u128::from(customer.weight_ppm());
    let wanted = match weight_ppm <= spare_ppm {
        true => u128::from(request.wanted_tokens_mreq) * PREQ_PER_MREQ,
        false => 0,
    };
    let capacity_preq = customer.capacity_preq(weight_ppm);
    let tokens_preq = part.max(wanted).min(tokens_preq).min(capacity_preq);
    let tokens_mreq = tokens_preq / PREQ_PER_MREQ;
    (weight_ppm, u64::try_from(tokens_mreq).unwrap_or(u64::MAX))
}

/// The part of its own weight that the lender keeps for its own calls.
fn needed_ppm(customer: &mut CustomerQuota, now_ms: u64) -> u32 {
    let own_ppm = customer.own_ppm();
    if customer.demand.had_recent_shortage(now_ms) {
        return own_ppm;
    }
    let demand_mreq_per_s = customer.demand.rate_mreq_per_s(now_ms);
    let demand_ppm = customer.weight_for_rate(demand_mreq_per_s);
    let with_reserve_ppm = demand_ppm.saturating_add(demand_ppm / DEMAND_RESERVE_DIVISOR);
    let needed_ppm = with_reserve_ppm.saturating_sub(customer.borrowed_ppm());
    needed_ppm.max(own_ppm / IDLE_RESERVE_DIVISOR)
}

/// The weight that would make lender and borrower equal: half of their difference. 0 if
/// the difference is small.
fn balancing_ppm(customer: &CustomerQuota, borrower_ppm: u32) -> u32 {
    let weight_ppm = customer.weight_ppm();
    let difference_ppm = weight_ppm.saturating_sub(borrower_ppm);
    match difference_ppm > weight_ppm / BALANCING_DIVISOR {
        true => (difference_ppm / 2).min(customer.own_ppm()),
        false => 0,
    }
}

/// The part of its own weight whose capacity is not occupied by calls that are about to
/// be sent.
fn unoccupied_ppm(customer: &CustomerQuota) -> u32 {
    let held_mreq = customer.bucket.held_preq() / PREQ_PER_MREQ;
    if held_mreq == 0 {
        return customer.own_ppm();
    }
    let held_mreq = u64::try_from(held_mreq).unwrap_or(u64::MAX);
    let held_ppm = customer.weight_for_capacity(held_mreq);
    customer
        .weight_ppm()
        .saturating_sub(held_ppm)
        .min(customer.own_ppm())
}

/// Ends the loans for which `is_due` is true and whose capacity is not occupied by calls
/// that are about to be sent, and adds the messages for their lenders to `returns`.
fn return_loans(
    customer: &mut CustomerQuota,
    returns: &mut Vec<LoanReturn>,
    is_due: impl Fn(&BorrowedLoan) -> bool,
) {
    for index in (0..customer.borrowed.len()).rev() {
        let loan = &customer.borrowed[index];
        let loan_preq = customer.capacity_preq(loan.weight_ppm);
        let rest_preq = customer.bucket.capacity_preq().saturating_sub(loan_preq);
        if !is_due(loan) || customer.bucket.held_preq() > rest_preq {
            continue;
        }
        let tokens_preq = customer.bucket.tokens_preq().min(loan_preq);
        let tokens_mreq = tokens_preq / PREQ_PER_MREQ;
        customer.bucket.remove(tokens_mreq * PREQ_PER_MREQ);
        let loan = customer.borrowed.remove(index);
        customer.update_share();
        returns.push(LoanReturn {
            id: loan.id,
            customer: customer.name.clone(),
            lender: loan.lender,
            tokens_mreq: u64::try_from(tokens_mreq).unwrap_or(u64::MAX),
        });
    }
}
