//! Messages and forwarded calls between the instances of a fleet, over capnp-rpc on TCP.
//!
//! [`TcpPeerNetwork`] runs an event loop on its own thread. Other threads send through
//! [`PeerNetwork`] and receive [`PeerEvent`]s from a channel. Each instance sends on the
//! connections that it dialed and receives on those that it accepted, so there are up to
//! two connections between a pair of instances. Both ends of a connection prove that they
//! know the fleet secret. A connection without progress is closed, and the next send dials
//! a new one.

mod acceptor;
mod auth;
mod codec;
mod config;
mod connection;
mod error;
mod forward;
mod link;
mod message;
mod network;
#[allow(missing_docs, unused, clippy::all)]
#[rustfmt::skip]
mod peer_capnp;
mod response;
mod runtime;
mod session;

pub use crate::auth::FleetSecret;
pub use crate::config::{PeerConfig, PeerDeadlines};
pub use crate::error::{
    PeerError, PeerFailure, PeerFailureKind, Reached, ResponseClosed,
};
pub use crate::message::{
    ForwardId, ForwardedCall, Heartbeat, HeartbeatState, MessageBody, PeerEvent,
    PeerMessage,
};
pub use crate::network::{PeerNetwork, TcpPeerNetwork};
pub use crate::response::{
    ForwardedResponse, ResponseHead, ResponsePart, ResponseSender,
};
