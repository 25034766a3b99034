//! State that this instance keeps for each endpoint.

use std::collections::BTreeSet;

use jayreel_model::{Endpoint, EndpointState};
use slotmap::new_key_type;

use crate::call::Target;
use crate::fleet::Borrowing;
use crate::health::{Health, HealthState};
use crate::load::Load;
use crate::prefix_cache::PrefixCache;

new_key_type! {
    /// Key of an endpoint in `Scheduler::endpoints`.
    pub(crate) struct EndpointKey;
}

/// An endpoint with its configuration, health, load and cache contents.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    pub name: String,
    pub configuration: Endpoint,
    /// Whether the platform announced that the endpoint is about to be shut down.
    pub leaving: bool,
    /// Models and adapters that the engine last reported as loaded. `None` before its first
    /// report: all models of its configuration are then assumed to be loaded.
    pub loaded: Option<BTreeSet<String>>,
    pub health: Health,
    pub load: Load,
    /// Slots that are reserved for this instance.
    pub guaranteed_slots: u32,
    /// Limit of the slots that this instance uses beyond the guaranteed ones.
    pub borrowing: Borrowing,
    /// Prompt prefixes that the endpoint probably has cached.
    pub prefixes: PrefixCache,
}

impl EndpointRecord {
    pub fn new(name: &str, configuration: &Endpoint) -> EndpointRecord {
        EndpointRecord {
            name: name.to_string(),
            configuration: configuration.clone(),
            leaving: false,
            loaded: None,
            health: Health::new(),
            load: Load::default(),
            guaranteed_slots: 0,
            borrowing: Borrowing::default(),
            prefixes: PrefixCache::default(),
        }
    }

    /// Applies a changed configuration record. If the address changed, the endpoint is a
    /// different process, so its observed health, models and cache contents are dropped.
    pub fn configure(&mut self, configuration: &Endpoint) {
        if self.configuration.address != configuration.address {
            self.health = Health::new();
            self.loaded = None;
            self.prefixes = PrefixCache::default();
        }
        self.configuration = configuration.clone();
    }

    /// Whether new calls may be sent to the endpoint.
    pub fn is_active(&self) -> bool {
        self.configuration.state == EndpointState::Active
            && self.health.state == HealthState::Active
            && !self.leaving
    }

    pub fn is_removed(&self) -> bool {
        self.configuration.state == EndpointState::Removed
    }

    /// Number of calls that the endpoint runs concurrently. At least 1.
    pub fn slots(&self) -> u32 {
        self.configuration.slots.max(1)
    }

    /// Whether the endpoint is configured to serve the target. A model may not be loaded
    /// yet.
    pub fn is_configured_for(&self, target: &Target) -> bool {
        match target {
            Target::Model(model) => self.configuration.serves_model(model),
            Target::Group(group) => self.configuration.group == *group,
        }
    }

    /// Whether the endpoint is configured to serve the target and has it loaded.
    pub fn serves(&self, target: &Target) -> bool {
        let is_loaded = match (target, &self.loaded) {
            (Target::Model(model), Some(loaded)) => loaded.contains(model),
            _ => true,
        };
        is_loaded && self.is_configured_for(target)
    }
}
