//! Choice of an endpoint within the rate limits that endpoints set, and those of cold endpoints.
//!
//! A request to an endpoint with a limit needs a token, which the members of the storage group
//! grant. What such an endpoint cannot take goes to others; only if all of them have reached
//! their limits is the request refused.

use jayreel_ledger::{EndpointLimit, Member};

use crate::balance::{EndpointKey, Pick, PickRequest};
use crate::clock::now_ms;
use crate::edge::Edge;
use crate::log_fields::OrNone;

/// Rounds in which endpoints are chosen for one send. In each one, other instances may take the
/// tokens first.
const MAX_ROUNDS: usize = 3;

/// Shortest time for which an endpoint without tokens is left out, in milliseconds: members are
/// not asked again within the round trips of the last request.
const MIN_EXHAUSTED_MS: u64 = 10;

/// How long an endpoint is left out if no member responded, in milliseconds.
const NO_MEMBER_PAUSE_MS: u64 = 100;

/// Number of members that are asked for a token of a cold endpoint if another endpoint needs none.
/// Callers wait for each round trip, and while an endpoint is cold most requests get no token.
const MAX_COLD_SOURCES: usize = 2;

/// Number of orders in which members are asked for tokens of cold endpoints, so that those asked
/// first vary and all grant their shares.
const COLD_ORDERS: u64 = 16;

/// Age at which a token of a cold endpoint is not used any more, in milliseconds, counted from the
/// request for it. An instance that was stopped meanwhile would use tokens of several seconds at
/// once.
const MAX_COLD_TOKEN_AGE_MS: u64 = 150;

impl Edge {
    /// Chooses an endpoint like `Balancer::choose`, and takes a token for it if it needs one.
    pub(crate) async fn pick_within_limits(
        &self,
        request: &PickRequest<'_>,
    ) -> Option<Pick> {
        for _ in 0..MAX_ROUNDS {
            let best = self.balancer.borrow().choose(now_ms(), request)?;
            if !best.needs_token {
                return Some(best);
            }
            let choices = self.balancer.borrow().choices(now_ms(), request);
            let pick = self.take_send(request.target.service, choices).await;
            if pick.is_some() {
                return pick;
            }
        }
        None
    }

    /// Takes a token for the first of `candidates` that has one. If none has, returns the last one
    /// if it needs no token, and leaves out the others until they have tokens again.
    async fn take_send(&self, service: &str, candidates: Vec<Pick>) -> Option<Pick> {
        let (limited, unlimited): (Vec<Pick>, Vec<Pick>) =
            candidates.into_iter().partition(|pick| pick.needs_token);
        let mut waits_ms: Vec<Option<u64>> = vec![None; limited.len()];
        let has_cold = limited.iter().any(|pick| pick.is_cold);
        for member in self.token_sources(service, has_cold, !unlimited.is_empty()) {
            let limits = self.limit_reports(&limited);
            let requested_ms = now_ms();
            let Some(grant) = self.members.take_send(&member, limits).await else {
                continue;
            };
            let granted = grant.granted.and_then(|index| limited.get(index as usize));
            let age_ms = now_ms().saturating_sub(requested_ms);
            match granted {
                Some(pick) if pick.is_cold && age_ms > MAX_COLD_TOKEN_AGE_MS => {
                    self.metrics.cold_send("expired");
                    continue;
                }
                Some(pick) => {
                    self.metrics.limited_send("granted");
                    if pick.is_cold {
                        self.metrics.cold_send("granted");
                    }
                    return Some(pick.clone());
                }
                None => {}
            }
            for (shortest_ms, wait_ms) in waits_ms.iter_mut().zip(grant.waits_ms) {
                let wait_ms = u64::from(wait_ms);
                *shortest_ms = Some(shortest_ms.map_or(wait_ms, |ms| ms.min(wait_ms)));
            }
        }
        self.metrics.limited_send("denied");
        if has_cold {
            self.metrics.cold_send("denied");
        }
        let mut balancer = self.balancer.borrow_mut();
        for (pick, wait_ms) in limited.iter().zip(waits_ms) {
            let wait_ms = wait_ms.unwrap_or(NO_MEMBER_PAUSE_MS);
            balancer.exhaust_limit(now_ms(), pick.key, wait_ms.max(MIN_EXHAUSTED_MS));
        }
        unlimited.into_iter().next()
    }

    /// The members to ask for a token, in this order.
    fn token_sources(
        &self,
        service: &str,
        has_cold: bool,
        has_unlimited: bool,
    ) -> Vec<Member> {
        if !has_cold {
            return self.members.nearest_first(service);
        }
        let now_ms = now_ms();
        // Without contact nobody answers, and the request would wait for each member in turn.
        if !self.members.contact().has_member(now_ms) {
            return Vec::new();
        }
        let key = format!("{service}/{}", now_ms % COLD_ORDERS);
        let mut members = self.members.nearest_first(&key);
        if has_unlimited {
            members.truncate(MAX_COLD_SOURCES);
        }
        members
    }

    fn limit_reports(&self, picks: &[Pick]) -> Vec<EndpointLimit> {
        let balancer = self.balancer.borrow();
        let report = |pick: &Pick| {
            let report = balancer.limit_report(now_ms(), pick.key);
            // An endpoint that is gone keeps its place in the list, without a limit.
            report.unwrap_or_else(|| EndpointLimit::unlimited(&pick.id))
        };
        picks.iter().map(report).collect()
    }

    /// Records the limit that the response of an endpoint named, or that it named none, and tells
    /// the members if that is news.
    pub(crate) fn record_endpoint_limit(
        &self,
        key: EndpointKey,
        sent_ms: u64,
        limit_per_s: Option<f64>,
    ) {
        let mut balancer = self.balancer.borrow_mut();
        let news = balancer.hear_limit(now_ms(), sent_ms, key, limit_per_s);
        drop(balancer);
        if let Some(limit) = news {
            log::info!(
                "event=endpoint_limit endpoint={} limit_per_s={} source=response",
                limit.endpoint,
                OrNone(limit_per_s),
            );
            self.members.report_limit(limit);
        }
    }

    /// Records the cold time that the response of an endpoint named, and tells the members if that
    /// is news.
    pub(crate) fn record_endpoint_cold(&self, key: EndpointKey, left_ms: u64) {
        let news = self.balancer.borrow_mut().hear_cold(now_ms(), key, left_ms);
        if let Some(limit) = news {
            log::info!(
                "event=endpoint_cold endpoint={} left_ms={left_ms} source=response",
                limit.endpoint,
            );
            self.members.report_limit(limit);
        }
    }
}
