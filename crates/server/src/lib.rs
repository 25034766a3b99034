//! HTTP towards callers and operators.
//!
//! The server checks the form of requests under limits of size and time and hands each
//! to a [`RequestHandler`]. Answers come back through a [`Responder`].

pub mod admin;
mod answer;
mod answer_channel;
mod body_budget;
pub mod caller;
pub mod chat;
mod connection;
mod deadline_io;
mod error_form;
mod handle;
mod headers;
pub mod history;
mod listener;
pub mod metrics;
mod operation;
mod path;
mod read_body;
pub mod request_handler;
pub mod responder;
pub mod settings;

pub use crate::admin::{
    AdminError, AdminErrorKind, AdminHandler, AdminKey, AdminOperation, AdminRequest,
    AdminResource, AdminResponse, AdminServer, AdminSettings, ExpectedVersion,
};
pub use crate::caller::CallerServer;
pub use crate::metrics::Metrics;
pub use crate::request_handler::{
    CallHeaders, ChatParams, IncomingRequest, Operation, RequestHandler,
};
pub use crate::responder::{Responder, ResponderClosed, ResponseSink};
pub use crate::settings::ServerSettings;
