//! What an instance decides together with the rest of the fleet: who owns a program, how
//! much of a customer's rate is here, and which peers are alive.
//!
//! [`Reducer`] joins it with the scheduler to the one reducer of an instance. All of it is
//! pure: messages and store results come in as [`FleetEvent`]s, and what is to be sent or
//! written goes out as [`FleetEffect`]s.

mod caretaker;
mod engine_state;
mod event;
mod fleet;
mod home;
mod keyed_stop;
mod model_care;
mod model_orders;
mod owners;
mod peers;
mod program_step;
mod quota_step;
mod reducer;
mod settings;
mod status;
mod stop;
mod takeover;
mod zone_loads;

pub use crate::engine_state::OrderAnswer;
pub use crate::event::{FleetEffect, FleetEvent, PeerMessage, RegisteredInstance};
pub use crate::fleet::Fleet;
pub use crate::reducer::{Input, Output, Reducer};
pub use crate::settings::FleetSettings;
pub use crate::status::{FleetStatus, PeerStatus};
