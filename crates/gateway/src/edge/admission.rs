//! Whether a request may run: its route, its customer, what it needs that is there.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use jayreel_ledger::{QuotaPurpose, QuotaRequest, TurnBudget};
use rand::RngExt;

use crate::clock::now_ms;
use crate::config::{CallKind, Configuration, Customer, Route};
use crate::edge::Edge;
use crate::edge::call::{NO_ENDPOINT_RETRY_MS, NO_ROOM_RETRY_MS};
use crate::edge::refusal::Refusal;
use crate::protocol::CallHead;

/// Retry-After while the configuration is too old though members answer, in milliseconds: the
/// store is down for all, probably for longer than a read takes.
const STALE_RETRY_MS: u64 = 500;

/// The token that a request needs.
pub(crate) fn quota_want(
    edge: &Edge,
    route: &Route,
    call: &CallHead,
    name: &str,
    customer: &Customer,
) -> QuotaRequest {
    let program = call.program.as_ref();
    let is_turn = matches!(route.kind, CallKind::Stream { .. });
    let has_begun = program.is_some_and(|program| {
        call.previous_turn.is_some() || edge.affinity.borrow().contains_key(&program.id)
    });
    QuotaRequest {
        customer: name.to_string(),
        program: program.map(|program| program.id.clone()),
        requests: 1,
        quota_purpose: match has_begun {
            true => QuotaPurpose::ContinueProgram,
            false => QuotaPurpose::StartProgram,
        },
        budget: program.filter(|_| is_turn).and_then(|program| {
            Some(TurnBudget {
                budget_tokens: program.budget_tokens?,
                max_turn_tokens: call.reserved_tokens(),
            })
        }),
        limit: customer.limit,
    }
}

/// The configuration is missing or too old. An instance that has lost the group as well is cut
/// off, or has just started.
fn configuration_old(edge: &Edge) -> Refusal {
    let retry_ms = match edge.members.contact().has_quorum(now_ms()) {
        true => STALE_RETRY_MS,
        false => edge.members.retry_ms(),
    };
    Refusal::not_now("configuration_old", retry_ms)
}

/// The route of a request.
pub(crate) fn find_route<'a>(
    edge: &Edge,
    configuration: &'a Configuration,
    call: &CallHead,
    parts: &Parts,
) -> Result<&'a Route, Refusal> {
    match configuration.route(&call.host, parts.uri.path()) {
        Some(route) => Ok(route),
        None if edge.is_configuration_recent() => {
            Err(Refusal::denied(StatusCode::NOT_FOUND, "no_route"))
        }
        None => Err(configuration_old(edge)),
    }
}

/// The customer that holds the caller's key, unless the route is open to all.
pub(crate) fn find_customer(
    edge: &Edge,
    configuration: &Configuration,
    route: &Route,
    call: &CallHead,
    arrived_ms: u64,
) -> Result<Option<(String, Customer)>, Refusal> {
    if route.is_open || configuration.customers.is_empty() {
        return Ok(None);
    }
    let revocation_ms = edge.settings.bounds.revocation_ms;
    let is_fresh = edge.freshness.borrow().admits(arrived_ms, revocation_ms);
    let key = call.key.as_deref();
    match key.and_then(|key| configuration.customer_of(key)) {
        _ if !is_fresh => Err(configuration_old(edge).moving_on()),
        Some((name, customer)) => Ok(Some((name.to_string(), customer))),
        None if edge.is_configuration_recent() => {
            Err(Refusal::denied(StatusCode::UNAUTHORIZED, "unknown_key"))
        }
        None => Err(configuration_old(edge)),
    }
}

/// A service of the route, at random by the shares.
pub(crate) fn choose_service(route: &Route) -> String {
    let total: u32 = route.services.iter().map(|share| share.weight).sum();
    let mut point = rand::rng().random_range(0..total.max(1));
    for share in &route.services {
        match point.checked_sub(share.weight) {
            Some(rest) => point = rest,
            None => return share.service.clone(),
        }
    }
    route.services[0].service.clone()
}

/// Refuses at once what no endpoint can take.
pub(crate) fn check_endpoints(edge: &Edge, service: &str) -> Result<(), Refusal> {
    let balancer = edge.balancer.borrow();
    match balancer.serves(service) {
        false => Err(Refusal::not_now("no_endpoint", NO_ENDPOINT_RETRY_MS)),
        true if balancer.is_overloaded(now_ms(), service) => {
            Err(Refusal::not_now("overloaded", NO_ROOM_RETRY_MS))
        }
        true => Ok(()),
    }
}

/// Refuses at once what needs the group while it is not in contact.
pub(crate) fn check_group(
    edge: &Edge,
    route: &Route,
    call: &CallHead,
    needs_quota: bool,
) -> Result<(), Refusal> {
    let budget = call
        .program
        .as_ref()
        .and_then(|program| program.budget_tokens);
    let is_stream = matches!(route.kind, CallKind::Stream { .. });
    let needs_quorum = is_stream && (budget.is_some() || route.keeps_turns);
    let contact = edge.members.contact();
    let now_ms = now_ms();
    match (needs_quorum, needs_quota) {
        (true, _) if !contact.has_quorum(now_ms) => {
            Err(Refusal::not_now("group_lost", edge.members.retry_ms()).moving_on())
        }
        (false, true) if !contact.has_member(now_ms) => {
            Err(Refusal::not_now("group_lost", edge.members.retry_ms()).moving_on())
        }
        _ => Ok(()),
    }
}

/// The whole body, within the limits for callers.
pub(crate) async fn read_body(
    configuration: &Configuration,
    body: Incoming,
    limit_ms: u64,
) -> Result<Bytes, Refusal> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, configuration.limits.body_bytes);
    let reading =
        tokio::time::timeout(Duration::from_millis(limit_ms), limited.collect());
    match reading.await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(
            Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        ),
        Ok(Err(_)) => Err(Refusal::denied(StatusCode::BAD_REQUEST, "body_broken_off")),
        Err(_) => Err(Refusal::denied(StatusCode::REQUEST_TIMEOUT, "body_late")),
    }
}
