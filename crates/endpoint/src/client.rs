//! The implementation of [`EndpointClient`] with ureq.

use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jayreel_model::{Ran, RefusalReason};

use crate::call::{CallFailure, CallObserver, CallRequest, CancelHandle, EndpointClient};
use crate::exchange;
use crate::failure;
use crate::pool::SocketPool;
use crate::transport::{CallState, is_timeout};

/// Settings of an [`HttpEndpointClient`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Maximum number of idle connections kept open for each endpoint.
    pub max_idle_per_endpoint: usize,
    /// An idle connection older than this is not reused. Common servers keep idle
    /// connections open for at least 5 s. A shorter limit here makes it rare that the server
    /// closes a connection while a request is being sent on it.
    pub max_idle_age_ms: u64,
    /// Whether to accept responses that have neither a length nor chunked encoding and so
    /// end when the connection closes. Such a response looks complete even if the endpoint
    /// crashed in the middle of it.
    pub accept_close_delimited: bool,
}

impl Default for ClientSettings {
    fn default() -> ClientSettings {
        ClientSettings {
            max_idle_per_endpoint: 32,
            max_idle_age_ms: 4_000,
            accept_close_delimited: false,
        }
    }
}

/// Sends requests over HTTP/1.1. Does not follow redirects, keep cookies, decode bodies or
/// retry requests.
#[derive(Debug)]
pub struct HttpEndpointClient {
    pool: SocketPool,
    accept_close_delimited: bool,
    /// Differs between clients, also of different processes.
    id_prefix: u64,
    /// Number of requests so far.
    requests: AtomicU64,
}

impl Default for HttpEndpointClient {
    fn default() -> HttpEndpointClient {
        HttpEndpointClient::new(&ClientSettings::default())
    }
}

impl HttpEndpointClient {
    /// Creates a client without open connections.
    pub fn new(settings: &ClientSettings) -> HttpEndpointClient {
        let max_idle_age = Duration::from_millis(settings.max_idle_age_ms);
        HttpEndpointClient {
            pool: SocketPool::new(settings.max_idle_per_endpoint, max_idle_age),
            accept_close_delimited: settings.accept_close_delimited,
            id_prefix: RandomState::new().hash_one(0),
            requests: AtomicU64::new(0),
        }
    }

    /// An identifier that no other request has.
    fn next_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number}", self.id_prefix)
    }

    /// Returns a pooled connection if the request is repeatable and there is one, otherwise a
    /// new one, and whether it was pooled. Only connections to endpoints that repeat the
    /// identifiers of requests are pooled.
    ///
    /// An endpoint may close an idle connection while a request is being sent on it. It is
    /// then unknown whether the request ran, so a request that must not run twice always gets
    /// a new connection.
    fn socket(
        &self,
        request: &CallRequest,
        address: SocketAddr,
    ) -> Result<(Arc<TcpStream>, bool), CallFailure> {
        let pooled = match request.repeatable {
            true => self.pool.take(address),
            false => None,
        };
        match pooled {
            Some(socket) => Ok((socket, true)),
            None => {
                let socket = connect(address, request.connect_timeout_ms)?;
                Ok((socket, false))
            }
        }
    }

    /// Puts the connection of a finished call into the pool, unless it has unread bytes or
    /// the call was cancelled.
    fn return_to_pool(&self, state: &CallState, address: SocketAddr) {
        let socket = state.detach();
        if state.has_unread_bytes() || state.is_cancelled() {
            return;
        }
        if let Some(socket) = socket {
            self.pool.put(address, socket);
        }
    }
}

impl EndpointClient for HttpEndpointClient {
    fn call(
        &self,
        request: &CallRequest,
        register: &mut dyn FnMut(Box<dyn CancelHandle>),
        observer: &mut dyn CallObserver,
    ) -> Result<(), CallFailure> {
        let state = Arc::new(CallState::default());
        register(Box::new(SocketCancel(Arc::clone(&state))));
        let address = parse_address(&request.address)?;
        let outgoing = exchange::build_request(request, &self.next_id())?;
        if state.is_cancelled() {
            return Err(failure::cancelled(Ran::No));
        }
        let (socket, is_reused) = self.socket(request, address)?;
        let attached = state.attach(Arc::clone(&socket));
        let outcome = match attached {
            true => {
                observer.sent();
                let exchange = exchange::Exchange {
                    agent: exchange::single_use_agent(request, address, socket, &state),
                    state: &state,
                    accept_close_delimited: self.accept_close_delimited,
                    is_reused,
                };
                exchange.run(outgoing, observer)
            }
            false => Err(failure::cancelled(Ran::No)),
        };
        match outcome {
            Ok(true) => self.return_to_pool(&state, address),
            // Closes the socket now: a cancel handle that outlives the call would otherwise
            // keep it open.
            Ok(false) | Err(_) => drop(state.detach()),
        }
        outcome.map(|_| ())
    }
}

/// Cancels a call by shutting down its socket.
struct SocketCancel(Arc<CallState>);

impl CancelHandle for SocketCancel {
    fn cancel(&self) {
        self.0.cancel();
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, CallFailure> {
    text.parse().map_err(|_| {
        let message = format!("address={text:?} is not an IP address and port");
        failure::not_run(RefusalReason::EndpointFailed, message)
    })
}

fn connect(address: SocketAddr, timeout_ms: u64) -> Result<Arc<TcpStream>, CallFailure> {
    let timeout = Duration::from_millis(timeout_ms.max(1));
    let socket = TcpStream::connect_timeout(&address, timeout).map_err(|error| {
        let reason = match is_timeout(&error) {
            true => RefusalReason::EndpointTimeout,
            false => RefusalReason::EndpointFailed,
        };
        failure::not_run(reason, format!("connect to {address}: {error}"))
    })?;
    // Only affects latency, so a failure is ignored.
    let _ = socket.set_nodelay(true);
    Ok(Arc::new(socket))
}
