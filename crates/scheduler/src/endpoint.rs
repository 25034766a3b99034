//! Endpoints as this instance sees them.

use std::collections::BTreeSet;

use jayreel_model::{Endpoint, EndpointState};
use slotmap::new_key_type;

use crate::call::Target;
use crate::fleet::Borrowing;
use crate::health::{Health, HealthState};
use crate::load::Load;
use crate::prefix_cache::PrefixCache;

new_key_type! {
    /// Key of an endpoint in its arena.
    pub(crate) struct EndpointKey;
}

/// An endpoint and the calls that this instance runs there.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    pub name: String,
    pub configuration: Endpoint,
    /// Whether the platform's list says that the endpoint is leaving.
    pub leaving: bool,
    /// Models and adapters that the engine last reported as loaded. `None` until it
    /// reports: it then counts as having what the configuration says.
    pub loaded: Option<BTreeSet<String>>,
    pub health: Health,
    pub load: Load,
    /// Slots that this instance may always use.
    pub part: u32,
    /// Slots that it uses beyond its part.
    pub borrowing: Borrowing,
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
            part: 0,
            borrowing: Borrowing::default(),
            prefixes: PrefixCache::default(),
        }
    }

    /// Takes over a changed record. What was learned about another process is dropped.
    pub fn configure(&mut self, configuration: &Endpoint) {
        if self.configuration.address != configuration.address {
            self.health = Health::new();
            self.loaded = None;
            self.prefixes = PrefixCache::default();
        }
        self.configuration = configuration.clone();
    }

    /// Whether new work may go to the endpoint.
    pub fn is_active(&self) -> bool {
        self.configuration.state == EndpointState::Active
            && self.health.state == HealthState::Active
            && !self.leaving
    }

    pub fn is_removed(&self) -> bool {
        self.configuration.state == EndpointState::Removed
    }

    /// Calls that the endpoint runs at the same time.
    pub fn slots(&self) -> u32 {
        self.configuration.slots.max(1)
    }

    /// Whether the endpoint is configured for the target. It may have to load it first.
    pub fn is_for(&self, target: &Target) -> bool {
        match target {
            Target::Model(model) => self.configuration.serves_model(model),
            Target::Group(group) => self.configuration.group == *group,
        }
    }

    /// Whether the endpoint can serve the target now.
    pub fn serves(&self, target: &Target) -> bool {
        let is_loaded = match (target, &self.loaded) {
            (Target::Model(model), Some(loaded)) => loaded.contains(model),
            _ => true,
        };
        is_loaded && self.is_for(target)
    }
}
