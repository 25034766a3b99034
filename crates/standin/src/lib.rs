//! Test servers that replace the systems jayreel talks to, with fault injection.
//!
//! Each server runs its own thread and can be embedded in any process:
//! [`StoreGateway`] implements the JSON gateway of the etcd v3 API, [`Engine`] the chat
//! completions API, and [`PlainService`] echoes any request. All of them count the
//! requests that they handle. Tests, benchmarks and `jayreel dev` use these servers; they
//! are not meant for production.

pub mod engine;
pub mod faults;
pub mod gateway;
pub mod http;
pub mod record;
pub mod server;
pub mod service;
mod wire;

pub use crate::engine::{Engine, EngineSettings};
pub use crate::faults::{Down, FaultControls, Faults};
pub use crate::gateway::StoreGateway;
pub use crate::record::{Recorder, Runs};
pub use crate::service::{PlainService, ServiceSettings};
