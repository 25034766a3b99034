//! The record of home weights in the store, and how instances change it.
//!
//! An instance's home weight is the part of every customer's contract that it holds on
//! its own, in parts per million. Each instance owns its entry in the record. Weight
//! moves between instances only through the unassigned part: the owner reduces its own
//! use and then writes a smaller weight, or the entry is removed once its owner can no
//! longer use it. After that another instance may write a larger weight for itself, and
//! use it once it has read that back.
//!
//! Weight whose earlier holder is gone may still be lent, so it takes effect one loan
//! term plus margins later. `released_ppm` and `settled_ppm` distinguish it from weight
//! that its holder released while it was running.

mod absence;
mod plan;
mod settled;

use std::collections::BTreeMap;

use jayreel_model::Incarnation;
use serde::{Deserialize, Serialize};

pub use crate::home_weights::absence::AbsenceTracker;
pub use crate::home_weights::plan::{HomeOwner, HomeStep, HomeView, plan};

use crate::WHOLE_PPM;

/// The store key of the record.
pub const HOME_KEY: &str = "quota/home";

/// The record stored under [`HOME_KEY`]: which instance holds which part of every
/// contract.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HomeRecord {
    /// Entries by instance name. The weights sum to at most 1,000,000.
    pub weights: BTreeMap<String, HomeWeight>,
    /// The process that created the record. No process of the fleet ran before it.
    #[serde(default)]
    pub founder: Option<Incarnation>,
    /// The part of the unassigned weight that its last holders released while they were
    /// running. They had none of it lent any more, so the next holder may use it at once.
    /// The rest comes from holders that are gone and may have lent it.
    #[serde(default)]
    pub released_ppm: u32,
}

/// The entry of one instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HomeWeight {
    /// Part of every customer's rate and burst, in parts per million.
    pub weight_ppm: u32,
    /// The process that may use the weight.
    pub incarnation: Incarnation,
    /// Address of a listener that this process keeps open until it exits. If another
    /// process listens there, this one is gone, and the other may adopt the weight.
    pub address: String,
    /// The revision of the record that the write of this entry was based on. It tells the
    /// owner whether its last write took effect.
    #[serde(default)]
    pub written_on: u64,
    /// The part of `weight_ppm` that no earlier holder can still have lent. The owner may
    /// use it at once, and the rest one loan term plus margins after it has read the
    /// entry.
    #[serde(default)]
    pub settled_ppm: u32,
}

impl HomeRecord {
    /// Sum of all weights.
    pub fn total_ppm(&self) -> u64 {
        self.weights
            .values()
            .map(|entry| u64::from(entry.weight_ppm))
            .sum()
    }

    /// Whether the weights sum to at most the whole contract. Instances use nothing of an
    /// invalid record.
    pub fn is_valid(&self) -> bool {
        self.total_ppm() <= u64::from(WHOLE_PPM)
    }

    /// The weight that no instance holds.
    pub fn unassigned_ppm(&self) -> u32 {
        let free = u64::from(WHOLE_PPM).saturating_sub(self.total_ppm());
        u32::try_from(free).unwrap_or(0)
    }

    /// The weight of an instance, 0 if it has no entry.
    pub fn weight_ppm(&self, instance: &str) -> u32 {
        self.weights
            .get(instance)
            .map_or(0, |entry| entry.weight_ppm)
    }

    /// The record without the entry of an instance that an operator declares dead. `None`
    /// if the instance has no entry.
    pub fn forget(&self, instance: &str) -> Option<HomeRecord> {
        let mut record = self.clone();
        record.weights.remove(instance).map(|_| record)
    }
}
