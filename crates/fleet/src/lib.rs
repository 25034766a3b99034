//! Decisions that an instance takes together with its peers: which instance serves a
//! program, how much of each customer's rate this instance may use, which peers are alive
//! and which models the engines load.
//!
//! [`Reducer`] combines these decisions with the scheduler into the state machine of one
//! instance. It does no I/O and reads no clock: messages from peers and results from the
//! store arrive as [`FleetEvent`]s, and messages and writes leave as [`FleetEffect`]s,
//! which the caller carries out.

mod cache_sweep;
mod engine_state;
mod event;
mod fleet;
mod home;
mod keyed_handover;
mod model_diff;
mod model_reconciler;
mod ownership;
mod peers;
mod program_admission;
mod quota_admission;
mod reducer;
mod settings;
mod status;
mod stop;
mod takeover;
mod zone_loads;

pub use crate::engine_state::OrderAnswer;
pub use crate::event::{FleetEffect, FleetEvent, PeerMessage, RegisteredInstance};
pub use crate::fleet::FleetState;
pub use crate::reducer::{Input, Output, Reducer};
pub use crate::settings::FleetSettings;
pub use crate::status::{FleetStatus, PeerStatus};
