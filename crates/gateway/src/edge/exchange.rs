//! Sends a request to one endpoint, once, and classifies the head of the response.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use jayreel_ledger::RequestFingerprints;

use crate::balance::{EndpointKey, Pick};
use crate::clock::{now_ms, pause};
use crate::edge::Edge;
use crate::edge::pool::idle_ms;
use crate::http_connection::{HttpConnection, SegmentedBody, SendError};
use crate::protocol::{EndpointHeaders, EndpointResponseHead};
use crate::retry::Outcome;

/// Connect timeout to an endpoint, in milliseconds: many times the round trip and handshake
/// between the zones that are farthest apart.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 120;

/// Pause between two attempts to connect to an unreachable endpoint, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;

/// Keep-alive time assumed for a connection that has carried no request yet, in milliseconds:
/// the endpoint states its own time only in a response.
const FRESH_IDLE_MS: u64 = 1_500;

/// Largest body of a rejection that is read to its end, in bytes. A new connection costs less
/// than to read more.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// Time to read the body of a rejection, in milliseconds.
const REJECTION_TIMEOUT_MS: u64 = 500;

/// The parts of a request that are the same for each endpoint to which it is sent.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: SegmentedBody,
    /// Endpoints repeat it in their responses.
    pub request_id: String,
    /// The same if the caller sends the request again.
    pub fingerprints: RequestFingerprints,
    pub customer: Option<String>,
    /// Priority for model engines, 0 to 9, where 0 is the most urgent.
    pub priority: Option<u8>,
    /// Number of idle connections to keep to the endpoint.
    pub max_idle: usize,
    /// Tokens that it takes in the memory of an engine at most. 0 if unknown.
    pub memory_tokens: u32,
}

/// Timeouts for one send, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendTimeouts {
    /// Time left until the caller's deadline. Sent to the endpoint.
    pub time_left_ms: u64,
    /// Time within which the head of the response must arrive.
    pub head_timeout_ms: u64,
}

/// A connection that carries a request.
///
/// While it exists, the request counts as outstanding in the balancer. Dropping it before
/// `release` closes the connection.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    edge: Rc<Edge>,
    key: EndpointKey,
    /// `None` until the head of the response has arrived.
    http_connection: Option<HttpConnection>,
    /// How long the endpoint keeps the connection open while idle, in milliseconds.
    idle_ms: u64,
    /// Number of idle connections to keep to the endpoint.
    max_idle: usize,
    /// Tokens that the request takes in the memory of an engine.
    memory_tokens: u32,
    /// When the request was sent whose successful response is being read.
    answered_sent_ms: Option<u64>,
}

impl PooledConnection {
    /// Returns the connection to the pool. The response must have been read completely.
    pub(crate) fn release(mut self) {
        if let Some(sent_ms) = self.answered_sent_ms {
            let mut balancer = self.edge.balancer.borrow_mut();
            balancer.complete(now_ms(), self.key, now_ms() - sent_ms);
        }
        if let Some(http_connection) = self.http_connection.take() {
            let mut pool = self.edge.pool.borrow_mut();
            pool.put(
                now_ms(),
                self.key,
                http_connection,
                self.idle_ms,
                self.max_idle,
            );
        }
    }

    /// The endpoint to which it leads.
    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut balancer = self.edge.balancer.borrow_mut();
        balancer.end(self.key);
        balancer.release_tokens(self.key, self.memory_tokens);
    }
}

/// A response that may be passed to the caller. Its body has not been read yet.
pub(crate) struct EndpointResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Incoming,
    pub connection: PooledConnection,
}

/// Sends a request to an endpoint and waits for the head of the response.
///
/// # Errors
///
/// The outcome if there is no usable response, or the response says that the request has not run.
/// It has then been logged and reported to the balancer.
pub(crate) async fn send(
    edge: &Rc<Edge>,
    pick: &Pick,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    timeouts: SendTimeouts,
) -> Result<EndpointResponse, Outcome> {
    {
        let mut balancer = edge.balancer.borrow_mut();
        balancer.begin(pick.key);
        balancer.hold_tokens(pick.key, outgoing.memory_tokens);
    }
    let mut connection = PooledConnection {
        edge: Rc::clone(edge),
        key: pick.key,
        http_connection: None,
        idle_ms: 0,
        max_idle: outgoing.max_idle,
        memory_tokens: outgoing.memory_tokens,
        answered_sent_ms: None,
    };
    let sent_ms = now_ms();
    let timeout = Duration::from_millis(timeouts.head_timeout_ms);
    let exchange = exchange(edge, pick, outgoing, last_event_id, timeouts.time_left_ms);
    let sent = tokio::time::timeout(timeout, exchange).await;
    let response = match sent {
        Ok(Ok((http_connection, response))) => {
            connection.http_connection = Some(http_connection);
            response
        }
        Ok(Err(SendError::NotSent(reason))) => {
            probe_until_reachable(edge, pick);
            return Err(edge.record_endpoint_failure(
                pick,
                outgoing,
                Outcome::NotSent,
                &reason,
            ));
        }
        Ok(Err(SendError::Malformed(reason))) => {
            set_aside(edge, pick, "head");
            return Err(edge.record_endpoint_failure(
                pick,
                outgoing,
                Outcome::Unknown,
                &reason,
            ));
        }
        Ok(Err(SendError::Lost(reason))) => {
            edge.record_lost_request(pick, outgoing);
            return Err(edge.record_endpoint_failure(
                pick,
                outgoing,
                Outcome::Unknown,
                &reason,
            ));
        }
        Err(_) => {
            return Err(edge.record_endpoint_failure(
                pick,
                outgoing,
                Outcome::Unknown,
                "timed out",
            ));
        }
    };
    check_response(edge, pick, outgoing, sent_ms, response, connection)
}

/// Sends a request on an idle connection, or else on a new one.
async fn exchange(
    edge: &Rc<Edge>,
    pick: &Pick,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    time_left_ms: u64,
) -> Result<(HttpConnection, Response<Incoming>), SendError> {
    let began_ms = now_ms();
    let request = || {
        let time_left_ms = time_left_ms.saturating_sub(now_ms() - began_ms);
        build_request(edge, pick, outgoing, last_event_id, time_left_ms)
    };
    let idle = edge.pool.borrow_mut().take(now_ms(), pick.key);
    if let Some(mut http_connection) = idle {
        match http_connection.send(request()).await {
            // The endpoint may have closed the connection while it was idle, so a new one is
            // tried next. Nothing was sent, so the request cannot run twice.
            Err(SendError::NotSent(_)) => {}
            response => return response.map(|response| (http_connection, response)),
        }
    }
    let connected = HttpConnection::connect(pick.address, CONNECT_TIMEOUT_MS).await;
    let mut http_connection =
        connected.map_err(|error| SendError::NotSent(error.to_string()))?;
    let response = http_connection.send(request()).await?;
    Ok((http_connection, response))
}

/// Suspends an endpoint in the balancer until it accepts a connection again. Does nothing if it
/// is suspended already.
pub(crate) fn probe_until_reachable(edge: &Rc<Edge>, pick: &Pick) {
    if !edge.balancer.borrow_mut().suspend(pick.key) {
        return;
    }
    let (edge, pick) = (Rc::clone(edge), pick.clone());
    tokio::task::spawn_local(async move {
        loop {
            pause(PROBE_INTERVAL_MS).await;
            if !edge.balancer.borrow().contains(pick.key) {
                return;
            }
            let connected =
                HttpConnection::connect(pick.address, CONNECT_TIMEOUT_MS).await;
            if let Ok(http_connection) = connected {
                log::info!("event=endpoint_reachable endpoint={}", pick.id);
                keep_connection(&edge, &pick, http_connection);
                edge.balancer.borrow_mut().resume(pick.key);
                return;
            }
        }
    });
}

/// Puts a new connection into the pool if there is no other to the endpoint.
pub(crate) fn keep_connection(edge: &Edge, pick: &Pick, http_connection: HttpConnection) {
    let mut pool = edge.pool.borrow_mut();
    pool.put(now_ms(), pick.key, http_connection, FRESH_IDLE_MS, 1);
}

/// Builds the request for one endpoint.
fn build_request(
    edge: &Edge,
    pick: &Pick,
    outgoing: &OutgoingRequest,
    last_event_id: Option<u64>,
    time_left_ms: u64,
) -> Request<SegmentedBody> {
    let added = EndpointHeaders {
        endpoint_id: &pick.id,
        customer: outgoing.customer.as_deref(),
        time_left_ms,
        priority: outgoing.priority,
        last_event_id,
    };
    let mut request = Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = edge.protocol.endpoint_headers(&outgoing.headers, &added);
    request
}

/// Decides whether a response can be passed to the caller, and records the load, limit and failure
/// that it reports. The request was sent at `sent_ms`.
///
/// Nothing that a response with an invalid status says is used, not even that the request has not
/// run.
fn check_response(
    edge: &Edge,
    pick: &Pick,
    outgoing: &OutgoingRequest,
    sent_ms: u64,
    response: Response<Incoming>,
    mut connection: PooledConnection,
) -> Result<EndpointResponse, Outcome> {
    let (parts, body) = response.into_parts();
    if !is_valid_status(parts.status) {
        set_aside(edge, pick, "status");
        return Err(edge.record_endpoint_failure(
            pick,
            outgoing,
            Outcome::Unknown,
            parts.status.as_str(),
        ));
    }
    let head = edge.protocol.decode_response_head(&parts.headers);
    if let Some(load) = head.load {
        let mut balancer = edge.balancer.borrow_mut();
        balancer.report(now_ms(), pick.key, load);
        balancer.report_work_factor(now_ms(), pick.key, head.work_factor);
    }
    if head.is_leaving && edge.balancer.borrow_mut().mark_leaving(pick.key) {
        log::info!(
            "event=endpoint_leaving endpoint={} source=response",
            pick.id
        );
    }
    let is_own_response = head.request_id.as_deref() == Some(&outgoing.request_id)
        && parts.status != StatusCode::MISDIRECTED_REQUEST;
    if is_own_response {
        edge.record_endpoint_limit(pick.key, sent_ms, head.limit_per_s);
        if let Some(left_ms) = head.cold_left_ms {
            edge.record_endpoint_cold(pick.key, left_ms);
        }
    }
    connection.idle_ms = idle_ms(&parts.headers);
    let outcome = match classify_response(&head, parts.status, &outgoing.request_id) {
        Some(outcome) => outcome,
        None => {
            connection.answered_sent_ms = parts.status.is_success().then_some(sent_ms);
            return Ok(EndpointResponse {
                status: parts.status,
                headers: parts.headers,
                body,
                connection,
            });
        }
    };
    match outcome {
        Outcome::Rejected => {
            edge.balancer.borrow_mut().reject(now_ms(), pick.key);
            edge.record_failed_send(pick, outgoing, outcome, parts.status.as_str());
            drain_rejection(body, connection);
        }
        _ => {
            edge.record_endpoint_failure(pick, outgoing, outcome, parts.status.as_str());
        }
    }
    Err(outcome)
}

/// Reads the rest of a rejection in the background, so that its connection can be reused. Closes
/// the connection if the rest is long or late.
fn drain_rejection(body: Incoming, connection: PooledConnection) {
    tokio::task::spawn_local(async move {
        let rest = Limited::new(body, MAX_REJECTION_BYTES).collect();
        let timeout = Duration::from_millis(REJECTION_TIMEOUT_MS);
        if let Ok(Ok(_)) = tokio::time::timeout(timeout, rest).await {
            connection.release();
        }
    });
}

/// Gives an endpoint no requests for some seconds, because it sent more than a response may
/// contain, or something else than a response.
pub(crate) fn set_aside(edge: &Edge, pick: &Pick, part: &str) {
    log::warn!("event=endpoint_set_aside endpoint={} part={part}", pick.id);
    edge.balancer.borrow_mut().set_aside(now_ms(), pick.key);
}

/// Whether HTTP defines the class of a status, which it does from 100 to 599 (RFC 9110, section
/// 15). The parser rejects those below 100 and those that don't have three digits.
fn is_valid_status(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// Returns why a response must not be passed to the caller, or `None` if it may be. The status is
/// valid.
///
/// Endpoints repeat the request's identifier in each response. A response with another one, or
/// with none, may be a late copy of the response to an earlier request on the connection,
/// whatever it says. A success must carry the endpoint's signature. Statuses 408, 429 and 503 mean
/// that the request has not run only if the response says so explicitly; otherwise the outcome is
/// unknown. 421 always means that another endpoint received the request.
fn classify_response(
    head: &EndpointResponseHead,
    status: StatusCode,
    request_id: &str,
) -> Option<Outcome> {
    let is_for_request = head.request_id.as_deref() == Some(request_id);
    let needs_not_run_header = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    match status {
        _ if !is_for_request => Some(Outcome::Unknown),
        StatusCode::MISDIRECTED_REQUEST => Some(Outcome::Misdirected),
        _ if head.has_not_run => Some(Outcome::Rejected),
        _ if needs_not_run_header => Some(Outcome::Unknown),
        status if status.is_success() && !head.is_signed => Some(Outcome::Unknown),
        _ if head.is_encoded || status.is_informational() => Some(Outcome::Unknown),
        _ => None,
    }
}
