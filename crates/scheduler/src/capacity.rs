//! Free capacity: the endpoints to which this instance may send another call now.

use std::collections::BTreeMap;

use jayreel_model::EndpointState;
use rand::rngs::SmallRng;

use crate::endpoint::{EndpointKey, EndpointRecord};
use crate::fleet::{BORROW_PERIOD_MS, Fleet, SpareSlots};
use crate::group::{Group, GroupKey};
use crate::scheduler::Scheduler;

/// Capacity of the active endpoints of a group, in the order of their names.
#[derive(Clone, Debug)]
pub(crate) struct GroupCapacity {
    pub endpoints: Vec<EndpointCapacity>,
}

/// Capacity of one active endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointCapacity {
    pub endpoint: EndpointKey,
    /// Whether this instance may send another call there.
    pub has_capacity: bool,
    /// Estimated number of calls of all instances at the endpoint.
    pub outstanding: u32,
    /// Whether this instance uses less than its guaranteed slots.
    guaranteed_slot_free: bool,
}

impl GroupCapacity {
    pub fn has_any(&self) -> bool {
        self.endpoints.iter().any(|entry| entry.has_capacity)
    }

    /// Allows calls to endpoints that seem full but where this instance uses less than its
    /// guaranteed slots. Other instances have borrowed slots there.
    fn allow_guaranteed_slots(&mut self) {
        for entry in &mut self.endpoints {
            entry.has_capacity = entry.guaranteed_slot_free;
        }
    }
}

impl Scheduler {
    /// Determines the capacity of a group for further calls of this instance.
    pub(crate) fn group_capacity(
        &mut self,
        now_ms: u64,
        group_key: GroupKey,
    ) -> GroupCapacity {
        let mut endpoints = Vec::new();
        for key in &self.groups[group_key].endpoints {
            let record = &mut self.endpoints[*key];
            if record.is_active() {
                endpoints.push(EndpointCapacity {
                    endpoint: *key,
                    has_capacity: has_capacity(now_ms, record, self.fleet, &mut self.rng),
                    outstanding: record.load.outstanding(now_ms),
                    guaranteed_slot_free: record.load.own_in_flight()
                        < record.guaranteed_slots,
                });
            }
        }
        let mut capacity = GroupCapacity { endpoints };
        if !capacity.has_any() {
            capacity.allow_guaranteed_slots();
        }
        capacity
    }

    /// Recomputes the guaranteed slots of this instance at all endpoints. The slots of a
    /// group's endpoints that serve the same models are divided together, so that every
    /// instance gets a slot for each model.
    pub(crate) fn update_guaranteed_slots(&mut self) {
        for group in self.groups.values() {
            let mut by_models: BTreeMap<&[String], Vec<EndpointKey>> = BTreeMap::new();
            for key in &group.endpoints {
                let record = &self.endpoints[*key].configuration;
                if record.state == EndpointState::Active {
                    by_models.entry(&record.models).or_default().push(*key);
                }
            }
            let same_models: Vec<Vec<EndpointKey>> = by_models.into_values().collect();
            for keys in same_models {
                let slots: Vec<u32> = keys
                    .iter()
                    .map(|key| self.endpoints[*key].slots())
                    .collect();
                for (key, guaranteed) in
                    keys.iter().zip(self.fleet.guaranteed_slots(&slots))
                {
                    self.endpoints[*key].guaranteed_slots = guaranteed;
                }
            }
        }
    }

    /// Returns the number of slots in a group that this instance may count on (the higher of
    /// its guaranteed slots and the slots it uses now) and the number of slots it uses now.
    pub(crate) fn usable_slots(&self, group: &Group) -> (u32, u32) {
        let active = group
            .endpoints
            .iter()
            .map(|key| &self.endpoints[*key])
            .filter(|record| record.is_active());
        let (guaranteed, own) = active.fold((0, 0), |(guaranteed, own), record| {
            (
                guaranteed + record.guaranteed_slots,
                own + record.load.own_in_flight(),
            )
        });
        (guaranteed.max(own), own)
    }
}

/// Whether this instance may send another call to an active endpoint: the endpoint has a free
/// slot according to the load estimate, and this instance either has a guaranteed slot left
/// or may borrow one.
fn has_capacity(
    now_ms: u64,
    record: &mut EndpointRecord,
    fleet: Fleet,
    rng: &mut SmallRng,
) -> bool {
    let own = record.load.own_in_flight();
    // The estimate includes the calls of this instance.
    let outstanding = record.load.outstanding(now_ms);
    if own < record.guaranteed_slots {
        return outstanding < record.slots();
    }
    let Some(age_ms) = record.load.report_age_ms(now_ms) else {
        return false;
    };
    let since_ms = now_ms.saturating_sub(BORROW_PERIOD_MS);
    let spare = SpareSlots {
        slots: record.slots().saturating_sub(outstanding),
        age_ms,
        borrowed: own - record.guaranteed_slots,
        recently_borrowed: record.load.max_own_since(since_ms) - record.guaranteed_slots,
    };
    !fleet.is_alone() && record.borrowing.may_borrow(now_ms, fleet, spare, rng)
}
