//! Division of endpoint slots between the instances of the fleet.
//!
//! Instances share endpoints without coordinating each call. Each instance has a guaranteed
//! number of slots at each endpoint. Beyond that it borrows slots that load reports show as
//! free.

use rand::RngExt;
use rand::rngs::SmallRng;

/// Interval at which the limit of borrowed slots of an endpoint is updated.
pub(crate) const BORROW_PERIOD_MS: u64 = 250;

/// Size of the fleet and position of this instance in it, from the membership view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    /// Number of live instances, including this one. At least 1.
    live_instances: u32,
    /// Index of this instance among the live ones.
    position: u32,
}

impl Fleet {
    pub fn new(live_instances: u32, position: u32) -> Fleet {
        let live_instances = live_instances.max(1);
        Fleet {
            live_instances,
            position: position.min(live_instances - 1),
        }
    }

    /// Whether no other instance is live.
    pub fn is_alone(&self) -> bool {
        self.live_instances == 1
    }

    /// Number of guaranteed slots of this instance at each of the endpoints, which have
    /// `slots` slots.
    ///
    /// The slots of all endpoints are numbered consecutively and assigned to the instances
    /// round-robin, so that the guaranteed slots of all instances add up to the slots of
    /// each endpoint. If there are fewer slots than instances, an instance without a slot
    /// shares one with another instance, so that none starves.
    pub fn guaranteed_slots(&self, slots: &[u32]) -> Vec<u32> {
        let mut first = 0;
        let mut guaranteed = Vec::with_capacity(slots.len());
        for slots in slots {
            guaranteed.push(self.assigned(first + slots) - self.assigned(first));
            first += slots;
        }
        if guaranteed.iter().all(|slots| *slots == 0) {
            let endpoint_count = guaranteed.len().max(1);
            let shared = self.position as usize % endpoint_count;
            guaranteed
                .iter_mut()
                .skip(shared)
                .take(1)
                .for_each(|slots| *slots = 1);
        }
        guaranteed
    }

    /// Number of the first `slots` slots that are assigned to this instance.
    fn assigned(&self, slots: u32) -> u32 {
        (slots + self.live_instances - 1 - self.position) / self.live_instances
    }

    /// Number of spare slots that this instance may borrow in one period, given a load
    /// report of this age. Rounded up or down at random, so that the expected value is
    /// exact.
    ///
    /// No instance sees what the others have borrowed since the report was made. The share
    /// is therefore divided by the number of instances and by the number of periods in the
    /// age of the report, so that all instances together borrow on average as many slots
    /// as were spare.
    fn spare_share(&self, spare: u32, age_ms: u64, rng: &mut SmallRng) -> u32 {
        let periods_ms = age_ms.max(BORROW_PERIOD_MS) * u64::from(self.live_instances);
        let share_ms = u64::from(spare) * BORROW_PERIOD_MS;
        let extra = rng.random_range(0..periods_ms) < share_ms % periods_ms;
        (share_ms / periods_ms) as u32 + u32::from(extra)
    }
}

/// Slots of an endpoint beyond the guaranteed ones of this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpareSlots {
    /// Number of free slots, from the last load report and the own calls since then.
    pub slots: u32,
    /// Age of that load report.
    pub age_ms: u64,
    /// Number of slots that this instance uses beyond its guaranteed ones.
    pub borrowed: u32,
    /// Maximum of `borrowed` within the last `BORROW_PERIOD_MS`. Includes slots whose call
    /// has ended since.
    pub recently_borrowed: u32,
}

/// Limits the slots of one endpoint that this instance uses beyond its guaranteed ones.
///
/// A borrowed slot may be reused for the next call as long as its endpoint is not full. If
/// another instance takes the slot back, this instance loses it when its call ends.
///
/// The limit is kept per endpoint. With one limit for the whole group, all instances moved
/// their borrowed slots to the few endpoints that reports showed as free, and as many calls
/// waited in the engines as ran there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Borrowing {
    /// Maximum number of borrowed slots until the next update.
    limit: u32,
    next_update_at_ms: u64,
}

impl Borrowing {
    /// Whether this instance may borrow one more slot now. Updates the limit once per
    /// `BORROW_PERIOD_MS`.
    pub fn may_borrow(
        &mut self,
        now_ms: u64,
        fleet: Fleet,
        spare: SpareSlots,
        rng: &mut SmallRng,
    ) -> bool {
        if now_ms >= self.next_update_at_ms {
            let share = fleet.spare_share(spare.slots, spare.age_ms, rng);
            self.limit = spare.recently_borrowed + share;
            self.next_update_at_ms = now_ms + BORROW_PERIOD_MS;
        }
        spare.borrowed < self.limit && spare.slots > 0
    }
}
