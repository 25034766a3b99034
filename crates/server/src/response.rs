//! Converts responses into the form that hyper sends.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use jayreel_model::{Refusal, RequestId};
use tokio::sync::mpsc;

use crate::error_body;
use crate::response_channel::{CallerGuard, PendingResponse, ResponseHead};
use crate::timeout_stream::BusyGuard;
use jayreel_model::header::is_hop_by_hop;

/// Carries the request id, so that callers and logs can refer to the request.
const REQUEST_ID_HEADER: &str = "jayreel-request";

/// The responder was dropped or aborted before it completed the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteResponse;

impl fmt::Display for IncompleteResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the responder did not complete the response")
    }
}

impl std::error::Error for IncompleteResponse {}

impl PendingResponse {
    /// Waits for the head of the response. `is_head_request` is whether the request's method
    /// is HEAD, whose response has no body even if it declares a length.
    pub(crate) async fn receive(
        mut self,
        is_head_request: bool,
    ) -> Result<Response<ResponseBody>, IncompleteResponse> {
        let id = self.guard.id();
        let head = (&mut self.head).await.map_err(|_| IncompleteResponse)?;
        let mut response = Response::new(ResponseBody::empty());
        *response.status_mut() =
            StatusCode::from_u16(head.status).map_err(|_| IncompleteResponse)?;
        set_headers(&mut response, &head, id);
        let remaining_bytes = declared_length(&response);
        let has_no_body = is_head_request
            || remaining_bytes == Some(0)
            || matches!(head.status, 204 | 304);
        match head.whole {
            Some(bytes) => *response.body_mut() = ResponseBody::whole(bytes),
            None if has_no_body => {
                tokio::spawn(drain_chunks(self.chunks, self.guard));
            }
            None => {
                *response.body_mut() = ResponseBody::Stream {
                    guard: self.guard,
                    chunks: self.chunks,
                    remaining_bytes,
                };
            }
        }
        Ok(response)
    }
}

/// Sets the headers and the request id. Drops headers of the endpoint's connection, and
/// headers that hyper cannot represent.
fn set_headers(
    response: &mut Response<ResponseBody>,
    head: &ResponseHead,
    id: RequestId,
) {
    let headers = response.headers_mut();
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        match (name, value) {
            (Ok(name), Ok(value)) if !is_hop_by_hop(name.as_str()) => {
                headers.append(name, value);
            }
            (Ok(_), Ok(_)) => {}
            _ => log::warn!("event=answer_header_dropped request={id}"),
        }
    }
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}

fn declared_length(response: &Response<ResponseBody>) -> Option<u64> {
    let length = response.headers().get("content-length")?;
    length.to_str().ok()?.parse().ok()
}

/// Discards chunks until the responder ends the response. Used when the body has been sent
/// completely or must not be sent. hyper drops the body at once in these cases, which must
/// not be reported as a disconnected caller.
async fn drain_chunks(mut chunks: mpsc::Receiver<Bytes>, guard: CallerGuard) {
    while chunks.recv().await.is_some() {}
    drop(guard);
}

/// Creates a JSON error response.
pub(crate) fn from_refusal(refusal: &Refusal, id: RequestId) -> Response<ResponseBody> {
    let body = error_body::body(refusal, Some(id));
    let mut response = Response::new(ResponseBody::whole(body));
    let status = refusal.reason.status();
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let head = ResponseHead {
        status,
        headers: error_body::headers(refusal),
        whole: None,
    };
    set_headers(&mut response, &head, id);
    response
}

/// The body of a response.
pub(crate) enum ResponseBody {
    /// Known in advance; `None` if it is empty or has been sent.
    Whole(Option<Bytes>),
    /// Chunks from a responder.
    Stream {
        /// Must be dropped before `chunks`; see [`PendingResponse`].
        guard: CallerGuard,
        chunks: mpsc::Receiver<Bytes>,
        /// Bytes of the declared `Content-Length` that have not arrived yet. `None` without
        /// a declared length.
        remaining_bytes: Option<u64>,
    },
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Whole(Some(bytes.into()))
    }

    pub(crate) fn empty() -> ResponseBody {
        ResponseBody::Whole(None)
    }

    /// Returns the next chunk, `None` at the end of a complete body, and an error if the
    /// responder ended the body early or sent more than the declared length.
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        let (chunks, guard, remaining) = match self {
            ResponseBody::Whole(bytes) => return Poll::Ready(bytes.take().map(Ok)),
            ResponseBody::Stream {
                guard,
                chunks,
                remaining_bytes,
            } => (chunks, guard, remaining_bytes),
        };
        let Poll::Ready(chunk) = chunks.poll_recv(context) else {
            return Poll::Pending;
        };
        let length = chunk.as_ref().map_or(0, Bytes::len) as u64;
        *remaining = match *remaining {
            Some(remaining) if remaining < length => {
                return Poll::Ready(Some(Err(IncompleteResponse)));
            }
            Some(remaining) => Some(remaining - length),
            None => None,
        };
        let at_end = *remaining == Some(0);
        match chunk {
            Some(bytes) => {
                if at_end {
                    self.finish_early();
                }
                Poll::Ready(Some(Ok(bytes)))
            }
            None if guard.is_complete() => Poll::Ready(None),
            None => Poll::Ready(Some(Err(IncompleteResponse))),
        }
    }

    /// Ends the body once all declared bytes have arrived. A task keeps the guard until the
    /// responder ends the response, so that no disconnect is reported.
    fn finish_early(&mut self) {
        if let ResponseBody::Stream { guard, chunks, .. } =
            std::mem::replace(self, ResponseBody::empty())
        {
            tokio::spawn(drain_chunks(chunks, guard));
        }
    }
}

/// A body that keeps its connection marked as busy until it is sent or dropped.
pub(crate) struct BusyBody {
    body: ResponseBody,
    busy: BusyGuard,
}

impl BusyBody {
    pub(crate) fn new(body: ResponseBody, busy: BusyGuard) -> BusyBody {
        BusyBody { body, busy }
    }
}

impl Body for BusyBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let this = self.get_mut();
        let chunk = this.body.poll_chunk(context);
        if let Poll::Ready(Some(Err(_))) = &chunk {
            this.busy.state().mark_incomplete();
        }
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.body, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Whole(None) => SizeHint::with_exact(0),
            ResponseBody::Stream {
                remaining_bytes: Some(remaining),
                ..
            } => SizeHint::with_exact(*remaining),
            ResponseBody::Stream { .. } => SizeHint::default(),
        }
    }
}
