//! Errors returned to callers: why a request was refused or failed, and whether an endpoint
//! may have processed it.

use serde::{Deserialize, Serialize};

/// Whether an endpoint processed the request. Tells the caller whether sending the request
/// again can repeat its effects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request has reached an endpoint.
    No,
    /// An endpoint may have processed the request.
    Unknown,
    /// An endpoint processed the request.
    Yes,
}

/// Error response for a request that was refused or failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Reason code. Determines the HTTP status.
    pub reason: RefusalReason,
    /// Whether an endpoint processed the request.
    pub ran: Ran,
    /// Time after which a retry may succeed, in milliseconds. `None` if unknown.
    pub retry_after_ms: Option<u64>,
    /// Human-readable explanation. Must not contain secrets.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not reach any endpoint.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Refusal {
        Refusal {
            reason,
            ran: Ran::No,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Refusal {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

/// Reason codes of refusals. [`RefusalReason::status`] gives the HTTP status of each.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The program's token budget is exhausted.
    BudgetExhausted,
    /// The caller closed its connection before the answer was complete.
    CallerGone,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The endpoint sent an invalid response or closed the connection, or the connection
    /// to it failed.
    EndpointFailed,
    /// The endpoint made no progress within its deadline.
    EndpointTimeout,
    /// The history hash that the caller sent does not match its messages.
    HistoryMismatch,
    /// The customer key is missing, unknown or withdrawn.
    InvalidKey,
    /// The request is malformed.
    InvalidRequest,
    /// The customer is not allowed to use this model, profile, program or route.
    NotAllowed,
    /// The model, profile, program or path does not exist.
    NotFound,
    /// The instance has no valid configuration yet, cannot verify keys because the store was
    /// unreachable for too long, or is shutting down.
    NotReady,
    /// The instance or the endpoints have no capacity for the request now.
    Overloaded,
    /// The instance that owns the program is unreachable, or the outcome of the call there
    /// is unknown.
    OwnerUnavailable,
    /// The customer's rate limit, including its burst, is exceeded.
    RateExceeded,
    /// The caller did not send its request in time.
    RequestTimeout,
    /// The request needs the store, which is unreachable.
    StoreUnavailable,
    /// The turn number is not the program's next one, or the idempotency key was used
    /// before.
    WrongTurn,
}

impl RefusalReason {
    /// HTTP status code of the error response.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::InvalidRequest => 400,
            RefusalReason::InvalidKey => 401,
            RefusalReason::NotAllowed => 403,
            RefusalReason::NotFound => 404,
            RefusalReason::RequestTimeout => 408,
            RefusalReason::BudgetExhausted
            | RefusalReason::HistoryMismatch
            | RefusalReason::WrongTurn => 409,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::RateExceeded => 429,
            RefusalReason::CallerGone => 499,
            RefusalReason::EndpointFailed => 502,
            RefusalReason::NotReady
            | RefusalReason::Overloaded
            | RefusalReason::OwnerUnavailable
            | RefusalReason::StoreUnavailable => 503,
            RefusalReason::EndpointTimeout => 504,
        }
    }

    /// Code in the JSON error body and in metric labels, in snake case. Equal to the serde
    /// name.
    pub fn code(self) -> &'static str {
        match self {
            RefusalReason::BudgetExhausted => "budget_exhausted",
            RefusalReason::CallerGone => "caller_gone",
            RefusalReason::BodyTooLarge => "body_too_large",
            RefusalReason::EndpointFailed => "endpoint_failed",
            RefusalReason::EndpointTimeout => "endpoint_timeout",
            RefusalReason::HistoryMismatch => "history_mismatch",
            RefusalReason::InvalidKey => "invalid_key",
            RefusalReason::InvalidRequest => "invalid_request",
            RefusalReason::NotAllowed => "not_allowed",
            RefusalReason::NotFound => "not_found",
            RefusalReason::NotReady => "not_ready",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::OwnerUnavailable => "owner_unavailable",
            RefusalReason::RateExceeded => "rate_exceeded",
            RefusalReason::RequestTimeout => "request_timeout",
            RefusalReason::StoreUnavailable => "store_unavailable",
            RefusalReason::WrongTurn => "wrong_turn",
        }
    }
}
