//! Decides when a slow request is sent a second time, to another endpoint.
//!
//! The load addressed: an endpoint, or the machine that it shares, is slow for some hundred
//! milliseconds while the others are not, so that one request in twenty takes several times as long
//! as the rest. A second send after the time that nearly all requests of the route need shortens
//! those at the cost of a few percent more sends. While all endpoints are slow a second send only
//! adds load, so a budget bounds the share of second sends whatever the delay is.
//!
//! This crate does no I/O and reads no clock. Methods that depend on the time take `now_ms`, in
//! milliseconds of the instance's monotonic clock.

mod budget;
mod choice;
mod delay;
mod settings;

pub use crate::budget::HedgeBudget;
pub use crate::choice::{EndpointState, Withheld, choose_endpoint};
pub use crate::delay::{MIN_SAMPLES, RouteDelays};
pub use crate::settings::{
    DEFAULT_BURST, HedgingSettings, InvalidHedging, MAX_BURST, MAX_EXTRA_PERCENT,
    MIN_BURST,
};
