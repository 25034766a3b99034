//! The outgoing link to one peer: its address, its connection, and limits on dialing and on
//! pending messages.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::codec::write_message;
use crate::connection::{Connection, dial};
use crate::error::{PeerFailure, PeerFailureKind};
use crate::message::PeerMessage;
use crate::runtime::Shared;

/// Maximum number of pending messages to one peer. Further ones are rejected as overload.
const MAX_PENDING_MESSAGES: usize = 1_000;

/// Pause after a failed dial. Messages and calls that waited for the dial, or that follow
/// within the pause, fail with the same error.
const REDIAL_PAUSE: Duration = Duration::from_millis(250);

/// The outgoing link to one peer. Dials on first use, and again once its connection is
/// closed.
pub(crate) struct Link {
    name: String,
    /// `None` until the peer is in the map of `set_peers`.
    address: Cell<Option<SocketAddr>>,
    connection: RefCell<Option<Connection>>,
    /// Time and error of the last failed dial.
    last_dial_failure: RefCell<Option<(Instant, PeerFailure)>>,
    /// Held while dialing, so that concurrent senders share one dial.
    dial_lock: Mutex<()>,
    /// Number of messages that are neither confirmed nor failed.
    pending: Cell<usize>,
}

impl Link {
    pub(crate) fn new(name: String) -> Link {
        Link {
            name,
            address: Cell::new(None),
            connection: RefCell::new(None),
            last_dial_failure: RefCell::new(None),
            dial_lock: Mutex::new(()),
            pending: Cell::new(0),
        }
    }

    /// Sets the address of the peer, or `None` if it was removed. A change closes the
    /// connection.
    pub(crate) fn set_address(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) != address {
            self.close();
        }
    }

    /// Closes the connection and allows an immediate dial.
    pub(crate) fn close(&self) {
        self.last_dial_failure.take();
        if let Some(connection) = self.connection.take() {
            connection.close_handle.close();
        }
    }

    /// Returns the open connection or dials a new one.
    pub(crate) async fn connection(
        &self,
        shared: &Rc<Shared>,
    ) -> Result<Connection, PeerFailure> {
        let _dial_guard = self.dial_lock.lock().await;
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        if let Some(failure) = self.recent_dial_failure() {
            return Err(failure);
        }
        let Some(address) = self.address.get() else {
            let message = format!("no address of peer {} is known", self.name);
            return Err(PeerFailure::not_reached(
                PeerFailureKind::UnknownPeer,
                message,
            ));
        };
        let dialed = dial(shared, Some(&self.name), address).await;
        match &dialed {
            Ok(connection) => {
                log::info!("event=peer_connected peer={}", self.name);
                self.connection.replace(Some(connection.clone()));
            }
            Err(failure) => {
                log::warn!("event=peer_dial_failed peer={} error={failure}", self.name);
                self.last_dial_failure
                    .replace(Some((Instant::now(), failure.clone())));
            }
        }
        dialed
    }

    /// Sends a message and waits for its confirmation.
    pub(crate) async fn deliver(
        &self,
        shared: &Rc<Shared>,
        message: &PeerMessage,
    ) -> Result<(), PeerFailure> {
        if self.pending.get() >= MAX_PENDING_MESSAGES {
            let text = format!("too many messages to peer {} are pending", self.name);
            return Err(PeerFailure::not_reached(PeerFailureKind::Overloaded, text));
        }
        self.pending.set(self.pending.get() + 1);
        let result = self.send_and_confirm(shared, message).await;
        self.pending.set(self.pending.get() - 1);
        result
    }

    async fn send_and_confirm(
        &self,
        shared: &Rc<Shared>,
        message: &PeerMessage,
    ) -> Result<(), PeerFailure> {
        let connection = self.connection(shared).await?;
        let mut request = connection.session.notify_request();
        write_message(message, request.get().init_message()).map_err(|err| {
            PeerFailure::not_reached(PeerFailureKind::NotStarted, err.to_string())
        })?;
        let deadline = Duration::from_millis(shared.deadlines.call_ms);
        let confirmation = tokio::select! {
            confirmation = timeout(deadline, request.send().promise) => confirmation,
            () = connection.close_handle.closed() => {
                return Err(connection_lost("the connection was closed"));
            }
        };
        match confirmation {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(err)) => Err(connection_lost(&err.to_string())),
            Err(_) => {
                let text = "the peer did not confirm the message in time";
                Err(PeerFailure::possibly_reached(
                    PeerFailureKind::Timeout,
                    text,
                ))
            }
        }
    }

    fn open_connection(&self) -> Option<Connection> {
        let connection = self.connection.borrow().clone();
        connection.filter(|connection| !connection.close_handle.is_closed())
    }

    /// The error of a dial that failed within [`REDIAL_PAUSE`].
    fn recent_dial_failure(&self) -> Option<PeerFailure> {
        let failure = self.last_dial_failure.borrow().clone();
        failure
            .filter(|(at, _)| at.elapsed() < REDIAL_PAUSE)
            .map(|(_, failure)| failure)
    }
}

/// The failure of a message that may have been sent before its connection ended.
fn connection_lost(message: &str) -> PeerFailure {
    PeerFailure::possibly_reached(PeerFailureKind::Disconnected, message)
}
