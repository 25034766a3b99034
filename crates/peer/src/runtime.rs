//! The event loop on the thread of the peer network.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crossbeam::channel::Sender;
use jayreel_model::Incarnation;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::acceptor::accept;
use crate::auth::FleetSecret;
use crate::config::PeerDeadlines;
use crate::connection::{CloseHandle, discover};
use crate::forward::forward;
use crate::link::Link;
use crate::message::{ForwardId, ForwardedCall, PeerEvent, PeerMessage};
use crate::response::ResponsePart;

/// Interval of the checks, while closing, for pending deliveries and open connections.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A method call of [`PeerNetwork`](crate::PeerNetwork) or `close`, sent from another thread.
pub(crate) enum Command {
    /// Ends the event loop.
    Close,
    Discover(SocketAddr),
    Forward {
        to: Incarnation,
        call: Box<ForwardedCall>,
        /// Receives the response. Closed by its reader to cancel the call.
        parts: mpsc::Sender<ResponsePart>,
    },
    Send {
        to: String,
        message: PeerMessage,
    },
    /// Replaces the addresses of all peers, by name.
    SetPeers(BTreeMap<String, SocketAddr>),
}

/// State that all tasks on the network thread share.
pub(crate) struct Shared {
    pub(crate) own: Incarnation,
    pub(crate) secret: FleetSecret,
    pub(crate) deadlines: PeerDeadlines,
    /// Unbounded. [`SessionServer`](crate::session::SessionServer) rejects messages and calls
    /// while it holds too many events.
    pub(crate) events: Sender<PeerEvent>,
    /// Open connections that peers dialed.
    pub(crate) accepted_count: Cell<usize>,
    /// Handles of the open connections that peers dialed, for closing them on shutdown.
    pub(crate) accepted_close_handles: RefCell<Vec<CloseHandle>>,
    /// Number of the next [`ForwardId`].
    pub(crate) next_forward_number: Cell<u64>,
    /// Messages that are neither confirmed nor failed. Closing waits for them.
    pub(crate) pending_deliveries: Cell<usize>,
}

impl Shared {
    /// Sends an event to the thread that reads the event channel. Drops the event if that
    /// thread has ended.
    pub(crate) fn emit(&self, event: PeerEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event=peer_event_dropped");
        }
    }

    pub(crate) fn next_forward_id(&self) -> ForwardId {
        let id = self.next_forward_number.get();
        self.next_forward_number.set(id + 1);
        ForwardId(id)
    }
}

/// Runs until [`Command::Close`] arrives or all command senders are dropped. Then waits for
/// pending deliveries and closes all connections.
pub(crate) async fn run(
    shared: Rc<Shared>,
    listener: tokio::net::TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let accept_task = spawn_local(accept(shared.clone(), listener));
    let mut links: BTreeMap<String, Rc<Link>> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Close => break,
            Command::Discover(address) => {
                spawn_local(discover(shared.clone(), address));
            }
            Command::Forward { to, call, parts } => {
                let link = get_or_add_link(&mut links, &to.instance);
                spawn_local(forward(shared.clone(), link, to, call, parts));
            }
            Command::Send { to, message } => {
                let link = get_or_add_link(&mut links, &to);
                spawn_local(deliver(shared.clone(), link, to, message));
            }
            Command::SetPeers(peers) => set_peers(&mut links, &peers),
        }
    }
    accept_task.abort();
    let deadlines = shared.deadlines;
    let delivery_limit_ms = deadlines.connect_ms + 2 * deadlines.call_ms;
    // Lets deliveries that were just spawned run once, so that they are counted.
    tokio::task::yield_now().await;
    // The last messages, such as a handover, must be confirmed before their connections
    // close.
    wait_until(delivery_limit_ms, || shared.pending_deliveries.get() == 0).await;
    links.values().for_each(|link| link.close());
    shared
        .accepted_close_handles
        .borrow()
        .iter()
        .for_each(CloseHandle::close);
    // Calls that peers forwarded here are cancelled when their connections end.
    wait_until(deadlines.call_ms, || shared.accepted_count.get() == 0).await;
}

fn get_or_add_link(links: &mut BTreeMap<String, Rc<Link>>, name: &str) -> Rc<Link> {
    links
        .entry(name.to_string())
        .or_insert_with(|| Rc::new(Link::new(name.to_string())))
        .clone()
}

fn set_peers(
    links: &mut BTreeMap<String, Rc<Link>>,
    peers: &BTreeMap<String, SocketAddr>,
) {
    for name in peers.keys() {
        get_or_add_link(links, name);
    }
    for (name, link) in links.iter() {
        link.set_address(peers.get(name).copied());
    }
    links.retain(|name, _| peers.contains_key(name));
}

/// Delivers a message and reports a failure as an event.
async fn deliver(shared: Rc<Shared>, link: Rc<Link>, to: String, message: PeerMessage) {
    shared
        .pending_deliveries
        .set(shared.pending_deliveries.get() + 1);
    let id = message.id;
    if let Err(failure) = link.deliver(&shared, &message).await {
        shared.emit(PeerEvent::SendFailed { to, id, failure });
    }
    shared
        .pending_deliveries
        .set(shared.pending_deliveries.get() - 1);
}

/// Waits until `is_done` returns true, but no longer than the limit.
async fn wait_until(limit_ms: u64, is_done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while !is_done() && Instant::now() < end {
        sleep(CLOSE_POLL_INTERVAL).await;
    }
}
