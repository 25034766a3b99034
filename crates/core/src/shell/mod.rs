//! Runs the reducer: events in, effects out.
//!
//! One thread owns the [`Reducer`](jayreel_fleet::Reducer). All other threads
//! send it events over a channel. Request bodies and answers never pass through it; they
//! wait in the [`CallTable`].

mod calls;
mod chat;
mod dispatch;
mod forward;
mod intake;
mod runner;
mod usage_filter;

pub(crate) use crate::shell::calls::CallTable;
pub(crate) use crate::shell::dispatch::Dispatcher;
pub(crate) use crate::shell::forward::{Forwarder, forwarded_id, take_forwarded};
pub(crate) use crate::shell::intake::ShellIntake;
pub(crate) use crate::shell::runner::{Outlets, Runner, RunnerEvent, StatusReport};
