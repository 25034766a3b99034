//! The records of the ledger, and the types that they consist of.
//!
//! Records are encoded with postcard, which goes by position: the order and the types of
//! fields and variants are the format of stored logs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Largest input of a turn that is stored, in bytes. With the largest output it fits into each
/// message, buffer and frame that a turn goes through.
pub const MAX_TURN_INPUT_BYTES: usize = 8 << 20;

/// Largest output of a turn that is stored, in bytes.
pub const MAX_TURN_OUTPUT_BYTES: usize = 4 << 20;

/// Identifies a program. Two customers may use the same program identifier.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProgramKey {
    /// Name of the customer.
    pub customer: String,
    /// Identifier that the caller gave the program.
    pub program: String,
}

impl ProgramKey {
    /// Builds a key from borrowed names.
    pub fn new(customer: &str, program: &str) -> ProgramKey {
        ProgramKey {
            customer: customer.to_string(),
            program: program.to_string(),
        }
    }
}

/// Sets aside tokens of a program's budget for one turn. Written before the turn is sent to
/// an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reservation {
    /// The program whose budget is charged.
    pub program: ProgramKey,
    /// Request identifier of the turn.
    pub turn: String,
    /// Upper bound on the tokens that the turn generates.
    pub max_turn_tokens: u32,
}

/// The final token usage of a turn. Replaces the turn's reservation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settlement {
    /// The program whose budget is charged.
    pub program: ProgramKey,
    /// Request identifier of the turn.
    pub turn: String,
    /// Tokens delivered to the caller.
    pub used_tokens: u32,
}

/// A finished turn of a conversation, kept so that a later turn can continue it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnRecord {
    /// Request identifier of the turn.
    pub turn: String,
    /// The only customer that may continue the turn.
    pub customer: String,
    /// Request identifier of the turn that this one continues. `None` for the first turn of a
    /// conversation.
    pub previous: Option<String>,
    /// Request body as the caller sent it.
    pub input: Bytes,
    /// Data of the response's events, each terminated by a line feed.
    pub output: Bytes,
    /// Retention time after the last use of the record, in milliseconds.
    pub retention_ms: u64,
}

/// One record of the ledger, as written to the log on disk and copied between members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerRecord {
    /// Tokens are reserved for a turn.
    Reserved(Reservation),
    /// A turn has ended and its token usage is known.
    Settled(Settlement),
    /// A turn has ended with its whole output.
    Turn(TurnRecord),
    /// The member that owns this log granted requests of a customer's rate. Not copied to
    /// other members.
    Granted {
        /// When the grant was made, in milliseconds of the log owner's clock.
        at_ms: u64,
        /// Name of the customer.
        customer: String,
        /// Number of requests granted.
        count: u32,
    },
    /// The member that owns this log held every record of its group as of this version. Not
    /// copied to other members.
    Complete {
        /// Version of the group.
        group_version: u64,
    },
    /// This log has all votes of its owner in this version of the group and later ones. Not
    /// copied to other members.
    VotesRecorded {
        /// The first version of the group.
        from_version: u64,
    },
}

/// The charge of one turn, as a member reports it to a reader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChargeView {
    /// Digest of the turn's request identifier, see [`turn_digest`].
    pub turn: u64,
    /// Tokens used if the turn is settled, otherwise tokens reserved.
    pub tokens: u32,
    /// Whether the turn has ended.
    pub is_settled: bool,
}

impl LedgerRecord {
    /// Whether the record is replicated to other members. The rest describes only the member
    /// that wrote it.
    pub fn is_shared(&self) -> bool {
        matches!(
            self,
            LedgerRecord::Reserved(_) | LedgerRecord::Settled(_) | LedgerRecord::Turn(_)
        )
    }
}

/// Identifies a turn in the index and between members: the first 128 bits of the BLAKE3 hash of
/// its request identifier.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TurnDigest([u8; 16]);

impl TurnDigest {
    /// The digest of a request identifier. The same on every instance.
    pub fn of(turn: &str) -> TurnDigest {
        let hash = blake3::hash(turn.as_bytes());
        let (digest, _) = hash.as_bytes().split_first_chunk().expect("32 bytes");
        TurnDigest(*digest)
    }
}

/// Returns the first 64 bits of the BLAKE3 hash of a turn's request identifier, which are the
/// same on every instance.
pub fn turn_digest(turn: &str) -> u64 {
    let hash = blake3::hash(turn.as_bytes());
    let (head, _) = hash.as_bytes().split_at(8);
    head.iter()
        .fold(0, |digest, byte| (digest << 8) | u64::from(*byte))
}
