//! Drives the reducer and performs the effects that it returns.
//!
//! The [`Reducer`](jayreel_fleet::Reducer) makes all decisions and does no I/O; this module
//! does the I/O around it ("functional core, imperative shell"). One thread, the
//! [`Runner`], owns the reducer, and all other threads send it events over a channel.
//! Request bodies and responses never pass through that channel: they stay in the
//! [`CallTable`], where the threads that serve a call look them up by request id.

mod calls;
mod chat;
mod dispatch;
mod forward;
mod intake;
mod runner;
mod usage_filter;

pub(crate) use crate::shell::calls::CallTable;
pub(crate) use crate::shell::dispatch::Dispatcher;
pub(crate) use crate::shell::forward::{
    Forwarder, forwarded_request_id, insert_forwarded_call,
};
pub(crate) use crate::shell::intake::RequestSubmitter;
pub(crate) use crate::shell::runner::{
    EffectHandlers, Runner, RunnerEvent, StatusReport,
};
