//! Reads a request body under limits of size, time and total memory.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use jayreel_model::{Refusal, RefusalReason};

use crate::body_budget::Reservation;
use crate::settings::ServerSettings;

/// Suggested retry delay when the memory for bodies is exhausted. By then other calls have
/// probably ended and released their memory.
const RETRY_AFTER_MS: u64 = 1_000;

/// Reads a body to its end, and adds its bytes to `reservation`.
pub(crate) async fn read(
    mut body: Incoming,
    settings: &ServerSettings,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, Refusal> {
    let declared_bytes = body.size_hint().lower();
    if declared_bytes > settings.max_body_bytes {
        return Err(too_large(settings));
    }
    let mut bytes = Vec::new();
    loop {
        let wait = tokio::time::timeout(settings.body_idle_timeout(), body.frame());
        let frame = match wait.await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(malformed(&error)),
            Ok(None) => return Ok(bytes),
            Err(_) => return Err(timed_out()),
        };
        let Ok(data) = frame.into_data() else {
            continue; // trailers
        };
        if (bytes.len() + data.len()) as u64 > settings.max_body_bytes {
            return Err(too_large(settings));
        }
        if !reservation.grow(data.len() as u64) {
            return Err(over_budget());
        }
        bytes.extend_from_slice(&data);
    }
}

fn too_large(settings: &ServerSettings) -> Refusal {
    let max_bytes = settings.max_body_bytes;
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::not_run(RefusalReason::BodyTooLarge, message)
}

fn over_budget() -> Refusal {
    let message = "too many request bodies are held at the moment";
    let refusal = Refusal::not_run(RefusalReason::Overloaded, message);
    refusal.retry_after_ms(RETRY_AFTER_MS)
}

fn timed_out() -> Refusal {
    let message = "the body did not arrive in time";
    Refusal::not_run(RefusalReason::RequestTimeout, message)
}

fn malformed(error: &hyper::Error) -> Refusal {
    let message = format!("the body is truncated or badly encoded: {error}");
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}
