//! Sends one request over an established connection and streams its response.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use jayreel_model::RefusalReason;
use jayreel_model::header::is_hop_by_hop;
use ureq::http::{HeaderMap, Method, Request, Response, Version};
use ureq::{Agent, Body};

use crate::call::{CallFailure, CallObserver, CallRequest, ResponseHead};
use crate::failure;
use crate::transport::{CallState, FixedResolver, MAX_HEAD_BYTES, SocketConnector};

/// Maximum size in bytes of a piece of a response body passed to the observer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Identifies a request. Endpoints that repeat it in their responses can be sent several requests
/// on one connection: a late copy of an earlier response is then recognised.
const REQUEST_ID: &str = "x-request-id";

/// Converts a request to the type that ureq sends. `id` is added to a repeatable request, whose
/// connection may be used again, unless it has its own identifier.
pub(crate) fn build_request<'a>(
    request: &'a CallRequest,
    id: &str,
) -> Result<Request<&'a [u8]>, CallFailure> {
    let uri = format!("http://{}{}", request.address, request.path);
    let mut builder = Request::builder().method(request.method.as_str()).uri(uri);
    let mut names = request.headers.iter().map(|(name, _)| name);
    let has_id = names.any(|name| name.eq_ignore_ascii_case(REQUEST_ID));
    if request.repeatable && !has_id {
        builder = builder.header(REQUEST_ID, id);
    }
    for (name, value) in &request.headers {
        if !is_credential(name) {
            builder = builder.header(name, value);
        }
    }
    builder.body(request.body.as_slice()).map_err(|error| {
        let message = format!("the request cannot be sent: {error}");
        failure::not_run(RefusalReason::InvalidRequest, message)
    })
}

/// Second check that no credentials of a caller reach an endpoint. The caller of this crate
/// has already removed them.
fn is_credential(name: &str) -> bool {
    name.eq_ignore_ascii_case("authorization")
        || name.eq_ignore_ascii_case("proxy-authorization")
}

/// Creates an agent that sends its only request on the given socket. ureq's own headers,
/// redirects, proxies and connection pool are turned off.
pub(crate) fn single_use_agent(
    request: &CallRequest,
    address: SocketAddr,
    socket: Arc<TcpStream>,
    state: &Arc<CallState>,
) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .allow_non_standard_methods(true)
        .max_response_header_size(MAX_HEAD_BYTES)
        .max_idle_connections(0)
        .build();
    let connector = SocketConnector {
        socket,
        state: Arc::clone(state),
        progress_timeout: Duration::from_millis(request.progress_timeout_ms.max(1)),
    };
    Agent::with_parts(config, connector, FixedResolver(address))
}

/// One request and response on the agent's connection.
pub(crate) struct Exchange<'a> {
    pub(crate) agent: Agent,
    pub(crate) state: &'a CallState,
    pub(crate) accept_close_delimited: bool,
    /// Whether the connection has carried another request before.
    pub(crate) is_reused: bool,
}

impl Exchange<'_> {
    /// Sends the request and streams the response to the observer. Returns whether the
    /// connection can be reused.
    pub(crate) fn run(
        self,
        outgoing: Request<&[u8]>,
        observer: &mut dyn CallObserver,
    ) -> Result<bool, CallFailure> {
        let is_head_request = outgoing.method() == Method::HEAD;
        let id = outgoing.headers().get(REQUEST_ID).cloned();
        let outcome = match omits_content_length(&outgoing) {
            true => self.agent.run(outgoing.map(|_| ())),
            false => self.agent.run(outgoing),
        };
        let response = outcome.map_err(|error| {
            failure::after_connect(self.state, None, &error.to_string())
        })?;
        let status = response.status().as_u16();
        let is_own = id.is_some() && response.headers().get(REQUEST_ID) == id.as_ref();
        if self.is_reused && !is_own {
            let message =
                "the answer on a connection in use again has another identifier";
            return Err(failure::after_connect(self.state, None, message));
        }
        let is_framed = is_framed(&response, is_head_request);
        if !is_framed && !self.accept_close_delimited {
            let message = "the end of the answer cannot be told from a lost connection";
            return Err(failure::after_connect(self.state, Some(status), message));
        }
        let is_reusable = is_framed && is_own && is_kept_open(&response);
        if !observer.head(&response_head(&response)) {
            return Err(failure::cancelled(failure::ran_by_status(status)));
        }
        self.stream_body(response.into_body(), status, observer)?;
        Ok(is_reusable)
    }

    /// Reads the body to its end and passes it to the observer.
    fn stream_body(
        &self,
        body: Body,
        status: u16,
        observer: &mut dyn CallObserver,
    ) -> Result<(), CallFailure> {
        let mut body = body.into_reader();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let count = body.read(&mut buffer).map_err(|error| {
                failure::after_connect(self.state, Some(status), &error.to_string())
            })?;
            match count {
                0 => return Ok(()),
                count if observer.chunk(&buffer[..count]) => {}
                _ => return Err(failure::cancelled(failure::ran_by_status(status))),
            }
        }
    }
}

/// Whether to send the request without a `Content-Length`. An empty body still gets one if
/// the method usually has a body.
fn omits_content_length(request: &Request<&[u8]>) -> bool {
    let usually_has_body = matches!(request.method().as_str(), "POST" | "PUT" | "PATCH");
    request.body().is_empty() && !usually_has_body
}

/// Whether the head determines where the response ends, so that a lost connection is noticed.
/// Responses to HEAD and with status 204 or 304 have no body.
fn is_framed(response: &Response<Body>, is_head_request: bool) -> bool {
    let headers = response.headers();
    is_head_request
        || matches!(response.status().as_u16(), 204 | 304)
        || headers.contains_key("content-length")
        || list_contains(headers, "transfer-encoding", "chunked")
}

/// Whether the endpoint keeps the connection open after the response.
fn is_kept_open(response: &Response<Body>) -> bool {
    response.version() == Version::HTTP_11
        && !list_contains(response.headers(), "connection", "close")
}

/// Whether a header with a comma-separated list contains the element, in lowercase.
fn list_contains(headers: &HeaderMap, name: &str, element: &str) -> bool {
    list_elements(headers, name).any(|value| value == element)
}

/// The elements of a header with a comma-separated list, in lowercase.
fn list_elements<'a>(
    headers: &'a HeaderMap,
    name: &'a str,
) -> impl Iterator<Item = String> + 'a {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|element| element.trim().to_ascii_lowercase())
}

/// The head for the observer, without hop-by-hop headers, those that `Connection` names, and
/// values that are not UTF-8.
fn response_head(response: &Response<Body>) -> ResponseHead {
    let connection_headers: Vec<String> =
        list_elements(response.headers(), "connection").collect();
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .filter(|(name, _)| {
            !connection_headers
                .iter()
                .any(|named| named == name.as_str())
        })
        .filter_map(|(name, value)| {
            let value = std::str::from_utf8(value.as_bytes()).ok()?;
            Some((name.to_string(), value.to_string()))
        })
        .collect();
    ResponseHead {
        status: response.status().as_u16(),
        headers,
    }
}
