//! What instances tell each other.

use std::net::SocketAddr;

use jayreel_model::{Incarnation, KeyHash};

use crate::answer::ResponseSender;
use crate::error::PeerFailure;

/// A message to a peer. Messages may be lost, doubled by a sender that repeats them, or
/// arrive in another order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerMessage {
    /// Chosen by the sender, unique within its incarnation, not 0.
    pub id: u64,
    /// The id of the message that this one answers.
    pub reply_to: Option<u64>,
    /// The content.
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageBody {
    /// The tags of a query that belong to live programs of the sender.
    CacheTagsOwned {
        /// Cache tags.
        tags: Vec<String>,
    },
    /// Asks which of these tags belong to live programs of the receiver.
    CacheTagQuery {
        /// Cache tags.
        tags: Vec<String>,
    },
    /// The state of the sender, to be answered.
    Heartbeat(Heartbeat),
    /// The state of the sender, in answer to a heartbeat.
    HeartbeatAnswer(Heartbeat),
    /// The program records of an incarnation that stops.
    Handover {
        /// The incarnation that stops.
        from: Incarnation,
        /// JSON of the programs crate's `Handover`.
        body: Vec<u8>,
    },
    /// The handover was imported.
    HandoverTaken,
    /// Idempotency keys without a program, of an incarnation that stops.
    KeyedHandover {
        /// The incarnation that stops.
        from: Incarnation,
        /// JSON of the programs crate's `KeyedHandover`.
        body: Vec<u8>,
    },
    /// A part of these keys was imported.
    KeyedHandoverTaken {
        /// Its number.
        part: u32,
    },
    /// A share is lent.
    LoanGrant {
        /// Name of the customer.
        customer: String,
        /// JSON of the quota crate's type.
        body: Vec<u8>,
    },
    /// Asks for a share.
    LoanRequest {
        /// Name of the customer.
        customer: String,
        /// JSON of the quota crate's type.
        body: Vec<u8>,
    },
    /// A share is given back before its term.
    LoanReturn {
        /// Name of the customer.
        customer: String,
        /// JSON of the quota crate's type.
        body: Vec<u8>,
    },
    /// The peers that the sender has an address of, by name.
    Peers {
        /// Names and addresses.
        peers: Vec<(String, SocketAddr)>,
    },
    /// Asks for the peers that the receiver has an address of.
    PeersRequest,
    /// A configuration.
    Snapshot {
        /// Its store revision.
        revision: u64,
        /// JSON of the configuration.
        body: Vec<u8>,
    },
    /// Asks for a configuration.
    SnapshotRequest {
        /// Only a newer one is wanted.
        newer_than_revision: u64,
    },
    /// One incarnation serves the programs of another for good.
    Takeover {
        /// The incarnation that is gone.
        of: Incarnation,
        /// Its successor.
        successor: Incarnation,
    },
    /// Keys that were withdrawn.
    Withdrawals {
        /// Hashes of the keys.
        keys: Vec<KeyHash>,
    },
    /// The withdrawals are in force at the sender.
    WithdrawalsApplied,
}

/// The state of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub availability_zone: String,
    /// The revision of its configuration.
    pub config_revision: u64,
    /// Age of the newest store contact behind its configuration. `None`: never any.
    pub store_contact_age_ms: Option<u64>,
    /// Whether it takes new work.
    pub state: HeartbeatState,
    /// Calls that run.
    pub running_calls: u32,
    /// Calls that wait.
    pub waiting_calls: u32,
    /// Where the sender accepts peers. Lets a receiver answer that has not read the
    /// sender's registration yet.
    pub peer_address: String,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatState {
    /// Has no valid configuration yet.
    Starting,
    /// Takes work.
    Serving,
    /// Announced a planned stop.
    Leaving,
}

/// A call that is passed to the owner of its program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardedCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// End-to-end headers without credentials.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// JSON of what the reducer needs to know, such as the hash of the caller's key.
    pub facts: Vec<u8>,
}

/// A call that a peer forwarded to this instance. Unique within a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ForwardId(pub u64);

/// What arrives from peers.
#[derive(Debug)]
pub enum PeerEvent {
    /// An instance proved at an address that it belongs to the fleet.
    Discovered {
        /// The address that was asked.
        address: SocketAddr,
        /// The process that answered.
        incarnation: Incarnation,
    },
    /// A peer forwards a call to this incarnation.
    Forwarded {
        /// The call.
        id: ForwardId,
        /// Name of the forwarding instance.
        from: String,
        /// What to run.
        call: Box<ForwardedCall>,
        /// Where the answer goes.
        response: ResponseSender,
    },
    /// The forwarding instance cancelled the call or cannot be reached any more. Not sent
    /// after the answer was closed.
    ForwardCancelled {
        /// The call.
        id: ForwardId,
    },
    /// A message arrived.
    Message {
        /// Name of the authenticated sender.
        from: String,
        /// The message.
        message: PeerMessage,
    },
    /// A message was not confirmed.
    SendFailed {
        /// Name of the receiver.
        to: String,
        /// The message's id.
        id: u64,
        /// Why, and whether it may have arrived.
        failure: PeerFailure,
    },
}
