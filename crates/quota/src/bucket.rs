//! A token bucket with exact integer arithmetic.
//!
//! Amounts are in picorequests (10^-12 of a request). A rate in thousandths of a request
//! per second, times a weight in parts per million, times a number of milliseconds has
//! exactly this unit, so nothing is rounded.

use std::collections::VecDeque;

pub(crate) const PREQ_PER_REQUEST: u128 = 1_000_000_000_000;
pub(crate) const PREQ_PER_MREQ: u128 = 1_000_000_000;

/// The token bucket of one customer at one instance. One token allows one request.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Bucket {
    /// Available tokens. Together with one token for each hold they are at most
    /// `capacity_preq`, except right after the capacity was lowered, when this is 0.
    tokens_preq: u128,
    capacity_preq: u128,
    rate_preq_per_ms: u128,
    /// The times at which calls were taken that are not sent yet, oldest first. Each
    /// occupies one token of capacity. Otherwise calls that are sent late could be
    /// followed by a full bucket of refilled tokens, which would exceed the burst.
    holds: VecDeque<u64>,
    updated_ms: u64,
}

impl Bucket {
    pub fn tokens_preq(&self) -> u128 {
        self.tokens_preq
    }

    pub fn capacity_preq(&self) -> u128 {
        self.capacity_preq
    }

    pub fn updated_ms(&self) -> u64 {
        self.updated_ms
    }

    /// The capacity that calls occupy that are not sent yet.
    pub fn held_preq(&self) -> u128 {
        self.holds.len() as u128 * PREQ_PER_REQUEST
    }

    /// Whether the calls that are not sent yet fit into the capacity. They may not after
    /// it was lowered.
    pub fn holds_fit_capacity(&self) -> bool {
        self.held_preq() <= self.capacity_preq
    }

    /// When the oldest call was taken that is not sent yet.
    pub fn oldest_hold_ms(&self) -> Option<u64> {
        self.holds.front().copied()
    }

    /// Adds the tokens that accrued since the last update.
    pub fn accrue(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.tokens_preq += self.rate_preq_per_ms * u128::from(elapsed_ms);
        self.clamp_tokens();
    }

    /// Changes rate and capacity. Tokens beyond the new capacity are lost.
    pub fn set_share(&mut self, rate_preq_per_ms: u128, capacity_preq: u128) {
        self.rate_preq_per_ms = rate_preq_per_ms;
        self.capacity_preq = capacity_preq;
        self.clamp_tokens();
    }

    /// Adds tokens that were not accrued here, up to the capacity.
    pub fn add(&mut self, preq: u128) {
        self.tokens_preq += preq;
        self.clamp_tokens();
    }

    /// Removes tokens that are to be used by another instance. There must be enough of
    /// them.
    pub fn remove(&mut self, preq: u128) {
        debug_assert!(preq <= self.tokens_preq);
        self.tokens_preq -= preq;
    }

    /// Takes the token for one call and adds a hold for it. Returns false if there is
    /// less than one token.
    pub fn take(&mut self, now_ms: u64) -> bool {
        if self.tokens_preq < PREQ_PER_REQUEST {
            return false;
        }
        self.tokens_preq -= PREQ_PER_REQUEST;
        self.holds.push_back(now_ms);
        true
    }

    /// Ends the hold of a call that was taken at `taken_at_ms`. Returns false if it has
    /// already expired.
    pub fn end_hold(&mut self, taken_at_ms: u64) -> bool {
        match self.holds.iter().position(|&at_ms| at_ms == taken_at_ms) {
            Some(position) => self.holds.remove(position).is_some(),
            None => false,
        }
    }

    /// Ends the hold of a call that will never be sent and restores its token. If the
    /// hold has expired the token is lost, because another token may have accrued in its
    /// place.
    pub fn give_back(&mut self, taken_at_ms: u64) {
        if self.end_hold(taken_at_ms) {
            self.add(PREQ_PER_REQUEST);
        }
    }

    /// Ends the holds of calls that were taken at or before `until_ms`.
    pub fn expire_holds(&mut self, until_ms: u64) {
        while self.holds.front().is_some_and(|&at_ms| at_ms <= until_ms) {
            self.holds.pop_front();
        }
    }

    /// Time until one token is available, provided that the share does not change. `None`
    /// if rate or capacity are too small for that ever to happen.
    pub fn wait_ms(&self) -> Option<u64> {
        if self.capacity_preq < PREQ_PER_REQUEST || self.rate_preq_per_ms == 0 {
            return None;
        }
        let missing_preq = PREQ_PER_REQUEST.saturating_sub(self.tokens_preq);
        let wait_ms = missing_preq.div_ceil(self.rate_preq_per_ms);
        Some(u64::try_from(wait_ms).unwrap_or(u64::MAX))
    }

    /// Limits the tokens to the capacity that holds leave free.
    fn clamp_tokens(&mut self) {
        let room_preq = self.capacity_preq.saturating_sub(self.held_preq());
        self.tokens_preq = self.tokens_preq.min(room_preq);
    }
}
