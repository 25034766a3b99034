//! The state of agent programs: tokens, ownership, call order, budgets and idempotency
//! keys.
//!
//! A program is a sequence of calls (turns) that an agent makes under one budget;
//! sub-agents are child programs that draw on the budget of their root. An incarnation is
//! one run of an instance's process. Each program is owned by the incarnation that opened
//! it, until a successor takes it over.
//!
//! The crate does no I/O, logs nothing and reads no clock. Methods that depend on the
//! time take `now_ms`, the milliseconds of the instance's monotonic clock. The `fleet`
//! crate drives it.
//!
//! How a call with a program token is handled:
//!
//! 1. [`ProgramToken::verify`] checks the token for the authenticated customer.
//! 2. [`ownership::decide`] says for the token's owner whether to serve, forward or
//!    refuse the call, or to claim a takeover first. A claim is a store transaction that
//!    requires the keys of [`ownership::claim_requires_absent`] to be absent. After it,
//!    read the takeover records, then the budget records of all
//!    [`Takeovers::predecessors`], pass these to [`Programs::adopt`], and call `decide`
//!    again.
//! 3. [`Programs::resolve`] finds the program and [`Programs::admit`] checks the call.
//! 4. [`Programs::finish`] or [`Programs::fail`] ends the call. Both return
//!    [`ProgramEffects`] with the decisions about other calls that were waiting.
//!    [`Programs::fail`] also withdraws a call that is still waiting.
//! 5. At intervals, [`Programs::next_budget_record`] returns a record to write to the
//!    store as described in [`grants`], and [`Programs::expire`] ends idle programs.
//!
//! An instance that learns that another incarnation has succeeded it calls
//! [`Programs::supersede`].

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
