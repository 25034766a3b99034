//! The administration API: its listener, its routes and the interface behind it.

mod route;
mod server;

use jayreel_model::KeyHash;

pub use crate::admin::route::parse;
pub use crate::admin::server::{AdminServer, AdminSettings};

/// A kind of configuration record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminResource {
    /// Customers.
    Customers,
    /// Endpoints.
    Endpoints,
    /// Customer keys, named by their hash.
    Keys,
    /// Profiles.
    Profiles,
    /// Routes.
    Routes,
}

/// What an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdminOperation {
    /// All records of a kind.
    List(AdminResource),
    /// One record.
    Get(AdminResource, String),
    /// Creates or changes a record. The body is its JSON value.
    Put(AdminResource, String),
    /// Deletes, retires or withdraws a record.
    Delete(AdminResource, String),
    /// Issues a key. The answer holds it, for this one time.
    IssueKey,
    /// States that the process of an instance is dead.
    ForgetInstance(String),
    /// The state of the instance and of its peers.
    Status,
}

/// The version that a change expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedVersion {
    /// The record does not exist (`If-None-Match: *`).
    Absent,
    /// The record has this version (`If-Match: "VERSION"`).
    Is(u64),
}

/// One request of an operator whose key is valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminRequest {
    /// Name of the operator's key, for the log.
    pub operator: String,
    /// What is asked for.
    pub operation: AdminOperation,
    /// The version that a change expects, if the request names one.
    pub expected: Option<ExpectedVersion>,
    /// The body, which may be empty.
    pub body: Vec<u8>,
}

/// The answer to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminResponse {
    /// HTTP status of the success, such as 200, 201 or 204.
    pub status: u16,
    /// Version of the record, for `ETag`.
    pub version: Option<u64>,
    /// JSON, empty for 204.
    pub body: Vec<u8>,
}

/// Why an operator's request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminErrorKind {
    /// The key is missing or unknown.
    InvalidKey,
    /// Path, header or body is malformed, or the record is not valid.
    Invalid,
    /// No such path or record.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The change contradicts the present records.
    Conflict,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    RequestTimeout,
    /// The record has another version than the request expects.
    VersionMismatch,
    /// The change needs an expected version and names none.
    VersionRequired,
    /// Too many requests are being handled.
    Busy,
    /// The store cannot be reached, and the change was not made.
    StoreUnavailable,
    /// The store did not tell whether it made the change.
    OutcomeUnknown,
}

impl AdminErrorKind {
    /// The HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            AdminErrorKind::Invalid => 400,
            AdminErrorKind::InvalidKey => 401,
            AdminErrorKind::NotFound => 404,
            AdminErrorKind::MethodNotAllowed => 405,
            AdminErrorKind::RequestTimeout => 408,
            AdminErrorKind::Conflict => 409,
            AdminErrorKind::VersionMismatch => 412,
            AdminErrorKind::BodyTooLarge => 413,
            AdminErrorKind::VersionRequired => 428,
            AdminErrorKind::Busy | AdminErrorKind::StoreUnavailable => 503,
            AdminErrorKind::OutcomeUnknown => 504,
        }
    }

    /// The code in the JSON error, in snake case.
    pub fn code(self) -> &'static str {
        match self {
            AdminErrorKind::BodyTooLarge => "body_too_large",
            AdminErrorKind::Busy => "busy",
            AdminErrorKind::Conflict => "conflict",
            AdminErrorKind::Invalid => "invalid_request",
            AdminErrorKind::InvalidKey => "invalid_key",
            AdminErrorKind::MethodNotAllowed => "method_not_allowed",
            AdminErrorKind::NotFound => "not_found",
            AdminErrorKind::OutcomeUnknown => "outcome_unknown",
            AdminErrorKind::RequestTimeout => "request_timeout",
            AdminErrorKind::StoreUnavailable => "store_unavailable",
            AdminErrorKind::VersionMismatch => "version_mismatch",
            AdminErrorKind::VersionRequired => "version_required",
        }
    }
}

/// A failed request of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminError {
    /// The reason, which fixes the HTTP status.
    pub kind: AdminErrorKind,
    /// Text for a person. Holds no secrets.
    pub message: String,
}

impl AdminError {
    /// An error with a message.
    pub fn new(kind: AdminErrorKind, message: impl Into<String>) -> AdminError {
        AdminError {
            kind,
            message: message.into(),
        }
    }
}

/// Carries out what operators ask for. May block: it runs on a small pool of threads.
pub trait AdminHandler: Send + Sync {
    /// Carries out one request.
    ///
    /// # Errors
    ///
    /// An [`AdminError`], which the operator receives.
    fn handle(&self, request: AdminRequest) -> Result<AdminResponse, AdminError>;
}

/// A key of an operator, known only by its hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminKey {
    /// Name for the log.
    pub name: String,
    /// Hash of the key.
    pub hash: KeyHash,
}
