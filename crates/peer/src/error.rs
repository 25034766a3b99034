//! Errors of the peer network.

use std::{error, fmt, io};

/// Whether any byte of a call or message can have reached the other instance. A call that
/// failed with [`Reached::Possible`] may have run there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reached {
    /// Nothing was sent, or the other instance replied that it did not start the call.
    No,
    /// Bytes may have been sent, and no reply says that the call did not start.
    Possible,
}

/// Why a call or message failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerFailureKind {
    /// One end did not accept the other's proof of the fleet secret, or the instance at the
    /// address has another name than expected.
    Authentication,
    /// The serving instance ended its response before it was complete.
    Broken,
    /// This instance's own peer network was closed.
    Closed,
    /// The connection could not be established or ended early.
    Disconnected,
    /// Too many messages to this peer are pending.
    Overloaded,
    /// A timeout of [`PeerDeadlines`](crate::PeerDeadlines) expired.
    Timeout,
    /// The instance is not in the map of [`PeerNetwork::set_peers`].
    ///
    /// [`PeerNetwork::set_peers`]: crate::PeerNetwork::set_peers
    UnknownPeer,
    /// The call or message could not be encoded, another incarnation runs under the name,
    /// or the other instance is overloaded.
    NotStarted,
}

/// Error of a forwarded call or a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerFailure {
    /// What went wrong.
    pub kind: PeerFailureKind,
    /// Whether the other instance may have received any of the call or message.
    pub reached: Reached,
    /// Description for logs, and for the caller if a forwarded call fails before its response
    /// begins. Contains no secrets.
    pub message: String,
}

impl PeerFailure {
    pub(crate) fn new(
        kind: PeerFailureKind,
        reached: Reached,
        message: impl Into<String>,
    ) -> PeerFailure {
        PeerFailure {
            kind,
            reached,
            message: message.into(),
        }
    }

    /// A failure before anything was sent.
    pub(crate) fn not_reached(
        kind: PeerFailureKind,
        message: impl Into<String>,
    ) -> PeerFailure {
        PeerFailure::new(kind, Reached::No, message)
    }

    /// A failure after bytes may have been sent.
    pub(crate) fn possibly_reached(
        kind: PeerFailureKind,
        message: impl Into<String>,
    ) -> PeerFailure {
        PeerFailure::new(kind, Reached::Possible, message)
    }
}

impl fmt::Display for PeerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for PeerFailure {}

/// Why the peer network could not start.
#[derive(Debug)]
pub enum PeerError {
    /// The listener's address cannot be read, or it cannot be made non-blocking.
    Listener(io::Error),
    /// The thread or its Tokio runtime cannot be created.
    Thread(io::Error),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Listener(err) => write!(f, "cannot use the peer listener: {err}"),
            PeerError::Thread(err) => write!(f, "cannot start the peer thread: {err}"),
        }
    }
}

impl error::Error for PeerError {}

/// The forwarding instance cancelled the call or its connection was lost. The rest of the
/// response can be dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseClosed;

impl fmt::Display for ResponseClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the forwarding instance cancelled the call or disconnected")
    }
}

impl error::Error for ResponseClosed {}
