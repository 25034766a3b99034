//! The handle through which other threads use the peer network.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::{self, JoinHandle};

use crossbeam::channel::{self, Receiver, Sender};
use jayreel_model::Incarnation;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::config::PeerConfig;
use crate::error::{PeerError, PeerFailure, PeerFailureKind};
use crate::message::{ForwardedCall, PeerEvent, PeerMessage};
use crate::response::{ForwardedResponse, MAX_QUEUED_PARTS, ResponsePart};
use crate::runtime::{Command, Shared, run};

/// Sends messages and calls to other instances. No method blocks.
pub trait PeerNetwork: Send + Sync {
    /// Sends a message to an instance by name. If the receiver does not confirm it,
    /// [`PeerEvent::SendFailed`] follows. A reply arrives as a separate message.
    fn send(&self, to: &str, message: PeerMessage);

    /// Connects to an address to find out which instance accepts peers there. If it proves
    /// that it belongs to the fleet, [`PeerEvent::Discovered`] follows. A failure is only
    /// logged.
    fn discover(&self, address: SocketAddr);

    /// Forwards a call to an incarnation and streams its response. Never retries. Dropping
    /// the response cancels the call.
    fn forward(&self, to: &Incarnation, call: ForwardedCall) -> ForwardedResponse;

    /// Replaces the addresses of all peers, by name. Closes the connections to peers that are
    /// absent or have another address now.
    fn set_peers(&self, peers: BTreeMap<String, SocketAddr>);
}

/// The peer network over TCP. Runs on its own thread until [`TcpPeerNetwork::close`].
#[derive(Debug)]
pub struct TcpPeerNetwork {
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
    local_address: SocketAddr,
}

impl TcpPeerNetwork {
    /// Starts the network thread. The receiver yields the events of the network.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the listener cannot be used or the thread cannot be started.
    pub fn start(
        config: PeerConfig,
    ) -> Result<(TcpPeerNetwork, Receiver<PeerEvent>), PeerError> {
        let local_address = config.listener.local_addr().map_err(PeerError::Listener)?;
        config
            .listener
            .set_nonblocking(true)
            .map_err(PeerError::Listener)?;
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .map_err(PeerError::Thread)?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let (events, inbound) = channel::unbounded();
        let thread = thread::Builder::new()
            .name("peer".to_string())
            .spawn(move || run_thread(&runtime, config, events, receiver))
            .map_err(PeerError::Thread)?;
        let network = TcpPeerNetwork {
            commands,
            thread: Some(thread),
            local_address,
        };
        Ok((network, inbound))
    }

    /// Address of the listener. Differs from a requested port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Waits until pending messages are confirmed or a timeout expires, then closes all
    /// connections and joins the thread. Forwarded calls that still run fail.
    pub fn close(mut self) {
        // Fails if the thread has already ended.
        let _ = self.commands.send(Command::Close);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("event=peer_thread_panicked");
        }
    }
}

impl PeerNetwork for TcpPeerNetwork {
    fn send(&self, to: &str, message: PeerMessage) {
        let command = Command::Send {
            to: to.to_string(),
            message,
        };
        if self.commands.send(command).is_err() {
            log::warn!("event=peer_send_after_close to={to}");
        }
    }

    fn discover(&self, address: SocketAddr) {
        if self.commands.send(Command::Discover(address)).is_err() {
            log::warn!("event=peer_discover_after_close address={address}");
        }
    }

    fn forward(&self, to: &Incarnation, call: ForwardedCall) -> ForwardedResponse {
        let (parts, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
        let call = Box::new(call);
        let command = Command::Forward {
            to: to.clone(),
            call,
            parts,
        };
        if let Err(mpsc::error::SendError(Command::Forward { parts, .. })) =
            self.commands.send(command)
        {
            let text = "the peer network was closed";
            let failure = PeerFailure::not_reached(PeerFailureKind::Closed, text);
            // The new channel is empty, so this cannot fail.
            let _ = parts.try_send(ResponsePart::Failed(failure));
        }
        ForwardedResponse::new(receiver)
    }

    fn set_peers(&self, peers: BTreeMap<String, SocketAddr>) {
        if self.commands.send(Command::SetPeers(peers)).is_err() {
            log::warn!("event=peer_set_after_close");
        }
    }
}

/// Body of the network thread. Returns once the event loop has ended.
fn run_thread(
    runtime: &Runtime,
    config: PeerConfig,
    events: Sender<PeerEvent>,
    commands: mpsc::UnboundedReceiver<Command>,
) {
    let shared = Rc::new(Shared {
        own: config.own,
        secret: config.secret,
        deadlines: config.deadlines,
        events,
        accepted_count: Cell::new(0),
        accepted_close_handles: RefCell::new(Vec::new()),
        next_forward_number: Cell::new(1),
        pending_deliveries: Cell::new(0),
    });
    let tasks = LocalSet::new();
    let result = tasks.block_on(runtime, serve(shared, config.listener, commands));
    if let Err(err) = result {
        log::error!("event=peer_listener_failed error={err}");
    }
}

/// Runs the event loop. Fails if Tokio cannot register the listener.
async fn serve(
    shared: Rc<Shared>,
    listener: TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    run(shared, listener, commands).await;
    Ok(())
}
