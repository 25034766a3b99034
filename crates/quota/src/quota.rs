//! The quota of one instance.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use jayreel_model::Customer;
use slotmap::SlotMap;

use crate::home::Home;
use crate::ledger::Ledger;
use crate::settings::QuotaSettings;

slotmap::new_key_type! {
    /// Names one customer of a [`Quota`]. Valid while the customer is configured.
    pub struct QuotaKey;
}

/// The outcome of [`Quota::take`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Take {
    /// The call may be sent. Follow with [`Quota::sent`] or [`Quota::give_back`].
    Taken,
    /// The customer's share at this instance is used up.
    Short {
        /// Time until the share suffices for one call without a loan. `None` if it never
        /// does.
        wait_ms: Option<u64>,
    },
}

/// What an instance holds of one customer's contract, for status pages and checks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Home weight in force.
    pub home_ppm: u32,
    /// Weight lent to peers.
    pub lent_ppm: u32,
    /// Weight borrowed from peers.
    pub borrowed_ppm: u32,
    /// Available tokens, in thousandths of a request, rounded down.
    pub tokens_mreq: u64,
}

/// Shares, buckets and loans of all customers at one instance.
#[derive(Clone, Debug)]
pub struct Quota {
    pub(crate) settings: QuotaSettings,
    pub(crate) home: Home,
    pub(crate) ledgers: SlotMap<QuotaKey, Ledger>,
    pub(crate) by_name: BTreeMap<String, QuotaKey>,
    pub(crate) next_sequence: u64,
    /// Set on a planned stop. Nothing is lent or borrowed any more.
    pub(crate) stopping: bool,
}

impl Quota {
    /// A quota without customers and with home weight 0.
    pub fn new(settings: QuotaSettings) -> Quota {
        Quota {
            settings,
            home: Home::default(),
            ledgers: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            next_sequence: 0,
            stopping: false,
        }
    }

    /// Applies the contracts of a configuration. Buckets of new customers start empty;
    /// customers that are absent lose their ledger key.
    pub fn set_customers(&mut self, now_ms: u64, customers: &BTreeMap<String, Customer>) {
        self.advance_all(now_ms);
        for ledger in self.ledgers.values_mut() {
            match customers.get(&ledger.customer) {
                Some(contract) => ledger.set_contract(contract),
                None => ledger.retire(),
            }
        }
        for (name, contract) in customers {
            if !self.by_name.contains_key(name) {
                self.add_customer(now_ms, name, contract);
            }
        }
        self.drop_unused();
    }

    fn add_customer(&mut self, now_ms: u64, name: &str, contract: &Customer) {
        let mut ledger = Ledger::new(name, now_ms);
        ledger.home_ppm = self.home.weight_at(now_ms);
        ledger.set_contract(contract);
        let key = self.ledgers.insert(ledger);
        self.by_name.insert(name.to_string(), key);
    }

    /// Sets the home weight after it was read from the store, or lowers it before the
    /// smaller one is written. The weight may be used until `valid_until_ms`: the home
    /// term, counted from the moment the last successful registration renewal was sent.
    ///
    /// A decrease counts at once. An increase counts one loan term plus margin later,
    /// because an earlier holder of the weight (also an earlier process of this instance)
    /// may have lent parts of it just before it ended.
    pub fn set_home_weight(&mut self, now_ms: u64, weight_ppm: u32, valid_until_ms: u64) {
        self.set_settled_home_weight(now_ms, weight_ppm, 0, valid_until_ms);
    }

    /// Like [`Quota::set_home_weight`], with a part of the weight that no earlier holder can
    /// still have lent. An increase counts at once up to this part.
    pub fn set_settled_home_weight(
        &mut self,
        now_ms: u64,
        weight_ppm: u32,
        settled_ppm: u32,
        valid_until_ms: u64,
    ) {
        self.advance_all(now_ms);
        let delay_ms = self.settings.lent_ms();
        self.home
            .set(now_ms, weight_ppm, settled_ppm, valid_until_ms, delay_ms);
        self.advance_all(now_ms);
    }

    /// Extends the validity of the home weight after a successful registration renewal.
    /// Returns false if the validity has ended since the last renewal. The weight is then
    /// 0, the record must be read again before the next plan, and
    /// [`crate::home_weights::HomeView::last_write_on`] must become `None`: another instance
    /// may have reclaimed the weight, or may be about to.
    pub fn renew_home(&mut self, now_ms: u64, valid_until_ms: u64) -> bool {
        self.home.renew(now_ms, valid_until_ms)
    }

    /// The home weight as last set, 0 after its validity has ended. Increases that do not
    /// count yet are included.
    pub fn home_weight_ppm(&mut self, now_ms: u64) -> u32 {
        self.home.forget_if_lapsed(now_ms);
        self.home.target_ppm()
    }

    /// The home weight that counts now.
    pub fn home_in_force_ppm(&self, now_ms: u64) -> u32 {
        self.home.weight_at(now_ms)
    }

    /// Whether nothing beyond the home weight is lent or about to be sent, so that a
    /// reduced weight may be written to the store.
    pub fn is_within_home_weight(&mut self, now_ms: u64) -> bool {
        self.advance_all(now_ms);
        self.ledgers.values().all(Ledger::is_settled)
    }

    /// The key of a configured customer.
    pub fn quota_key(&self, customer: &str) -> Option<QuotaKey> {
        let key = *self.by_name.get(customer)?;
        self.ledgers
            .get(key)
            .filter(|ledger| ledger.active)
            .map(|_| key)
    }

    /// Takes one request from the customer's bucket. Call it when the decision to send
    /// the call is made, not earlier: the dispatch deadline counts from here.
    pub fn take(&mut self, now_ms: u64, key: QuotaKey) -> Take {
        let Some(ledger) = self.advance(now_ms, key) else {
            return Take::Short { wait_ms: None };
        };
        if ledger.bucket.take(now_ms) {
            ledger.demand.record_taken(now_ms);
            return Take::Taken;
        }
        ledger.demand.record_short(now_ms);
        let wait_ms = ledger.bucket.wait_ms();
        Take::Short { wait_ms }
    }

    /// Records that the first byte of a call was sent that was taken at `taken_at_ms`, the
    /// `now_ms` of its [`Quota::take`]. Until then the call occupies its place in the
    /// bucket, at most for the dispatch deadline plus margin.
    pub fn sent(&mut self, now_ms: u64, key: QuotaKey, taken_at_ms: u64) {
        if let Some(ledger) = self.advance(now_ms, key) {
            ledger.bucket.end_hold(taken_at_ms);
        }
    }

    /// Restores the token of a call that was taken at `taken_at_ms` and will never be
    /// sent. The token is lost if the dispatch deadline plus margin has passed since.
    pub fn give_back(&mut self, now_ms: u64, key: QuotaKey, taken_at_ms: u64) {
        if let Some(ledger) = self.advance(now_ms, key) {
            ledger.bucket.give_back(taken_at_ms);
        }
    }

    /// What this instance holds of a customer's contract.
    pub fn share(&mut self, now_ms: u64, key: QuotaKey) -> Option<Share> {
        let ledger = self.advance(now_ms, key)?;
        let tokens_mreq = ledger.bucket.tokens_preq() / crate::bucket::PREQ_PER_MREQ;
        Some(Share {
            home_ppm: ledger.home_ppm,
            lent_ppm: ledger.lent_ppm(),
            borrowed_ppm: ledger.borrowed_ppm(),
            tokens_mreq: u64::try_from(tokens_mreq).unwrap_or(u64::MAX),
        })
    }

    /// Ends loans, holds and the home weight whose time is over. All other transitions do
    /// this for the customer that they concern; call it now and then for the rest.
    pub fn expire(&mut self, now_ms: u64) {
        self.advance_all(now_ms);
        self.home.forget_if_lapsed(now_ms);
        self.drop_unused();
    }

    pub(crate) fn advance(&mut self, now_ms: u64, key: QuotaKey) -> Option<&mut Ledger> {
        let ledger = self.ledgers.get_mut(key)?;
        ledger.advance(now_ms, &self.home, self.settings.hold_ms());
        Some(ledger)
    }

    pub(crate) fn advance_all(&mut self, now_ms: u64) {
        let hold_ms = self.settings.hold_ms();
        for ledger in self.ledgers.values_mut() {
            ledger.advance(now_ms, &self.home, hold_ms);
        }
    }

    fn drop_unused(&mut self) {
        self.ledgers.retain(|_, ledger| !ledger.is_unused());
        let ledgers = &self.ledgers;
        self.by_name.retain(|_, key| ledgers.contains_key(*key));
    }
}

/// Quotas are equal if they behave equally from now on.
impl PartialEq for Quota {
    fn eq(&self, other: &Quota) -> bool {
        self.settings == other.settings
            && self.home == other.home
            && self.next_sequence == other.next_sequence
            && self.stopping == other.stopping
            && self.ledgers.iter().eq(other.ledgers.iter())
    }
}

impl Eq for Quota {}

impl Hash for Quota {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.home.hash(state);
        self.next_sequence.hash(state);
        self.stopping.hash(state);
        for entry in &self.ledgers {
            entry.hash(state);
        }
    }
}
