//! Application of a new configuration to endpoints, groups, customers and running calls.

use std::sync::Arc;

use jayreel_model::{Configuration, EndpointState, RefusalReason};

use crate::call::{CallKey, CallState};
use crate::effect::Effect;
use crate::endpoint::{EndpointKey, EndpointRecord};
use crate::group::{Group, MovingMean, Queue};
use crate::policy;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Applies a configuration. Ignored if its revision is lower than the current one.
    pub(crate) fn configure(
        &mut self,
        now_ms: u64,
        configuration: Arc<Configuration>,
        out: &mut Vec<Effect>,
    ) {
        let current = self.configuration.as_ref().map(|current| current.revision);
        if current.is_some_and(|revision| configuration.revision < revision) {
            return;
        }
        let withdrawn = configuration.keys.iter().filter(|(_, key)| key.withdrawn);
        self.withdrawn_keys.extend(withdrawn.map(|(hash, _)| *hash));
        self.last_store_contact_at_ms = self.last_store_contact_at_ms.or(Some(now_ms));
        self.customers.configure(&configuration);
        self.quota.configure(now_ms, &configuration);
        self.configure_endpoints(&configuration);
        self.configuration = Some(configuration);
        self.cancel_withdrawn(now_ms, out);
        self.requeue_unserved(now_ms, out);
        self.drop_unused_endpoints();
    }

    fn configure_endpoints(&mut self, configuration: &Configuration) {
        for (name, record) in &configuration.endpoints {
            match self.endpoints_by_name.get(name) {
                Some(key) => self.endpoints[*key].configure(record),
                None => {
                    let mut endpoint = EndpointRecord::new(name, record);
                    endpoint.leaving = self.leaving_endpoints.contains(name);
                    let key = self.endpoints.insert(endpoint);
                    self.endpoints_by_name.insert(name.clone(), key);
                }
            }
        }
        for (name, key) in &self.endpoints_by_name {
            if !configuration.endpoints.contains_key(name) {
                self.endpoints[*key].configuration.state = EndpointState::Removed;
            }
        }
        self.rebuild_groups();
    }

    /// Rebuilds the endpoint list of each group and creates missing groups.
    fn rebuild_groups(&mut self) {
        for group in self.groups.values_mut() {
            group.endpoints.clear();
        }
        let endpoints: Vec<EndpointKey> =
            self.endpoints_by_name.values().copied().collect();
        for key in endpoints {
            let name = self.endpoints[key].configuration.group.clone();
            let group = match self.groups_by_name.get(&name) {
                Some(group) => *group,
                None => {
                    let group = self.groups.insert(self.new_group(&name));
                    self.groups_by_name.insert(name, group);
                    group
                }
            };
            self.groups[group].endpoints.push(key);
        }
        self.update_guaranteed_slots();
    }

    fn new_group(&self, name: &str) -> Group {
        Group {
            name: name.to_string(),
            endpoints: Vec::new(),
            queue: Queue::default(),
            fairness: policy::fairness(&self.settings.policies),
            placement: policy::placement(&self.settings.policies),
            service_ms: MovingMean::default(),
            generated_tokens: MovingMean::default(),
        }
    }

    /// Cancels all calls whose key is no longer valid.
    pub(crate) fn cancel_withdrawn(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        let is_withdrawn = |key| self.customer_of(&configuration, key).is_none();
        let withdrawn: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, call)| call.key.is_some_and(is_withdrawn))
            .map(|(key, _)| key)
            .collect();
        for key in withdrawn {
            if self.calls.contains_key(key) {
                let reason = RefusalReason::InvalidKey;
                self.cancel(now_ms, key, reason, "the key was withdrawn", out);
            }
        }
    }

    /// Moves waiting calls whose group can no longer serve them to another group, or refuses
    /// them if there is none.
    pub(crate) fn requeue_unserved(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let waiting: Vec<(CallKey, _)> = self
            .calls
            .iter()
            .filter_map(|(key, call)| match call.state {
                CallState::Waiting { group } => Some((key, group)),
                _ => None,
            })
            .collect();
        for (key, group_key) in waiting {
            let call = &self.calls[key];
            let group = &mut self.groups[group_key];
            let served = group
                .endpoints
                .iter()
                .map(|key| &self.endpoints[*key])
                .any(|endpoint| endpoint.is_active() && endpoint.serves(&call.target));
            if !served {
                group.queue.remove(group.flow(call.customer), key);
                // The call is in no queue now. `enqueue` refuses it if no group serves it.
                self.calls[key].state = CallState::AwaitingProgram;
                self.enqueue(now_ms, key, out);
            }
        }
    }

    /// Drops removed endpoints that have no running calls, and groups that have neither
    /// endpoints nor waiting calls.
    pub(crate) fn drop_unused_endpoints(&mut self) {
        let unused: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_removed())
            .filter(|(_, endpoint)| endpoint.load.own_in_flight() == 0)
            .map(|(key, _)| key)
            .collect();
        for key in unused {
            if let Some(endpoint) = self.endpoints.remove(key) {
                self.endpoints_by_name.remove(&endpoint.name);
            }
            self.pending_releases.remove_endpoint(key);
            for group in self.groups.values_mut() {
                group.endpoints.retain(|endpoint| *endpoint != key);
            }
        }
        self.groups.retain(|_, group| {
            let used = !group.endpoints.is_empty() || group.queue.len() > 0;
            if !used {
                self.groups_by_name.remove(&group.name);
            }
            used
        });
    }
}
