//! Model of the budget of one program that is taken over by other processes.
//!
//! It checks that the owner and its successors never spend more than the budget together.
//! Process 0 opened the program, whose calls use one token each. All decisions are made by
//! [`Programs`](jayreel_programs::Programs), [`BudgetRecord`](jayreel_programs::BudgetRecord)
//! and [`Takeovers`](jayreel_programs::Takeovers). A process that considers itself
//! responsible may run a call at any step, also after it was taken over. The model adds the
//! failures, any of which may occur at any step:
//!
//! - The store applies a write of grants late, twice or never.
//! - The response to a write is lost, so that the process reads the record back while the write
//!   may still be under way.
//! - A process claims the takeover of the responsible process, which may still run.
//! - A process does not read the takeover records.
//! - The handover of a planned stop arrives late, twice or never.
//!
//! A crash, a pause, a partition and an outage of the store need no steps: they are processes
//! or messages without further steps.
//!
//! A search is bounded to three processes and a budget of three tokens, of which the first
//! tranche is one. Each call ends in the step that starts it. Reservations of concurrent
//! sub-agents are covered by the property test of the `jayreel-programs` crate.

mod process;
mod world;

pub use self::world::{BudgetModel, Fault, State};
