//! The interface of the peer network for other threads.

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

use crate::answer::{ANSWER_WINDOW, ForwardedResponse, ResponsePart};
use crate::config::PeerConfig;
use crate::error::{PeerError, PeerFailure, PeerFailureKind};
use crate::message::{ForwardedCall, PeerEvent, PeerMessage};
use crate::runtime::{Command, Shared, run};

/// Messages and calls to other instances. No method blocks.
pub trait PeerNetwork: Send + Sync {
    /// Sends a message. If the receiver does not confirm it, [`PeerEvent::SendFailed`]
    /// follows. An answer is a message in the other direction.
    fn send(&self, to: &str, message: PeerMessage);

    /// Asks which instance accepts peers at an address. If one of the fleet does,
    /// [`PeerEvent::Discovered`] follows.
    fn discover(&self, address: SocketAddr);

    /// Forwards a call to an incarnation. Never repeats it. The answer arrives in parts;
    /// dropping it cancels the call.
    fn forward(&self, to: &Incarnation, call: ForwardedCall) -> ForwardedResponse;

    /// Sets the addresses of all peers by name. Connections to others are closed.
    fn set_peers(&self, peers: BTreeMap<String, SocketAddr>);
}

/// The peer network over TCP.
#[derive(Debug)]
pub struct TcpPeerNetwork {
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
    local_address: SocketAddr,
}

impl TcpPeerNetwork {
    /// Starts the thread. Events of peers arrive on the receiver.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the listener or the thread cannot be used.
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

    /// The address on which peers are accepted.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Waits for messages that are under way, closes all connections and ends the thread.
    /// Forwarded calls that still run are broken off.
    pub fn close(mut self) {
        // The thread may have ended already.
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
        let (parts, receiver) = mpsc::channel(ANSWER_WINDOW);
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
            let failure = PeerFailure::before(PeerFailureKind::Closed, text);
            // The channel is new and has room.
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
        accepted: Cell::new(0),
        accepted_closers: RefCell::new(Vec::new()),
        next_forward: Cell::new(1),
        deliveries: Cell::new(0),
    });
    let tasks = LocalSet::new();
    let result = tasks.block_on(runtime, serve(shared, config.listener, commands));
    if let Err(err) = result {
        log::error!("event=peer_listener_failed error={err}");
    }
}

async fn serve(
    shared: Rc<Shared>,
    listener: TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    run(shared, listener, commands).await;
    Ok(())
}
