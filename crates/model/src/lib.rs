//! Domain types that the other jayreel crates share: identifiers, configuration records,
//! engine orders and reports, and refusals.
//!
//! This crate does no I/O and reads no clock.

pub mod config;
pub mod engine;
pub mod header;
pub mod id;
pub mod refusal;

pub use crate::config::{
    ClassOfService, Configuration, Customer, CustomerKey, Endpoint, EndpointKind,
    EndpointState, Profile, Route,
};
pub use crate::engine::{
    EngineModels, EngineOrder, LoadState, LoadedAdapter, LoadedModel,
};
pub use crate::id::{Incarnation, KeyHash, RequestId};
pub use crate::refusal::{Ran, Refusal, RefusalReason};
