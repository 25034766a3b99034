//! A TCP stream that leaves time for other tasks, and ends if no response begins.
//!
//! All connections of an instance share one thread. A peer that sends without a pause keeps the
//! task of its connection ready, and the HTTP parser reads on for as long as there are bytes. It
//! also skips informational responses, however many there are, and these take it much longer than
//! other bytes.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

use crate::http_connection::MAX_HEAD_BYTES;

/// Bytes that are read without a pause. Longer than almost all responses.
const MAX_BURST_BYTES: usize = 16 << 10;

/// Bytes that are read without a pause until the head of a response is complete. Longer than almost
/// all heads.
const MAX_HEAD_BURST_BYTES: usize = 1 << 10;

/// Bytes that may be read until the head of a response is complete: the largest head, and what is
/// read with its end.
const MAX_BYTES_BEFORE_RESPONSE: usize = MAX_HEAD_BYTES + MAX_BURST_BYTES;

/// Bytes that may be read before a response. Shared by the stream and the connection that uses it.
#[derive(Debug, Default)]
pub(crate) struct ResponseWait {
    /// `None` while no response is awaited.
    left_bytes: Cell<Option<usize>>,
}

impl ResponseWait {
    /// Whether a response is awaited.
    fn is_active(&self) -> bool {
        self.left_bytes.get().is_some()
    }

    /// Begins to count.
    pub(crate) fn begin(&self) {
        self.left_bytes.set(Some(MAX_BYTES_BEFORE_RESPONSE));
    }

    /// Ends the count. Returns whether too many bytes arrived.
    pub(crate) fn end(&self) -> bool {
        self.left_bytes.take() == Some(0)
    }

    /// Counts bytes. Returns whether they are too many.
    fn is_exceeded_by(&self, bytes: usize) -> bool {
        let left_bytes = self.left_bytes.get();
        let left_bytes = left_bytes.map(|left_bytes| left_bytes.saturating_sub(bytes));
        self.left_bytes.set(left_bytes);
        left_bytes == Some(0)
    }
}

/// A TCP stream whose reads yield to other tasks after each [`MAX_BURST_BYTES`], or
/// [`MAX_HEAD_BURST_BYTES`] while a response is awaited.
pub(crate) struct FairStream {
    stream: TcpStream,
    wait: Rc<ResponseWait>,
    /// Bytes read since the last wait for the peer or for other tasks.
    burst_bytes: usize,
    /// Ends once other tasks have run.
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl FairStream {
    pub(crate) fn new(stream: TcpStream, wait: &Rc<ResponseWait>) -> FairStream {
        FairStream {
            stream,
            wait: Rc::clone(wait),
            burst_bytes: 0,
            pause: None,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        let max_burst_bytes = match self.wait.is_active() {
            true => MAX_HEAD_BURST_BYTES,
            false => MAX_BURST_BYTES,
        };
        let part_bytes = buffer.remaining().min(max_burst_bytes);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(part_bytes));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        if self.wait.is_exceeded_by(read_bytes) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "no response begins");
            return Poll::Ready(Err(error));
        }
        self.burst_bytes = match polled {
            Poll::Pending => 0,
            Poll::Ready(_) => self.burst_bytes + read_bytes,
        };
        if self.burst_bytes >= max_burst_bytes {
            self.burst_bytes = 0;
            self.pause = Some(Box::pin(yield_now()));
        }
        polled
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, content)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
