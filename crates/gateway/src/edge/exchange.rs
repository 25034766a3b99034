//! One send of a request to an endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};

use crate::balance::{EndpointKey, Pick};
use crate::clock::{now_ms, pause};
use crate::edge::Edge;
use crate::edge::pool::idle_ms;
use crate::http_connection::{HttpConnection, SendError};
use crate::protocol::{EndpointHeaders, EndpointReply};
use crate::retry::Outcome;

/// Time for a connection to an endpoint, in milliseconds: many times the way between the
/// farthest zones and the time that a handshake takes there.
const CONNECT_TIMEOUT_MS: u64 = 120;

/// Pause between two attempts to connect to an endpoint that could not be reached, in
/// milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;

/// How long a connection that has carried no request is used, in milliseconds.
const FRESH_IDLE_MS: u64 = 1_500;

/// What is sent, the same to each endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: String,
    pub customer: Option<String>,
    pub priority: Option<u8>,
    /// Idle connections to one endpoint that are kept.
    pub most_idle: usize,
}

/// Times for one send, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendTimes {
    /// Until the caller's time is over. The endpoint is told this.
    pub left_ms: u64,
    /// Until the head of an answer must be there.
    pub response_timeout_ms: u64,
}

/// A connection that carries a request. Dropped before its answer is complete, it closes.
#[derive(Debug)]
pub(crate) struct Lease {
    edge: Rc<Edge>,
    key: EndpointKey,
    link: Option<HttpConnection>,
    idle_ms: u64,
    /// Idle connections to the endpoint that are kept.
    most_idle: usize,
}

impl Lease {
    /// The answer is complete: the connection may carry another request.
    pub(crate) fn finish(mut self) {
        if let Some(link) = self.link.take() {
            let mut pool = self.edge.pool.borrow_mut();
            pool.put(now_ms(), self.key, link, self.idle_ms, self.most_idle);
        }
    }

    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.edge.balancer.borrow_mut().end(self.key);
    }
}

/// The head of an answer that can be used.
pub(crate) struct Answered {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Incoming,
    pub lease: Lease,
}

/// Sends a request and waits for the head of the answer.
///
/// # Errors
///
/// What became of the request if the answer cannot be used, or says that it has not run.
pub(crate) async fn send(
    edge: &Rc<Edge>,
    pick: &Pick,
    outgoing: &Outgoing,
    last_event_id: Option<u64>,
    times: SendTimes,
) -> Result<Answered, Outcome> {
    edge.balancer.borrow_mut().begin(pick.key);
    let mut lease = Lease {
        edge: Rc::clone(edge),
        key: pick.key,
        link: None,
        idle_ms: 0,
        most_idle: outgoing.most_idle,
    };
    let timeout = Duration::from_millis(times.response_timeout_ms);
    let exchange = exchange(edge, pick, outgoing, last_event_id, times.left_ms);
    let sent = tokio::time::timeout(timeout, exchange).await;
    let response = match sent {
        Ok(Ok((link, response))) => {
            lease.link = Some(link);
            response
        }
        Ok(Err(SendError::NotSent(reason))) => {
            probe_until_reachable(edge, pick);
            return Err(edge.endpoint_failed(pick, outgoing, Outcome::NotSent, &reason));
        }
        Ok(Err(SendError::Lost(reason))) => {
            return Err(edge.endpoint_failed(pick, outgoing, Outcome::Unknown, &reason));
        }
        Err(_) => {
            return Err(edge.endpoint_failed(
                pick,
                outgoing,
                Outcome::Unknown,
                "timed out",
            ));
        }
    };
    examine(edge, pick, outgoing, response, lease)
}

/// Sends a request on an idle connection, or on a new one.
async fn exchange(
    edge: &Rc<Edge>,
    pick: &Pick,
    outgoing: &Outgoing,
    last_event_id: Option<u64>,
    left_ms: u64,
) -> Result<(HttpConnection, Response<Incoming>), SendError> {
    let began_ms = now_ms();
    let request = || {
        let left_ms = left_ms.saturating_sub(now_ms() - began_ms);
        request(edge, pick, outgoing, last_event_id, left_ms)
    };
    let idle = edge.pool.borrow_mut().take(now_ms(), pick.key);
    if let Some(mut link) = idle {
        match link.send(request()).await {
            // The endpoint may have closed the connection while it was idle.
            Err(SendError::NotSent(_)) => {}
            response => return response.map(|response| (link, response)),
        }
    }
    let connected = HttpConnection::connect(pick.address, CONNECT_TIMEOUT_MS).await;
    let mut link = connected.map_err(|error| SendError::NotSent(error.to_string()))?;
    let response = link.send(request()).await?;
    Ok((link, response))
}

/// Keeps requests away from an endpoint until it takes a connection again.
fn probe_until_reachable(edge: &Rc<Edge>, pick: &Pick) {
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
            if let Ok(link) = connected {
                log::info!("event=endpoint_reachable endpoint={}", pick.id);
                edge.pool
                    .borrow_mut()
                    .put(now_ms(), pick.key, link, FRESH_IDLE_MS, 1);
                edge.balancer.borrow_mut().resume(pick.key);
                return;
            }
        }
    });
}

fn request(
    edge: &Edge,
    pick: &Pick,
    outgoing: &Outgoing,
    last_event_id: Option<u64>,
    time_left_ms: u64,
) -> Request<Full<Bytes>> {
    let added = EndpointHeaders {
        endpoint_id: &pick.id,
        customer: outgoing.customer.as_deref(),
        time_left_ms,
        priority: outgoing.priority,
        last_event_id,
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = edge.protocol.endpoint_headers(&outgoing.headers, &added);
    request
}

/// Decides whether the answer belongs to the request and is the endpoint's own.
fn examine(
    edge: &Edge,
    pick: &Pick,
    outgoing: &Outgoing,
    response: Response<Incoming>,
    mut lease: Lease,
) -> Result<Answered, Outcome> {
    let (parts, body) = response.into_parts();
    let reply = edge.protocol.decode_reply(&parts.headers);
    if let Some(load) = reply.load {
        let mut balancer = edge.balancer.borrow_mut();
        balancer.report(now_ms(), pick.key, load);
    }
    lease.idle_ms = idle_ms(&parts.headers);
    let outcome = match outcome_of(&reply, parts.status, &outgoing.request_id) {
        Some(outcome) => outcome,
        None => {
            return Ok(Answered {
                status: parts.status,
                headers: parts.headers,
                body,
                lease,
            });
        }
    };
    match outcome {
        Outcome::Rejected => {
            edge.balancer.borrow_mut().reject(now_ms(), pick.key);
            edge.note_outcome(pick, outgoing, outcome, parts.status.as_str());
            finish_rejected(body, lease);
        }
        _ => {
            edge.endpoint_failed(pick, outgoing, outcome, parts.status.as_str());
        }
    }
    Err(outcome)
}

/// Reads the rest of a rejection, so that its connection can be used again.
fn finish_rejected(body: Incoming, lease: Lease) {
    tokio::task::spawn_local(async move {
        if http_body_util::BodyExt::collect(body).await.is_ok() {
            lease.finish();
        }
    });
}

/// None if the answer can be handed to the caller. A status by which endpoints promise that
/// a request has not run counts only with that promise.
fn outcome_of(
    reply: &EndpointReply,
    status: StatusCode,
    request_id: &str,
) -> Option<Outcome> {
    let is_own = reply.request_id.as_deref() == Some(request_id);
    let is_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    match status {
        _ if reply.request_id.is_some() && !is_own => Some(Outcome::Unknown),
        StatusCode::MISDIRECTED_REQUEST => Some(Outcome::Misdirected),
        _ if reply.has_not_run => Some(Outcome::Rejected),
        _ if is_promise => Some(Outcome::Unknown),
        status if status.is_success() && !(reply.is_signed && is_own) => {
            Some(Outcome::Unknown)
        }
        _ if reply.is_encoded || status.is_informational() => Some(Outcome::Unknown),
        _ => None,
    }
}
