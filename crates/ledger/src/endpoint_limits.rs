//! Rate limits of endpoints: the share of each limit that one member grants.
//!
//! An endpoint that is short of capacity states in its responses how many requests a second it
//! accepts from all entry instances together. As with the rates of customers
//! ([`crate::RateShare`]), each member grants an equal share without contacting others, so that
//! the sum keeps to the limit whichever members are reachable. An entry instance takes a token
//! for each request that it sends to such an endpoint.
//!
//! Only entry instances see the responses of endpoints. They report what they hear to the
//! members, which tell the other entry instances. Responses overtake each other, so what was
//! heard last counts, whoever reports it.
//!
//! An endpoint that is cold, because it started a few seconds ago, is limited in the same way to a
//! rate from the configuration of its service. The load addressed: endpoints join or restart
//! during traffic and crash if all instances send to them at once. Each request for a token
//! carries what its sender knows about the cold time, so that a member applies the limit that has
//! not heard of it before. Reports contain the end of the cold time and the latest end counts, so
//! that their order does not matter.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Tokens that can accumulate, as the time in which the rate yields them, in milliseconds. Short:
/// an endpoint that sets a limit has no room for a burst.
const BURST_MS: f64 = 250.0;

/// Time over which a lifted limit is raised, in milliseconds. Without it, all entry instances
/// would return to an endpoint that has just recovered in the same moment.
pub const RAMP_MS: u64 = 3_000;

/// Time in which the rate doubles while a lifted limit is raised, in milliseconds.
const RAMP_DOUBLING_MS: f64 = 1_000.0;

/// Least rate from which a lifted limit is raised, in requests per second.
const MIN_RAMP_RATE_PER_S: f64 = 1.0;

/// Time for which a lifted limit is remembered, in milliseconds, so that a late report of the
/// limit does not restore it.
const LIFTED_LIFETIME_MS: u64 = 10_000;

/// Bounds of the time for which a limit holds after a response last named it, in milliseconds.
const LIFETIME_BOUNDS_MS: (f64, f64) = (5_000.0, 30_000.0);

/// Time for which a limit holds after a response last named it, as the number of requests that it
/// allows in that time. Each of them would bring a response that names it again.
const LIFETIME_REQUESTS: f64 = 2.0;

/// Number of endpoints whose limits are remembered. The one that was heard of longest ago makes
/// room for another.
const MAX_ENDPOINTS: usize = 4_096;

/// Longest cold time that is believed, in milliseconds: ten minutes.
pub const MAX_COLD_MS: u64 = 600_000;

/// A report of a cold time that ends later than the known one by no more than this, in
/// milliseconds, is the same cold time, reported with another delay. Without it, instances that
/// repeat each other's reports would extend a cold time without end. An end that is too early by
/// this much lets the rate rise by a fifth, within the usual tolerance.
pub const COLD_END_TOLERANCE_MS: u64 = 250;

/// Time for which an endpoint gets nothing that has become cold while it was in use, in
/// milliseconds. Rates of cold endpoints are checked over a second, and what it has got in the last
/// one, without tokens, may already be more than it can handle.
pub const COLD_PAUSE_MS: u64 = 1_000;

/// Factor by which the requests that reach a cold endpoint in a second may exceed those that the
/// rate yields: a member that has just joined the smallest group (three) grants a third more until
/// the others know of it, and tokens of a little more than a second may be used in one.
const COLD_MARGIN: f64 = 1.4;

/// Longest wait that is reported for a token, in milliseconds.
const MAX_WAIT_MS: f64 = 60_000.0;

/// How long a limit holds after a response last named it, in milliseconds.
pub fn limit_lifetime_ms(limit_per_s: f64) -> u64 {
    let (min_ms, max_ms) = LIFETIME_BOUNDS_MS;
    let lifetime_ms = LIFETIME_REQUESTS * 1_000.0 / limit_per_s;
    lifetime_ms.clamp(min_ms, max_ms) as u64
}

/// What the newest response of an endpoint said about its limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Requests per second that it accepts from all entry instances together. `None` if the
    /// response set no limit.
    pub limit_per_s: Option<f64>,
    /// Age of the response, in milliseconds.
    pub age_ms: u64,
}

/// What an instance knows about the cold time of an endpoint whose service limits the rate then.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdReport {
    /// Time until the end of the cold time, in milliseconds. Negative after the end.
    pub left_ms: i64,
    /// Requests per second that a cold endpoint of the service may get from all entry instances
    /// together. Above 0.
    pub per_s: f64,
    /// Requests were sent to the endpoint without tokens until less than [`COLD_PAUSE_MS`] ago.
    pub was_in_use: bool,
}

/// How far a cold endpoint's rate may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor by which the rate may be exceeded in any second.
    pub overrun: f64,
    /// Requests beyond that in any second.
    pub slack_requests: f64,
}

impl Default for ColdTolerance {
    fn default() -> ColdTolerance {
        ColdTolerance {
            overrun: 1.5,
            slack_requests: 5.0,
        }
    }
}

impl ColdTolerance {
    /// The rate that `shares` members may grant together for a cold endpoint that can handle
    /// `per_s`, in requests per second. The bound must hold if all their buckets are full at
    /// first. 0 if there are too many members for that.
    fn rate_per_s(&self, per_s: f64, shares: usize) -> f64 {
        let bound = per_s * self.overrun + self.slack_requests;
        let burst = (per_s / 1_000.0 * BURST_MS).max(shares as f64);
        per_s.min((bound - burst) / COLD_MARGIN).max(0.0)
    }
}

/// The limit of one endpoint, as one instance tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointLimit {
    /// Identifier of the endpoint in the registry.
    pub endpoint: String,
    /// What it last said.
    pub report: LimitReport,
    /// Its cold time, if it is cold or was until [`RAMP_MS`] ago.
    pub cold: Option<ColdReport>,
}

impl EndpointLimit {
    /// An endpoint that has set no limit.
    pub fn unlimited(endpoint: &str) -> EndpointLimit {
        EndpointLimit {
            endpoint: endpoint.to_string(),
            report: LimitReport {
                limit_per_s: None,
                age_ms: u64::MAX,
            },
            cold: None,
        }
    }
}

/// Result of a request for a token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SendGrant {
    /// Index of the endpoint in the request for which a token was granted. `None` if there was
    /// none for any of them.
    pub granted: Option<u32>,
    /// Time until the next token, in milliseconds, for each endpoint that had none, in the order
    /// of the request.
    pub waits_ms: Vec<u32>,
}

/// The limit that an endpoint has named.
#[derive(Debug)]
struct NamedLimit {
    /// The limit that a response named last.
    limit_per_s: f64,
    /// When the newest response that was reported arrived.
    heard_ms: u64,
    /// When the first response without a limit was reported. `None` while the limit holds.
    lifted_ms: Option<u64>,
}

impl NamedLimit {
    /// The rate to which all members together keep at the moment, in requests per second. `None`
    /// for no limit.
    fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let Some(lifted_ms) = self.lifted_ms else {
            return Some(self.limit_per_s);
        };
        ramped(self.limit_per_s, now_ms.saturating_sub(lifted_ms))
    }

    /// Whether it is still worth remembering.
    fn is_current(&self, now_ms: u64) -> bool {
        let (since_ms, lifetime_ms) = match self.lifted_ms {
            Some(lifted_ms) => (lifted_ms, LIFTED_LIFETIME_MS),
            None => (self.heard_ms, limit_lifetime_ms(self.limit_per_s)),
        };
        now_ms < since_ms + lifetime_ms
    }
}

/// The cold time of an endpoint.
#[derive(Clone, Copy, Debug)]
struct ColdTime {
    /// The latest end that was reported.
    until_ms: u64,
    /// The rate in the newest report. Above 0.
    per_s: f64,
    /// When this member heard of it first.
    since_ms: u64,
    /// The endpoint was in use without a limit, or with a higher one, before that.
    was_in_use: bool,
}

impl ColdTime {
    /// Like [`NamedLimit::rate_per_s`].
    fn rate_per_s(
        &self,
        now_ms: u64,
        tolerance: ColdTolerance,
        shares: usize,
    ) -> Option<f64> {
        let rate_per_s = tolerance.rate_per_s(self.per_s, shares);
        match now_ms < self.until_ms {
            true => Some(rate_per_s),
            false => ramped(rate_per_s, now_ms - self.until_ms),
        }
    }

    /// Whether the endpoint is cold, or the rate is still being raised after that.
    fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms + RAMP_MS
    }
}

/// The rate `elapsed_ms` after a limit of `limit_per_s` has ended. `None` once it is not limited
/// any more.
fn ramped(limit_per_s: f64, elapsed_ms: u64) -> Option<f64> {
    let factor = (elapsed_ms as f64 / RAMP_DOUBLING_MS).exp2();
    (elapsed_ms < RAMP_MS).then(|| limit_per_s.max(MIN_RAMP_RATE_PER_S) * factor)
}

/// What one member knows about the limits of one endpoint, and the tokens of its share.
#[derive(Debug, Default)]
struct LimitedEndpoint {
    named: Option<NamedLimit>,
    cold: Option<ColdTime>,
    /// Tokens of this member's share, as of `updated_ms`.
    tokens: f64,
    updated_ms: u64,
}

impl LimitedEndpoint {
    /// The smaller one of both limits, in requests per second. `None` for no limit.
    fn rate_per_s(
        &self,
        now_ms: u64,
        tolerance: ColdTolerance,
        shares: usize,
    ) -> Option<f64> {
        let named = self.named.as_ref();
        let named = named.filter(|named| named.is_current(now_ms));
        let named = named.and_then(|named| named.rate_per_s(now_ms));
        let cold = self.cold;
        let cold = cold.and_then(|cold| cold.rate_per_s(now_ms, tolerance, shares));
        named.into_iter().chain(cold).reduce(f64::min)
    }

    /// Whether it is still worth remembering.
    fn is_current(&self, now_ms: u64) -> bool {
        let named = self.named.as_ref();
        named.is_some_and(|named| named.is_current(now_ms))
            || self.cold.is_some_and(|cold| cold.is_current(now_ms))
    }

    /// When it was heard of last.
    fn last_ms(&self) -> u64 {
        let heard_ms = self.named.as_ref().map(|named| named.heard_ms);
        heard_ms
            .max(self.cold.map(|cold| cold.until_ms))
            .unwrap_or(0)
    }

    /// Removes all tokens: the requests that the endpoint has got without a limit are not known.
    /// New ones begin to accumulate at `from_ms`, which may lie ahead.
    fn empty(&mut self, from_ms: u64) {
        self.tokens = 0.0;
        self.updated_ms = self.updated_ms.max(from_ms);
    }

    /// Takes a token of a share of one in `shares`.
    ///
    /// # Errors
    ///
    /// The time until there is one, in milliseconds.
    fn take(
        &mut self,
        now_ms: u64,
        tolerance: ColdTolerance,
        shares: usize,
    ) -> Result<(), u32> {
        let Some(rate_per_s) = self.rate_per_s(now_ms, tolerance, shares) else {
            return Ok(());
        };
        let rate_per_ms = rate_per_s / 1_000.0 / shares.max(1) as f64;
        let capacity = (rate_per_ms * BURST_MS).max(1.0);
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.tokens = (self.tokens + elapsed_ms * rate_per_ms).min(capacity);
        self.updated_ms = self.updated_ms.max(now_ms);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let pause_ms = self.updated_ms.saturating_sub(now_ms) as f64;
        let wait_ms = pause_ms + (1.0 - self.tokens) / rate_per_ms;
        Err(wait_ms.ceil().min(MAX_WAIT_MS) as u32)
    }
}

/// The shares of all endpoints' limits that one member grants.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    /// By identifier of the endpoint. At most [`MAX_ENDPOINTS`].
    endpoints: HashMap<String, LimitedEndpoint>,
    /// How far the rates of cold endpoints may be exceeded.
    cold_tolerance: ColdTolerance,
    /// Limits forgotten for lack of room, since the start.
    evicted: u64,
}

impl EndpointLimits {
    /// The shares of a member that has heard of no limit.
    pub fn new(cold_tolerance: ColdTolerance) -> EndpointLimits {
        EndpointLimits {
            cold_tolerance,
            ..EndpointLimits::default()
        }
    }

    /// Number of endpoints that are cold or were until a moment ago.
    pub fn cold(&self, now_ms: u64) -> usize {
        let endpoints = self.endpoints.values();
        let cold = endpoints.filter_map(|endpoint| endpoint.cold);
        cold.filter(|cold| cold.is_current(now_ms)).count()
    }

    /// Number of endpoints that are remembered.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is remembered.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Number of limits forgotten for lack of room, since the start.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Takes what an entry instance reports. Returns whether the endpoint's limit has changed.
    ///
    /// The share of an endpoint that was not known begins without tokens: the requests that it
    /// has got from instances that had not heard of the limit are not known here.
    pub fn report(&mut self, now_ms: u64, limit: &EndpointLimit) -> bool {
        let heard_ms = now_ms.saturating_sub(limit.report.age_ms);
        let known = self.endpoints.get_mut(&limit.endpoint);
        let known = known.and_then(|endpoint| endpoint.named.as_mut());
        match (known, limit.report.limit_per_s) {
            (Some(known), _) if heard_ms <= known.heard_ms => false,
            (Some(known), Some(limit_per_s)) => {
                known.heard_ms = heard_ms;
                let was_lifted = known.lifted_ms.take().is_some();
                let before = std::mem::replace(&mut known.limit_per_s, limit_per_s);
                was_lifted || before != limit_per_s
            }
            (Some(known), None) => {
                known.heard_ms = heard_ms;
                let is_news = known.lifted_ms.is_none();
                known.lifted_ms.get_or_insert(now_ms);
                is_news
            }
            (None, Some(limit_per_s)) => {
                let endpoint = self.entry(&limit.endpoint);
                endpoint.named = Some(NamedLimit {
                    limit_per_s,
                    heard_ms,
                    lifted_ms: None,
                });
                endpoint.empty(now_ms);
                true
            }
            (None, None) => false,
        }
    }

    /// Takes what an instance reports about the cold time of an endpoint, or what the registry
    /// says. Returns whether that is news: the endpoint is cold again, or longer than was known.
    ///
    /// The share begins without tokens, as in [`EndpointLimits::report`], and after a pause if the
    /// endpoint was in use.
    pub fn report_cold(
        &mut self,
        now_ms: u64,
        endpoint: &str,
        report: ColdReport,
    ) -> bool {
        let left_ms = report.left_ms.min(MAX_COLD_MS as i64);
        let until_ms = now_ms.saturating_add_signed(left_ms);
        let reported = ColdTime {
            until_ms,
            per_s: report.per_s,
            since_ms: now_ms,
            was_in_use: report.was_in_use,
        };
        let is_rate = report.per_s.is_finite() && report.per_s > 0.0;
        if !reported.is_current(now_ms) || !is_rate {
            return false;
        }
        let endpoint = self.entry(endpoint);
        let known = endpoint.cold.filter(|known| known.is_current(now_ms));
        let is_news =
            known.is_none_or(|known| until_ms > known.until_ms + COLD_END_TOLERANCE_MS);
        let mut next = match known {
            Some(known) if !is_news => ColdTime {
                per_s: report.per_s,
                ..known
            },
            Some(known) if now_ms < known.until_ms => ColdTime {
                until_ms,
                per_s: report.per_s,
                ..known
            },
            // By then the rate has doubled.
            Some(known) if now_ms >= known.until_ms + RAMP_DOUBLING_MS as u64 => {
                ColdTime {
                    was_in_use: true,
                    ..reported
                }
            }
            _ => reported,
        };
        let is_start = next.since_ms == now_ms;
        let is_first_sign = report.was_in_use && !next.was_in_use;
        let resumes_ms = next.since_ms + COLD_PAUSE_MS;
        next.was_in_use |= report.was_in_use;
        endpoint.cold = Some(next);
        match next.was_in_use {
            true if (is_start || is_first_sign) && now_ms < resumes_ms => {
                endpoint.empty(resumes_ms);
            }
            false if is_start => endpoint.empty(now_ms),
            _ => {}
        }
        is_news && now_ms < until_ms
    }

    /// Grants a token of the first endpoint in `candidates` that has one, from a share of one in
    /// `shares`. An endpoint without a limit always has one.
    pub fn take(
        &mut self,
        now_ms: u64,
        candidates: &[EndpointLimit],
        shares: usize,
    ) -> SendGrant {
        let mut waits_ms = Vec::new();
        for (index, candidate) in (0..).zip(candidates) {
            self.report(now_ms, candidate);
            if let Some(cold) = candidate.cold {
                self.report_cold(now_ms, &candidate.endpoint, cold);
            }
            let tolerance = self.cold_tolerance;
            let endpoint = self.endpoints.get_mut(&candidate.endpoint);
            let endpoint = endpoint.filter(|endpoint| endpoint.is_current(now_ms));
            let taken = endpoint
                .map_or(Ok(()), |endpoint| endpoint.take(now_ms, tolerance, shares));
            match taken {
                Ok(()) => {
                    return SendGrant {
                        granted: Some(index),
                        waits_ms,
                    };
                }
                Err(wait_ms) => waits_ms.push(wait_ms),
            }
        }
        SendGrant {
            granted: None,
            waits_ms,
        }
    }

    /// The endpoints for which tokens are needed, with their newest reports.
    pub fn current(&self, now_ms: u64) -> Vec<EndpointLimit> {
        let endpoints = self.endpoints.iter();
        let listed = endpoints.map(|(id, endpoint)| {
            let unlimited = EndpointLimit::unlimited(id);
            let named = endpoint.named.as_ref().filter(|named| {
                named.is_current(now_ms) && named.rate_per_s(now_ms).is_some()
            });
            let cold = endpoint.cold.filter(|cold| cold.is_current(now_ms));
            EndpointLimit {
                report: named.map_or(unlimited.report, |named| LimitReport {
                    limit_per_s: named.lifted_ms.is_none().then_some(named.limit_per_s),
                    age_ms: now_ms.saturating_sub(named.heard_ms),
                }),
                cold: cold.map(|cold| ColdReport {
                    left_ms: cold.until_ms as i64 - now_ms as i64,
                    per_s: cold.per_s,
                    was_in_use: false,
                }),
                ..unlimited
            }
        });
        let is_limited = |limit: &EndpointLimit| {
            limit.cold.is_some() || limit.report.age_ms < u64::MAX
        };
        listed.filter(is_limited).collect()
    }

    /// Forgets limits that no response has named for long, and those that were lifted long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|_, endpoint| endpoint.is_current(now_ms));
    }

    /// What is known about an endpoint. Adds the endpoint if it was not known.
    fn entry(&mut self, endpoint: &str) -> &mut LimitedEndpoint {
        if !self.endpoints.contains_key(endpoint) {
            self.make_room();
        }
        self.endpoints.entry(endpoint.to_string()).or_default()
    }

    /// Removes the endpoint that was heard of longest ago if there is no room for another.
    fn make_room(&mut self) {
        if self.endpoints.len() < MAX_ENDPOINTS {
            return;
        }
        let endpoints = self.endpoints.iter();
        let oldest = endpoints.min_by_key(|(_, endpoint)| endpoint.last_ms());
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.endpoints.remove(&id);
            self.evicted += 1;
        }
    }
}
