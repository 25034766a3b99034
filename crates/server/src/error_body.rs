//! The JSON body and the headers of error responses to callers.

use jayreel_model::{Ran, Refusal, RequestId};
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    r#type: &'static str,
    code: &'static str,
    message: &'a str,
    request_id: Option<String>,
    ran: Ran,
}

/// Encodes a refusal. `id` is `None` if the request had no parsed head.
pub(crate) fn body(refusal: &Refusal, id: Option<RequestId>) -> Vec<u8> {
    let body = ErrorBody {
        error: ErrorFields {
            r#type: error_type(refusal.reason.status()),
            code: refusal.reason.code(),
            message: &refusal.message,
            request_id: id.map(|id| id.to_string()),
            ran: refusal.ran,
        },
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// The headers that go with [`body`].
pub(crate) fn headers(refusal: &Refusal) -> Vec<(String, String)> {
    let mut headers = vec![("content-type".into(), "application/json".into())];
    if let Some(wait_ms) = refusal.retry_after_ms {
        // The header has a resolution of seconds. Rounding up keeps a retry from coming too
        // early.
        let wait_s = wait_ms.div_ceil(1_000);
        headers.push(("retry-after".into(), wait_s.to_string()));
    }
    if refusal.reason.status() == 401 {
        headers.push(("www-authenticate".into(), "Bearer".into()));
    }
    headers
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..500 => "invalid_request_error",
        _ => "server_error",
    }
}
