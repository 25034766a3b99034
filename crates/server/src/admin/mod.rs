//! The administration API: its HTTP server, its paths and the [`AdminHandler`] that carries
//! out the requests.

mod route;
mod server;

use jayreel_model::KeyHash;

pub use crate::admin::route::parse;
pub use crate::admin::server::{AdminServer, AdminSettings};

/// The kind of a configuration record, which is the path segment after `/admin/v1/`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminResource {
    /// Customers with their rate limits. They cannot be deleted.
    Customers,
    /// Back ends that serve calls: model engines and plain services.
    Endpoints,
    /// Customer keys. The name of a key is its hash.
    Keys,
    /// Limits and class of service for the programs that are opened under the profile.
    Profiles,
    /// Path prefixes that are served by plain services.
    Routes,
}

/// The operation that method and path of an operator's request select.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdminOperation {
    /// Returns all records of a kind with their versions.
    List(AdminResource),
    /// Returns the record with this name.
    Get(AdminResource, String),
    /// Creates or changes the record with this name. The request body is its JSON value.
    Put(AdminResource, String),
    /// Deletes the record with this name. Profiles are retired and keys are withdrawn
    /// instead.
    Delete(AdminResource, String),
    /// Issues a customer key. Only this response contains the key itself.
    IssueKey,
    /// Declares the process of the instance with this name dead.
    ForgetInstance(String),
    /// Returns the state of this instance and of its peers.
    Status,
}

/// Precondition of a change on the current version of the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedVersion {
    /// The record does not exist (`If-None-Match: *`).
    Absent,
    /// The record has this version (`If-Match: "VERSION"`).
    Is(u64),
}

/// A request of an operator whose key is valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminRequest {
    /// Name of the operator's key ([`AdminKey::name`]), for the log.
    pub operator: String,
    /// The operation that method and path select.
    pub operation: AdminOperation,
    /// From `If-Match` or `If-None-Match`; `None` without these headers.
    pub expected: Option<ExpectedVersion>,
    /// The complete body. Empty for requests without one.
    pub body: Vec<u8>,
}

/// The response to a successful request of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminResponse {
    /// HTTP status, such as 200, 201 or 204.
    pub status: u16,
    /// Version of the record, sent as `ETag`. `None` for responses that are not about one
    /// record.
    pub version: Option<u64>,
    /// JSON. Empty for status 204.
    pub body: Vec<u8>,
}

/// Why an operator's request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminErrorKind {
    /// The operator's key is missing, malformed or unknown.
    InvalidKey,
    /// The name, a header or the body is malformed, or the record is not valid.
    Invalid,
    /// The path or the record does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The change conflicts with other records, or the record exists already.
    Conflict,
    /// The body is larger than [`ServerSettings::max_body_bytes`](crate::ServerSettings).
    BodyTooLarge,
    /// The caller paused for too long while it sent the body.
    RequestTimeout,
    /// The current version of the record is not the expected one.
    VersionMismatch,
    /// The change needs an expected version, and the request has none.
    VersionRequired,
    /// Too many requests are in progress, or the instance did not respond in time.
    Busy,
    /// The store cannot be reached, and the change was not made.
    StoreUnavailable,
    /// It is not known whether the change was made.
    OutcomeUnknown,
}

impl AdminErrorKind {
    /// The HTTP status code of the error response.
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

    /// The value of `error.code` in the JSON body.
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

/// Why an operator's request failed, as sent in the error response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminError {
    /// Determines the HTTP status and the error code.
    pub kind: AdminErrorKind,
    /// Human-readable explanation. Must not contain secrets.
    pub message: String,
}

impl AdminError {
    /// Creates an error. The message is sent to the operator.
    pub fn new(kind: AdminErrorKind, message: impl Into<String>) -> AdminError {
        AdminError {
            kind,
            message: message.into(),
        }
    }
}

/// Carries out the requests of operators. It runs on a small pool of threads, so it may
/// block.
pub trait AdminHandler: Send + Sync {
    /// Carries out one request, whose key has been checked.
    ///
    /// # Errors
    ///
    /// An [`AdminError`], which is sent to the operator.
    fn handle(&self, request: AdminRequest) -> Result<AdminResponse, AdminError>;
}

/// An operator's key. Only its hash is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminKey {
    /// Identifies the operator in the log.
    pub name: String,
    /// Compared with the hash of the key that a request carries.
    pub hash: KeyHash,
}
