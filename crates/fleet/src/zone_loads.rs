//! The maximum number of concurrent model loads in an availability zone, and the part of it
//! that this instance may use.

use jayreel_membership::responsible_for;
use jayreel_model::Configuration;

use crate::fleet::FleetState;

/// Loads in progress at the engines of an availability zone, and their maximum.
#[derive(Clone, Debug)]
pub(crate) struct ZoneLoads {
    /// Names of the instances among which the engines of the zone are divided, sorted.
    pub(crate) candidates: Vec<String>,
    /// Maximum number of concurrent loads at the engines that this instance is responsible
    /// for.
    pub(crate) max_own_loading: usize,
    /// Engines that are loading among those that this instance is responsible for.
    pub(crate) own_loading: usize,
    /// All engines of the zone that are loading.
    pub(crate) all_loading: usize,
}

impl FleetState {
    /// Maximum number of concurrent loads in a zone.
    pub(crate) fn max_zone_loads(&self) -> usize {
        self.settings.zone_loads.max(1)
    }

    /// The loads of a zone. The maximum is divided among the candidates. If the zone has more
    /// live instances than the maximum, only as many as the maximum are candidates, so that
    /// each may load at least one model and their sum stays within the maximum.
    pub(crate) fn zone_loads(
        &self,
        now_ms: u64,
        configuration: &Configuration,
        zone: &str,
    ) -> ZoneLoads {
        let max_loads = self.max_zone_loads();
        let mut live = self.membership.live_in_zone(now_ms, zone);
        live.sort();
        let candidates = select_candidates(live, zone, max_loads);
        let count = candidates.len().max(1);
        let own = &self.settings.own.instance;
        let position = candidates.iter().position(|name| name == own);
        let max_own_loading = position.map_or(0, |position| {
            max_loads / count + usize::from(position < max_loads % count)
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
            max_own_loading,
            own_loading: loading.iter().filter(is_own).count(),
            all_loading: loading.len(),
            candidates,
        }
    }
}

/// The `count` live instances with the highest rendezvous hashes for the zone, sorted by
/// name.
fn select_candidates(mut live: Vec<String>, zone: &str, count: usize) -> Vec<String> {
    if live.len() <= count {
        return live;
    }
    let mut first = Vec::new();
    while first.len() < count {
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
