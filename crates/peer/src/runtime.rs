//! The thread of the peer network.

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

use crate::answer::ResponsePart;
use crate::auth::FleetSecret;
use crate::config::PeerDeadlines;
use crate::connection::{Closer, discover};
use crate::forward::forward;
use crate::link::Link;
use crate::message::{ForwardId, ForwardedCall, PeerEvent, PeerMessage};
use crate::serve::accept;

/// Interval at which closing looks for unfinished deliveries.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// A request from another thread.
pub(crate) enum Command {
    Close,
    Discover(SocketAddr),
    Forward {
        to: Incarnation,
        call: Box<ForwardedCall>,
        parts: mpsc::Sender<ResponsePart>,
    },
    Send {
        to: String,
        message: PeerMessage,
    },
    SetPeers(BTreeMap<String, SocketAddr>),
}

/// What all tasks of the thread share.
pub(crate) struct Shared {
    pub(crate) own: Incarnation,
    pub(crate) secret: FleetSecret,
    pub(crate) deadlines: PeerDeadlines,
    pub(crate) events: Sender<PeerEvent>,
    pub(crate) accepted: Cell<usize>,
    pub(crate) accepted_closers: RefCell<Vec<Closer>>,
    pub(crate) next_forward: Cell<u64>,
    pub(crate) deliveries: Cell<usize>,
}

impl Shared {
    /// Passes an event to the shell. The shell may have stopped listening.
    pub(crate) fn emit(&self, event: PeerEvent) {
        if self.events.send(event).is_err() {
            log::debug!("event=peer_event_dropped");
        }
    }

    pub(crate) fn next_forward_id(&self) -> ForwardId {
        let id = self.next_forward.get();
        self.next_forward.set(id + 1);
        ForwardId(id)
    }
}

/// Runs until [`Command::Close`] or until all senders of commands are gone.
pub(crate) async fn run(
    shared: Rc<Shared>,
    listener: tokio::net::TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let accepting = spawn_local(accept(shared.clone(), listener));
    let mut links: BTreeMap<String, Rc<Link>> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Close => break,
            Command::Discover(address) => {
                spawn_local(discover(shared.clone(), address));
            }
            Command::Forward { to, call, parts } => {
                let link = link(&mut links, &to.instance);
                spawn_local(forward(shared.clone(), link, to, call, parts));
            }
            Command::Send { to, message } => {
                let link = link(&mut links, &to);
                spawn_local(deliver(shared.clone(), link, to, message));
            }
            Command::SetPeers(peers) => set_peers(&mut links, &peers),
        }
    }
    accepting.abort();
    let deadlines = shared.deadlines;
    let limit_ms = deadlines.connect_ms + 2 * deadlines.call_ms;
    // Deliveries that were just spawned have not begun to count yet.
    tokio::task::yield_now().await;
    // The last messages, such as a handover, are confirmed first.
    wait_until(limit_ms, || shared.deliveries.get() == 0).await;
    links.values().for_each(|link| link.close());
    shared
        .accepted_closers
        .borrow()
        .iter()
        .for_each(Closer::close);
    // Calls of peers are cancelled as their connections end.
    wait_until(deadlines.call_ms, || shared.accepted.get() == 0).await;
}

fn link(links: &mut BTreeMap<String, Rc<Link>>, name: &str) -> Rc<Link> {
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
        link(links, name);
    }
    for (name, link) in links.iter() {
        link.set_address(peers.get(name).copied());
    }
    links.retain(|name, _| peers.contains_key(name));
}

async fn deliver(shared: Rc<Shared>, link: Rc<Link>, to: String, message: PeerMessage) {
    shared.deliveries.set(shared.deliveries.get() + 1);
    let id = message.id;
    if let Err(failure) = link.deliver(&shared, &message).await {
        shared.emit(PeerEvent::SendFailed { to, id, failure });
    }
    shared.deliveries.set(shared.deliveries.get() - 1);
}

async fn wait_until(limit_ms: u64, is_done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while !is_done() && Instant::now() < end {
        sleep(CLOSE_POLL).await;
    }
}
