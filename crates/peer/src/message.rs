//! Messages between instances, forwarded calls, and the events of the peer network.

use std::net::SocketAddr;

use jayreel_model::{Incarnation, KeyHash};

use crate::error::PeerFailure;
use crate::response::ResponseSender;

/// A message to a peer. Delivery is not guaranteed and not ordered. A sender that repeats a
/// message can cause duplicates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerMessage {
    /// Chosen by the sender, unique within its incarnation, not 0.
    pub id: u64,
    /// The id of the message that this one replies to.
    pub reply_to: Option<u64>,
    /// The typed content.
    pub body: MessageBody,
}

/// The content of a message. Bodies in JSON are opaque to this crate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageBody {
    /// Reply to `CacheTagQuery`: those of its tags that belong to live programs of the
    /// sender.
    CacheTagsOwned {
        /// Cache tags of model engines.
        tags: Vec<String>,
    },
    /// Asks which of these tags belong to live programs of the receiver.
    CacheTagQuery {
        /// Cache tags of model engines.
        tags: Vec<String>,
    },
    /// State of the sender. The receiver replies with its own.
    Heartbeat(Heartbeat),
    /// Reply to a heartbeat: state of the sender.
    HeartbeatAnswer(Heartbeat),
    /// The program records of an incarnation that is shutting down, for its successor.
    Handover {
        /// The incarnation that is shutting down.
        from: Incarnation,
        /// JSON of the programs crate's `Handover`.
        body: Vec<u8>,
    },
    /// Reply to `Handover`: the receiver imported the records.
    HandoverTaken,
    /// Idempotency keys that belong to no program, from an incarnation that is shutting
    /// down. Sent in numbered parts.
    KeyedHandover {
        /// The incarnation that is shutting down.
        from: Incarnation,
        /// JSON of the programs crate's `KeyedHandover`.
        body: Vec<u8>,
    },
    /// Reply to `KeyedHandover`: the receiver imported one part.
    KeyedHandoverTaken {
        /// Number of the imported part.
        part: u32,
    },
    /// Lends a share of a customer's quota to the receiver.
    LoanGrant {
        /// Name of the customer.
        customer: String,
        /// JSON of the quota crate's type for this message.
        body: Vec<u8>,
    },
    /// Asks the receiver for a loan from its share of a customer's quota.
    LoanRequest {
        /// Name of the customer.
        customer: String,
        /// JSON of the quota crate's type for this message.
        body: Vec<u8>,
    },
    /// Returns a loan before it expires.
    LoanReturn {
        /// Name of the customer.
        customer: String,
        /// JSON of the quota crate's type for this message.
        body: Vec<u8>,
    },
    /// Reply to `PeersRequest`: every peer whose address the sender knows.
    Peers {
        /// Instance names and the addresses where they accept peers.
        peers: Vec<(String, SocketAddr)>,
    },
    /// Asks for the addresses of all peers that the receiver knows.
    PeersRequest,
    /// Reply to `SnapshotRequest`: a complete configuration.
    Snapshot {
        /// Store revision of the configuration.
        revision: u64,
        /// JSON of the configuration.
        body: Vec<u8>,
    },
    /// Asks for the receiver's configuration.
    SnapshotRequest {
        /// The receiver replies only if its revision is newer than this.
        newer_than_revision: u64,
    },
    /// Announces that one incarnation has permanently taken over the programs of another.
    Takeover {
        /// The incarnation that no longer runs.
        of: Incarnation,
        /// The incarnation that serves its programs now.
        successor: Incarnation,
    },
    /// API keys that were withdrawn and must be rejected from now on.
    Withdrawals {
        /// Hashes of the keys.
        keys: Vec<KeyHash>,
    },
    /// Reply to `Withdrawals`: the sender rejects these keys now.
    WithdrawalsApplied,
}

/// State of an instance, sent to its peers at intervals.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub availability_zone: String,
    /// Store revision of the sender's configuration.
    pub config_revision: u64,
    /// Time since the last store contact behind the sender's configuration. `None` if there
    /// was none yet.
    pub store_contact_age_ms: Option<u64>,
    /// Whether the sender accepts new work.
    pub state: HeartbeatState,
    /// Number of running calls.
    pub running_calls: u32,
    /// Number of calls that wait to run.
    pub waiting_calls: u32,
    /// IP address and port where the sender accepts peers. A receiver that has not read the
    /// sender's registration from the store yet replies to this address.
    pub peer_address: String,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatState {
    /// Not yet: it has no valid configuration.
    Starting,
    /// Yes.
    Serving,
    /// No longer: it announced a planned shutdown.
    Leaving,
}

/// A call that is forwarded to the instance that owns its program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardedCall {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// End-to-end headers, without hop-by-hop headers and credentials.
    pub headers: Vec<(String, String)>,
    /// The complete request body.
    pub body: Vec<u8>,
    /// JSON of what the serving instance needs beyond the HTTP request, such as the hash of
    /// the caller's key. Opaque to this crate.
    pub params: Vec<u8>,
}

/// Identifies a call that a peer forwarded to this instance. Unique within the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ForwardId(pub u64);

/// An event of the peer network, for the thread that reads the event channel.
#[derive(Debug)]
pub enum PeerEvent {
    /// Result of [`PeerNetwork::discover`]: an instance of the fleet accepts peers at the
    /// address.
    ///
    /// [`PeerNetwork::discover`]: crate::PeerNetwork::discover
    Discovered {
        /// The address that was passed to `discover`.
        address: SocketAddr,
        /// The incarnation that proved its identity.
        incarnation: Incarnation,
    },
    /// A peer forwarded a call to this incarnation.
    Forwarded {
        /// Identifies the call in a later `ForwardCancelled`.
        id: ForwardId,
        /// Name of the forwarding instance.
        from: String,
        /// The request.
        call: Box<ForwardedCall>,
        /// Sends the response to the forwarding instance.
        response: ResponseSender,
    },
    /// The forwarding instance cancelled the call or its connection was lost. Not sent once
    /// the network has received the last part of the response from [`ResponseSender`].
    ForwardCancelled {
        /// The id from `Forwarded`.
        id: ForwardId,
    },
    /// A peer sent a message.
    Message {
        /// Name of the authenticated sender.
        from: String,
        /// The message as the peer sent it.
        message: PeerMessage,
    },
    /// The receiver did not confirm a message that this instance sent.
    SendFailed {
        /// Name of the receiving instance.
        to: String,
        /// The id of the message.
        id: u64,
        /// The reason, and whether the message may have arrived all the same.
        failure: PeerFailure,
    },
}
