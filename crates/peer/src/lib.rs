//! Messages and forwarded calls between the instances of a fleet, by capnp-rpc over TCP.
//!
//! [`TcpPeerNetwork`] runs on one thread of its own. Other threads use it through
//! [`PeerNetwork`] and receive what arrives as [`PeerEvent`] events. Each instance dials its
//! peers for what it sends and accepts their connections for what they send, so a pair of
//! instances has up to two connections. Both ends prove that they know the secret of the
//! fleet. A connection that makes no progress is closed and replaced on the next use.

mod answer;
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
mod runtime;
mod serve;
mod session;

pub use crate::answer::{ForwardedResponse, ResponseHead, ResponsePart, ResponseSender};
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
