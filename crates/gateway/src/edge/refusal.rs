//! Answers that an entry instance gives by itself.

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::edge::body::CallBody;

/// Whether a request that failed has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ran {
    /// It has not and never will.
    No,
    /// It may have.
    Unknown,
}

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub status: StatusCode,
    /// Short name for logs, metrics and the answer's body.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry_after_ms: Option<u64>,
    pub ran: Ran,
    /// Callers should come back on a new connection, which may lead elsewhere.
    pub closes: bool,
}

impl Refusal {
    /// The request has not run. Coming back later may help.
    pub(crate) fn not_now(reason: &'static str, retry_after_ms: u64) -> Refusal {
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
            ran: Ran::No,
            closes: false,
        }
    }

    /// The customer is over its rate.
    pub(crate) fn over_rate(retry_after_ms: u64) -> Refusal {
        Refusal {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "over_rate",
            retry_after_ms: Some(retry_after_ms),
            ran: Ran::No,
            closes: false,
        }
    }

    /// The request has not run and coming back will not help.
    pub(crate) fn denied(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal {
            status,
            reason,
            retry_after_ms: None,
            ran: Ran::No,
            closes: false,
        }
    }

    /// It is not known whether the request has run.
    pub(crate) fn unknown(status: StatusCode, reason: &'static str) -> Refusal {
        Refusal {
            status,
            reason,
            retry_after_ms: None,
            ran: Ran::Unknown,
            closes: false,
        }
    }

    /// The reason lies in this instance, so callers should try another.
    pub(crate) fn moving_on(self) -> Refusal {
        Refusal {
            closes: true,
            ..self
        }
    }

    /// The answer for the caller.
    pub(crate) fn response(&self) -> Response<CallBody> {
        let ran = match self.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let content = format!(
            "{{\"error\":{{\"code\":\"{}\",\"ran\":\"{ran}\"}}}}\n",
            self.reason
        );
        let mut response = Response::new(CallBody::Whole(Some(Bytes::from(content))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        if self.closes {
            headers.insert(CONNECTION, hyper::header::HeaderValue::from_static("close"));
        }
        let retry_after = self
            .retry_after_ms
            .map(|ms| format!("{:.2}", ms as f64 / 1_000.0));
        let retry_after = retry_after.and_then(|text| text.parse().ok());
        if let Some(value) = retry_after {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
