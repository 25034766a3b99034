//! Decides which endpoint of a service gets a request, by the time at which each one is expected
//! to complete it.
//!
//! The load addressed: endpoints of one service differ in speed by more than a factor of two, the
//! machines of some are slowed for a fraction of a second by other work, demand shifts between
//! availability zones, and a model engine answers faster if it still holds the history of the
//! program. Dozens of entry instances decide independently, on reports that are outdated by the
//! time they are used.
//!
//! Durations and loads of a service are combined in units of its typical request, which takes
//! time 1: an endpoint at twice the speed has a relative time of 0.5.
//!
//! This crate does no I/O, reads no clock and has no source of randomness. Times are passed in as
//! `now_ms`, random numbers as arguments.

mod choice;
mod expected;
mod memory;
mod overflow;
mod rendezvous;
mod speed;

pub use crate::choice::choose_similar;
pub use crate::expected::{
    HeldHistory, expected_time, load_per_slot, object_bonus, program_bonus,
};
pub use crate::memory::TokenLoad;
pub use crate::overflow::Overflow;
pub use crate::rendezvous::{AffinityKey, CANDIDATES, Candidates, EndpointHash};
pub use crate::speed::{SpeedEstimate, WorkFactor};
