//! A byte stream that records when bytes were last transferred.
//!
//! A long message takes time on a slow or busy connection. Whoever waits for one needs to tell a
//! transfer that goes on from a peer that has stopped.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::now_ms;

/// The bytes that were read from or written to a stream.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Starts with the creation of the stream. Never goes back.
    transferred_ms: Cell<u64>,
    /// All bytes so far.
    transferred_bytes: Cell<u64>,
}

impl Activity {
    pub(crate) fn new() -> Rc<Activity> {
        Rc::new(Activity {
            transferred_ms: Cell::new(now_ms()),
            transferred_bytes: Cell::new(0),
        })
    }

    /// Time since the last transfer, in milliseconds.
    pub(crate) fn idle_ms(&self) -> u64 {
        now_ms().saturating_sub(self.transferred_ms.get())
    }

    /// Number of bytes transferred so far.
    pub(crate) fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.get()
    }

    fn record(&self, bytes: usize) {
        if bytes > 0 {
            self.transferred_ms.set(now_ms());
            let total = self.transferred_bytes.get() + bytes as u64;
            self.transferred_bytes.set(total);
        }
    }
}

/// A stream that records its transfers in an [`Activity`].
pub(crate) struct Metered<T> {
    stream: T,
    activity: Rc<Activity>,
}

impl<T> Metered<T> {
    pub(crate) fn new(stream: T, activity: &Rc<Activity>) -> Metered<T> {
        let activity = Rc::clone(activity);
        Metered { stream, activity }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.activity.record(buffer.filled().len() - before);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, content);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.activity.record(bytes);
        }
        polled
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
