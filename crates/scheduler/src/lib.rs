//! The scheduler of one instance: decides which calls are accepted, when they run and at
//! which endpoint.
//!
//! The scheduler is a state machine without I/O. [`Scheduler::apply`] takes one [`Event`]
//! with its time and returns the [`Effect`]s that the caller has to carry out. It reads no
//! clock and all random choices come from a seed in the settings, so every decision can be
//! reproduced from the sequence of events.

pub mod cost;
pub mod effect;
pub mod event;
pub mod policy;
pub mod program_admission;
pub mod quota_admission;
mod rate;
pub mod settings;

mod arrival;
mod call;
mod capacity;
mod check;
mod configure;
mod customer;
mod dispatch;
mod endpoint;
mod fleet;
mod group;
mod health;
mod load;
mod models;
mod outcome;
mod prefix_cache;
mod program_table;
mod release;
mod retry;
mod scheduler;
mod wait;

pub use crate::effect::Effect;
pub use crate::event::Event;
pub use crate::scheduler::{Scheduler, SchedulerBuilder};
pub use crate::settings::{PolicySettings, SchedulerSettings};
