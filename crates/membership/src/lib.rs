//! Which instances are alive, as one instance sees it.
//!
//! Heartbeats tell which peers answer; registrations in the store tell which processes
//! exist. Silence affects only where work is sent: a silent peer keeps its programs and
//! its shares until the store says that it is gone.

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
