//! The effect of evacuations on the choice of endpoints, without I/O and without a clock.
//!
//! Load addressed: the operator takes an availability zone out of service, so that its requests
//! move to the other zones, and later returns it. Without a gradual return, all instances would
//! prefer the idle endpoints of the zone at the same moment. An evacuated zone gets nothing. After
//! its return, a linearly growing share of the choices of endpoints may use the zone; the others
//! treat its endpoints as if their queues were full.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Time after an evacuation within which the share of a zone rises to all requests, in
/// milliseconds. More than twice the time over which instances learn of the end, about two seconds,
/// so that the total rises gradually too.
const RETURN_RAMP_MS: u64 = 5_000;

/// Score penalty for an endpoint of a returning zone in the choices that may not use the zone, in
/// units of load per slot. About the load at which an endpoint counts as overloaded: before
/// requests are rejected, the zone is used in full.
const HELD_BACK_PENALTY: f64 = 3.5;

/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly
/// over any number of consecutive choices.
const DRAW_STEP: f64 = 0.618_033_988_749_894_9;

/// A zone that is or was evacuated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ZoneState {
    Evacuated { since_ms: u64 },
    Returning { since_ms: u64 },
}

/// A change of the set of evacuated zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneChange {
    /// The zone gets no more requests.
    Evacuated {
        /// Its name.
        zone: String,
    },
    /// The zone gets requests again, a growing share at first.
    Restored {
        /// Its name.
        zone: String,
        /// How long it was evacuated, in milliseconds, as far as this instance knows.
        evacuated_ms: u64,
    },
}

/// A number from 0 to 1 that decides for one choice of an endpoint which returning zones it may
/// use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Draw(f64);

/// Which zones are evacuated or returning. A zone that is neither has no entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneStates {
    states: BTreeMap<String, ZoneState>,
    /// Number of draws so far.
    draws: Cell<u32>,
}

impl ZoneStates {
    /// Takes the set of evacuated zones. Returns the changes.
    pub(crate) fn set_evacuated(
        &mut self,
        now_ms: u64,
        evacuated: &BTreeSet<String>,
    ) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        self.states.retain(|zone, state| match *state {
            ZoneState::Evacuated { since_ms } if !evacuated.contains(zone) => {
                *state = ZoneState::Returning { since_ms: now_ms };
                changes.push(ZoneChange::Restored {
                    zone: zone.clone(),
                    evacuated_ms: now_ms.saturating_sub(since_ms),
                });
                true
            }
            ZoneState::Evacuated { .. } => true,
            ZoneState::Returning { since_ms } => now_ms < since_ms + RETURN_RAMP_MS,
        });
        for zone in evacuated {
            if self.is_evacuated(zone) {
                continue;
            }
            let state = ZoneState::Evacuated { since_ms: now_ms };
            self.states.insert(zone.clone(), state);
            changes.push(ZoneChange::Evacuated { zone: zone.clone() });
        }
        changes
    }

    /// Whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        matches!(self.states.get(zone), Some(ZoneState::Evacuated { .. }))
    }

    /// The number for the next choice of an endpoint.
    pub(crate) fn draw(&self) -> Draw {
        let number = self.draws.get().wrapping_add(1);
        self.draws.set(number);
        Draw((f64::from(number) * DRAW_STEP).fract())
    }

    /// Score penalty for the endpoints of a zone in the choice that has this draw.
    pub(crate) fn penalty(&self, now_ms: u64, zone: &str, Draw(draw): Draw) -> f64 {
        match self.states.get(zone) {
            Some(ZoneState::Returning { since_ms }) => {
                let elapsed_ms = now_ms.saturating_sub(*since_ms);
                let share = elapsed_ms as f64 / RETURN_RAMP_MS as f64;
                if draw < share { 0.0 } else { HELD_BACK_PENALTY }
            }
            _ => 0.0,
        }
    }
}
