//! Choice of an endpoint within the rate limits that endpoints set.
//!
//! A request to an endpoint with a limit needs a token, which the members of the storage group
//! grant. What such an endpoint cannot take goes to others; only if all of them have reached
//! their limits is the request refused.

use jayreel_ledger::EndpointLimit;

use crate::balance::{EndpointKey, Pick};
use crate::clock::now_ms;
use crate::edge::Edge;
use crate::home_regions::Target;
use crate::log_fields::OrNone;

/// Rounds in which endpoints are chosen for one send. In each one, other instances may take the
/// tokens first.
const MAX_ROUNDS: usize = 3;

/// Shortest time for which an endpoint without tokens is left out, in milliseconds: members are
/// not asked again within the round trips of the last request.
const MIN_EXHAUSTED_MS: u64 = 10;

/// How long an endpoint is left out if no member responded, in milliseconds.
const NO_MEMBER_PAUSE_MS: u64 = 100;

impl Edge {
    /// Chooses an endpoint like `Balancer::pick`, and takes a token for it if it needs one.
    pub(crate) async fn pick_within_limits(
        &self,
        target: Target<'_>,
        affinity: Option<&str>,
        tried: &[String],
    ) -> Option<Pick> {
        for _ in 0..MAX_ROUNDS {
            let best = self
                .balancer
                .borrow()
                .pick(now_ms(), target, affinity, tried)?;
            if !best.needs_token {
                return Some(best);
            }
            let candidates =
                self.balancer
                    .borrow()
                    .candidates(now_ms(), target, affinity, tried);
            let pick = self.take_send(target.service, candidates).await;
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
        for member in self.members.nearest_first(service) {
            let limits = self.limit_reports(&limited);
            let Some(grant) = self.members.take_send(&member, limits).await else {
                continue;
            };
            let granted = grant.granted.and_then(|index| limited.get(index as usize));
            if let Some(pick) = granted {
                self.metrics.limited_send("granted");
                return Some(pick.clone());
            }
            for (shortest_ms, wait_ms) in waits_ms.iter_mut().zip(grant.waits_ms) {
                let wait_ms = u64::from(wait_ms);
                *shortest_ms = Some(shortest_ms.map_or(wait_ms, |ms| ms.min(wait_ms)));
            }
        }
        self.metrics.limited_send("denied");
        let mut balancer = self.balancer.borrow_mut();
        for (pick, wait_ms) in limited.iter().zip(waits_ms) {
            let wait_ms = wait_ms.unwrap_or(NO_MEMBER_PAUSE_MS);
            balancer.exhaust_limit(now_ms(), pick.key, wait_ms.max(MIN_EXHAUSTED_MS));
        }
        unlimited.into_iter().next()
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
}
