//! What the instances with disks keep: charges against the budgets of programs and the
//! finished turns of conversations.
//!
//! Everything kept is a [`LedgerRecord`]. Facts are never changed, and merging them gives the same
//! [`LedgerState`] in any order and with any repetition, so copies need no agreement: a fact is
//! safe once a quorum of the [`Group`] has it on disk, and a reader that asks a quorum sees
//! it. What must be agreed, the membership of the group, is one record in the platform's
//! store.
//!
//! The crate does no I/O and reads no clock.

mod admission;
mod book;
mod fact;
mod group;
mod log;
mod message;
mod rate;

pub use admission::{BudgetCheck, Decision, Phase};
pub use book::{Chain, LedgerState};
pub use fact::{
    ChargeView, LedgerRecord, ProgramKey, Reservation, Settlement, TurnRecord,
    turn_digest,
};
pub use group::{CatchUp, Group, Member, MembershipState};
pub use log::{decode_frames, encode_frame};
pub use message::{
    EndpointCursor, MemberRequest, MemberResponse, QuotaRequest, Reply, Request,
    SharedConfiguration, SharedEndpoints, TurnBudget, ZonePresence,
};
pub use rate::{QuotaPurpose, RateLimit, RateShare, RateTolerance};
