//! What the choice of an endpoint is based on, for operators.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Balancer, Endpoint, EndpointKey, PickRequest};

/// What is known about one endpoint of a service, and how it ranks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedEndpoint {
    /// Its identifier in the registry.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Why it gets no requests, one reason: `draining`, `leaving`, `zone_evacuated` or
    /// `limit_reached`. `None` if it
    /// may get some.
    pub excluded: Option<String>,
    /// Why it gets requests only if there is no other: `failed` or `unreachable`.
    pub avoided: Option<String>,
    /// Rank among the endpoints; the lowest score is chosen.
    pub score: f64,
    /// Estimated requests, running and waiting, per slot.
    pub load_per_slot: f64,
    /// Requests of this instance that are in flight there.
    pub own_requests: u32,
    /// Requests that run there at the same time.
    pub slots: u32,
    /// Time to first byte, relative to the average of the service; at least 1.
    pub slowness: f64,
    /// Share of requests that failed lately, from 0 to 1.
    pub error_rate: f64,
    /// Whether a send needs a token, because the endpoint limits the rate of requests.
    pub needs_token: bool,
}

impl Balancer {
    /// All endpoints of a request's service, in the order in which they would be chosen. Those that
    /// get no requests are last.
    pub fn explain(
        &self,
        now_ms: u64,
        request: &PickRequest<'_>,
    ) -> Vec<ExplainedEndpoint> {
        let service = request.target.service;
        let scores: HashMap<EndpointKey, f64> = self
            .scored(now_ms, request)
            .iter()
            .map(|scored| (scored.key, scored.score))
            .collect();
        let endpoints = self.endpoints.iter();
        let mut explained: Vec<ExplainedEndpoint> = endpoints
            .filter(|(_, endpoint)| endpoint.entry.service == service)
            .map(|(key, endpoint)| {
                let score = scores.get(&key).copied();
                let score =
                    score.unwrap_or_else(|| endpoint.score(now_ms, self.timed(service)));
                self.explain_endpoint(now_ms, endpoint, score)
            })
            .collect();
        explained.sort_by(|a, b| {
            let is_excluded = |one: &ExplainedEndpoint| one.excluded.is_some();
            let by_exclusion = is_excluded(a).cmp(&is_excluded(b));
            by_exclusion.then(a.score.total_cmp(&b.score))
        });
        explained
    }

    fn explain_endpoint(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        score: f64,
    ) -> ExplainedEndpoint {
        let entry = &endpoint.entry;
        let excluded = match endpoint {
            _ if entry.is_draining => Some("draining"),
            _ if endpoint.is_leaving => Some("leaving"),
            _ if self.zones.is_evacuated(&entry.availability_zone) => {
                Some("zone_evacuated")
            }
            _ if endpoint.limit.wait_ms(now_ms) > 0 => Some("limit_reached"),
            _ => None,
        };
        let avoided = match endpoint {
            _ if endpoint.is_suspended => Some("unreachable"),
            _ if endpoint.paused_until_ms > now_ms => Some("failed"),
            _ => None,
        };
        ExplainedEndpoint {
            id: entry.id.clone(),
            address: entry.address.to_string(),
            zone: entry.availability_zone.clone(),
            excluded: excluded.map(str::to_string),
            avoided: avoided.map(str::to_string),
            score,
            load_per_slot: endpoint.load(now_ms),
            own_requests: endpoint.own_requests,
            slots: entry.slots,
            slowness: endpoint.slowness_at(now_ms),
            error_rate: endpoint.error_rate_at(now_ms),
            needs_token: endpoint.limit.needs_token(now_ms),
        }
    }
}
