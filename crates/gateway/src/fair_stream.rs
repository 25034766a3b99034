//! A TCP stream that leaves time for other tasks.
//!
//! All connections of an instance share one thread. A peer that sends without a pause keeps the
//! task of its connection ready, and the HTTP parser reads on for as long as there are bytes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Bytes that are read without a pause. Longer than almost all responses.
const MAX_BURST_BYTES: usize = 64 << 10;

/// A TCP stream whose reads yield to other tasks after each [`MAX_BURST_BYTES`].
pub(crate) struct FairStream {
    stream: TcpStream,
    /// Bytes read since the last wait for the peer or for other tasks.
    burst_bytes: usize,
    /// Ends once other tasks have run.
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl FairStream {
    pub(crate) fn new(stream: TcpStream) -> FairStream {
        FairStream {
            stream,
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
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.burst_bytes = match polled {
            Poll::Pending => 0,
            Poll::Ready(_) => self.burst_bytes + buffer.filled().len() - before,
        };
        if self.burst_bytes >= MAX_BURST_BYTES {
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
