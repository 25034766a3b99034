//! The reducer: all decisions of one instance as a function of events.
//!
//! [`Scheduler::apply`] takes one [`Event`] and returns the [`Effect`]s to carry out. It
//! reads no clock and does no I/O, so every decision can be replayed from its events.

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
mod program_cache;
mod release;
mod retry;
mod room;
mod scheduler;
mod wait;

pub use crate::effect::Effect;
pub use crate::event::Event;
pub use crate::scheduler::{Scheduler, SchedulerBuilder};
pub use crate::settings::{PolicySettings, SchedulerSettings};
