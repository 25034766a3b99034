//! Body of a request in several segments.

use std::any::Any;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A body whose segments are sent one after another without being copied into one buffer. Clones
/// share the content.
#[derive(Clone, Debug)]
pub struct SegmentedBody {
    /// None of them is empty.
    segments: Rc<[Bytes]>,
    /// Index of the segment that is sent next.
    next: usize,
    /// Dropped with the last clone.
    _memory: Option<Rc<dyn Any>>,
}

impl SegmentedBody {
    /// A body of these segments. `memory` is what accounts for their memory.
    pub(crate) fn new(segments: Vec<Bytes>, memory: Rc<dyn Any>) -> SegmentedBody {
        SegmentedBody {
            _memory: Some(memory),
            ..SegmentedBody::from_segments(segments)
        }
    }

    fn from_segments(segments: Vec<Bytes>) -> SegmentedBody {
        let segments = segments.into_iter().filter(|segment| !segment.is_empty());
        SegmentedBody {
            segments: segments.collect(),
            next: 0,
            _memory: None,
        }
    }

    /// The segments that have not been sent.
    fn rest(&self) -> &[Bytes] {
        &self.segments[self.next..]
    }

    /// Number of bytes that have not been sent.
    pub fn remaining_bytes(&self) -> usize {
        self.rest().iter().map(Bytes::len).sum()
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(content: Bytes) -> SegmentedBody {
        SegmentedBody::from_segments(vec![content])
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.rest().first().cloned();
        self.next += usize::from(segment.is_some());
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes = u64::try_from(self.remaining_bytes());
        SizeHint::with_exact(bytes.unwrap_or(u64::MAX))
    }
}
