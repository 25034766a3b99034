//! The HTTP server for callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::caller_service::CallerService;
use crate::listener::Listener;
use crate::request_handler::RequestHandler;
use crate::settings::ServerSettings;

/// Serves callers on one address. Connections run on a dedicated thread.
///
/// A graceful shutdown calls [`start_drain`](CallerServer::start_drain),
/// [`stop_accepting`](CallerServer::stop_accepting),
/// [`wait_idle`](CallerServer::wait_idle) and [`close`](CallerServer::close), in this
/// order. It interrupts no request.
pub struct CallerServer {
    listener: Listener,
    accept_errors: Arc<AtomicU64>,
}

impl CallerServer {
    /// Binds `address` and passes requests to `handler` until [`CallerServer::close`].
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: ServerSettings,
        handler: Arc<dyn RequestHandler>,
    ) -> io::Result<CallerServer> {
        let service = Arc::new(CallerService::new(handler, settings.clone()));
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

    /// The bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The number of open connections, including idle ones.
    pub fn connections(&self) -> usize {
        self.listener.connections()
    }

    /// The number of failed `accept` calls since the start, for example because the process
    /// ran out of file descriptors.
    pub fn accept_errors(&self) -> u64 {
        self.accept_errors.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown: `/readyz` returns 503 and each response has the header
    /// `Connection: close`. New connections are still accepted.
    pub fn start_drain(&self) {
        self.listener.start_drain();
    }

    /// Accepts the connections in the kernel's accept queue, then closes the listening
    /// socket. Blocks until this is done. From then on, idle connections are closed after
    /// `closing_idle_timeout_ms`.
    pub fn stop_accepting(&self) {
        self.listener.stop_accepting();
    }

    /// Blocks until all connections are closed. Returns false if `limit` elapses first.
    pub fn wait_idle(&self, limit: Option<Duration>) -> bool {
        self.listener.wait_idle(limit)
    }

    /// Stops the thread and closes the remaining connections. Returns their number, which is
    /// 0 after [`CallerServer::wait_idle`] returned true.
    pub fn close(self) -> usize {
        self.listener.close()
    }
}
