//! The shares of all customers' contracts that one instance holds.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use jayreel_model::Customer;
use slotmap::SlotMap;

use crate::customer_quota::CustomerQuota;
use crate::home::HomeSchedule;
use crate::settings::QuotaSettings;

slotmap::new_key_type! {
    /// Identifies a customer within a [`Quota`]. Valid while the customer is configured.
    pub struct QuotaKey;
}

/// The outcome of [`Quota::take`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Take {
    /// The call may be sent. Report its outcome with [`Quota::sent`] or
    /// [`Quota::give_back`].
    Taken,
    /// There is less than one token in the customer's bucket at this instance.
    Short {
        /// Time until there is a token for one call without a loan. `None` if there will
        /// never be one.
        wait_ms: Option<u64>,
    },
}

/// An instance's share of one customer's contract, for status pages and checks. Weights
/// are in parts per million of the contract.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Home weight in effect.
    pub home_ppm: u32,
    /// Weight lent to peers.
    pub lent_ppm: u32,
    /// Weight borrowed from peers.
    pub borrowed_ppm: u32,
    /// Available tokens, in thousandths of a request, rounded down.
    pub tokens_mreq: u64,
}

/// The home weight of one instance, and the shares, buckets and loans of all customers
/// there.
#[derive(Clone, Debug)]
pub struct Quota {
    pub(crate) settings: QuotaSettings,
    pub(crate) home: HomeSchedule,
    pub(crate) customers: SlotMap<QuotaKey, CustomerQuota>,
    pub(crate) by_name: BTreeMap<String, QuotaKey>,
    pub(crate) next_sequence: u64,
    /// Set on a planned stop. Nothing is lent or borrowed from then on.
    pub(crate) stopping: bool,
}

impl Quota {
    /// Creates a quota without customers and with a home weight of 0.
    pub fn new(settings: QuotaSettings) -> Quota {
        Quota {
            settings,
            home: HomeSchedule::default(),
            customers: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            next_sequence: 0,
            stopping: false,
        }
    }

    /// Applies the contracts of a configuration. Buckets of new customers start empty.
    /// Customers that are absent lose their [`QuotaKey`].
    pub fn set_customers(&mut self, now_ms: u64, customers: &BTreeMap<String, Customer>) {
        self.advance_all(now_ms);
        for customer in self.customers.values_mut() {
            match customers.get(&customer.name) {
                Some(contract) => customer.set_contract(contract),
                None => customer.retire(),
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
        let mut customer = CustomerQuota::new(name, now_ms);
        customer.home_ppm = self.home.weight_at(now_ms);
        customer.set_contract(contract);
        let key = self.customers.insert(customer);
        self.by_name.insert(name.to_string(), key);
    }

    /// Sets the home weight after it was read from the store, or lowers it before the
    /// smaller one is written. The weight may be used until `valid_until_ms`, which is
    /// one home term after the last successful registration renewal was sent.
    ///
    /// A decrease takes effect at once. An increase takes effect one loan term plus
    /// margins later, because an earlier holder of the weight, such as an earlier process
    /// of this instance, may have lent parts of it just before it ended.
    pub fn set_home_weight(&mut self, now_ms: u64, weight_ppm: u32, valid_until_ms: u64) {
        self.set_settled_home_weight(now_ms, weight_ppm, 0, valid_until_ms);
    }

    /// Like [`Quota::set_home_weight`], but an increase takes effect at once up to
    /// `settled_ppm`: the part of the weight that no earlier holder can still have lent.
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
    /// Returns false if the validity ended since the last renewal. The weight is then 0,
    /// because another instance may have reclaimed it or be about to. Before the next
    /// plan the record must be read again, and
    /// [`crate::home_weights::HomeView::last_write_on`] must be set to `None`.
    pub fn renew_home(&mut self, now_ms: u64, valid_until_ms: u64) -> bool {
        self.home.renew(now_ms, valid_until_ms)
    }

    /// The home weight as last set, with increases that have not taken effect yet. 0
    /// after its validity has ended.
    pub fn home_weight_ppm(&mut self, now_ms: u64) -> u32 {
        self.home.clear_if_expired(now_ms);
        self.home.target_ppm()
    }

    /// The home weight in effect now.
    pub fn home_in_force_ppm(&self, now_ms: u64) -> u32 {
        self.home.weight_at(now_ms)
    }

    /// Whether the home weight covers everything that is lent or about to be sent, so
    /// that a reduced weight may be written to the store.
    pub fn is_within_home_weight(&mut self, now_ms: u64) -> bool {
        self.advance_all(now_ms);
        self.customers
            .values()
            .all(CustomerQuota::is_within_home_weight)
    }

    /// The key of a customer. `None` if it is not configured.
    pub fn quota_key(&self, customer: &str) -> Option<QuotaKey> {
        let key = *self.by_name.get(customer)?;
        self.customers
            .get(key)
            .filter(|customer| customer.active)
            .map(|_| key)
    }

    /// Takes the token for one call from the customer's bucket. Call it when the decision
    /// to send the call is made, not earlier, because the dispatch deadline counts from
    /// here.
    pub fn take(&mut self, now_ms: u64, key: QuotaKey) -> Take {
        let Some(customer) = self.advance(now_ms, key) else {
            return Take::Short { wait_ms: None };
        };
        if customer.bucket.take(now_ms) {
            customer.demand.record_taken(now_ms);
            return Take::Taken;
        }
        customer.demand.record_shortage(now_ms);
        let wait_ms = customer.bucket.wait_ms();
        Take::Short { wait_ms }
    }

    /// Records that the first byte of a call was sent. `taken_at_ms` is the `now_ms` of
    /// its [`Quota::take`]. Until then the call occupies capacity of the bucket, but no
    /// longer than the dispatch deadline plus the clock margin.
    pub fn sent(&mut self, now_ms: u64, key: QuotaKey, taken_at_ms: u64) {
        if let Some(customer) = self.advance(now_ms, key) {
            customer.bucket.end_hold(taken_at_ms);
        }
    }

    /// Restores the token of a call that was taken at `taken_at_ms` and will never be
    /// sent. The token is lost if the dispatch deadline plus the clock margin has passed
    /// since.
    pub fn give_back(&mut self, now_ms: u64, key: QuotaKey, taken_at_ms: u64) {
        if let Some(customer) = self.advance(now_ms, key) {
            customer.bucket.give_back(taken_at_ms);
        }
    }

    /// This instance's share of a customer's contract.
    pub fn share(&mut self, now_ms: u64, key: QuotaKey) -> Option<Share> {
        let customer = self.advance(now_ms, key)?;
        let tokens_mreq = customer.bucket.tokens_preq() / crate::bucket::PREQ_PER_MREQ;
        Some(Share {
            home_ppm: customer.home_ppm,
            lent_ppm: customer.lent_ppm(),
            borrowed_ppm: customer.borrowed_ppm(),
            tokens_mreq: u64::try_from(tokens_mreq).unwrap_or(u64::MAX),
        })
    }

    /// Ends loans, holds and the home weight whose time is over. The other methods do
    /// this only for the customer that they concern, so call this at intervals for the
    /// rest.
    pub fn expire(&mut self, now_ms: u64) {
        self.advance_all(now_ms);
        self.home.clear_if_expired(now_ms);
        self.drop_unused();
    }

    /// Brings one customer up to `now_ms`.
    pub(crate) fn advance(
        &mut self,
        now_ms: u64,
        key: QuotaKey,
    ) -> Option<&mut CustomerQuota> {
        let customer = self.customers.get_mut(key)?;
        customer.advance(now_ms, &self.home, self.settings.hold_ms());
        Some(customer)
    }

    pub(crate) fn advance_all(&mut self, now_ms: u64) {
        let hold_ms = self.settings.hold_ms();
        for customer in self.customers.values_mut() {
            customer.advance(now_ms, &self.home, hold_ms);
        }
    }

    fn drop_unused(&mut self) {
        self.customers.retain(|_, customer| !customer.is_unused());
        let customers = &self.customers;
        self.by_name.retain(|_, key| customers.contains_key(*key));
    }
}

/// Quotas are equal if they behave the same from now on.
impl PartialEq for Quota {
    fn eq(&self, other: &Quota) -> bool {
        self.settings == other.settings
            && self.home == other.home
            && self.next_sequence == other.next_sequence
            && self.stopping == other.stopping
            && self.customers.iter().eq(other.customers.iter())
    }
}

impl Eq for Quota {}

impl Hash for Quota {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.home.hash(state);
        self.next_sequence.hash(state);
        self.stopping.hash(state);
        for entry in &self.customers {
            entry.hash(state);
        }
    }
}
