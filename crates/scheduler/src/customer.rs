//! State that the scheduler keeps for each customer.

use std::collections::BTreeMap;

use jayreel_model::Configuration;
use slotmap::SlotMap;

use crate::policy::CustomerId;

/// Name, weight and quota state of a customer.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRecord {
    pub name: String,
    pub weight: u32,
    /// Whether the last attempt to take quota failed.
    over_rate: bool,
    /// Time of the last successful attempt to take quota.
    quota_taken_at_ms: Option<u64>,
}

impl CustomerRecord {
    /// Records a successful attempt to take quota.
    pub fn record_quota_taken(&mut self, now_ms: u64) {
        self.over_rate = false;
        self.quota_taken_at_ms = Some(now_ms);
    }

    /// Records a failed attempt to take quota. Returns whether the customer was within its
    /// rate until now. A success at the same time `now_ms` is not counted as being within
    /// the rate: a customer above its rate gets single requests through again and again.
    pub fn record_exhausted(&mut self, now_ms: u64) -> bool {
        let was_over_rate = self.over_rate || self.quota_taken_at_ms == Some(now_ms);
        self.over_rate = true;
        !was_over_rate
    }
}

/// All customers that any configuration since process start has contained.
#[derive(Clone, Debug, Default)]
pub(crate) struct Customers {
    records: SlotMap<CustomerId, CustomerRecord>,
    by_name: BTreeMap<String, CustomerId>,
}

impl Customers {
    /// Adds new customers and updates weights. Deleted customers are kept, since their calls
    /// may still be running.
    pub fn configure(&mut self, configuration: &Configuration) {
        for (name, customer) in &configuration.customers {
            match self.by_name.get(name) {
                Some(id) => self.records[*id].weight = customer.weight,
                None => {
                    let id = self.records.insert(CustomerRecord {
                        name: name.clone(),
                        weight: customer.weight,
                        over_rate: false,
                        quota_taken_at_ms: None,
                    });
                    self.by_name.insert(name.clone(), id);
                }
            }
        }
    }

    pub fn find(&self, name: &str) -> Option<CustomerId> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, id: CustomerId) -> Option<&str> {
        self.records.get(id).map(|record| record.name.as_str())
    }

    pub fn get_mut(&mut self, id: CustomerId) -> Option<&mut CustomerRecord> {
        self.records.get_mut(id)
    }

    /// Fair-share weight of a customer. All calls on open routes together have the weight 1.
    pub fn weight(&self, id: CustomerId) -> u32 {
        self.records.get(id).map_or(1, |record| record.weight)
    }
}
