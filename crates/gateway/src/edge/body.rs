//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off. The connection closes without the end of the body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// A piece of a streamed body.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Bytes for the caller.
    Content(Bytes),
    /// The body is complete.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum CallBody {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Bytes come as the endpoint makes them. If the channel closes before `Piece::End`, the
    /// body has broken off.
    Streamed(mpsc::Receiver<Piece>),
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let next = match self.get_mut() {
            CallBody::Whole(content) => {
                content.take().map(|content| Ok(Frame::data(content)))
            }
            CallBody::Streamed(pieces) => match ready!(pieces.poll_recv(context)) {
                Some(Piece::Content(content)) => Some(Ok(Frame::data(content))),
                Some(Piece::End) => None,
                None => Some(Err(BrokenOff)),
            },
        };
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallBody::Whole(content) => {
                let length = content.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            CallBody::Streamed(_) => SizeHint::default(),
        }
    }
}
