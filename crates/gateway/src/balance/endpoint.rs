//! Estimates for one endpoint: its load, its errors and how soon it is expected to complete a
//! request.

use jayreel_ledger::EndpointLimit;
use jayreel_placement::{expected_time, load_per_slot};

use super::{Endpoint, MemoryBound, ServicePlacement};
use crate::home_regions::Target;
use crate::zone_state::ZoneStates;

/// Half-life of the load that other instances cause, in milliseconds: about the duration of a
/// request.
const OTHERS_HALF_LIFE_MS: f64 = 400.0;

/// Time constant, in milliseconds, with which an endpoint's usual load returns to that of the
/// service: a few times the interval between two reports.
const USUAL_LOAD_DECAY_MS: f64 = 10_000.0;

/// Share of that load that is assumed for an endpoint that has reported none. With 0, each instance
/// sends requests to each endpoint of other zones only to learn its load; with 1, it never learns
/// that others are less loaded.
const UNKNOWN_LOAD_SHARE: f64 = 0.5;

/// Time constant, in milliseconds, with which an endpoint's slowness decays towards the
/// service's average, so that an endpoint that was slow is tried again.
const SLOWNESS_DECAY_MS: f64 = 4_000.0;

/// Score penalty for an endpoint that only fails, in units of load per slot. Larger than the
/// penalty for a remote zone, so that requests leave a zone in which every endpoint fails.
const ERROR_PENALTY: f64 = 1.0;

/// Weight of a failed request in an endpoint's error rate. An instance sends few requests a
/// second to one endpoint, so a single error must be enough to try others.
const ERROR_WEIGHT: f64 = 0.5;

/// Weight of a successful request in an endpoint's error rate. Lower than that of an error,
/// since an endpoint may fail only some of its requests.
const SUCCESS_WEIGHT: f64 = 0.1;

/// Time constant, in milliseconds, with which the error rate decays. An instance sends a
/// healthy endpoint a request every few seconds.
const ERROR_DECAY_MS: f64 = 5_000.0;

impl Endpoint {
    /// Whether it accepts new requests for a target.
    pub(super) fn accepts(&self, target: Target<'_>, zones: &ZoneStates) -> bool {
        let zone = &self.entry.availability_zone;
        let is_ending = self.entry.is_draining || self.is_leaving;
        let is_usable_zone = target.allows(zone) && !zones.is_evacuated(zone);
        self.entry.service == target.service && !is_ending && is_usable_zone
    }

    /// Estimated load per slot with one more request, or its expected time in those of a typical
    /// request, corrected by penalties. Lower is better. The terms for paused and suspended
    /// endpoints exceed all others.
    ///
    /// `timed` is the state of the service if its endpoints are ranked by expected time.
    pub(super) fn score(&self, now_ms: u64, timed: Option<&ServicePlacement>) -> f64 {
        let time = match timed {
            Some(service) => {
                let requests = self.expected_requests(now_ms, service.usual_load);
                let relative_time =
                    self.speed.relative_time(now_ms) * self.work_factor_at(now_ms);
                expected_time(load_per_slot(requests, self.entry.slots), relative_time)
            }
            None => {
                let load = self.load(now_ms) + 1.0 / f64::from(self.entry.slots);
                let slowness = self.slowness_at(now_ms);
                load * slowness + (slowness - 1.0) * 0.5
            }
        };
        let pause_penalty = match self.paused_until_ms > now_ms {
            true => 1_000.0 + f64::from(self.consecutive_failures),
            false => 0.0,
        };
        let suspension_penalty = if self.is_suspended { 10_000.0 } else { 0.0 };
        let error_penalty = ERROR_PENALTY * self.error_rate_at(now_ms);
        time + error_penalty + pause_penalty + suspension_penalty
    }

    /// Whether its memory is expected to hold a request. Those of other instances are assumed to
    /// be like those of this one there, or else to have `request_tokens`.
    pub(super) fn has_room(
        &self,
        now_ms: u64,
        memory: MemoryBound,
        request_tokens: f64,
    ) -> bool {
        let requests = self.load(now_ms) * f64::from(self.entry.slots);
        self.tokens.has_room(
            requests,
            request_tokens,
            memory.tokens,
            memory.capacity_tokens,
        )
    }

    /// How long work currently takes, where 1 is the usual time.
    pub(super) fn work_factor_at(&self, now_ms: u64) -> f64 {
        self.work_factor.map_or(1.0, |factor| factor.at(now_ms))
    }

    pub(super) fn limit_report(&self, now_ms: u64) -> EndpointLimit {
        EndpointLimit {
            endpoint: self.entry.id.clone(),
            report: self.limit.report(now_ms),
            cold: self.limit.cold_report(now_ms),
        }
    }

    /// Estimated number of requests, running and waiting, per slot.
    pub(super) fn load(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        let other_requests = self.other_requests
            * (-age_ms / OTHERS_HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        (f64::from(self.own_requests) + other_requests) / f64::from(self.entry.slots)
    }

    /// Estimated number of requests, running and waiting. Other than in `load`, those of other
    /// instances return to their usual number and not to 0 once the report is old, and slowly to
    /// that of the service, so that an endpoint that was overloaded is tried again.
    pub(super) fn expected_requests(&self, now_ms: u64, usual_load: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        let typical = f64::from(self.entry.slots) * usual_load;
        let Some(usual) = self.usual_requests else {
            return f64::from(self.own_requests) + typical * UNKNOWN_LOAD_SHARE;
        };
        let usual = typical + (usual - typical) * (-age_ms / USUAL_LOAD_DECAY_MS).exp();
        let weight = (-age_ms / OTHERS_HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        f64::from(self.own_requests) + usual + (self.other_requests - usual) * weight
    }

    /// Updates the error rate with the outcome of one request.
    pub(super) fn update_error_rate(&mut self, now_ms: u64, is_error: bool) {
        let before = self.error_rate_at(now_ms);
        self.error_rate = match is_error {
            true => before + (1.0 - before) * ERROR_WEIGHT,
            false => before * (1.0 - SUCCESS_WEIGHT),
        };
        self.error_rate_ms = now_ms;
    }

    /// The error rate, decayed to `now_ms`.
    pub(super) fn error_rate_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.error_rate_ms) as f64;
        self.error_rate * (-age_ms / ERROR_DECAY_MS).exp()
    }

    /// The slowness, decayed to `now_ms`. At least 1, so a fast endpoint gets no bonus.
    pub(super) fn slowness_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.slowness_ms) as f64;
        let weight = (-age_ms / SLOWNESS_DECAY_MS).exp();
        (1.0 + (self.slowness - 1.0) * weight).max(1.0)
    }
}
