//! What instances ask those with disks.

use serde::{Deserialize, Serialize};

use crate::fact::{
    ChargeView, LedgerRecord, ProgramKey, Reservation, Settlement, TurnRecord,
};
use crate::group::Group;
use crate::rate::{QuotaPurpose, RateLimit};

/// A numbered question on a connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Unique on its connection. The reply repeats it.
    pub id: u64,
    /// Version of the group that the sender counts quorums in. 0 if it knows none.
    pub group_version: u64,
    /// The question.
    pub body: MemberRequest,
}

/// The reply to one question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Number of the question.
    pub id: u64,
    /// The answer.
    pub body: MemberResponse,
}

/// Tokens of a customer's rate that an instance wants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// Name of the customer.
    pub customer: String,
    /// Identifier of the program, if the tokens are for a request of one.
    pub program: Option<String>,
    /// Requests that it wants to admit.
    pub requests: u32,
    /// What they are for, as far as the sender knows. A member may know that the program
    /// has begun.
    pub quota_purpose: QuotaPurpose,
    /// The budget that the request draws on, if it is a turn with one.
    pub budget: Option<TurnBudget>,
    /// The customer's limit as the sender knows it.
    pub limit: RateLimit,
}

/// What a turn needs of the budget of its program.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnBudget {
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: u64,
    /// Most tokens that the turn may generate.
    pub max_turn_tokens: u32,
}

/// A question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberRequest {
    /// The newest group that the sender knows. Versions before it are closed from now on.
    AdoptGroup(Group),
    /// Write a reservation; answered with the program's charges once it is on disk.
    Reserve(Reservation),
    /// The charges of a program.
    Charges(ProgramKey),
    /// Write the use of a turn.
    Settle(Settlement),
    /// Write a finished turn; answered once it is on disk.
    StoreTurn(TurnRecord),
    /// Write facts from another instance's book; answered once they are on disk.
    StoreRecords(Vec<LedgerRecord>),
    /// A turn and the turns before it.
    Chain {
        /// Request identifier of the newest turn.
        turn: String,
        /// How many turns are wanted. The asker may hold the older ones.
        max_chain_turns: u32,
    },
    /// Tokens of customers' rates.
    TakeQuota {
        /// Version of the configuration that the limits come from.
        configuration_version: u64,
        /// One entry for each customer.
        wants: Vec<QuotaRequest>,
    },
    /// A part of all facts, see [`crate::LedgerState::part`].
    CopyPart {
        /// 0 for the first part.
        cursor: u64,
    },
    /// Whether the instance is there and votes.
    Status,
    /// The configuration, if it is newer than a revision, and how fresh it is.
    Configuration {
        /// Revision that the sender holds. 0 for none.
        known_revision: u64,
    },
    /// The sender, an entry instance of the member's availability zone, is there.
    Presence {
        /// Name of the sender.
        instance: String,
    },
    /// Changes of endpoints that the sender does not know.
    Endpoints {
        /// Where the last answer ended.
        known: EndpointCursor,
    },
}

/// A place in the changes of endpoints that one instance tells.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointCursor {
    /// Tells apart instances, and their starts. 0 for none.
    pub view: u64,
    /// Number of the last change that is known.
    pub sequence: u64,
}

/// Entry instances of an availability zone, as a member there hears from them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZonePresence {
    /// Those that have been there lately.
    pub known: u32,
    /// Those of them that are there now.
    pub present: u32,
}

/// Changes of endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedEndpoints {
    /// Where they end.
    pub cursor: EndpointCursor,
    /// Store revision up to which endpoints are known.
    pub revision: u64,
    /// The content is all endpoints, not just what has changed.
    pub is_complete: bool,
    /// The changes, as instances encode them.
    pub content: bytes::Bytes,
}

/// A configuration, and how recently an instance has proof that it was the newest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedConfiguration {
    /// Revision of the configuration.
    pub revision: u64,
    /// Age of the proof when the answer was sent, in milliseconds.
    pub age_ms: u64,
    /// The configuration as the store holds it, if the asker does not have it.
    pub content: Option<bytes::Bytes>,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberResponse {
    /// Done, and on disk where the question asks for that.
    Done,
    /// The charges of a program.
    Charges(Vec<ChargeView>),
    /// Newest turn first; empty if the instance does not hold the turn.
    Chain(Vec<TurnRecord>),
    /// Requests granted, in the order of the wants.
    Quota(Vec<u32>),
    /// A part of all facts.
    Part {
        /// The facts.
        facts: Vec<LedgerRecord>,
        /// Cursor of the next part.
        next: Option<u64>,
        /// Whether the instance held all facts of its group.
        is_complete: bool,
    },
    /// State of the instance.
    Status {
        /// Whether it votes.
        is_voting: bool,
        /// Newest version of the group that it knows.
        group_version: u64,
    },
    /// The configuration and its age.
    Configuration(SharedConfiguration),
    /// Entry instances of the member's zone.
    Presence(ZonePresence),
    /// Changes of endpoints.
    Endpoints(SharedEndpoints),
    /// The sender's version is closed. This is the newest group.
    GroupSuperseded(Group),
    /// The instance does not vote (yet): its disk is new, or it is no member.
    NotVoting,
    /// The instance cannot answer now.
    Unavailable,
}
