//! Inputs and outputs of [`FleetState`](crate::FleetState): messages between instances,
//! events from peers, the store and the engines, and the effects that the caller carries
//! out.

use std::collections::BTreeSet;
use std::sync::Arc;

use jayreel_membership::Heartbeat;
use jayreel_model::{Configuration, EngineModels, EngineOrder, Incarnation};
use jayreel_programs::{BudgetRecord, Handover, KeyedHandover, TakeoverRecord};
use jayreel_quota::home_weights::HomeRecord;
use jayreel_quota::{LoanGrant, LoanRequest, LoanReturn};
use serde::{Deserialize, Serialize};

use crate::engine_state::OrderAnswer;

/// A message between two instances. It may be lost or arrive more than once.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Reply to [`PeerMessage::CacheTagQuery`]: those of its cache tags that the sender
    /// still needs.
    CacheTagsOwned(Vec<String>),
    /// Asks which of these cache tags the receiver still needs for its programs. The sender
    /// releases the others.
    CacheTagQuery(Vec<String>),
    /// One part of the programs of a stopping process, sent to its successor.
    Handover(Box<Handover>),
    /// The successor has imported the part of the programs that it received last.
    HandoverTaken,
    /// Asks whether the peer is alive and carries the sender's state. The receiver sends
    /// [`PeerMessage::HeartbeatAnswer`].
    Heartbeat(Heartbeat),
    /// Reply to a heartbeat, with the state of the replying instance.
    HeartbeatAnswer(Heartbeat),
    /// One part of the idempotency keys that a stopping process has seen in calls without a
    /// program.
    KeyedHandover(Box<KeyedHandover>),
    /// The receiver has imported one part of the idempotency keys.
    KeyedHandoverTaken {
        /// Number of the part, from 0, as in the `KeyedHandover` that it confirms.
        part: u32,
    },
    /// Reply to a loan request: lends a part of the sender's rate to the receiver.
    LoanGrant(LoanGrant),
    /// Asks to borrow a part of the receiver's rate for one customer.
    LoanRequest(LoanRequest),
    /// Returns a loan to the lender before it expires.
    LoanReturn(LoanReturn),
    /// The store has a takeover record for an incarnation.
    Takeover {
        /// The incarnation whose programs have a new owner.
        of: Incarnation,
        /// The record, which names the new owner.
        record: TakeoverRecord,
    },
}

/// The store's record of a registered instance. It is encoded as JSON under the instance's
/// lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegisteredInstance {
    /// The process that wrote the record.
    pub incarnation: Incarnation,
    /// Availability zone that the instance runs in.
    pub availability_zone: String,
    /// Address at which the instance accepts connections of peers.
    pub peer_address: String,
    /// Whether the instance has begun a planned stop. False in records without the field.
    #[serde(default)]
    pub leaving: bool,
}

/// An event from a peer, the store, an engine or the instance itself.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// The budget record of a predecessor was read from the store, as requested by
    /// [`FleetEffect::ReadBudget`].
    BudgetRead {
        /// The incarnation that wrote the record.
        of: Incarnation,
        /// Its last record. `None` if it never wrote one.
        record: Option<BudgetRecord>,
    },
    /// A new configuration is in force.
    ConfigurationChanged(Arc<Configuration>),
    /// Time in milliseconds since the store last confirmed the configuration in force,
    /// directly or through a peer. `None` if it never did.
    StoreContactAge(Option<u64>),
    /// A write of the own budget record has ended.
    BudgetWritten {
        /// The record of the write.
        record: BudgetRecord,
        /// Whether the store confirmed the write. False if the write failed or its outcome
        /// is unknown.
        confirmed: bool,
    },
    /// The record of the home weights was read from the store.
    HomeWeightsRead {
        /// When the read was sent, in milliseconds of this instance's monotonic clock.
        sent_at_ms: u64,
        /// The record, empty if the store has none.
        record: HomeRecord,
        /// Modification revision of the record, 0 if the store has none.
        version: u64,
    },
    /// The store responded to a write of the home weights. Not sent if the outcome is
    /// unknown.
    HomeWeightsWritten {
        /// The version that the write was to replace, 0 if it was to create the record.
        version: u64,
        /// Whether the record still had this version and was replaced.
        accepted: bool,
    },
    /// The platform's list of leaving instances was read. It holds instance names.
    LeavingInstancesRead(BTreeSet<String>),
    /// An engine reported the models and adapters that it has loaded or is loading.
    ModelsReported {
        /// Name of the engine's endpoint.
        endpoint: String,
        /// When the report was requested, in milliseconds of this instance's monotonic
        /// clock.
        sent_at_ms: u64,
        /// Models and adapters of the engine, with the fencing number of its last order.
        models: EngineModels,
    },
    /// An engine responded to an order, or the request failed.
    OrderAnswered {
        /// Name of the engine's endpoint.
        endpoint: String,
        /// Fencing number of the order, from [`FleetEffect::SendOrder`].
        fencing: u64,
        /// Whether the engine accepted the order.
        answer: OrderAnswer,
    },
    /// A message of a peer arrived.
    PeerMessage {
        /// Name of the sending instance.
        from: String,
        /// The decoded message.
        message: PeerMessage,
    },
    /// Instances with these names can be reached. They were discovered without the store
    /// and may not have sent a heartbeat yet.
    PeersDiscovered(Vec<String>),
    /// The own registration was renewed in the store.
    RegistrationRenewed {
        /// When the renewal was sent, in milliseconds of this instance's monotonic clock.
        sent_at_ms: u64,
    },
    /// All registrations were read from the store.
    RegistrationsRead {
        /// When the read was sent, in milliseconds of this instance's monotonic clock.
        sent_at_ms: u64,
        /// All registered instances, this one included if it is registered.
        registered: Vec<RegisteredInstance>,
        /// Lease of the own registration. `None` if this instance is not registered.
        own_lease: Option<i64>,
    },
    /// A planned stop has begun. Calls still arrive and run.
    StopStarted,
    /// The last step of a planned stop: all calls have ended or were cut off, and no more
    /// will arrive. Programs and idempotency keys can be handed over and rates returned.
    ServingEnded,
    /// An engine listed the cache tags that it holds, as requested by
    /// [`FleetEffect::ListCacheTags`].
    CacheTagsListed {
        /// Name of the engine's endpoint.
        endpoint: String,
        /// All tags of the engine. Those that are not tags of this system are ignored.
        tags: Vec<String>,
    },
    /// The store has a takeover record for an incarnation, created by this instance or by
    /// another one.
    TakeoverRead {
        /// The incarnation whose programs have a new owner.
        of: Incarnation,
        /// The record, which names the new owner.
        record: TakeoverRecord,
    },
    /// A takeover record could be neither created nor read, or the budget record of the
    /// predecessor could not be read.
    TakeoverUnconfirmed {
        /// The incarnation whose programs cannot be served for now.
        of: Incarnation,
    },
    /// Timer event that drives everything which depends on time.
    Tick,
}

impl FleetEvent {
    /// Whether the event can change the budget of a program or the admission of a call.
    /// After such an event all programs and waiting calls are checked. The other events
    /// arrive once a second from each peer, so they must not cause that check; their
    /// changes take effect at the next tick.
    pub(crate) fn affects_calls(&self) -> bool {
        !matches!(
            self,
            FleetEvent::StoreContactAge(_)
                | FleetEvent::HomeWeightsRead { .. }
                | FleetEvent::ModelsReported { .. }
                | FleetEvent::OrderAnswered { .. }
                | FleetEvent::PeerMessage {
                    message: PeerMessage::Heartbeat(_) | PeerMessage::HeartbeatAnswer(_),
                    ..
                }
                | FleetEvent::PeersDiscovered(_)
                | FleetEvent::RegistrationRenewed { .. }
                | FleetEvent::RegistrationsRead { .. }
        )
    }
}

/// An action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Create a takeover record in the store unless there is one already. The result arrives
    /// as [`FleetEvent::TakeoverRead`], which carries the record that the store has then, or
    /// as [`FleetEvent::TakeoverUnconfirmed`].
    ClaimTakeover {
        /// The incarnation whose programs are taken over.
        of: Incarnation,
        /// The record to create.
        record: TakeoverRecord,
    },
    /// Read the budget record of an incarnation that this process succeeds. The result
    /// arrives as [`FleetEvent::BudgetRead`], or as [`FleetEvent::TakeoverUnconfirmed`] if
    /// the read fails.
    ReadBudget {
        /// The incarnation that wrote the record.
        of: Incarnation,
    },
    /// Send a message to a peer. Delivery is not guaranteed.
    Send {
        /// Name of the receiving instance.
        to: String,
        /// The message to encode and send.
        message: PeerMessage,
    },
    /// Request that an engine drop the cache of a program that nobody uses any more.
    ReleaseCacheTag {
        /// Name of the engine's endpoint.
        endpoint: String,
        /// Tag under which the engine keeps the program's cache.
        cache_tag: String,
    },
    /// Send an order to an engine. The result arrives as [`FleetEvent::OrderAnswered`].
    SendOrder {
        /// Name of the engine's endpoint.
        endpoint: String,
        /// Store revision of the endpoint record that the order follows from. Engines that
        /// check it refuse orders with a lower number than the last one.
        fencing: u64,
        /// What the engine is to load, unload or change.
        order: EngineOrder,
    },
    /// List the cache tags that an engine holds. The result arrives as
    /// [`FleetEvent::CacheTagsListed`].
    ListCacheTags {
        /// Name of the engine's endpoint.
        endpoint: String,
    },
    /// Write the own budget record. The result arrives as [`FleetEvent::BudgetWritten`].
    WriteBudget(BudgetRecord),
    /// Write the home weights if the record still has this version, then read them. The
    /// results arrive as [`FleetEvent::HomeWeightsWritten`], unless the outcome is unknown,
    /// and as [`FleetEvent::HomeWeightsRead`].
    WriteHomeWeights {
        /// The record to write.
        record: HomeRecord,
        /// Version that the write replaces, 0 to create the record.
        version: u64,
        /// Names of instances whose registration must not exist, as conditions of the same
        /// transaction.
        requires_absent: Vec<String>,
    },
}
