//! HTTP/1.1 client for endpoints: model engines and plain services.
//!
//! A call blocks the calling thread and can be cancelled from another thread. Each read and
//! write of a call has a timeout, so a silent endpoint cannot hold it. This crate never
//! retries a call. Instead, a failed call reports whether its request may have run.

pub mod call;
pub mod client;
pub mod engine;
mod exchange;
mod failure;
mod pool;
mod transport;
pub mod usage;

pub use crate::call::{
    CallFailure, CallObserver, CallRequest, CancelHandle, EndpointClient, ResponseHead,
    Usage,
};
pub use crate::client::{ClientSettings, HttpEndpointClient};
pub use crate::engine::{ControlError, EngineControl, EngineLoad, OrderOutcome};
pub use crate::usage::UsageReader;
pub use jayreel_model::EngineOrder;
