//! Durable data that the storage instances replicate: charges against program budgets,
//! finished turns of conversations, and grants of customers' request rates.
//!
//! The unit of storage is a [`LedgerRecord`]. Records are immutable, and merging them is
//! commutative and idempotent: any order, with any repetition, gives the same
//! [`LedgerState`]. Replicas therefore need no consensus on the records themselves. A record
//! is durable once a quorum of the [`Group`] has it on disk, and a reader that contacts a
//! quorum sees it. Only the membership of the group needs consensus; it is kept as one
//! record in the platform's store.
//!
//! This crate does no I/O and reads no clock.

mod admission;
mod crash_suspects;
mod endpoint_limits;
mod fingerprint;
mod group;
mod legacy_log;
mod log;
mod message;
mod rate;
mod record;
mod state;

pub use admission::{BudgetCheck, Decision, Phase};
pub use crash_suspects::{
    CrashReport, CrashSuspects, EndpointRun, MAX_CRASHES, SharedSuspects, Suspect,
    SuspectsVersion, suspicion_lifetime_ms,
};
pub use endpoint_limits::{
    COLD_END_TOLERANCE_MS, COLD_PAUSE_MS, ColdReport, ColdTolerance, EndpointLimit,
    EndpointLimits, LimitReport, MAX_COLD_MS, RAMP_MS, SendGrant, limit_lifetime_ms,
};
pub use fingerprint::{Fingerprint, RequestFingerprints, RequestIdentity};
pub use group::{CatchUp, Group, Member, MembershipState, VoteHistory};
pub use legacy_log::read_legacy_record;
pub use log::{
    BodyChecksum, FRAME_HEADER_BYTES, FrameHeader, FrameLocation, LogEntry, TurnHead,
    decode_turn, encode_frame,
};
pub use message::{
    EndpointCursor, MemberRequest, MemberResponse, QuotaRequest, Reply, Request,
    SharedChanges, SharedConfiguration, SharedEndpoints, SharedEvacuations, TurnBudget,
    TurnRenewal, ZonePresence,
};
pub use rate::{QuotaPurpose, RateLimit, RateShare, RateTolerance};
pub use record::{
    ChargeView, LedgerRecord, MAX_TURN_INPUT_BYTES, MAX_TURN_OUTPUT_BYTES, ProgramKey,
    Reservation, Settlement, TurnDigest, TurnRecord, turn_digest,
};
pub use state::{CopyCursor, CopyPart, LedgerState};
