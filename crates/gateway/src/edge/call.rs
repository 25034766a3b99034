//! Handles one request from arrival to response: admission, choice of an endpoint, retries,
//! and the preparation of a turn (its prompt and its token reservation).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use jayreel_ledger::{
    Decision, ProgramKey, RequestFingerprints, RequestIdentity, Reservation, TurnRecord,
};

use crate::balance::Pick;
use crate::clock::now_ms;
use crate::config::{CallKind, Route};
use crate::edge::admission::{
    check_endpoints, check_group, check_home_members, choose_service, find_customer,
    find_route, overload_refusal, quota_request, read_body,
};
use crate::edge::body::CallBody;
use crate::edge::collect::{CollectError, Collected};
use crate::edge::exchange::{
    EndpointResponse, OutgoingRequest, SendTimeouts, send, set_aside,
};
use crate::edge::forward::read_body as read_response_body;
use crate::edge::hedge::{Answered, HedgedSend, SendProgress};
use crate::edge::history::assemble_prompt;
use crate::edge::members::STORAGE_FULL_PAUSE_MS;
use crate::edge::memory::Claim;
use crate::edge::refusal::Refusal;
use crate::edge::shutdown::Shutdown;
use crate::edge::stream::{self, BudgetReservation, StreamCall};
use crate::edge::{DisconnectLogger, Edge, RequestLogFields};
use crate::home_regions::{HomeZones, Target};
use crate::http_connection::SegmentedBody;
use crate::protocol::CallHead;
use crate::quota_buffer::BufferedToken;
use crate::retry::{Attempt, Outcome, RetryPolicy, Step};
use crate::urgency::engine_priority;

/// A request with less time left than this, in milliseconds, is not sent: an idle endpoint
/// needs about this long for the shortest requests.
const MIN_SEND_TIME_MS: u64 = 10;

/// Retry-After while the storage group has no quorum, in milliseconds: the members are probed
/// again about this soon after a failure.
pub(crate) const NO_QUORUM_RETRY_AFTER_MS: u64 = 300;

/// Retry-After while all endpoints are at capacity, in milliseconds: about the duration of one
/// request.
pub(crate) const NO_CAPACITY_RETRY_AFTER_MS: u64 = 250;

/// Retry-After while no endpoint is available, in milliseconds: the first pause
/// after an endpoint has failed.
pub(crate) const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 250;

/// Retry-After while this instance shuts down, in milliseconds. Other instances serve.
const STOPPING_RETRY_AFTER_MS: u64 = 10;

/// Turns are kept for this much longer than the route's retention, in milliseconds: clocks
/// differ between machines, and renewals are sent in batches.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// An instance keeps up to 1/32 of the connections that an endpoint accepts as idle
/// connections. The fraction is fixed since instances do not know how many of them share the
/// endpoint.
const IDLE_CONNECTION_DIVISOR: usize = 32;

/// Idle connections kept to each endpoint in addition to that fraction.
const MIN_IDLE_CONNECTIONS: usize = 2;

/// A request that passed admission, with everything needed to send it to endpoints.
pub(crate) struct AdmittedCall {
    pub route: Route,
    pub service: String,
    /// The zones to which the request is restricted. `None` without home regions.
    pub home: Option<HomeZones>,
    pub call: CallHead,
    pub outgoing: OutgoingRequest,
    /// The body that the caller sent.
    pub input: Bytes,
    /// Memory of `input`.
    pub input_claim: Rc<Claim>,
    pub arrived_ms: u64,
    /// Time limit, in milliseconds from the arrival: the caller's deadline or the route's
    /// timeout, whichever is shorter.
    pub timeout_ms: u64,
    /// The customer's rate-limit token that the request consumed. `None` if no token was needed
    /// or a member granted it directly.
    pub token: Option<BufferedToken>,
    /// Model tokens that each event of the response stands for; charged to the budget.
    pub event_tokens: u32,
    /// Tokens that the memory of one engine holds. `None` if that is not known.
    pub engine_memory_tokens: Option<u32>,
    /// The endpoint to which it was last sent. `None` before the first send.
    pub endpoint: Rc<RefCell<Option<String>>>,
    /// Limits the time further once the instance shuts down.
    pub shutdown: Rc<Shutdown>,
}

impl AdmittedCall {
    /// 0 once the time limit has passed, or responses are due because the instance shuts down.
    pub(crate) fn time_left_ms(&self) -> u64 {
        let elapsed_ms = now_ms().saturating_sub(self.arrived_ms);
        let time_left_ms = self.timeout_ms.saturating_sub(elapsed_ms);
        let until_shutdown_ms = self.shutdown.time_left_ms();
        until_shutdown_ms.map_or(time_left_ms, |left_ms| left_ms.min(time_left_ms))
    }

    pub(crate) fn send_timeouts(&self, attempt: &Attempt) -> SendTimeouts {
        let time_left_ms = self.time_left_ms();
        let target_ms = self.route.target_ms;
        SendTimeouts {
            time_left_ms,
            head_timeout_ms: attempt.response_timeout_ms(
                self.policy(),
                target_ms,
                time_left_ms,
            ),
        }
    }

    pub(crate) fn policy(&self) -> RetryPolicy {
        RetryPolicy {
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
        }
    }

    /// The endpoints that may run it.
    pub(crate) fn target(&self) -> Target<'_> {
        Target {
            service: &self.service,
            zones: self.home.as_ref().map(|home| &home.endpoints),
        }
    }

    pub(crate) fn program(&self) -> Option<&str> {
        self.call
            .program
            .as_ref()
            .map(|program| program.id.as_str())
    }
}

/// Handles one request of a caller. Errors become responses too.
pub(crate) async fn handle_request(
    edge: Rc<Edge>,
    request: Request<Incoming>,
) -> Response<CallBody> {
    let arrived_ms = now_ms();
    let (parts, body) = request.into_parts();
    let call = match edge.protocol.decode_call(&parts) {
        Ok(call) => call,
        Err(error) => {
            log::info!("event=call_unreadable reason={error:?}");
            edge.metrics.refused("unreadable");
            return Refusal::denied(StatusCode::BAD_REQUEST, "unreadable").response();
        }
    };
    let endpoint = Rc::default();
    let disconnect_logger = DisconnectLogger {
        request: RequestLogFields::new(&edge, &call, arrived_ms),
        endpoint: Rc::clone(&endpoint),
        is_disarmed: false,
    };
    let sent_to = Rc::clone(&endpoint);
    let result = tokio::select! {
        biased;
        result = admit_and_run(&edge, call, &parts, body, arrived_ms, endpoint) => result,
        () = edge.shutdown.wait_until_due() => Err(shutdown_refusal(sent_to.borrow().is_some())),
    };
    let response = result.unwrap_or_else(|refusal| {
        edge.log_refusal(&disconnect_logger.request, &refusal);
        refusal.response()
    });
    disconnect_logger.disarm();
    response
}

/// The response to a request that cannot end before the instance does.
fn shutdown_refusal(may_have_run: bool) -> Refusal {
    match may_have_run {
        true => Refusal::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "stopping"),
        false => Refusal::retry_later("stopping", STOPPING_RETRY_AFTER_MS),
    }
}

/// Refuses a request that would not end before the instance does, as far as others of its route
/// tell. Without any, it may need all its time.
fn check_shutdown(
    edge: &Edge,
    route: &Route,
    arrived_ms: u64,
    timeout_ms: u64,
) -> Result<(), Refusal> {
    let Some(left_ms) = edge.shutdown.time_left_ms() else {
        return Ok(());
    };
    let longest_ms = timeout_ms.saturating_sub(now_ms().saturating_sub(arrived_ms));
    let expected_ms = edge.durations.borrow().expected_ms(&route.name);
    match expected_ms.unwrap_or(longest_ms).min(longest_ms) <= left_ms {
        true => Ok(()),
        false => Err(shutdown_refusal(false)),
    }
}

async fn admit_and_run(
    edge: &Rc<Edge>,
    call: CallHead,
    parts: &Parts,
    body: Incoming,
    arrived_ms: u64,
    endpoint: Rc<RefCell<Option<String>>>,
) -> Result<Response<CallBody>, Refusal> {
    let mut admitted = admit(edge, call, parts, body, arrived_ms).await?;
    admitted.endpoint = endpoint;
    match admitted.route.kind {
        CallKind::Stream { .. } => run_stream(edge, admitted).await,
        CallKind::Idempotent | CallKind::Once => run_plain(edge, &admitted).await,
    }
}

/// Checks whether a request may run. Checks on local state come before the body is read. The
/// rate limit comes last, since it consumes a token.
async fn admit(
    edge: &Rc<Edge>,
    call: CallHead,
    parts: &Parts,
    body: Incoming,
    arrived_ms: u64,
) -> Result<AdmittedCall, Refusal> {
    let configuration = edge.configuration();
    let route = find_route(edge, &configuration, &call, parts)?.clone();
    let customer = find_customer(edge, &configuration, &route, &call, arrived_ms)?;
    let timeout_ms = call.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    check_shutdown(edge, &route, arrived_ms, timeout_ms)?;
    let service = choose_service(&route);
    let customer_regions = customer
        .as_ref()
        .map(|(_, one)| one.home_regions.as_slice());
    let home = edge.settings.regions.home_zones(
        &edge.settings.availability_zone,
        &route.home_regions,
        customer_regions.unwrap_or_default(),
    );
    let target = Target {
        service: &service,
        zones: home.as_ref().map(|home| &home.endpoints),
    };
    check_endpoints(edge, target)?;
    check_home_members(edge, &route, home.as_ref())?;
    check_group(edge, &route, &call, customer.is_some())?;
    edge.check_program(&configuration, &route, &service, &call, customer.as_ref())?;
    let Collected {
        content: body,
        claim: body_claim,
    } = read_body(edge, &configuration, &route, body, timeout_ms).await?;
    let input_claim = Rc::new(body_claim);
    let target = origin_form(parts);
    let fingerprints = RequestFingerprints::of(&RequestIdentity {
        method: parts.method.as_str(),
        host: &call.host,
        target: &target.to_string(),
        customer: customer.as_ref().map_or("", |(name, _)| name.as_str()),
        body: &body,
    });
    edge.check_crashes(&fingerprints)?;
    let token = match &customer {
        Some((name, customer)) => {
            let request = quota_request(edge, &route, &call, name, customer);
            edge.take_quota(request, configuration.version).await?
        }
        None => None,
    };
    let settings = configuration.services.get(&service);
    let engine = settings.and_then(|service| service.engine);
    let max_connections = settings.map_or(0, |service| service.max_connections);
    let priority = customer
        .as_ref()
        .and_then(|(_, customer)| customer.priority);
    let rank = priority.unwrap_or(route.priority);
    Ok(AdmittedCall {
        service,
        home,
        outgoing: OutgoingRequest {
            method: parts.method.clone(),
            uri: target,
            headers: parts.headers.clone(),
            body: SegmentedBody::new(vec![body.clone()], Rc::clone(&input_claim) as _),
            request_id: call.request_id.clone(),
            fingerprints,
            customer: customer.map(|(name, _)| name),
            priority: engine.map(|_| engine_priority(rank, program_time_left_ms(&call))),
            max_idle: max_connections / IDLE_CONNECTION_DIVISOR + MIN_IDLE_CONNECTIONS,
            memory_tokens: engine.map_or(0, |_| call.memory_tokens()),
        },
        input: body,
        input_claim,
        route,
        call,
        arrived_ms,
        timeout_ms,
        token,
        event_tokens: engine.map_or(1, |engine| engine.event_tokens),
        engine_memory_tokens: engine.and_then(|engine| engine.memory_tokens),
        endpoint: Rc::default(),
        shutdown: Rc::clone(&edge.shutdown),
    })
}

/// Time left until the deadline of the request's program, in milliseconds. `None` without a
/// program or a deadline.
fn program_time_left_ms(call: &CallHead) -> Option<u64> {
    call.program.as_ref()?.time_left_ms
}

/// The request target in origin form: the path and query as the caller sent them.
fn origin_form(parts: &Parts) -> hyper::Uri {
    let target = parts.uri.path_and_query().cloned();
    target.map_or_else(|| parts.uri.clone(), hyper::Uri::from)
}

/// Runs a request without streaming. The response is buffered completely if there is memory for
/// it, so if it breaks off, the request can be sent to another endpoint where the route allows that.
async fn run_plain(
    edge: &Rc<Edge>,
    admitted: &AdmittedCall,
) -> Result<Response<CallBody>, Refusal> {
    let mut attempt = Attempt::default();
    let mut tried = Vec::new();
    loop {
        let pick = pick_endpoint(edge, admitted, &attempt, &tried).await?;
        tried.push(pick.id.clone());
        let hedged = HedgedSend {
            edge,
            admitted,
            attempt: &mut attempt,
            tried: &mut tried,
            may_hedge: true,
        };
        let sent = hedged.run(pick, async |pick, timeouts, progress| {
            send_plain(edge, admitted, pick, timeouts, progress).await
        });
        let (pick, outcome) = match sent.await {
            Ok(Answered {
                pick,
                response,
                elapsed_ms,
            }) => {
                let is_failure = response.status().is_server_error();
                edge.record_endpoint_response(&pick, response.status(), elapsed_ms);
                if !is_failure || !may_try_another(admitted, attempt) {
                    edge.record_response(admitted, &pick, response.status());
                    edge.record_duration(admitted, elapsed_ms);
                    edge.clear_suspicion(&admitted.outgoing.fingerprints);
                    return Ok(response);
                }
                (pick, Outcome::Failed)
            }
            Err(failed) => failed,
        };
        match attempt.next(admitted.policy(), outcome) {
            Step::SendAgain => {
                let fingerprints = &admitted.outgoing.fingerprints;
                edge.wait_for_crash_check(pick.key, fingerprints).await;
            }
            step => return Err(final_refusal(admitted, step)),
        }
    }
}

/// Sends a request without streaming to one endpoint and reads the whole response.
async fn send_plain(
    edge: &Rc<Edge>,
    admitted: &AdmittedCall,
    pick: &Pick,
    timeouts: SendTimeouts,
    progress: &SendProgress,
) -> Result<Response<CallBody>, Outcome> {
    let outgoing = &admitted.outgoing;
    let upstream = send(edge, pick, outgoing, None, timeouts).await?;
    progress.record_head();
    let response = read_response(edge, admitted, upstream).await;
    response.map_err(|error| {
        match error {
            CollectError::TooLong => set_aside(edge, pick, "body"),
            CollectError::BrokenOff => edge.record_lost_request(pick, outgoing),
            CollectError::TimedOut | CollectError::OutOfMemory { .. } => {}
        }
        edge.record_endpoint_failure(pick, outgoing, Outcome::Unknown, error.reason())
    })
}

/// Whether a 5xx response of an endpoint should be retried at another one.
fn may_try_another(admitted: &AdmittedCall, mut attempt: Attempt) -> bool {
    attempt.next(admitted.policy(), Outcome::Failed) == Step::SendAgain
        && admitted.time_left_ms() > 2 * MIN_SEND_TIME_MS
}

/// Reads the whole response, until the caller's deadline.
async fn read_response(
    edge: &Edge,
    admitted: &AdmittedCall,
    upstream: EndpointResponse,
) -> Result<Response<CallBody>, CollectError> {
    let time_left = Duration::from_millis(admitted.time_left_ms());
    let body = read_response_body(edge, upstream.body, upstream.connection, time_left);
    let headers = edge.protocol.caller_headers(&upstream.headers);
    Ok(body.await?.into_response(upstream.status, headers))
}

/// Picks an endpoint that is not in `tried`, or returns the final response for the caller.
pub(crate) async fn pick_endpoint(
    edge: &Edge,
    admitted: &AdmittedCall,
    attempt: &Attempt,
    tried: &[String],
) -> Result<Pick, Refusal> {
    if !attempt.may_have_run {
        check_shutdown(
            edge,
            &admitted.route,
            admitted.arrived_ms,
            admitted.timeout_ms,
        )?;
    }
    if admitted.time_left_ms() < MIN_SEND_TIME_MS {
        return Err(match attempt.may_have_run {
            true => Refusal::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "timed_out"),
            false => Refusal::retry_later("timed_out", NO_CAPACITY_RETRY_AFTER_MS),
        });
    }
    edge.check_crashes(&admitted.outgoing.fingerprints)?;
    let pick = edge.place(admitted, tried).await;
    let target = admitted.target();
    *admitted.endpoint.borrow_mut() = pick.as_ref().map(|pick| pick.id.clone());
    pick.ok_or_else(|| match attempt.may_have_run {
        true => Refusal::outcome_unknown(StatusCode::BAD_GATEWAY, "no_other_endpoint"),
        false
            if edge
                .balancer
                .borrow()
                .limit_wait_ms(now_ms(), target)
                .is_some() =>
        {
            overload_refusal(edge, target, "no_endpoint")
        }
        false => Refusal::retry_later("no_endpoint", NO_ENDPOINT_RETRY_AFTER_MS),
    })
}

/// The response to the caller when the retry policy allows no further send.
pub(crate) fn final_refusal(admitted: &AdmittedCall, step: Step) -> Refusal {
    match step {
        Step::RefuseNotRun => Refusal::retry_later("no_room", NO_CAPACITY_RETRY_AFTER_MS),
        _ if admitted.time_left_ms() < MIN_SEND_TIME_MS => {
            Refusal::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, "timed_out")
        }
        _ => Refusal::outcome_unknown(StatusCode::BAD_GATEWAY, "endpoint_failed"),
    }
}

/// Runs a streamed request, with or without a program. The history is read and the budget
/// reserved at the same time; if either fails, the rate-limit token is returned.
async fn run_stream(
    edge: &Rc<Edge>,
    mut admitted: AdmittedCall,
) -> Result<Response<CallBody>, Refusal> {
    let (assembled, reserved) = tokio::join!(
        assemble_prompt(edge, &admitted),
        reserve_budget(edge, &admitted),
    );
    let prepared = reserved.and_then(|reservation| Ok((reservation, assembled?)));
    let (reservation, prompt) = prepared.inspect_err(|_| {
        let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
        edge.return_token(customer, admitted.token);
    })?;
    admitted.outgoing.body = prompt;
    let unfinished_turn = admitted.route.stores_turns.then(|| TurnRecord {
        turn: admitted.call.request_id.clone(),
        customer: admitted.outgoing.customer.clone().unwrap_or_default(),
        previous: admitted.call.previous_turn.clone(),
        input: admitted.input.clone(),
        output: Bytes::new(),
        retention_ms: stored_retention_ms(&admitted.route),
    });
    stream::run(StreamCall::new(
        edge,
        admitted,
        reservation,
        unfinished_turn,
    ))
    .await
}

/// How long the members keep a turn after its last use, in milliseconds. Twice the promised time,
/// since a use does not always renew it, and the longest time for which a request uses it.
pub(crate) fn stored_retention_ms(route: &Route) -> u64 {
    let promised_ms = route.retention_ms.saturating_mul(2);
    promised_ms
        .saturating_add(route.timeout_ms)
        .saturating_add(RETENTION_MARGIN_MS)
}

/// Reserves the turn's maximum number of tokens in its program's budget. `None` if the program
/// has no budget. If the reservation fails, dropping it settles the turn with 0 tokens.
async fn reserve_budget(
    edge: &Rc<Edge>,
    admitted: &AdmittedCall,
) -> Result<Option<BudgetReservation>, Refusal> {
    let program = admitted.call.program.as_ref();
    let budget = program.and_then(|program| Some((program, program.budget_tokens?)));
    let Some((program, budget_tokens)) = budget else {
        return Ok(None);
    };
    let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
    let reservation = Reservation {
        program: ProgramKey::new(customer, &program.id),
        turn: admitted.call.request_id.clone(),
        max_turn_tokens: admitted.call.reserved_tokens(),
    };
    let pending = BudgetReservation::new(edge, &reservation);
    match edge.members.reserve(&reservation, budget_tokens).await {
        Ok(Decision::Admit) => Ok(Some(pending)),
        Ok(Decision::Exhausted) => Err(Refusal::denied(
            StatusCode::PAYMENT_REQUIRED,
            "budget_exhausted",
        )),
        Err(_) if edge.members.is_storage_full(now_ms()) => {
            Err(Refusal::retry_later("storage_full", STORAGE_FULL_PAUSE_MS))
        }
        Ok(Decision::Reread) | Err(_) => Err(Refusal::retry_later(
            "budget_unreachable",
            NO_QUORUM_RETRY_AFTER_MS,
        )),
    }
}
