//! A listening socket with a dedicated thread, and its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError, mpsc as std_mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::connection::{self, HttpService};
use crate::settings::ServerSettings;

/// Delay before accepting again after an error, such as running out of file descriptors.
/// Without it the loop would spin, because the connection stays in the accept queue.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of accept errors after which a stopping listener abandons its accept queue. With
/// [`ACCEPT_RETRY_DELAY`] this takes 5 s.
const MAX_ACCEPT_FAILURES_ON_STOP: usize = 50;
/// Maximum number of threads for work that would block the connection thread.
const MAX_BLOCKING_THREADS: usize = 8;

/// Stage of the graceful shutdown of a listener. Never goes back to an earlier stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Normal operation.
    Serving,
    /// Accepts connections, but responses ask callers to close theirs.
    Draining,
    /// The listening socket is closed, and the shorter idle timeout applies.
    Closing,
}

enum Command {
    /// Closes the listening socket and then sends a confirmation on the channel.
    StopAccepting(std_mpsc::Sender<()>),
}

/// State shared by the listener's handle, its thread and its connection tasks.
struct Shared {
    service: Arc<dyn HttpService>,
    settings: Arc<ServerSettings>,
    stage: watch::Sender<Stage>,
    connections: ConnectionCount,
    on_accept_error: Box<dyn Fn() + Send + Sync>,
}

/// Serves HTTP on one address. All connections run on one dedicated thread.
pub(crate) struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    commands: Option<mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Binds the address and starts a thread called `name`. `on_accept_error` is called for
    /// each failed `accept`.
    pub(crate) fn start(
        name: &str,
        address: SocketAddr,
        settings: ServerSettings,
        service: Arc<dyn HttpService>,
        on_accept_error: Box<dyn Fn() + Send + Sync>,
    ) -> io::Result<Listener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(MAX_BLOCKING_THREADS)
            .build()?;
        let shared = Arc::new(Shared {
            service,
            settings: Arc::new(settings),
            stage: watch::Sender::new(Stage::Serving),
            connections: ConnectionCount::default(),
            on_accept_error,
        });
        let (commands, inbox) = mpsc::unbounded_channel();
        let thread_shared = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || runtime.block_on(run(listener, thread_shared, inbox)))?;
        Ok(Listener {
            address,
            shared,
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn start_drain(&self) {
        self.shared.advance(Stage::Draining);
    }

    /// Accepts the connections in the accept queue, then closes the listening socket. Blocks
    /// until this is done.
    pub(crate) fn stop_accepting(&self) {
        let (done, wait) = std_mpsc::channel();
        let sent = match &self.commands {
            Some(commands) => commands.send(Command::StopAccepting(done)).is_ok(),
            None => false,
        };
        if sent {
            let _ = wait.recv();
        }
        self.shared.advance(Stage::Closing);
    }

    pub(crate) fn wait_idle(&self, limit: Option<Duration>) -> bool {
        self.shared.connections.wait_until_zero(limit)
    }

    pub(crate) fn connections(&self) -> usize {
        self.shared.connections.get()
    }

    /// Stops the thread. Returns the number of connections that were still open.
    pub(crate) fn close(mut self) -> usize {
        self.stop_accepting();
        let interrupted = self.connections();
        drop(self.commands.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        interrupted
    }
}

impl Shared {
    /// Enters a later stage, and ignores a change to an earlier one.
    fn advance(&self, to: Stage) {
        self.stage.send_if_modified(|stage| {
            let forward = (*stage as u8) < (to as u8);
            if forward {
                *stage = to;
            }
            forward
        });
    }
}

/// Accepts connections until [`Command::StopAccepting`], then keeps the runtime alive for
/// open connections until the command channel is closed.
async fn run(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    mut inbox: mpsc::UnboundedReceiver<Command>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("event=listener_failed error={error:?}");
            return;
        }
    };
    let permits = Arc::new(Semaphore::new(shared.settings.max_connections));
    let command = tokio::select! {
        () = accept_all(&listener, &shared, &permits) => None,
        command = inbox.recv() => command,
    };
    let Some(Command::StopAccepting(done)) = command else {
        return;
    };
    match listener.into_std() {
        Ok(listener) => accept_queued(listener, &shared).await,
        Err(error) => log::warn!("event=listener_failed error={error:?}"),
    }
    let _ = done.send(());
    while let Some(Command::StopAccepting(done)) = inbox.recv().await {
        let _ = done.send(());
    }
}

/// Accepts connections forever. Stops at `max_connections` until one of them ends.
async fn accept_all(
    listener: &TcpListener,
    shared: &Arc<Shared>,
    permits: &Arc<Semaphore>,
) {
    loop {
        let permit = Arc::clone(permits).acquire_owned().await;
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(stream, shared, permit),
            Err(error) => {
                (shared.on_accept_error)();
                log::warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections until the kernel's accept queue is empty. Uses the socket directly,
/// because tokio's cached readiness may miss connections that were queued since.
async fn accept_queued(listener: std::net::TcpListener, shared: &Arc<Shared>) {
    let mut failures = 0;
    while failures < MAX_ACCEPT_FAILURES_ON_STOP {
        match accept_nonblocking(&listener) {
            Ok(stream) => spawn_connection(stream, shared, ()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                failures += 1;
                (shared.on_accept_error)();
                log::warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn accept_nonblocking(listener: &std::net::TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Serves the connection in a task, which holds `permit` until the connection ends.
fn spawn_connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    permit: impl Send + 'static,
) {
    let guard = ConnectionCountGuard::new(Arc::clone(shared));
    tokio::spawn(async move {
        let shared = &guard.0;
        let service = Arc::clone(&shared.service);
        let settings = Arc::clone(&shared.settings);
        let stage = shared.stage.subscribe();
        connection::serve(stream, service, settings, stage).await;
        drop(permit);
    });
}

/// The number of open connections, which other threads can wait on.
#[derive(Default)]
struct ConnectionCount {
    count: Mutex<usize>,
    changed: Condvar,
}

impl ConnectionCount {
    fn get(&self) -> usize {
        *self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, delta: isize) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count = count.saturating_add_signed(delta);
        self.changed.notify_all();
    }

    /// Blocks until no connection is open. Returns false if `limit` elapses first.
    fn wait_until_zero(&self, limit: Option<Duration>) -> bool {
        let start = Instant::now();
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        while *count > 0 {
            let left = match limit {
                Some(limit) => limit.saturating_sub(start.elapsed()),
                None => Duration::MAX,
            };
            if left.is_zero() {
                return false;
            }
            let waited = self
                .changed
                .wait_timeout(count, left.min(ACCEPT_RETRY_DELAY * 10));
            count = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

/// Counts a connection as open until it is dropped, also if its task panics or is dropped.
struct ConnectionCountGuard(Arc<Shared>);

impl ConnectionCountGuard {
    fn new(shared: Arc<Shared>) -> ConnectionCountGuard {
        shared.connections.add(1);
        ConnectionCountGuard(shared)
    }
}

impl Drop for ConnectionCountGuard {
    fn drop(&mut self) {
        self.0.connections.add(-1);
    }
}
