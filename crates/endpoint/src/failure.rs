//! Builds [`CallFailure`]s and decides whether a failed request may have run:
//!
//! - [`Ran::No`] only if the kernel accepted no byte of the request;
//! - [`Ran::Yes`] if a complete response head with a 2xx or 3xx status arrived;
//! - [`Ran::Unknown`] otherwise.

use jayreel_model::{Ran, RefusalReason};

use crate::call::CallFailure;
use crate::transport::CallState;

/// The failure of a call after its connection was established. `status` is the status of
/// the response if its head arrived. A cancelled call is reported as such, whatever
/// `message` says.
pub(crate) fn after_connect(
    state: &CallState,
    status: Option<u16>,
    message: &str,
) -> CallFailure {
    let ran = match status {
        Some(status) => ran_by_status(status),
        None if state.wrote_nothing() => Ran::No,
        None => Ran::Unknown,
    };
    let reason = match state.is_timed_out() {
        _ if state.is_cancelled() => return cancelled(ran),
        true => RefusalReason::EndpointTimeout,
        false => RefusalReason::EndpointFailed,
    };
    CallFailure {
        ran,
        reason,
        message: message.to_string(),
    }
}

/// Whether a request ran, given the status of its response. An error status does not show
/// whether the request had an effect before the error.
pub(crate) fn ran_by_status(status: u16) -> Ran {
    match status {
        200..400 => Ran::Yes,
        _ => Ran::Unknown,
    }
}

/// The failure of a call that its caller cancelled.
pub(crate) fn cancelled(ran: Ran) -> CallFailure {
    CallFailure {
        ran,
        reason: RefusalReason::CallerGone,
        message: "cancelled".to_string(),
    }
}

/// The failure of a call of which no byte was sent.
pub(crate) fn not_run(reason: RefusalReason, message: String) -> CallFailure {
    CallFailure {
        ran: Ran::No,
        reason,
        message,
    }
}
