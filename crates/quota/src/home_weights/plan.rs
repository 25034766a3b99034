//! Plans how an instance changes its home weight, so that the live instances share each
//! contract evenly.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::Incarnation;

use crate::WHOLE_PPM;
use crate::home_weights::{HomeRecord, HomeWeight};

/// An instance below this percentage of its target takes from the unassigned weight.
const TAKE_BELOW_PERCENT: u64 = 87;

/// For an instance below this percentage of its target, another one gives up weight.
const DONATE_BELOW_PERCENT: u64 = 80;

/// An instance that gives up weight keeps this percentage of its target. With
/// [`TAKE_BELOW_PERCENT`] or little more, each such instance would write again as soon as
/// the next instance leaves.
const DONOR_KEEPS_PERCENT: u64 = 90;

/// Increases smaller than the target divided by this are not written.
const MIN_CHANGE_DIVISOR: u32 = 20;

/// If no instance is below [`TAKE_BELOW_PERCENT`] of its target, unassigned weight above
/// the target divided by this goes to the instance with the smallest weight.
const LEFTOVER_DIVISOR: u32 = 8;

/// The planning process, as recorded in its entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HomeOwner {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The address of a listener that it keeps open until it exits, so that no other
    /// process can have the same one meanwhile.
    pub address: String,
}

/// The inputs of [`plan`].
#[derive(Clone, Debug)]
pub struct HomeView<'a> {
    /// The planning process.
    pub own: &'a HomeOwner,
    /// The home weight record, read after this process had registered.
    pub record: &'a HomeRecord,
    /// The record's modification revision, 0 if there is no record yet.
    pub revision: u64,
    /// The revision on which this process's last write was based, whatever its outcome.
    /// While the record still has this revision, that write may yet arrive. `None` if
    /// this process has not written yet, or not since [`crate::Quota::renew_home`]
    /// returned false.
    pub last_write_on: Option<u64>,
    /// Registered instances that are not leaving, this one included.
    pub live: &'a BTreeMap<String, Incarnation>,
    /// Owners whose entries may be reclaimed, from [`crate::home_weights::AbsenceTracker`].
    pub reclaimable: &'a BTreeSet<Incarnation>,
    /// The home weight as last set, from [`crate::Quota::home_weight_ppm`].
    pub held_ppm: u32,
    /// The home weight in effect, from [`crate::Quota::home_in_force_ppm`].
    pub in_force_ppm: u32,
    /// Whether everything that is lent or about to be sent fits into `held_ppm`, from
    /// [`crate::Quota::is_within_home_weight`].
    pub within_home_weight: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

/// What the process must do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeStep {
    /// Do nothing until the inputs change.
    Wait,
    /// Pass these weights to [`crate::Quota::set_settled_home_weight`].
    Use {
        /// Weight in parts per million.
        weight_ppm: u32,
        /// The part of it that takes effect at once. 0 for a decrease, which always does.
        settled_ppm: u32,
    },
    /// Write this record by compare-and-swap on [`HomeView::revision`], then read it
    /// back.
    Write {
        /// The new record.
        record: HomeRecord,
        /// Instances whose registrations must not exist, as conditions of the same
        /// transaction, because they may have registered again in the meantime.
        requires_absent: Vec<String>,
    },
}

/// Decides the next step. Call it after each read of the record and after each step.
pub fn plan(view: &HomeView<'_>) -> HomeStep {
    let own_ppm = view.own_ppm();
    let donor_keeps_ppm = view.donor_keeps_ppm();
    match view.foreign_entry() {
        _ if !view.record.is_valid() => view.reduce_to(0),
        Some(_) if view.held_ppm > 0 => view.reduce_to(0),
        Some(entry) if view.stopping || entry.address != view.own.address => {
            view.reclaim()
        }
        Some(entry) => view.write_own(entry.weight_ppm),
        None if view.stopping => view.release(),
        None if view.held_ppm > own_ppm => view.reduce_to(own_ppm),
        None if view.held_ppm == 0 && own_ppm > 0 && view.write_pending() => {
            view.write_own(own_ppm)
        }
        None if view.held_ppm < own_ppm && view.write_pending() => view.finish_reducing(),
        None if donor_keeps_ppm.is_some_and(|ppm| ppm == view.held_ppm) => {
            view.finish_reducing()
        }
        None if donor_keeps_ppm.is_some() => {
            view.use_weight(donor_keeps_ppm.unwrap_or(own_ppm))
        }
        None if view.held_ppm < own_ppm => view.use_weight(own_ppm),
        None => view.claim(),
    }
}

impl HomeView<'_> {
    pub(super) fn own_name(&self) -> &str {
        &self.own.incarnation.instance
    }

    pub(super) fn own_entry(&self) -> Option<&HomeWeight> {
        let entry = self.record.weights.get(self.own_name())?;
        (entry.incarnation == self.own.incarnation).then_some(entry)
    }

    /// The entry under this instance's name, if another process wrote it.
    fn foreign_entry(&self) -> Option<&HomeWeight> {
        let entry = self.record.weights.get(self.own_name())?;
        (entry.incarnation != self.own.incarnation).then_some(entry)
    }

    /// The weight in this process's entry, 0 if it has none.
    fn own_ppm(&self) -> u32 {
        self.own_entry().map_or(0, |entry| entry.weight_ppm)
    }

    /// Whether this process's last write may still arrive at the store.
    fn write_pending(&self) -> bool {
        self.last_write_on == Some(self.revision)
    }

    /// Uses no more than `weight_ppm` from now on.
    fn reduce_to(&self, weight_ppm: u32) -> HomeStep {
        match self.held_ppm > weight_ppm {
            true => HomeStep::Use {
                weight_ppm,
                settled_ppm: 0,
            },
            false => HomeStep::Wait,
        }
    }

    /// Whether the entry was written by this process's last write, so that none is under
    /// way.
    fn is_confirmed(&self) -> bool {
        let written_on = self.own_entry().map(|entry| entry.written_on);
        written_on.is_some() && written_on == self.last_write_on
    }

    /// Uses `weight_ppm`. A larger weight than now may only be used if the entry was
    /// written by this process's last write. Otherwise the weight's validity may have
    /// ended since, and a transaction that reclaims it may be under way. Writing the
    /// entry again makes that transaction fail, because it changes the revision.
    fn use_weight(&self, weight_ppm: u32) -> HomeStep {
        match weight_ppm > self.held_ppm {
            true if !self.is_confirmed() => self.write_own(self.own_ppm()),
            true => HomeStep::Use {
                weight_ppm,
                settled_ppm: self.settled_ppm().min(weight_ppm),
            },
            false => HomeStep::Use {
                weight_ppm,
                settled_ppm: 0,
            },
        }
    }

    /// Writes the reduced weight once nothing beyond it is lent or about to be sent.
    fn finish_reducing(&self) -> HomeStep {
        match self.within_home_weight {
            true => self.write_own(self.held_ppm),
            false => HomeStep::Wait,
        }
    }

    /// Gives up the whole weight on a planned stop.
    fn release(&self) -> HomeStep {
        match self.own_entry() {
            _ if self.held_ppm > 0 => self.reduce_to(0),
            Some(_) => self.finish_reducing(),
            None => HomeStep::Wait,
        }
    }

    /// Reclaims the entries of dead owners, or else takes unassigned weight.
    fn claim(&self) -> HomeStep {
        let reclaim = self.reclaim();
        match self.take_ppm() {
            _ if reclaim != HomeStep::Wait => reclaim,
            0 => HomeStep::Wait,
            more_ppm => self.write_own(self.own_ppm() + more_ppm),
        }
    }

    /// Writes this process's entry with `weight_ppm`, or removes it if that is 0.
    fn write_own(&self, weight_ppm: u32) -> HomeStep {
        let mut record = self.record.clone();
        let own = self.own.clone();
        if self.revision == 0 {
            record.founder = Some(own.incarnation.clone());
        }
        let (settled_ppm, released_ppm) = self.settled_after(weight_ppm);
        record.released_ppm = released_ppm;
        let entry = HomeWeight {
            weight_ppm,
            incarnation: own.incarnation,
            address: own.address,
            written_on: self.revision,
            settled_ppm,
        };
        match weight_ppm {
            0 => record.weights.remove(self.own_name()),
            _ => record.weights.insert(self.own_name().to_string(), entry),
        };
        HomeStep::Write {
            record,
            requires_absent: Vec::new(),
        }
    }

    /// Removes the entries of owners that can no longer use them. To avoid concurrent
    /// writes, only one live instance does this for an entry: the next one in the order
    /// of names.
    fn reclaim(&self) -> HomeStep {
        let mut record = self.record.clone();
        record.weights.retain(|name, entry| {
            !self.reclaimable.contains(&entry.incarnation)
                || self.live.get(name) == Some(&entry.incarnation)
                || !self.is_successor(name)
        });
        if record.weights.len() == self.record.weights.len() {
            return HomeStep::Wait;
        }
        let removed = self.record.weights.keys();
        let requires_absent = removed
            .filter(|name| !record.weights.contains_key(*name))
            .filter(|name| !self.live.contains_key(*name))
            .cloned()
            .collect();
        HomeStep::Write {
            record,
            requires_absent,
        }
    }

    /// Whether this is the first live instance at or after `name` in the order of names,
    /// which wraps around.
    fn is_successor(&self, name: &str) -> bool {
        let mut after = self.live.range::<str, _>((
            std::ops::Bound::Included(name),
            std::ops::Bound::Unbounded,
        ));
        let successor = after.next().or_else(|| self.live.iter().next());
        successor.is_some_and(|(name, _)| name == self.own_name())
    }

    /// An even share of the weight that live instances can hold, which is all but the
    /// entries of dead ones.
    fn target_ppm(&self) -> u32 {
        let weights = self.record.weights.iter();
        let dead_ppm: u32 = weights
            .filter(|(name, _)| !self.live.contains_key(*name))
            .map(|(_, entry)| entry.weight_ppm)
            .sum();
        let count = u32::try_from(self.live.len()).unwrap_or(u32::MAX).max(1);
        WHOLE_PPM.saturating_sub(dead_ppm) / count
    }

    /// The weight to keep if this instance is the next to give up some, which is the one
    /// with the largest weight. `None` if it need not.
    fn donor_keeps_ppm(&self) -> Option<u32> {
        let target_ppm = self.target_ppm();
        let unassigned_ppm = self.record.unassigned_ppm();
        let is_underweight = |name: &String| {
            let weight_ppm = self.record.weight_ppm(name) + unassigned_ppm;
            is_below(weight_ppm, DONATE_BELOW_PERCENT, target_ppm)
        };
        if !self.live.keys().any(is_underweight) {
            return None;
        }
        let largest = self
            .live
            .keys()
            .max_by_key(|name| self.record.weight_ppm(name))?;
        let keep_ppm = u64::from(target_ppm) * DONOR_KEEPS_PERCENT;
        let keep_ppm = u32::try_from(keep_ppm.div_ceil(100)).unwrap_or(target_ppm);
        (largest == self.own_name() && self.own_ppm() > keep_ppm).then_some(keep_ppm)
    }

    /// How much unassigned weight to take. 0 if it is not worth a write.
    fn take_ppm(&self) -> u32 {
        let target_ppm = self.target_ppm();
        let unassigned_ppm = self.record.unassigned_ppm();
        let is_low = |name: &str| {
            is_below(self.record.weight_ppm(name), TAKE_BELOW_PERCENT, target_ppm)
        };
        let more_ppm = match is_low(self.own_name()) {
            true => unassigned_ppm.min(target_ppm.saturating_sub(self.own_ppm())),
            false if self.live.keys().any(|name| is_low(name)) => 0,
            false if unassigned_ppm <= target_ppm / LEFTOVER_DIVISOR => 0,
            false if self.has_smallest_weight() => unassigned_ppm,
            false => 0,
        };
        match more_ppm < (target_ppm / MIN_CHANGE_DIVISOR).max(1) {
            true => 0,
            false => more_ppm,
        }
    }

    fn has_smallest_weight(&self) -> bool {
        let smallest = self
            .live
            .keys()
            .min_by_key(|name| self.record.weight_ppm(name));
        smallest.is_some_and(|name| name == self.own_name())
    }
}

fn is_below(weight_ppm: u32, percent: u64, target_ppm: u32) -> bool {
    u64::from(weight_ppm) * 100 < u64::from(target_ppm) * percent
}
