//! Orders engines to load and unload models until they match their endpoint records.
//!
//! One instance is responsible for each engine. All instances know the reports of all
//! engines, so a newly responsible instance continues where the previous one stopped. Two
//! instances with different membership views may both be responsible: orders can be
//! repeated without harm, and the instance with the older endpoint record stops when it
//! sees the higher fencing number.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_membership::responsible_for;
use jayreel_model::{
    Configuration, Endpoint, EndpointKind, EndpointState, EngineModels, EngineOrder,
};

use crate::engine_state::{EngineState, OrderAnswer, Report};
use crate::event::FleetEffect;
use crate::fleet::FleetState;
use crate::model_diff;
use crate::zone_loads::ZoneLoads;

/// Time between two comparisons of all engines with their records.
const CHECK_INTERVAL_MS: u64 = 250;

/// The state of all engines, with their reports and orders.
#[derive(Debug, Default)]
pub(crate) struct ModelReconciler {
    /// Time of the next comparison.
    next_check_ms: u64,
    /// Engines that have reported, by endpoint name.
    pub(crate) engines: BTreeMap<String, EngineState>,
    /// Unloads, by endpoint name, of what no call of this instance uses. Updated at each
    /// tick.
    permitted_unloads: BTreeSet<(String, EngineOrder)>,
}

/// An unload that waits until no call of this instance uses what it unloads.
#[derive(Clone, Debug)]
pub(crate) struct NeededUnload {
    pub(crate) endpoint: String,
    pub(crate) order: EngineOrder,
    /// Models and adapters whose calls use what the order unloads.
    pub(crate) names: BTreeSet<String>,
    /// When the unload became needed. Calls that were dispatched later do not use what it
    /// unloads.
    pub(crate) since_ms: u64,
}

impl FleetState {
    /// Handles the report of an engine, which was requested at `sent_at_ms`.
    pub(crate) fn models_reported(
        &mut self,
        now_ms: u64,
        endpoint: String,
        sent_at_ms: u64,
        models: EngineModels,
    ) {
        let state = self.model_reconciler.engines.entry(endpoint).or_default();
        state.record_report(Report {
            sent_at_ms,
            received_at_ms: now_ms,
            models,
        });
    }

    /// Forgets engines whose address changes with the next configuration, because their
    /// reports came from another process.
    pub(crate) fn forget_readdressed_engines(&mut self, next: &Configuration) {
        let address = |configuration: &Configuration, name: &String| {
            let endpoint = configuration.endpoints.get(name);
            endpoint.map(|endpoint| endpoint.address.clone())
        };
        if let Some(current) = &self.configuration {
            self.model_reconciler
                .engines
                .retain(|name, _| address(current, name) == address(next, name));
        }
    }

    /// Handles the response to an order, or the failure of its request.
    pub(crate) fn order_response_received(
        &mut self,
        now_ms: u64,
        endpoint: &str,
        fencing: u64,
        response: OrderAnswer,
    ) {
        if let Some(state) = self.model_reconciler.engines.get_mut(endpoint) {
            state.record_response(now_ms, fencing, response);
        }
    }

    /// The needed unloads of all engines, as of the last comparison with the records.
    pub(crate) fn needed_unloads(&self) -> Vec<NeededUnload> {
        let Some(configuration) = &self.configuration else {
            return Vec::new();
        };
        let engines = self
            .model_reconciler
            .engines
            .iter()
            .filter_map(|(name, state)| {
                let wanted = configuration.endpoints.get(name)?;
                Some((name, state, wanted, state.report.as_ref()?))
            });
        engines
            .flat_map(|(name, state, wanted, report)| {
                let unloads = state.unload_since_ms.iter();
                unloads.map(move |(order, since_ms)| NeededUnload {
                    endpoint: name.clone(),
                    order: order.clone(),
                    names: model_diff::used_by(order, wanted, &report.models),
                    since_ms: *since_ms,
                })
            })
            .collect()
    }

    /// Sets the unloads, by endpoint name, of what no call of this instance uses.
    pub(crate) fn set_permitted_unloads(
        &mut self,
        permitted_unloads: BTreeSet<(String, EngineOrder)>,
    ) {
        self.model_reconciler.permitted_unloads = permitted_unloads;
    }

    /// Compares all engines with their records and sends the orders that are due, at most
    /// one to each engine.
    pub(crate) fn reconcile_models(&mut self, now_ms: u64) {
        let is_due = now_ms >= self.model_reconciler.next_check_ms && !self.stop.started;
        let Some(configuration) = self.configuration.clone().filter(|_| is_due) else {
            return;
        };
        self.model_reconciler.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        let is_engine = |name: &String| {
            let endpoint = configuration.endpoints.get(name);
            endpoint.is_some_and(|one| one.kind == EndpointKind::ModelEngine)
        };
        self.model_reconciler
            .engines
            .retain(|name, _| is_engine(name));
        let names: Vec<String> = self.model_reconciler.engines.keys().cloned().collect();
        let mut zones = BTreeMap::new();
        for name in names {
            self.reconcile_engine(now_ms, &configuration, &name, &mut zones);
        }
    }

    /// Sends the next order to an engine that this instance is responsible for, within the
    /// maximum of loads in its zone. `zones` caches the loads of each zone during one
    /// comparison.
    fn reconcile_engine(
        &mut self,
        now_ms: u64,
        configuration: &Configuration,
        name: &str,
        zones: &mut BTreeMap<String, ZoneLoads>,
    ) {
        let endpoint = &configuration.endpoints[name];
        let revision = configuration.endpoint_revisions.get(name).copied();
        let Some(state) = self.model_reconciler.engines.get_mut(name) else {
            return;
        };
        // Without the revision of the endpoint record there is no fencing number for an
        // order.
        let Some(fencing) = revision else {
            return;
        };
        let Some(needed) = needed_orders(now_ms, state, endpoint, fencing) else {
            return;
        };
        state.update_needed(now_ms, &needed);
        if needed.is_empty() {
            return;
        }
        let zone = &endpoint.availability_zone;
        if !zones.contains_key(zone) {
            zones.insert(zone.clone(), self.zone_loads(now_ms, configuration, zone));
        }
        let Some(loads) = zones.get_mut(zone) else {
            return;
        };
        let candidates = loads.candidates.iter().map(String::as_str);
        if responsible_for(name, candidates) != Some(&self.settings.own.instance) {
            return;
        }
        let may_load = loads.own_loading < loads.max_own_loading
            && loads.all_loading < self.max_zone_loads();
        let Some(order) = self.first_permitted_order(now_ms, name, &needed, may_load)
        else {
            return;
        };
        loads.own_loading += usize::from(order.is_load());
        loads.all_loading += usize::from(order.is_load());
        self.send_order(now_ms, name, fencing, order);
    }

    /// The first needed order that may be sent now: its retry delay has passed, and a load
    /// is within the maximum or an unload affects no call of this instance.
    fn first_permitted_order(
        &self,
        now_ms: u64,
        name: &str,
        needed: &[EngineOrder],
        may_load: bool,
    ) -> Option<EngineOrder> {
        let state = self.model_reconciler.engines.get(name)?;
        let is_permitted = |order: &&EngineOrder| match order.is_load() {
            true => may_load,
            false => {
                let unload = (name.to_string(), (*order).clone());
                self.model_reconciler.permitted_unloads.contains(&unload)
            }
        };
        needed
            .iter()
            .filter(|order| state.is_retry_due(now_ms, order))
            .find(is_permitted)
            .cloned()
    }

    fn send_order(&mut self, now_ms: u64, name: &str, fencing: u64, order: EngineOrder) {
        if let Some(state) = self.model_reconciler.engines.get_mut(name) {
            state.record_sent(now_ms, fencing, &order);
        }
        self.effects.push(FleetEffect::SendOrder {
            endpoint: name.to_string(),
            fencing,
            order,
        });
    }
}

/// The orders that an engine needs. `None` while they are unknown: before its first report,
/// while the effect of an order is unknown and while it loads. Empty if the endpoint takes
/// no new work or the engine has seen an order with a higher fencing number.
fn needed_orders(
    now_ms: u64,
    state: &EngineState,
    endpoint: &Endpoint,
    revision: u64,
) -> Option<Vec<EngineOrder>> {
    let report = &state.report.as_ref()?.models;
    if state.is_outcome_unknown(now_ms) || report.is_loading() {
        return None;
    }
    let is_behind = state.is_superseded(revision) || report.fencing > revision;
    if endpoint.state != EndpointState::Active || is_behind {
        return Some(Vec::new());
    }
    let mut needed = model_diff::required_orders(endpoint, report);
    if needed.is_empty() && !endpoint.checks_fencing {
        needed.extend(state.overtaken_order(revision));
    }
    Some(needed)
}
