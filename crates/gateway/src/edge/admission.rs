//! Checks that a request must pass before it is sent: route, API key, available endpoints,
//! contact with the storage group, and body.

use std::time::Duration;

use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use jayreel_ledger::{MAX_TURN_INPUT_BYTES, QuotaPurpose, QuotaRequest, TurnBudget};
use rand::RngExt;

use crate::clock::now_ms;
use crate::config::{CallKind, Configuration, Customer, Route};
use crate::edge::Edge;
use crate::edge::call::{NO_CAPACITY_RETRY_AFTER_MS, NO_ENDPOINT_RETRY_AFTER_MS};
use crate::edge::collect::{CollectError, Collected, collect_request};
use crate::edge::members::STORAGE_FULL_PAUSE_MS;
use crate::edge::memory::MemoryAccount;
use crate::edge::refusal::Refusal;
use crate::home_regions::{HomeZones, Target};
use crate::protocol::CallHead;

/// Retry-After while the configuration is stale although a quorum of members responds, in
/// milliseconds. The metadata store is then down for all instances, probably for longer than
/// one read takes.
const STALE_RETRY_AFTER_MS: u64 = 500;

/// Range over which the returns of callers are spread that were refused because of endpoints'
/// limits, in milliseconds.
const LIMIT_RETRY_SPREAD_MS: u64 = 500;

/// Bounds of Retry-After for such callers, in milliseconds. The limit may be lifted at any time.
const LIMIT_RETRY_AFTER_BOUNDS_MS: (u64, u64) = (150, 1_000);

/// Describes the rate-limit token that a request needs.
pub(crate) fn quota_request(
    edge: &Edge,
    route: &Route,
    call: &CallHead,
    name: &str,
    customer: &Customer,
) -> QuotaRequest {
    let program = call.program.as_ref();
    let is_turn = matches!(route.kind, CallKind::Stream { .. });
    let has_started = program.is_some_and(|program| {
        call.previous_turn.is_some() || edge.affinity.borrow().contains_key(&program.id)
    });
    QuotaRequest {
        customer: name.to_string(),
        program: program.map(|program| program.id.clone()),
        requests: 1,
        quota_purpose: match has_started {
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

/// Refusal for a missing or stale configuration. If there is no quorum either, this instance is
/// cut off or has just started, and Retry-After depends on which.
fn stale_configuration(edge: &Edge) -> Refusal {
    let retry_after_ms = match edge.members.contact().has_quorum(now_ms()) {
        true => STALE_RETRY_AFTER_MS,
        false => edge.members.retry_after_ms(),
    };
    Refusal::retry_later("configuration_old", retry_after_ms)
}

/// Finds the route of a request. Status 404 is returned only while the configuration is recent:
/// an older one may lack a new route.
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
        None => Err(stale_configuration(edge)),
    }
}

/// Finds the customer that the caller's API key belongs to. `None` if the route is public or no
/// customers are configured.
///
/// The key is accepted only if the configuration was confirmed within the revocation bound.
/// Status 401 is returned only while it is recent: an older one may lack a new key.
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
        _ if !is_fresh => Err(stale_configuration(edge).closing_connection()),
        Some((name, customer)) => Ok(Some((name.to_string(), customer.clone()))),
        None if edge.is_configuration_recent() => {
            Err(Refusal::denied(StatusCode::UNAUTHORIZED, "unknown_key"))
        }
        None => Err(stale_configuration(edge)),
    }
}

/// Chooses one of the route's services at random, in proportion to the weights.
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

/// Refuses a request early if its service has no endpoint, or all its endpoints are overloaded.
pub(crate) fn check_endpoints(edge: &Edge, target: Target<'_>) -> Result<(), Refusal> {
    let balancer = edge.balancer.borrow();
    match balancer.serves(target) {
        false => Err(Refusal::retry_later(
            "no_endpoint",
            NO_ENDPOINT_RETRY_AFTER_MS,
        )),
        true if balancer.is_overloaded(now_ms(), target) => {
            Err(overload_refusal(edge, target, "overloaded"))
        }
        true => Ok(()),
    }
}

/// Refuses a request early if its turns cannot be stored, because too few members are in the zones
/// in which they may be.
pub(crate) fn check_home_members(
    edge: &Edge,
    route: &Route,
    home: Option<&HomeZones>,
) -> Result<(), Refusal> {
    let zones = home.map(|home| &home.members);
    match route.stores_turns && !edge.members.can_store_in(zones) {
        true => Err(Refusal::retry_later(
            "no_member_in_region",
            NO_ENDPOINT_RETRY_AFTER_MS,
        )),
        false => Ok(()),
    }
}

/// Refusal while no endpoint of a service can take a request. If all of them have reached their
/// limits, Retry-After is the time until the next token, and up to `LIMIT_RETRY_SPREAD_MS` more so
/// that callers do not all return for the same one.
pub(crate) fn overload_refusal(
    edge: &Edge,
    target: Target<'_>,
    reason: &'static str,
) -> Refusal {
    match edge.balancer.borrow().limit_wait_ms(now_ms(), target) {
        Some(wait_ms) => {
            let spread_ms = rand::rng().random_range(0..LIMIT_RETRY_SPREAD_MS);
            let (min_ms, max_ms) = LIMIT_RETRY_AFTER_BOUNDS_MS;
            let retry_after_ms = (wait_ms + spread_ms).clamp(min_ms, max_ms);
            Refusal::retry_later("endpoint_limit", retry_after_ms)
        }
        None => Refusal::retry_later(reason, NO_CAPACITY_RETRY_AFTER_MS),
    }
}

/// Refuses a request early if it needs the storage group and the contact with it is lost or its
/// disks are full. Budgets and stored turns need a quorum; a rate-limit token needs one member.
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
    let needs_quorum = is_stream && (budget.is_some() || route.stores_turns);
    let contact = edge.members.contact();
    let now_ms = now_ms();
    match (needs_quorum, needs_quota) {
        (true, _) if !contact.has_quorum(now_ms) => Err(Refusal::retry_later(
            "group_lost",
            edge.members.retry_after_ms(),
        )
        .closing_connection()),
        (true, _) if edge.members.is_storage_full(now_ms) => {
            Err(Refusal::retry_later("storage_full", STORAGE_FULL_PAUSE_MS))
        }
        (false, true) if !contact.has_member(now_ms) => Err(Refusal::retry_later(
            "group_lost",
            edge.members.retry_after_ms(),
        )
        .closing_connection()),
        _ => Ok(()),
    }
}

/// Refusal while there is not enough memory for a request, which needs so many bytes. Retry-After is
/// the time in which they are released, and up to half as much again so that callers do not all
/// return for the same ones. The connection closes, since other instances may have memory.
pub(crate) fn memory_refusal(account: &MemoryAccount, bytes: usize) -> Refusal {
    let wait_ms = account.reject(bytes);
    let spread_ms = rand::rng().random_range(0..=wait_ms / 2);
    Refusal::retry_later("out_of_memory", wait_ms + spread_ms).closing_connection()
}

/// Largest request body on a route, in bytes. A turn that is stored must also fit into the messages
/// of the storage group.
fn max_body_bytes(configuration: &Configuration, route: &Route) -> usize {
    let max_bytes = configuration.limits.max_body_bytes;
    match route.stores_turns {
        true => max_bytes.min(MAX_TURN_INPUT_BYTES),
        false => max_bytes,
    }
}

/// Reads the whole body, within the size limit of the route, the memory for request bodies and
/// `timeout_ms`.
pub(crate) async fn read_body(
    edge: &Edge,
    configuration: &Configuration,
    route: &Route,
    body: Incoming,
    timeout_ms: u64,
) -> Result<Collected, Refusal> {
    let max_bytes = max_body_bytes(configuration, route);
    let timeout = Duration::from_millis(timeout_ms);
    let memory = &edge.request_memory;
    let collected = collect_request(memory, body, max_bytes, timeout).await;
    collected.map_err(|error| match error {
        CollectError::TooLong => {
            Refusal::denied(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
        }
        CollectError::OutOfMemory { bytes } => memory_refusal(memory, bytes),
        CollectError::BrokenOff => {
            Refusal::denied(StatusCode::BAD_REQUEST, "body_broken_off")
        }
        CollectError::TimedOut => {
            Refusal::denied(StatusCode::REQUEST_TIMEOUT, "body_late")
        }
    })
}
