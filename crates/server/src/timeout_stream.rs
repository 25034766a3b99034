//! A TCP stream with separate timeouts for idle connections, request heads and writes.
//!
//! hyper has a single timeout for reading the head, which also runs while the connection is
//! idle, and none for writing.
//!
//! The wrapper also replaces hyper's response to a malformed head. hyper sends that response
//! by itself, before the service sees a request. On a connection without an earlier request
//! it is the only output, so the wrapper discards it, and the connection sends a JSON error
//! instead ([`rejected_head_response`]). After a first request the output of an earlier
//! response may be in the same write. hyper's response is kept then, because separating the
//! two would need a parser of the output.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use jayreel_model::{Refusal, RefusalReason};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep};

use crate::error_body;
use crate::listener::Stage;
use crate::settings::ServerSettings;

/// What the next input on a connection belongs to, which selects the read timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for the first byte of a request. `since` is when the connection was opened, the
    /// last response ended or the last output was written, whichever is latest.
    Idle { since: Instant },
    /// Has received a part of a request head. `since` is the time of its first byte.
    Head { since: Instant },
    /// A request is being handled. The body has its own timeout, in `read_body`.
    Busy,
}

/// State of one connection, shared by its stream and the requests on it.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    phase: Mutex<Phase>,
    /// A response ended before it was complete, so the connection must be reset.
    incomplete: AtomicBool,
    /// A request has begun, so output may belong to its response.
    has_request: AtomicBool,
}

impl ConnectionState {
    pub(crate) fn new() -> ConnectionState {
        let since = Instant::now();
        ConnectionState {
            phase: Mutex::new(Phase::Idle { since }),
            incomplete: AtomicBool::new(false),
            has_request: AtomicBool::new(false),
        }
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> BusyGuard {
        *self.phase() = Phase::Busy;
        self.has_request.store(true, Ordering::SeqCst);
        BusyGuard(Arc::clone(self))
    }

    /// Records that a response ended before it was complete.
    pub(crate) fn mark_incomplete(&self) {
        self.incomplete.store(true, Ordering::SeqCst);
    }

    pub(crate) fn has_incomplete_response(&self) -> bool {
        self.incomplete.load(Ordering::SeqCst)
    }

    /// Whether a request has begun since the connection was opened.
    pub(crate) fn has_request(&self) -> bool {
        self.has_request.load(Ordering::SeqCst)
    }

    fn phase(&self) -> MutexGuard<'_, Phase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_input(&self) {
        let mut phase = self.phase();
        if let Phase::Idle { .. } = *phase {
            *phase = Phase::Head {
                since: Instant::now(),
            };
        }
    }

    fn record_output(&self) {
        let mut phase = self.phase();
        if let Phase::Idle { since } = &mut *phase {
            *since = Instant::now();
        }
    }
}

/// Held from the start of a request to the end of its response. Dropping it makes the
/// connection idle.
#[derive(Debug)]
pub(crate) struct BusyGuard(Arc<ConnectionState>);

impl BusyGuard {
    pub(crate) fn state(&self) -> &ConnectionState {
        &self.0
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let since = Instant::now();
        *self.0.phase() = Phase::Idle { since };
    }
}

/// A TCP stream with timeouts; see the module documentation.
#[derive(Debug)]
pub(crate) struct TimeoutStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    settings: Arc<ServerSettings>,
    stage: watch::Receiver<Stage>,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Pin<Box<Sleep>>,
    /// The socket buffer is full, and `write_timer` is running.
    write_blocked: bool,
}

impl TimeoutStream {
    pub(crate) fn new(
        stream: TcpStream,
        state: Arc<ConnectionState>,
        settings: Arc<ServerSettings>,
        stage: watch::Receiver<Stage>,
    ) -> TimeoutStream {
        let now = Instant::now();
        TimeoutStream {
            stream,
            state,
            settings,
            stage,
            read_timer: Box::pin(tokio::time::sleep_until(now)),
            write_timer: Box::pin(tokio::time::sleep_until(now)),
            write_blocked: false,
        }
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// When the wait for input ends, or `None` if it has no limit in the current phase.
    fn read_deadline(&self) -> Option<Instant> {
        let closing = *self.stage.borrow() == Stage::Closing;
        match *self.state.phase() {
            Phase::Busy => None,
            Phase::Idle { .. } if self.write_blocked => None,
            Phase::Idle { since } => Some(since + self.settings.idle_timeout(closing)),
            Phase::Head { since } => Some(since + self.settings.head_timeout()),
        }
    }

    /// Whether the read deadline has passed. If not, the task is woken when it does.
    fn is_read_timed_out(&mut self, context: &mut Context<'_>) -> bool {
        let Some(deadline) = self.read_deadline() else {
            return false;
        };
        if self.read_timer.deadline() != deadline {
            self.read_timer.as_mut().reset(deadline);
        }
        self.read_timer.as_mut().poll(context).is_ready()
    }

    /// Sends a 408 response if a request head is unfinished. An idle connection gets none.
    fn report_read_timeout(&mut self) {
        let in_head = matches!(*self.state.phase(), Phase::Head { .. });
        if in_head && !self.write_blocked {
            let _ = self.stream.try_write(&head_timeout_response());
        }
        log::debug!("event=input_timeout in_head={in_head}");
    }

    /// Starts the write timeout when a write blocks, and fails the write once it passes.
    /// `offered` is the number of bytes that were to be written.
    fn apply_write_timeout(
        &mut self,
        context: &mut Context<'_>,
        offered: usize,
        outcome: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match outcome {
            Poll::Pending if !self.write_blocked => {
                self.write_blocked = true;
                let deadline = Instant::now() + self.settings.write_timeout();
                self.write_timer.as_mut().reset(deadline);
            }
            Poll::Pending => {}
            Poll::Ready(Ok(count)) => {
                self.write_blocked = false;
                self.state.record_output();
                log::trace!("event=written offered={offered} count={count}");
                return outcome;
            }
            Poll::Ready(Err(_)) => return outcome,
        }
        match self.write_timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

/// The response to a head that is not complete within the head timeout.
fn head_timeout_response() -> Vec<u8> {
    let message = "the head did not arrive in time";
    let refusal = Refusal::not_run(RefusalReason::RequestTimeout, message);
    raw_error_response("408 Request Timeout", &refusal)
}

/// The response to a head that hyper rejects.
pub(crate) fn rejected_head_response(is_too_large: bool) -> Vec<u8> {
    let (status, message) = match is_too_large {
        true => (
            "431 Request Header Fields Too Large",
            "the head is too large",
        ),
        false => ("400 Bad Request", "the head is malformed"),
    };
    let refusal = Refusal::not_run(RefusalReason::InvalidRequest, message);
    raw_error_response(status, &refusal)
}

/// Encodes a response by hand, for requests without a parsed head, which hyper cannot
/// respond to.
fn raw_error_response(status: &str, refusal: &Refusal) -> Vec<u8> {
    let body = error_body::body(refusal, None);
    let mut response = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len(),
    )
    .into_bytes();
    response.extend_from_slice(&body);
    response
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(outcome) => {
                if buffer.filled().len() > filled {
                    self.state.record_input();
                }
                Poll::Ready(outcome)
            }
            Poll::Pending if self.is_read_timed_out(context) => {
                self.report_read_timeout();
                // hyper treats an empty read as the end of the input and closes.
                Poll::Ready(Ok(()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.state.has_request() {
            // Discards hyper's response to a malformed head; see the module documentation.
            return Poll::Ready(Ok(bytes.len()));
        }
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.apply_write_timeout(context, bytes.len(), outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered = buffers.iter().map(|buffer| buffer.len()).sum();
        if !self.state.has_request() {
            return Poll::Ready(Ok(offered));
        }
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.apply_write_timeout(context, offered, outcome)
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
