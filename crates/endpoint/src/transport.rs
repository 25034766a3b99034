//! The socket of one call: a transport for ureq with a timeout on every read and write, and
//! the state through which other threads can close the socket.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

/// Maximum size of a response head in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Size of the input buffer of a connection. A complete response head must fit into it.
const INPUT_BUFFER_BYTES: usize = MAX_HEAD_BYTES;
/// Size of the output buffer of a connection.
const OUTPUT_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes that must arrive within a window of [`PROGRESS_WINDOWS`] times the progress timeout. One
/// small event in each timeout is enough, a byte now and then is not.
const MIN_WINDOW_BYTES: usize = 16;
/// Length of that window, in progress timeouts.
const PROGRESS_WINDOWS: u32 = 2;

/// Checks that a response makes progress, beyond a byte now and then.
#[derive(Debug)]
struct Progress {
    window: Duration,
    /// Start of the current window.
    since: Instant,
    /// Bytes that arrived in the current window.
    bytes: usize,
}

impl Progress {
    fn new(progress_timeout: Duration) -> Progress {
        Progress {
            window: progress_timeout * PROGRESS_WINDOWS,
            since: Instant::now(),
            bytes: 0,
        }
    }

    /// Records received bytes. Returns false if too few arrived in a window.
    fn record(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        if self.since.elapsed() < self.window {
            return true;
        }
        let is_enough = self.bytes >= MIN_WINDOW_BYTES;
        self.since = Instant::now();
        self.bytes = 0;
        is_enough
    }
}

/// State of the connection of one call. Shared by the thread that runs the call and the
/// threads that may cancel it.
#[derive(Debug, Default)]
pub(crate) struct CallState {
    /// Set while the call uses the socket.
    socket: Mutex<Option<Arc<TcpStream>>>,
    cancelled: AtomicBool,
    /// Whether a read or write timed out.
    timed_out: AtomicBool,
    /// Bytes of the request that the kernel accepted. Zero proves that the endpoint received
    /// none.
    written_bytes: AtomicU64,
    /// Bytes that were received but not read as part of the response. A connection with such
    /// bytes must not be reused.
    unread_bytes: AtomicU64,
}

impl CallState {
    /// Lets [`CallState::cancel`] close the socket. Returns false if the call was already
    /// cancelled.
    pub(crate) fn attach(&self, socket: Arc<TcpStream>) -> bool {
        *self.lock() = Some(socket);
        !self.is_cancelled()
    }

    /// Removes the socket, so that a later cancel does not close it.
    pub(crate) fn detach(&self) -> Option<Arc<TcpStream>> {
        self.lock().take()
    }

    /// Shuts down the socket, which ends a blocked read or write in another thread.
    pub(crate) fn cancel(&self) {
        let socket = self.lock();
        self.cancelled.store(true, Ordering::SeqCst);
        if let Some(socket) = socket.as_ref() {
            // Fails if the endpoint has already closed the connection.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    pub(crate) fn is_timed_out(&self) -> bool {
        self.timed_out.load(Ordering::SeqCst)
    }

    pub(crate) fn wrote_nothing(&self) -> bool {
        self.written_bytes.load(Ordering::SeqCst) == 0
    }

    pub(crate) fn has_unread_bytes(&self) -> bool {
        self.unread_bytes.load(Ordering::SeqCst) > 0
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<TcpStream>>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives ureq the socket of a call, which is already connected.
#[derive(Debug)]
pub(crate) struct SocketConnector {
    pub(crate) socket: Arc<TcpStream>,
    pub(crate) state: Arc<CallState>,
    pub(crate) progress_timeout: Duration,
}

impl Connector for SocketConnector {
    type Out = SocketTransport;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<SocketTransport>, ureq::Error> {
        self.socket.set_read_timeout(Some(self.progress_timeout))?;
        self.socket.set_write_timeout(Some(self.progress_timeout))?;
        Ok(Some(SocketTransport {
            socket: Arc::clone(&self.socket),
            state: Arc::clone(&self.state),
            buffers: LazyBuffers::new(INPUT_BUFFER_BYTES, OUTPUT_BUFFER_BYTES),
            progress: Progress::new(self.progress_timeout),
        }))
    }
}

/// A socket whose reads and writes have the progress timeout of the call. ureq's own timeouts
/// are not used.
pub(crate) struct SocketTransport {
    socket: Arc<TcpStream>,
    state: Arc<CallState>,
    buffers: LazyBuffers,
    progress: Progress,
}

impl SocketTransport {
    /// Remembers whether the error is a timeout, which ureq's error does not show.
    fn io_error(&self, error: io::Error) -> ureq::Error {
        if is_timeout(&error) {
            self.state.timed_out.store(true, Ordering::SeqCst);
        }
        ureq::Error::Io(error)
    }
}

impl fmt::Debug for SocketTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SocketTransport").finish_non_exhaustive()
    }
}

impl Transport for SocketTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(
        &mut self,
        amount: usize,
        _timeout: NextTimeout,
    ) -> Result<(), ureq::Error> {
        let mut written = 0;
        while written < amount {
            match (&*self.socket).write(&self.buffers.output()[written..amount]) {
                Ok(0) => return Err(self.io_error(io::ErrorKind::WriteZero.into())),
                Ok(count) => {
                    written += count;
                    let count = count as u64;
                    self.state.written_bytes.fetch_add(count, Ordering::SeqCst);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(self.io_error(error)),
            }
        }
        Ok(())
    }

    fn await_input(&mut self, _timeout: NextTimeout) -> Result<bool, ureq::Error> {
        loop {
            let space = self.buffers.input_append_buf();
            if space.is_empty() {
                // A read into an empty buffer returns 0, which looks like the end of the
                // connection.
                let message = "the head or a chunk of the answer is too large";
                return Err(ureq::Error::Io(io::Error::other(message)));
            }
            match (&*self.socket).read(space) {
                Ok(count) if count > 0 && !self.progress.record(count) => {
                    return Err(self.io_error(io::ErrorKind::TimedOut.into()));
                }
                Ok(count) => {
                    self.buffers.input_appended(count);
                    return Ok(count > 0);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(self.io_error(error)),
            }
        }
    }

    fn is_open(&mut self) -> bool {
        // Keeps ureq from pooling the transport: this crate pools the sockets itself.
        false
    }
}

impl Drop for SocketTransport {
    fn drop(&mut self) {
        let unread = self.buffers.input().len() as u64;
        self.state.unread_bytes.store(unread, Ordering::SeqCst);
    }
}

/// Whether a socket operation timed out. Unix reports a read or write timeout as
/// `WouldBlock`.
pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

/// Resolves every name to the address that the call is already connected to.
#[derive(Debug)]
pub(crate) struct FixedResolver(pub(crate) SocketAddr);

impl Resolver for FixedResolver {
    fn resolve(
        &self,
        _uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let mut addresses = self.empty();
        addresses.push(self.0);
        Ok(addresses)
    }
}
