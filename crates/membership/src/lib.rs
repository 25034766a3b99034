//! Tracks which other instances are alive, from the view of one instance.
//!
//! Heartbeats tell which peers respond; registrations in the store tell which processes
//! exist. A peer that does not respond only gets no new work. It keeps its programs and
//! its shares of the customers' contracts until its registration is gone from the store.
//!
//! This crate does no I/O and reads no clock. Methods that depend on the time take
//! `now_ms`, in milliseconds of the instance's monotonic clock.

mod heartbeat;
mod liveness;
mod membership;
mod registrations;
mod rendezvous;

pub use crate::heartbeat::{Heartbeat, InstanceState};
pub use crate::liveness::Liveness;
pub use crate::membership::Membership;
pub use crate::registrations::Registrations;
pub use crate::rendezvous::{rank, responsible_for};
