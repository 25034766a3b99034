//! The HTTP servers of an instance: one for callers, one for operators.
//!
//! [`CallerServer`] reads each request under limits of size and time, validates its syntax
//! and hands it to a [`RequestHandler`], which responds through a [`Responder`].
//! [`AdminServer`] does the same for operators with an [`AdminHandler`].

pub mod admin;
mod body_budget;
pub mod caller;
mod caller_service;
pub mod chat;
mod connection;
mod error_body;
mod headers;
pub mod history;
mod listener;
pub mod metrics;
mod operation;
mod path;
mod read_body;
pub mod request_handler;
pub mod responder;
mod response;
mod response_channel;
pub mod settings;
mod timeout_stream;

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
