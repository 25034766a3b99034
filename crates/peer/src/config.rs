//! Configuration and timeouts of the peer network.

use std::net::TcpListener;

use jayreel_model::Incarnation;

use crate::auth::FleetSecret;

/// Timeouts of connections, messages and forwarded calls, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerDeadlines {
    /// Maximum time to establish a TCP connection.
    pub connect_ms: u64,
    /// Maximum time for each of: the authentication handshake, the response to a ping, and the
    /// confirmation of a message.
    pub call_ms: u64,
    /// Pause between the response to a ping and the next ping on a dialed connection.
    pub ping_interval_ms: u64,
    /// An accepted connection is closed when no ping arrives for this long.
    pub silence_ms: u64,
    /// Maximum time for the forwarding instance to queue one part of a response.
    pub write_ms: u64,
    /// Maximum wait of the forwarding instance for the next part of a response, including
    /// the first. Time in which its own reader is blocked does not count.
    pub progress_ms: u64,
}

impl Default for PeerDeadlines {
    fn default() -> PeerDeadlines {
        PeerDeadlines {
            connect_ms: 1_000,
            call_ms: 2_000,
            ping_interval_ms: 1_000,
            silence_ms: 5_000,
            write_ms: 30_000,
            // The first token of a model may take as long as the longest wait that a profile
            // allows.
            progress_ms: 120_000,
        }
    }
}

/// What [`TcpPeerNetwork::start`](crate::TcpPeerNetwork::start) needs.
#[derive(Debug)]
pub struct PeerConfig {
    /// Incarnation of this process. Calls for any other one are rejected.
    pub own: Incarnation,
    /// Bound listener for the connections of peers.
    pub listener: TcpListener,
    /// Secret of the fleet. A peer with another one is rejected.
    pub secret: FleetSecret,
    /// Timeouts of connections, messages and calls.
    pub deadlines: PeerDeadlines,
}
