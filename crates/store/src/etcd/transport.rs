//! HTTP agents of the client: deadlines, and errors that distinguish a request that was
//! never sent from one that may have reached the store.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ureq::config::{Config, ConfigBuilder};
use ureq::typestate::AgentScope;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::{Agent, Error};

use super::EtcdSettings;

/// How often a waiting watch checks whether it was closed.
const CLOSE_CHECK_MS: u64 = 100;

/// Number of idle connections kept. Few threads make calls.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// No connection was established, so nothing was sent.
#[derive(Debug)]
struct NotConnected(Error);

impl fmt::Display for NotConnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no connection: {}", self.0)
    }
}

impl std::error::Error for NotConnected {}

/// Whether the call failed before a connection was established.
pub(super) fn not_connected(error: &Error) -> bool {
    match error {
        Error::Other(inner) => inner.is::<NotConnected>(),
        _ => false,
    }
}

/// Connects over TCP and wraps every failure to connect in [`NotConnected`].
#[derive(Debug)]
struct StoreConnector {
    tcp: TcpConnector,
    /// Set for watches only.
    limits: Option<WatchLimits>,
}

/// When the connection of a watch ends.
#[derive(Clone, Debug)]
struct WatchLimits {
    /// Set by the owner of the watch to close it.
    closed: Arc<AtomicBool>,
    /// Longest time without a received byte.
    idle_timeout: Duration,
}

impl Connector<()> for StoreConnector {
    type Out = StoreTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<StoreTransport>, Error> {
        let connected = self
            .tcp
            .connect(details, chained)
            .map_err(|error| Error::Other(Box::new(NotConnected(error))))?;
        Ok(connected.map(|transport| StoreTransport {
            transport: Box::new(transport),
            limits: self.limits.clone(),
        }))
    }
}

/// A connection. That of a watch fails when the watch is closed or receives nothing for
/// too long.
#[derive(Debug)]
struct StoreTransport {
    transport: Box<dyn Transport>,
    limits: Option<WatchLimits>,
}

impl Transport for StoreTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.transport.buffers()
    }

    fn transmit_output(
        &mut self,
        amount: usize,
        timeout: NextTimeout,
    ) -> Result<(), Error> {
        self.transport.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        match self.limits.clone() {
            None => self.transport.await_input(timeout),
            Some(limits) => self.await_watch_input(&limits, timeout),
        }
    }

    fn is_open(&mut self) -> bool {
        self.transport.is_open()
    }
}

impl StoreTransport {
    /// Waits for input in short steps and checks between them whether the watch was
    /// closed.
    fn await_watch_input(
        &mut self,
        limits: &WatchLimits,
        timeout: NextTimeout,
    ) -> Result<bool, Error> {
        let mut remaining = limits.idle_timeout.min(*timeout.after);
        while !limits.closed.load(Ordering::Relaxed) {
            let step = remaining.min(Duration::from_millis(CLOSE_CHECK_MS));
            let next = NextTimeout {
                after: step.into(),
                ..timeout
            };
            match self.transport.await_input(next) {
                Err(Error::Timeout(_)) if remaining > step => remaining -= step,
                result => return result,
            }
        }
        Err(io::Error::from(io::ErrorKind::ConnectionAborted).into())
    }
}

fn agent(config: Config, limits: Option<WatchLimits>) -> Agent {
    let connector = StoreConnector {
        tcp: TcpConnector::default(),
        limits,
    };
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// The options that calls and watches share: everything but the body of the response,
/// which has no end for a watch. Redirects and proxies are off: every request goes
/// to a configured address.
fn config_builder(settings: &EtcdSettings) -> ConfigBuilder<AgentScope> {
    let first_byte = Duration::from_millis(settings.first_byte_timeout_ms);
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .timeout_connect(Some(Duration::from_millis(settings.connect_timeout_ms)))
        .timeout_send_request(Some(first_byte))
        .timeout_send_body(Some(first_byte))
        .timeout_recv_response(Some(first_byte))
}

/// An agent for calls other than watches, with pooled connections.
pub(super) fn call_agent(settings: &EtcdSettings) -> Agent {
    let config = config_builder(settings)
        .timeout_recv_body(Some(Duration::from_millis(settings.body_timeout_ms)))
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .build();
    agent(config, None)
}

/// An agent for one watch. The watch has a connection of its own, which fails once
/// `closed` is set.
pub(super) fn watch_agent(settings: &EtcdSettings, closed: &Arc<AtomicBool>) -> Agent {
    let config = config_builder(settings).max_idle_connections(0).build();
    let limits = WatchLimits {
        closed: Arc::clone(closed),
        idle_timeout: Duration::from_millis(settings.watch_progress_ms),
    };
    agent(config, Some(limits))
}
