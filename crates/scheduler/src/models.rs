//! Reports of the models that engines have loaded, and queries of the calls that use them.

use std::collections::BTreeSet;

use crate::call::{Call, CallState, Target};
use crate::effect::Effect;
use crate::endpoint::EndpointKey;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Records the models and adapters that an engine has loaded, and returns whether they
    /// changed. Waiting calls whose group no longer serves their model move to another
    /// group.
    pub(crate) fn models_reported(
        &mut self,
        now_ms: u64,
        endpoint: &str,
        loaded: BTreeSet<String>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(key) = self.endpoints_by_name.get(endpoint).copied() else {
            return false;
        };
        let record = &mut self.endpoints[key];
        let has_changed = record.loaded.as_ref() != Some(&loaded);
        record.loaded = Some(loaded);
        if has_changed {
            self.requeue_unserved(now_ms, out);
        }
        has_changed
    }

    /// Whether the endpoint still runs a call for the model or adapter that was dispatched
    /// at `by_ms` or earlier. A cancelled call counts until the endpoint has stopped it.
    pub fn has_call_dispatched_by(
        &self,
        endpoint: &str,
        model: &str,
        by_ms: u64,
    ) -> bool {
        let Some(key) = self.endpoints_by_name.get(endpoint) else {
            return false;
        };
        let uses = |call: &Call| {
            taken_at_ms(call, *key).is_some_and(|at_ms| at_ms <= by_ms)
                && matches!(&call.target, Target::Model(name) if name == model)
        };
        self.calls.values().any(uses)
    }
}

/// Time at which the call took its slot at the endpoint. `None` if it has no slot there.
fn taken_at_ms(call: &Call, endpoint: EndpointKey) -> Option<u64> {
    match call.state {
        CallState::Running(running) => running
            .slot
            .filter(|slot| slot.endpoint == endpoint)
            .map(|slot| slot.taken_at_ms),
        _ => None,
    }
}
