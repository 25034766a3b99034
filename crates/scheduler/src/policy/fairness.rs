//! Fairness policies: which customer of an endpoint group is served next.

use std::collections::BTreeMap;
use std::fmt::Debug;

use super::CustomerId;

/// Virtual time per unit of cost at weight 1. Keeps the integer division by the weight
/// precise for large weights.
const VIRTUAL_SCALE: u64 = 1_000;

/// Number of customers with a finish tag above which the tags of idle customers are dropped.
const MAX_FINISH_TAGS: usize = 256;

/// Divides the capacity of an endpoint group between customers. One instance per group.
///
/// Costs are in tenths of weighted tokens, see [`crate::cost`].
pub trait FairnessPolicy: Debug + Send {
    /// Whether each customer gets a separate queue.
    fn separates_customers(&self) -> bool;

    /// Start tag of the customer's next call. The customer with the lowest tag is served
    /// first.
    fn tag(&self, customer: CustomerId) -> u64;

    /// Charges the customer with the estimated cost of a dispatched call. `lowest_tag` is
    /// the lowest tag among the customers that had a call which could have been dispatched.
    /// It is the customer's own tag unless the placement policy held earlier calls back.
    fn charge(
        &mut self,
        customer: CustomerId,
        weight: u32,
        estimate: u64,
        lowest_tag: u64,
    );

    /// Replaces the estimated cost of a charged call by its actual cost.
    fn settle(&mut self, customer: CustomerId, weight: u32, estimate: u64, actual: u64);
}

/// Baseline: all customers share one queue, without regard to their weights.
#[derive(Clone, Copy, Debug)]
pub struct NoFairness;

impl FairnessPolicy for NoFairness {
    fn separates_customers(&self) -> bool {
        false
    }

    fn tag(&self, _customer: CustomerId) -> u64 {
        0
    }

    fn charge(
        &mut self,
        _customer: CustomerId,
        _weight: u32,
        _estimate: u64,
        _lowest_tag: u64,
    ) {
    }

    fn settle(
        &mut self,
        _customer: CustomerId,
        _weight: u32,
        _estimate: u64,
        _actual: u64,
    ) {
    }
}

/// Start-time fair queueing.
///
/// An idle customer accumulates no credit: its next call starts at the current virtual
/// time. The policy is work-conserving: any customer with waiting calls may be served, so
/// fairness alone never leaves a slot idle.
#[derive(Clone, Debug, Default)]
pub struct StartTimeFairQueueing {
    /// Lowest start tag among the servable customers at the last dispatch. Never decreases.
    /// The start tag of the dispatched call itself is not used, because it is too high when
    /// the placement policy holds calls of other customers back: their tags would rise to
    /// it, and they would lose their advantage over customers that already got more than
    /// their share.
    virtual_time: u64,
    /// Finish tag of the last charged call of each customer. A tag at or below the virtual
    /// time has no effect and may be dropped.
    finish_tags: BTreeMap<CustomerId, u64>,
}

impl FairnessPolicy for StartTimeFairQueueing {
    fn separates_customers(&self) -> bool {
        true
    }

    fn tag(&self, customer: CustomerId) -> u64 {
        let finish = self.finish_tags.get(&customer).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }

    fn charge(
        &mut self,
        customer: CustomerId,
        weight: u32,
        estimate: u64,
        lowest_tag: u64,
    ) {
        let start = self.tag(customer);
        self.virtual_time = self.virtual_time.max(lowest_tag.min(start));
        let finish = start.saturating_add(virtual_cost(estimate, weight));
        self.finish_tags.insert(customer, finish);
        if self.finish_tags.len() > MAX_FINISH_TAGS {
            let now = self.virtual_time;
            self.finish_tags.retain(|_, finish| *finish > now);
        }
    }

    fn settle(&mut self, customer: CustomerId, weight: u32, estimate: u64, actual: u64) {
        let finish = self
            .finish_tags
            .entry(customer)
            .or_insert(self.virtual_time);
        *finish = finish
            .saturating_add(virtual_cost(actual, weight))
            .saturating_sub(virtual_cost(estimate, weight));
    }
}

/// Virtual time that a cost takes at a weight.
fn virtual_cost(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(VIRTUAL_SCALE) / u64::from(weight.max(1))
}
