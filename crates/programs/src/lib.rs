//! Programs of one incarnation: tokens, ownership, order, budget and idempotency.
//!
//! Pure: every transition is passed `now_ms`, the milliseconds of the instance's
//! monotonic clock. Nothing here reads a clock, does I/O or logs.
//!
//! The way of a call with a program token:
//!
//! 1. [`ProgramToken::verify`] for the authenticated customer.
//! 2. [`ownership::decide`] for the token's owner: serve, forward, claim or refuse. A claim is
//!    a transaction that requires [`ownership::claim_requires_absent`]. Afterwards the shell
//!    reads the takeover records, then the budget records of all
//!    [`Takeovers::predecessors`], passes these to [`Programs::adopt`], and decides again.
//! 3. [`Programs::resolve`] and [`Programs::admit`].
//! 4. [`Programs::finish`] or [`Programs::fail`], each with a [`ProgramEffects`] that answers
//!    other calls. [`Programs::fail`] also withdraws a call that waits.
//! 5. From time to time [`Programs::next_budget_record`], whose record is written as described in
//!    [`grants`], and [`Programs::expire`].
//!
//! When an instance learns of a successor of its own it calls [`Programs::supersede`].

pub mod account;
pub mod admission;
mod calls;
mod checks;
pub mod grants;
pub mod handover;
pub mod idempotency;
pub mod keyed;
pub mod keyed_handover;
mod keyed_views;
mod lifetime;
pub mod open;
pub mod ownership;
pub mod program;
pub mod programs;
pub mod token;

pub use crate::admission::{
    Admission, CallParams, DeferredAdmission, EndReason, EndedProgram,
};
pub use crate::admission::{ProgramEffects, Usage};
pub use crate::calls::MAX_WAITING_CALLS;
pub use crate::grants::BudgetRecord;
pub use crate::handover::{Handover, ProgramRecord};
pub use crate::keyed::{KeyedAdmission, KeyedCalls, KeyedConfig};
pub use crate::keyed_handover::KeyedHandover;
pub use crate::open::{OpenRequest, OpenedProgram};
pub use crate::ownership::{
    Decision, OwnerLiveness, OwnerLookup, OwnerStatus, OwnershipView, TakeoverRecord,
    Takeovers,
};
pub use crate::program::ProgramId;
pub use crate::programs::{Programs, ProgramsConfig};
pub use crate::token::{CacheTag, ProgramToken, TokenKey};
