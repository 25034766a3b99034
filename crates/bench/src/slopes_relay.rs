//! TCP relays that count the traffic between processes and simulate network faults: closed
//! and refused connections, and connections that stay open but carry no data.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Handle};
use tokio::sync::{oneshot, watch};

/// Buffer size for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// How long a connection waits for [`Relay::set_target`] before the relay closes it.
const TARGET_TIMEOUT: Duration = Duration::from_secs(10);

/// The thread that runs all relays. Dropping this value ends the thread, which closes all
/// connections.
pub struct Relays {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

/// A relay to one target.
pub struct Relay {
    /// Address at which the relay accepts connections.
    pub address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    counters: Arc<TrafficCounters>,
    faults: watch::Sender<Faults>,
}

/// Faults that the relay simulates at present.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Open connections are closed, and new ones are closed once they are accepted.
    cut: bool,
    /// Open and new connections stay open but carry no data.
    frozen: bool,
    /// Incremented to silence the open connections. Those accepted in an earlier generation
    /// stay open but carry no data any more.
    generation: u64,
}

/// Traffic of all connections of a relay, in both directions.
#[derive(Debug, Default)]
struct TrafficCounters {
    bytes: AtomicU64,
    /// Reads that returned data.
    reads: AtomicU64,
}

impl Relays {
    /// Starts the thread that runs the relays.
    ///
    /// # Errors
    ///
    /// If the runtime or the thread cannot be started.
    pub fn start() -> eyre::Result<Relays> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::Builder::new()
            .name("relays".to_string())
            .spawn(move || {
                let _ = runtime.block_on(stopped);
            })?;
        Ok(Relays {
            handle,
            _stop: stop,
        })
    }

    /// Adds a relay on a free port of the loopback interface. Its connections wait until
    /// [`Relay::set_target`] is called.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn add(&self) -> eyre::Result<Relay> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let relay = Relay {
            address: listener.local_addr()?,
            target: Arc::default(),
            counters: Arc::default(),
            faults: watch::Sender::default(),
        };
        let faults = relay.faults.subscribe();
        let target = Arc::clone(&relay.target);
        let counters = Arc::clone(&relay.counters);
        self.handle.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            while let Ok((incoming, _)) = listener.accept().await {
                let target = Arc::clone(&target);
                let counters = Arc::clone(&counters);
                let faults = faults.clone();
                tokio::spawn(
                    async move { serve(incoming, &target, &counters, faults).await },
                );
            }
        });
        Ok(relay)
    }
}

impl Relay {
    /// Sets the address to which connections are relayed. Only the first call has an effect.
    pub fn set_target(&self, target: SocketAddr) {
        let _ = self.target.set(target);
    }

    /// Closes all connections, and new ones as soon as they are accepted, until it is called
    /// with `false`.
    pub fn set_cut(&self, cut: bool) {
        self.faults.send_modify(|faults| faults.cut = cut);
    }

    /// Stops the traffic of all connections without closing them until it is called with
    /// `false`.
    pub fn set_frozen(&self, frozen: bool) {
        self.faults.send_modify(|faults| faults.frozen = frozen);
    }

    /// Permanently stops the traffic of the connections that are open now, without closing
    /// them. New connections work.
    pub fn silence_open_connections(&self) {
        self.faults.send_modify(|faults| faults.generation += 1);
    }

    /// Total bytes relayed in both directions.
    pub fn bytes(&self) -> u64 {
        self.counters.bytes.load(Ordering::Relaxed)
    }

    /// Number of reads that returned data, which approximates the number of TCP segments with
    /// data.
    pub fn reads(&self) -> u64 {
        self.counters.reads.load(Ordering::Relaxed)
    }
}

/// Relays one connection until it ends or a fault stops it.
async fn serve(
    incoming: TcpStream,
    target: &OnceLock<SocketAddr>,
    counters: &TrafficCounters,
    mut faults: watch::Receiver<Faults>,
) {
    let deadline = tokio::time::Instant::now() + TARGET_TIMEOUT;
    while target.get().is_none() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let Some(target) = target.get() else { return };
    let generation = faults.borrow().generation;
    if faults.wait_for(|faults| !faults.frozen).await.is_err() {
        return;
    }
    let Ok(outgoing) = TcpStream::connect(target).await else {
        return;
    };
    let _ = incoming.set_nodelay(true);
    let _ = outgoing.set_nodelay(true);
    let (mut in_reader, mut in_writer) = incoming.into_split();
    let (mut out_reader, mut out_writer) = outgoing.into_split();
    let freezes = faults.clone();
    let traffic = async {
        tokio::join!(
            copy_direction(&mut in_reader, &mut out_writer, counters, freezes.clone()),
            copy_direction(&mut out_reader, &mut in_writer, counters, freezes)
        )
    };
    let ends_traffic = |faults: &Faults| faults.cut || faults.generation != generation;
    tokio::select! {
        _ = traffic => return,
        _ = faults.wait_for(ends_traffic) => {}
    }
    // Keeps a silenced connection open until the relay ends or closes its connections.
    let _ = faults.wait_for(|faults| faults.cut).await;
}

/// Relays one direction of a connection until its sender closes it, then closes that direction
/// towards the receiver.
async fn copy_direction(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    counters: &TrafficCounters,
    mut faults: watch::Receiver<Faults>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if faults.wait_for(|faults| !faults.frozen).await.is_err() {
            break;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
        counters.bytes.fetch_add(count as u64, Ordering::Relaxed);
        counters.reads.fetch_add(1, Ordering::Relaxed);
    }
    let _ = to.shutdown().await;
}
