//! The limit on concurrent model loads in an availability zone, and the part of it that
//! this instance may use.

use jayreel_membership::responsible_for;
use jayreel_model::Configuration;

use crate::fleet::FleetState;

/// Loads in progress at the engines of an availability zone, and their limits.
#[derive(Clone, Debug)]
pub(crate) struct ZoneLoads {
    /// Names of the instances among which the engines of the zone are divided, sorted.
    pub(crate) candidates: Vec<String>,
    /// Largest number of concurrent loads at the engines that this instance is responsible
    /// for.
    pub(crate) own_limit: usize,
    /// Engines that are loading among those that this instance is responsible for.
    pub(crate) own_loading: usize,
    /// All engines of the zone that are loading.
    pub(crate) all_loading: usize,
}

impl FleetState {
    /// Limit on concurrent loads in a zone.
    pub(crate) fn zone_load_limit(&self) -> usize {
        self.settings.zone_loads.max(1)
    }

    /// The loads of a zone. The limit is divided among the candidates. If the zone has more
    /// live instances than the limit, only as many as the limit are candidates, so that
    /// each may load at least one model and their sum stays within the limit.
    pub(crate) fn zone_loads(
        &self,
        now_ms: u64,
        configuration: &Configuration,
        zone: &str,
    ) -> ZoneLoads {
        let limit = self.zone_load_limit();
        let mut live = self.membership.live_in_zone(now_ms, zone);
        live.sort();
        let candidates = select_candidates(live, zone, limit);
        let count = candidates.len().max(1);
        let own = &self.settings.own.instance;
        let position = candidates.iter().position(|name| name == own);
        let own_limit = position.map_or(0, |position| {
            limit / count + usize::from(position < limit % count)
        });
        let valid_ms = self.settings.model_report_valid_ms;
        let loading: Vec<&String> = self
            .model_reconciler
            .engines
            .iter()
            .filter(|(name, state)| {
                configuration.endpoints[*name].availability_zone == zone
                    && state.is_loading(now_ms, valid_ms)
            })
            .map(|(name, _)| name)
            .collect();
        let is_own = |name: &&&String| {
            responsible_for(name, candidates.iter().map(String::as_str)) == Some(own)
        };
        ZoneLoads {
            own_limit,
            own_loading: loading.iter().filter(is_own).count(),
            all_loading: loading.len(),
            candidates,
        }
    }
}

/// The `limit` live instances with the highest rendezvous hashes for the zone, sorted by
/// name.
fn select_candidates(mut live: Vec<String>, zone: &str, limit: usize) -> Vec<String> {
    if live.len() <= limit {
        return live;
    }
    let mut first = Vec::new();
    while first.len() < limit {
        let names = live.iter().map(String::as_str);
        let Some(next) = responsible_for(zone, names).map(str::to_string) else {
            break;
        };
        live.retain(|name| *name != next);
        first.push(next);
    }
    first.sort();
    first
}
