//! The facts that instances with disks keep.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A program of a customer. Two customers may use the same program identifier.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProgramKey {
    /// Name of the customer.
    pub customer: String,
    /// The caller's identifier of the program.
    pub program: String,
}

impl ProgramKey {
    /// The program of this identifier.
    pub fn new(customer: &str, program: &str) -> ProgramKey {
        ProgramKey {
            customer: customer.to_string(),
            program: program.to_string(),
        }
    }
}

/// A turn may generate up to this many tokens. Written before the turn is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reservation {
    /// The program that pays.
    pub program: ProgramKey,
    /// Request identifier of the turn.
    pub turn: String,
    /// Most tokens that the turn may generate.
    pub max_turn_tokens: u32,
}

/// What a turn generated in the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settlement {
    /// The program that pays.
    pub program: ProgramKey,
    /// Request identifier of the turn.
    pub turn: String,
    /// Tokens handed to the caller.
    pub used_tokens: u32,
}

/// A finished turn of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnRecord {
    /// Request identifier of the turn.
    pub turn: String,
    /// The customer that may continue it.
    pub customer: String,
    /// The turn that it continues, if any.
    pub previous: Option<String>,
    /// What the caller sent.
    pub input: Bytes,
    /// The data of each event, each followed by a line feed.
    pub output: Bytes,
    /// How long the record is kept after it was last used, in milliseconds.
    pub keep_ms: u64,
}

/// One entry of the log on disk.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerRecord {
    /// Tokens are set aside for a turn.
    Reserved(Reservation),
    /// A turn has ended and its use is known.
    Settled(Settlement),
    /// A turn has ended whole.
    Turn(TurnRecord),
    /// The owner of the log granted requests of a customer's rate.
    Granted {
        /// Time of the owner's clock, in milliseconds.
        at_ms: u64,
        /// Name of the customer.
        customer: String,
        /// Number of requests.
        count: u32,
    },
    /// The owner of the log held every fact of its group as of this version.
    Complete {
        /// Version of the group.
        group_version: u64,
    },
}

/// The charge of one turn, as reported to a reader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChargeView {
    /// Digest of the turn's identifier, see [`turn_digest`].
    pub turn: u64,
    /// Tokens reserved, or used once settled.
    pub tokens: u32,
    /// Whether the turn has ended.
    pub is_settled: bool,
}

impl LedgerRecord {
    /// Whether the fact holds for all instances, and not only for the owner of its log.
    pub fn is_shared(&self) -> bool {
        matches!(
            self,
            LedgerRecord::Reserved(_) | LedgerRecord::Settled(_) | LedgerRecord::Turn(_)
        )
    }
}

/// A short digest of a turn's identifier, the same at every instance.
pub fn turn_digest(turn: &str) -> u64 {
    let hash = blake3::hash(turn.as_bytes());
    let (head, _) = hash.as_bytes().split_at(8);
    head.iter()
        .fold(0, |digest, byte| (digest << 8) | u64::from(*byte))
}
