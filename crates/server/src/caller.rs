//! The listener for callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::handle::CallerService;
use crate::listener::Listener;
use crate::request_handler::RequestHandler;
use crate::settings::ServerSettings;

/// Serves callers on one address, on a thread of its own.
///
/// A planned stop goes through [`start_drain`](CallerServer::start_drain),
/// [`stop_accepting`](CallerServer::stop_accepting),
/// [`wait_idle`](CallerServer::wait_idle) and [`close`](CallerServer::close), in this
/// order. It cuts no request.
pub struct CallerServer {
    listener: Listener,
    accept_errors: Arc<AtomicU64>,
}

impl CallerServer {
    /// Binds `address` and serves until [`CallerServer::close`].
    ///
    /// # Errors
    ///
    /// The error of binding the address or of starting the thread.
    pub fn start(
        address: SocketAddr,
        settings: ServerSettings,
        intake: Arc<dyn RequestHandler>,
    ) -> io::Result<CallerServer> {
        let service = Arc::new(CallerService::new(intake, settings.clone()));
        let accept_errors = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&accept_errors);
        let listener = Listener::start(
            "caller-http",
            address,
            settings,
            service,
            Box::new(move || {
                counter.fetch_add(1, Ordering::Relaxed);
            }),
        )?;
        Ok(CallerServer {
            listener,
            accept_errors,
        })
    }

    /// The address of the listener, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Open connections, idle ones included.
    pub fn connections(&self) -> usize {
        self.listener.connections()
    }

    /// Accept errors since the start, such as running out of file descriptors.
    pub fn accept_errors(&self) -> u64 {
        self.accept_errors.load(Ordering::Relaxed)
    }

    /// Begins a planned stop: `/readyz` answers 503 and each answer asks the caller to
    /// close its connection. New connections are still accepted.
    pub fn start_drain(&self) {
        self.listener.start_drain();
    }

    /// Accepts the connections that the kernel has queued, then closes the listening
    /// socket. Blocks until this is done. From here on a connection without a request is
    /// closed after `closing_idle_timeout_ms`.
    pub fn stop_accepting(&self) {
        self.listener.stop_accepting();
    }

    /// Waits until every connection has ended. Returns false if `limit` passed first.
    pub fn wait_idle(&self, limit: Option<Duration>) -> bool {
        self.listener.wait_idle(limit)
    }

    /// Ends the thread. Returns the number of connections that were still open and were
    /// cut; it is 0 after [`CallerServer::wait_idle`] returned true.
    pub fn close(self) -> usize {
        self.listener.close()
    }
}
