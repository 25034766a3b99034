//! How many models the engines of an availability zone may load at once, and how many this
//! instance may order.

use jayreel_membership::responsible_for;
use jayreel_model::Configuration;

use crate::fleet::Fleet;

/// Who may load at the engines of an availability zone, and how much goes on there.
#[derive(Clone, Debug)]
pub(crate) struct ZoneLoads {
    pub(crate) caretakers: Vec<String>,
    /// Loads at once that this instance may have under way.
    pub(crate) own_part: usize,
    pub(crate) own: usize,
    pub(crate) all: usize,
}

impl Fleet {
    /// Loads at once in a zone.
    pub(crate) fn zone_limit(&self) -> usize {
        self.settings.zone_loads.max(1)
    }

    /// The loads of a zone. The limit is divided among the caretakers; if there are more
    /// live instances than loads at once, only as many are caretakers, so that each may
    /// load and the sum stays within the limit.
    pub(crate) fn zone_loads(
        &self,
        now_ms: u64,
        configuration: &Configuration,
        zone: &str,
    ) -> ZoneLoads {
        let limit = self.zone_limit();
        let mut live = self.membership.live_in_zone(now_ms, zone);
        live.sort();
        let caretakers = first_caretakers(live, zone, limit);
        let count = caretakers.len().max(1);
        let own = &self.settings.own.instance;
        let position = caretakers.iter().position(|name| name == own);
        let own_part = position.map_or(0, |position| {
            limit / count + usize::from(position < limit % count)
        });
        let valid_ms = self.settings.model_report_valid_ms;
        let loading: Vec<&String> = self
            .model_care
            .engines
            .iter()
            .filter(|(name, state)| {
                configuration.endpoints[*name].availability_zone == zone
                    && state.is_loading(now_ms, valid_ms)
            })
            .map(|(name, _)| name)
            .collect();
        let is_own = |name: &&&String| {
            responsible_for(name, caretakers.iter().map(String::as_str)) == Some(own)
        };
        ZoneLoads {
            own_part,
            own: loading.iter().filter(is_own).count(),
            all: loading.len(),
            caretakers,
        }
    }
}

/// The `limit` instances that come first for the zone, in the order of their names.
fn first_caretakers(mut live: Vec<String>, zone: &str, limit: usize) -> Vec<String> {
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
