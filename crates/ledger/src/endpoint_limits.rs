//! Rate limits that endpoints set: the share of each limit that one member grants.
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

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Tokens that can accumulate, as the time in which the rate yields them, in milliseconds. Short:
/// an endpoint that sets a limit has no room for a burst.
const BURST_MS: f64 = 250.0;

/// Time over which a lifted limit is raised, in milliseconds. Without it, all entry instances
/// would return to an endpoint that has just recovered in the same moment.
const RAMP_MS: u64 = 3_000;

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

/// The limit of one endpoint, as one instance tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointLimit {
    /// Identifier of the endpoint in the registry.
    pub endpoint: String,
    /// What it last said.
    pub report: LimitReport,
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

/// What one member knows about the limit of one endpoint, and the tokens of its share.
#[derive(Debug)]
struct LimitedEndpoint {
    /// The limit that a response named last.
    limit_per_s: f64,
    /// When the newest response that was reported arrived.
    heard_ms: u64,
    /// When the first response without a limit was reported. `None` while the limit holds.
    lifted_ms: Option<u64>,
    /// Tokens of this member's share, as of `updated_ms`.
    tokens: f64,
    updated_ms: u64,
}

impl LimitedEndpoint {
    /// The rate to which all members together keep at the moment, in requests per second. `None`
    /// for no limit.
    fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let Some(lifted_ms) = self.lifted_ms else {
            return Some(self.limit_per_s);
        };
        let elapsed_ms = now_ms.saturating_sub(lifted_ms);
        let factor = (elapsed_ms as f64 / RAMP_DOUBLING_MS).exp2();
        (elapsed_ms < RAMP_MS).then(|| self.limit_per_s.max(MIN_RAMP_RATE_PER_S) * factor)
    }

    /// Whether it is still worth remembering.
    fn is_current(&self, now_ms: u64) -> bool {
        let (since_ms, lifetime_ms) = match self.lifted_ms {
            Some(lifted_ms) => (lifted_ms, LIFTED_LIFETIME_MS),
            None => (self.heard_ms, limit_lifetime_ms(self.limit_per_s)),
        };
        now_ms < since_ms + lifetime_ms
    }

    /// Takes a token of a share of one in `shares`.
    ///
    /// # Errors
    ///
    /// The time until there is one, in milliseconds.
    fn take(&mut self, now_ms: u64, shares: usize) -> Result<(), u32> {
        let Some(rate_per_s) = self.rate_per_s(now_ms) else {
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
        let wait_ms = (1.0 - self.tokens) / rate_per_ms;
        Err(wait_ms.ceil().min(MAX_WAIT_MS) as u32)
    }
}

/// The shares of all endpoints' limits that one member grants.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    /// By identifier of the endpoint. At most [`MAX_ENDPOINTS`].
    endpoints: HashMap<String, LimitedEndpoint>,
    /// Limits forgotten for lack of room, since the start.
    evicted: u64,
}

impl EndpointLimits {
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
                self.make_room();
                let endpoint = LimitedEndpoint {
                    limit_per_s,
                    heard_ms,
                    lifted_ms: None,
                    tokens: 0.0,
                    updated_ms: now_ms,
                };
                self.endpoints.insert(limit.endpoint.clone(), endpoint);
                true
            }
            (None, None) => false,
        }
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
            let endpoint = self.endpoints.get_mut(&candidate.endpoint);
            let endpoint = endpoint.filter(|endpoint| endpoint.is_current(now_ms));
            match endpoint.map_or(Ok(()), |endpoint| endpoint.take(now_ms, shares)) {
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
        endpoints
            .filter(|(_, endpoint)| {
                endpoint.is_current(now_ms) && endpoint.rate_per_s(now_ms).is_some()
            })
            .map(|(id, endpoint)| EndpointLimit {
                endpoint: id.clone(),
                report: LimitReport {
                    limit_per_s: endpoint
                        .lifted_ms
                        .is_none()
                        .then_some(endpoint.limit_per_s),
                    age_ms: now_ms.saturating_sub(endpoint.heard_ms),
                },
            })
            .collect()
    }

    /// Forgets limits that no response has named for long, and those that were lifted long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|_, endpoint| endpoint.is_current(now_ms));
    }

    /// Removes the endpoint that was heard of longest ago if there is no room for another.
    fn make_room(&mut self) {
        if self.endpoints.len() < MAX_ENDPOINTS {
            return;
        }
        let endpoints = self.endpoints.iter();
        let oldest = endpoints.min_by_key(|(_, endpoint)| endpoint.heard_ms);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.endpoints.remove(&id);
            self.evicted += 1;
        }
    }
}
