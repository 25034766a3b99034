//! Requests to storage instances, and their responses.
//!
//! Entry instances and other storage instances send them over the links of the gateway,
//! encoded with postcard: the order and the types of fields and variants are the wire format.

use serde::{Deserialize, Serialize};

use crate::crash_suspects::{CrashReport, SharedSuspects, Suspect, SuspectsVersion};
use crate::endpoint_limits::{EndpointLimit, SendGrant};
use crate::fingerprint::Fingerprint;
use crate::group::Group;
use crate::rate::{QuotaPurpose, RateLimit};
use crate::record::{
    ChargeView, LedgerRecord, ProgramKey, Reservation, Settlement, TurnDigest, TurnRecord,
};
use crate::state::CopyCursor;

/// A request, with what identifies it on its connection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Unique on its connection. The reply repeats it.
    pub id: u64,
    /// Version of the group whose quorums the sender counts. 0 if it knows no group.
    pub group_version: u64,
    /// What is requested.
    pub body: MemberRequest,
}

/// The response to one request, with what assigns it to that request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Identifier of the request.
    pub id: u64,
    /// The response to its body.
    pub body: MemberResponse,
}

/// Part of [`MemberRequest::TakeQuota`]: the requests that the sender wants to admit for one
/// customer. Each takes one token of the customer's rate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// Name of the customer.
    pub customer: String,
    /// Identifier of the program, if the tokens are for a request that belongs to one.
    pub program: Option<String>,
    /// Number of requests that the sender wants to admit.
    pub requests: u32,
    /// Purpose as far as the sender knows. The member may know better: it holds the program's
    /// reservations if the program has already started.
    pub quota_purpose: QuotaPurpose,
    /// Budget that the request draws on, if it is a turn of a program with a budget.
    pub budget: Option<TurnBudget>,
    /// The customer's limit in the sender's configuration.
    pub limit: RateLimit,
}

/// What a turn needs of the budget of its program.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnBudget {
    /// Upper bound on the tokens that all turns of the program generate.
    pub budget_tokens: u64,
    /// Upper bound on the tokens that this turn generates.
    pub max_turn_tokens: u32,
}

/// Part of [`MemberRequest::RenewTurns`]: a stored turn that a conversation still uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnRenewal {
    /// The turn.
    pub turn: TurnDigest,
    /// The least time that it is to be kept from now on, in milliseconds.
    pub retention_ms: u64,
}

/// What an instance requests of a storage instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberRequest {
    /// Switch to the newest group that the sender knows. The receiver then rejects requests for
    /// older versions.
    AdoptGroup(Group),
    /// Write a reservation. The response, sent once it is on disk, contains the program's
    /// charges.
    Reserve(Reservation),
    /// Read the charges of a program.
    Charges(ProgramKey),
    /// Write the token usage of a turn. The response is sent once it is on disk.
    Settle(Settlement),
    /// Write a finished turn. The response is sent once it is on disk.
    StoreTurn(TurnRecord),
    /// Write records of another member. The response is sent once they are on disk.
    StoreRecords(Vec<LedgerRecord>),
    /// Read a turn and the turns that it continues.
    Chain {
        /// Request identifier of the newest turn.
        turn: String,
        /// Maximum number of turns to return. The sender may have the older ones already.
        max_chain_turns: u32,
        /// Maximum size of the returned turns on the disk of the member, in bytes. The sender has
        /// memory for so much.
        max_bytes: u64,
    },
    /// Take tokens of customers' rates.
    TakeQuota {
        /// Version of the configuration that the limits come from.
        configuration_version: u64,
        /// At most one entry for each customer.
        quota_requests: Vec<QuotaRequest>,
    },
    /// Read one part of all charges and of the digests of all turns, see
    /// [`crate::LedgerState::copy_part`].
    CopyPart {
        /// [`CopyCursor::START`], then the cursor from the response before.
        cursor: CopyCursor,
    },
    /// Check that the instance is reachable, and whether it votes.
    Status,
    /// Read the configuration if it is newer than a revision, and how fresh it is.
    Configuration {
        /// Store revision of the configuration that the sender has. 0 for none.
        known_revision: u64,
    },
    /// Heartbeat of an entry instance to a member in its own availability zone.
    Presence {
        /// Name of the entry instance.
        instance: String,
    },
    /// Read endpoint changes that the sender has not seen.
    Endpoints {
        /// Cursor from the sender's last response.
        known: EndpointCursor,
        /// State of the suspects in the sender's last response.
        known_suspects: SuspectsVersion,
    },
    /// Read turns, for a copy.
    CopyTurns(Vec<TurnDigest>),
    /// What endpoints said about their limits.
    ReportLimits(Vec<EndpointLimit>),
    /// Take a token to send a request to one of these endpoints, the best one first.
    TakeSend(Vec<EndpointLimit>),
    /// An endpoint has crashed.
    ReportCrash(CrashReport),
    /// These requests may have crashed an endpoint, but have ended well at another.
    ClearSuspects(Vec<Fingerprint>),
    /// Requests that were given up, for a member that has forgotten them.
    RestoreSuspects(Vec<Suspect>),
    /// Restart the retention time of those of these turns that the instance holds.
    RenewTurns(Vec<TurnRenewal>),
}

impl MemberRequest {
    /// Whether the reply contains turns, so that it may be long.
    pub fn asks_for_turns(&self) -> bool {
        matches!(
            self,
            MemberRequest::Chain { .. } | MemberRequest::CopyTurns(_)
        )
    }
}

/// A position in the sequence of endpoint changes that one storage instance serves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointCursor {
    /// Identifies the serving instance and its start: sequence numbers of another instance,
    /// or from before a restart, mean nothing to it. 0 for none.
    pub view: u64,
    /// Number of the last change that the reader knows.
    pub sequence: u64,
}

/// Number of entry instances in an availability zone, counted by a member there from their
/// heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZonePresence {
    /// Instances that sent a heartbeat recently, including those that have stopped since.
    pub known: u32,
    /// Instances of these whose last heartbeat is recent enough to count as running now.
    pub present: u32,
}

/// What a member knows about endpoints.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedEndpoints {
    /// What has changed in the registry. `None` if the member has not heard from the store
    /// recently.
    pub changes: Option<SharedChanges>,
    /// All endpoints that limit the rate of requests.
    pub limits: Vec<EndpointLimit>,
    /// Requests that may crash endpoints.
    pub suspects: SharedSuspects,
}

/// Endpoint changes after a cursor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedChanges {
    /// Position after these changes.
    pub cursor: EndpointCursor,
    /// Store revision that the endpoints reflect.
    pub revision: u64,
    /// Whether `content` lists all endpoints rather than only the changes.
    pub is_complete: bool,
    /// The changes, encoded with postcard by the gateway.
    pub content: bytes::Bytes,
}

/// A configuration, with the age of the evidence that it was the newest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedConfiguration {
    /// Store revision of the configuration.
    pub revision: u64,
    /// Time from the read that last confirmed this revision to the response, in
    /// milliseconds.
    pub age_ms: u64,
    /// The configuration in the encoding of the store. `None` if the requester has this
    /// revision already.
    pub content: Option<bytes::Bytes>,
    /// The evacuated availability zones. `None` if the member does not know the set.
    pub evacuations: Option<SharedEvacuations>,
}

/// The availability zones that the operator has evacuated, with the age of the evidence.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedEvacuations {
    /// Revision of the store at which the set was read.
    pub revision: u64,
    /// Time from the start of the newest read to the response, in milliseconds.
    pub age_ms: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Response to a [`MemberRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberResponse {
    /// Success. Written records are on disk.
    Done,
    /// The charges of a program.
    Charges(Vec<ChargeView>),
    /// Turns, newest first. Empty if the member does not have the requested turn.
    Chain(Vec<TurnRecord>),
    /// Number of requests granted for each entry of the request, in the same order.
    Quota(Vec<u32>),
    /// One part of all charges and of the digests of all turns.
    Part {
        /// Changes with each start of the member, after which cursors have no meaning.
        start: u64,
        /// The charges of some programs.
        charges: Vec<LedgerRecord>,
        /// Digests of some turns.
        turns: Vec<TurnDigest>,
        /// Cursor of the next part. `None` after the last one.
        next: Option<CopyCursor>,
        /// Whether the member holds all records of its group.
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
    /// Entry instances in the member's availability zone.
    Presence(ZonePresence),
    /// Changes, limits and crashes of endpoints.
    Endpoints(Box<SharedEndpoints>),
    /// The sender's version of the group is out of date, so the request was rejected. Carries
    /// the newest group.
    GroupSuperseded(Group),
    /// The instance does not vote: it is not a member, or has not yet copied the records that
    /// its disk lacks.
    NotVoting,
    /// The instance cannot respond to this request at the moment, for instance because it knows
    /// only an older version of the group than the sender.
    Unavailable,
    /// Turns for a copy, in the order of the request.
    Turns {
        /// Those that the member still holds.
        turns: Vec<TurnRecord>,
        /// How many digests of the request, from its start, this response covers. At least
        /// one; the rest did not fit.
        covered: u32,
    },
    /// The member's disk has no room for the records. They were not written.
    StorageFull,
    /// Whether a token to send a request was granted.
    Send(SendGrant),
    /// The number of crashes counted for each request of a report, then for each family.
    Crashes(Vec<u32>),
    /// The requested turn alone is larger than the sender accepts.
    TurnTooLarge {
        /// Its size on the disk of the member, in bytes. Never smaller than the turn.
        frame_bytes: u64,
    },
}
