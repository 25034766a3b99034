//! What the fleet step learns from peers and the store, and what it asks for.

use std::collections::BTreeSet;
use std::sync::Arc;

use jayreel_membership::Heartbeat;
use jayreel_model::{Configuration, EngineModels, EngineOrder, Incarnation};
use jayreel_programs::{BudgetRecord, Handover, KeyedHandover, TakeoverRecord};
use jayreel_quota::home_weights::HomeRecord;
use jayreel_quota::{LoanGrant, LoanRequest, LoanReturn};
use serde::{Deserialize, Serialize};

use crate::engine_state::OrderAnswer;

/// A message between instances.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// The tags of a query that belong to live programs of the sender.
    CacheTagsOwned(Vec<String>),
    /// Asks which of these tags belong to live programs of the receiver.
    CacheTagQuery(Vec<String>),
    /// Programs of an instance that stops.
    Handover(Box<Handover>),
    /// The programs of a handover were taken over.
    HandoverTaken,
    /// Asks whether the peer is alive, and tells the sender's state.
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat.
    HeartbeatAnswer(Heartbeat),
    /// Idempotency keys without a program, of a process that stops.
    KeyedHandover(Box<KeyedHandover>),
    /// A part of these keys was taken over.
    KeyedHandoverTaken {
        /// Its number.
        part: u32,
    },
    /// A part of the lender's share.
    LoanGrant(LoanGrant),
    /// Asks for a part of the lender's share.
    LoanRequest(LoanRequest),
    /// Gives a loan back before its term.
    LoanReturn(LoanReturn),
    /// A takeover record stands in the store.
    Takeover {
        /// The incarnation that is gone.
        of: Incarnation,
        /// The record.
        record: TakeoverRecord,
    },
}

/// An instance as it is registered in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegisteredInstance {
    /// The process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it accepts peers.
    pub peer_address: String,
    /// Whether it has announced a planned stop.
    #[serde(default)]
    pub leaving: bool,
}

/// What the fleet step learns.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// The last budget record of an incarnation was read. `None`: it wrote none.
    BudgetRead {
        /// The incarnation.
        of: Incarnation,
        /// Its record.
        record: Option<BudgetRecord>,
    },
    /// The configuration in force changed.
    ConfigurationChanged(Arc<Configuration>),
    /// The age of the store contact behind the configuration.
    StoreContactAge(Option<u64>),
    /// Whether the store confirmed a budget record.
    BudgetWritten {
        /// The record.
        record: BudgetRecord,
        /// False if the write failed or its outcome is unknown.
        confirmed: bool,
    },
    /// The home weights were read.
    HomeWeightsRead {
        /// When the read was sent.
        sent_at_ms: u64,
        /// The record. Empty if there is none.
        record: HomeRecord,
        /// Its version, 0 if there is none.
        version: u64,
    },
    /// Whether a write of the home weights was accepted. Not sent if that is unknown.
    HomeWeightsWritten {
        /// The version that was to be replaced.
        version: u64,
        /// Whether it was.
        accepted: bool,
    },
    /// The platform's list of leaving instances was read.
    LeavingInstancesRead(BTreeSet<String>),
    /// An engine reported what it has loaded.
    ModelsReported {
        /// Name of the endpoint.
        endpoint: String,
        /// When the report was asked for.
        sent_at_ms: u64,
        /// The report.
        models: EngineModels,
    },
    /// An engine answered an order, or the order failed.
    OrderAnswered {
        /// Name of the endpoint.
        endpoint: String,
        /// Fencing number of the order.
        fencing: u64,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A message arrived from the named instance.
    PeerMessage {
        /// Name of the instance.
        from: String,
        /// The message.
        message: PeerMessage,
    },
    /// Instances of these names may be reached, though none was heard of in a heartbeat.
    PeersDiscovered(Vec<String>),
    /// The own registration was renewed.
    RegistrationRenewed {
        /// When the renewal was sent.
        sent_at_ms: u64,
    },
    /// All registrations were read.
    RegistrationsRead {
        /// When the read was sent.
        sent_at_ms: u64,
        /// The registered instances.
        registered: Vec<RegisteredInstance>,
        /// The lease of the own registration, if there is one.
        own_lease: Option<i64>,
    },
    /// A planned stop has begun. Calls still arrive.
    StopStarted,
    /// All calls have ended, and no more will arrive: hand over and give back.
    ServingEnded,
    /// The cache tags that an engine holds.
    CacheTagsListed {
        /// Name of the endpoint.
        endpoint: String,
        /// The tags.
        tags: Vec<String>,
    },
    /// A takeover record was read or created.
    TakeoverRead {
        /// The incarnation that is gone.
        of: Incarnation,
        /// The record.
        record: TakeoverRecord,
    },
    /// A takeover record could be neither created nor read.
    TakeoverUnconfirmed {
        /// The incarnation.
        of: Incarnation,
    },
    /// Time passed.
    Tick,
}

impl FleetEvent {
    /// Whether the event can change the budget of a program or decide about a call. Other
    /// events arrive once a second from each peer, so they must not start a search; what
    /// they change counts from the next tick on.
    pub(crate) fn brings_decisions(&self) -> bool {
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

/// What the shell carries out for the fleet step.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Create a takeover record unless there is one, and report the one that stands.
    ClaimTakeover {
        /// The incarnation that is gone.
        of: Incarnation,
        /// The record to create.
        record: TakeoverRecord,
    },
    /// Read the budget record of an incarnation.
    ReadBudget {
        /// The incarnation.
        of: Incarnation,
    },
    /// Send a message to a peer. It may be lost.
    Send {
        /// Name of the instance.
        to: String,
        /// The message.
        message: PeerMessage,
    },
    /// Drop a program's cache at an engine.
    ReleaseCacheTag {
        /// Name of the endpoint.
        endpoint: String,
        /// The program's cache tag.
        cache_tag: String,
    },
    /// Send an order to an engine, and report with `OrderAnswered`.
    SendOrder {
        /// Name of the endpoint.
        endpoint: String,
        /// Store revision of the record that justifies the order.
        fencing: u64,
        /// The order.
        order: EngineOrder,
    },
    /// List the cache tags that an engine holds.
    ListCacheTags {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// Write the own budget record.
    WriteBudget(BudgetRecord),
    /// Write the home weights if the record still has this version, then read them.
    WriteHomeWeights {
        /// The new record.
        record: HomeRecord,
        /// The version it replaces, 0 if there is none.
        version: u64,
        /// Instances that must not be registered, as conditions of the same transaction.
        requires_absent: Vec<String>,
    },
}
