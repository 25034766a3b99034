//! Endpoint groups and their call queues.

use std::collections::BTreeMap;

use slotmap::new_key_type;

use crate::call::CallKey;
use crate::endpoint::EndpointKey;
use crate::policy::{CustomerId, FairnessPolicy, PlacementPolicy};

new_key_type! {
    /// Key of a group in `Scheduler::groups`.
    pub(crate) struct GroupKey;
}

/// Weight of the previous mean in an exponentially weighted mean, in eighths.
const PREVIOUS_WEIGHT_EIGHTHS: u64 = 7;

/// A group of endpoints that share a queue.
#[derive(Debug)]
pub(crate) struct Group {
    pub name: String,
    /// Endpoints of the group, sorted by name.
    pub endpoints: Vec<EndpointKey>,
    pub queue: Queue,
    pub fairness: Box<dyn FairnessPolicy>,
    pub placement: Box<dyn PlacementPolicy>,
    /// Mean time that a completed call occupied its slot, in milliseconds.
    pub service_ms: MovingMean,
    /// Mean number of tokens that a completed call generated.
    pub generated_tokens: MovingMean,
}

impl Group {
    /// The flow (sub-queue) that holds a customer's calls: one per customer, or a common one
    /// if the fairness policy does not separate customers.
    pub fn flow(&self, customer: Option<CustomerId>) -> CustomerId {
        match self.fairness.separates_customers() {
            true => customer.unwrap_or_default(),
            false => CustomerId::default(),
        }
    }
}

/// Waiting calls by flow. Empty flows are removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    flows: BTreeMap<CustomerId, Vec<CallKey>>,
    len: usize,
}

impl Queue {
    pub fn push(&mut self, flow: CustomerId, call: CallKey) {
        self.flows.entry(flow).or_default().push(call);
        self.len += 1;
    }

    pub fn remove(&mut self, flow: CustomerId, call: CallKey) {
        let Some(calls) = self.flows.get_mut(&flow) else {
            return;
        };
        let before = calls.len();
        calls.retain(|waiting| *waiting != call);
        self.len -= before - calls.len();
        if calls.is_empty() {
            self.flows.remove(&flow);
        }
    }

    /// Number of waiting calls in all flows.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn flow_len(&self, flow: CustomerId) -> usize {
        self.flows.get(&flow).map_or(0, Vec::len)
    }

    pub fn flows(&self) -> impl Iterator<Item = CustomerId> {
        self.flows.keys().copied()
    }

    /// Waiting calls of a flow, in the order in which they were queued.
    pub fn calls(&self, flow: CustomerId) -> &[CallKey] {
        self.flows.get(&flow).map_or(&[], Vec::as_slice)
    }
}

/// An exponentially weighted moving mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    mean: Option<u64>,
}

impl MovingMean {
    pub fn record(&mut self, sample: u64) {
        self.mean = Some(match self.mean {
            None => sample,
            Some(mean) => (mean * PREVIOUS_WEIGHT_EIGHTHS + sample)
                .div_ceil(PREVIOUS_WEIGHT_EIGHTHS + 1),
        });
    }

    /// The current mean. `None` before the first sample.
    pub fn get(&self) -> Option<u64> {
        self.mean
    }
}
