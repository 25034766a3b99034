//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::edge::memory::Claim;
use crate::edge::stream_memory::QueuedBytes;

/// The endpoint's stream ended early. The caller's connection is then closed before the end of
/// the body, so that the caller does not take the body for complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyInterrupted;

impl std::fmt::Display for BodyInterrupted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response body was interrupted")
    }
}

impl std::error::Error for BodyInterrupted {}

/// Bytes for a caller. Their memory counts until they have been written to its connection.
#[derive(Debug)]
pub(crate) struct CallerBytes {
    content: Bytes,
    _claim: Option<Claim>,
}

impl CallerBytes {
    pub(crate) fn claimed(content: Bytes, claim: Claim) -> CallerBytes {
        CallerBytes {
            content,
            _claim: Some(claim),
        }
    }
}

impl From<Bytes> for CallerBytes {
    fn from(content: Bytes) -> CallerBytes {
        CallerBytes {
            content,
            _claim: None,
        }
    }
}

impl Buf for CallerBytes {
    fn remaining(&self) -> usize {
        self.content.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.content.chunk()
    }

    fn advance(&mut self, bytes: usize) {
        self.content.advance(bytes);
    }
}

/// An item of a streamed body.
#[derive(Debug)]
pub(crate) enum BodyChunk {
    /// Bytes to send to the caller.
    Data {
        content: Bytes,
        /// They leave the queue when hyper takes them.
        _queued: QueuedBytes,
    },
    /// The body is complete. Without it, the caller receives an interrupted body.
    End,
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum CallBody {
    /// All bytes are known. `None` for an empty body, or once they have been sent.
    Buffered(Option<CallerBytes>),
    /// Bytes are forwarded as the endpoint sends them. If the channel closes before
    /// `BodyChunk::End`, the body ends with an error.
    Streamed {
        chunks: mpsc::Receiver<BodyChunk>,
        /// The connection was given an occasion to send what it has been given before the error.
        is_flushed: bool,
    },
}

impl CallBody {
    /// A body of these bytes.
    pub(crate) fn buffered(content: impl Into<CallerBytes>) -> CallBody {
        CallBody::Buffered(Some(content.into()))
    }

    /// A response with this body and the headers of an endpoint. The length of a body that is
    /// forwarded is not known.
    pub(crate) fn into_response(
        self,
        status: StatusCode,
        mut headers: HeaderMap,
    ) -> Response<CallBody> {
        if let CallBody::Streamed { .. } = self {
            headers.remove(CONTENT_LENGTH);
        }
        let mut response = Response::new(self);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// A body whose bytes are forwarded from a channel.
    pub(crate) fn streamed(chunks: mpsc::Receiver<BodyChunk>) -> CallBody {
        CallBody::Streamed {
            chunks,
            is_flushed: false,
        }
    }
}

impl Body for CallBody {
    type Data = CallerBytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<CallerBytes>, BodyInterrupted>>> {
        let next = match self.get_mut() {
            CallBody::Buffered(content) => {
                content.take().map(|content| Ok(Frame::data(content)))
            }
            CallBody::Streamed { chunks, is_flushed } => {
                match ready!(chunks.poll_recv(context)) {
                    Some(BodyChunk::Data { content, .. }) => {
                        Some(Ok(Frame::data(content.into())))
                    }
                    Some(BodyChunk::End) => None,
                    // hyper discards what it has buffered when a body fails, and sends it when a
                    // body is pending.
                    None if !std::mem::replace(is_flushed, true) => {
                        context.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    None => Some(Err(BodyInterrupted)),
                }
            }
        };
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallBody::Buffered(content) => {
                let length = content.as_ref().map_or(0, Buf::remaining);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            CallBody::Streamed { .. } => SizeHint::default(),
        }
    }
}
