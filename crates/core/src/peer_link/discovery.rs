//! Finds peers without the store: through seed addresses, and through peers found that way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use crossbeam::channel::Sender;
use jayreel_fleet::{FleetEvent, Input};
use jayreel_peer::MessageBody;

use crate::clock::Clock;
use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;

/// Shortest time between two requests to one peer for its list of peers.
const REQUEST_INTERVAL_MS: u64 = 5_000;

/// Finds peers until the registrations are read for the first time. From then on the
/// registrations hold the addresses of all peers, and discovery does nothing.
pub(super) struct Discovery {
    clock: Clock,
    sender: PeerSender,
    events: Sender<RunnerEvent>,
    /// When each peer, by name, was last sent a request for its list of peers.
    requested_at_ms: Mutex<BTreeMap<String, u64>>,
}

impl Discovery {
    pub(super) fn new(
        clock: Clock,
        sender: PeerSender,
        events: Sender<RunnerEvent>,
    ) -> Discovery {
        Discovery {
            clock,
            sender,
            events,
            requested_at_ms: Mutex::new(BTreeMap::new()),
        }
    }

    /// Records the addresses of peers that were found, and lets the reducer contact them.
    pub(super) fn add_peers(&self, mut peers: Vec<(String, SocketAddr)>) {
        // The seeds may include the address of this instance.
        peers.retain(|(name, _)| *name != self.sender.own);
        if self.sender.has_registered() || peers.is_empty() {
            return;
        }
        self.sender
            .record_discovered_addresses(self.clock.now_ms(), &peers);
        let names = peers.into_iter().map(|(name, _)| name).collect();
        let event = FleetEvent::PeersDiscovered(names);
        // The runner outlives this thread, so this fails only after a panic in the runner.
        let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
    }

    /// Requests the list of peers from a peer that has responded to a heartbeat. Because of the
    /// heartbeat the peer knows the address to which the list is to be sent.
    pub(super) fn request_peers(&self, from: &str) {
        if !self.sender.has_registered() && self.is_due(from) {
            self.sender.send_body(from, MessageBody::PeersRequest);
        }
    }

    /// Sends a peer the list of all other peers that this instance knows.
    pub(super) fn send_peers(&self, from: &str) {
        let mut peers = self.sender.known_peers();
        peers.retain(|(name, _)| name != from);
        self.sender.send_body(from, MessageBody::Peers { peers });
    }

    /// Whether [`REQUEST_INTERVAL_MS`] have passed since the last request to the peer. If so,
    /// records a new request.
    fn is_due(&self, from: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let mut requested = self
            .requested_at_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let last_ms = requested.get(from);
        let is_due =
            last_ms.is_none_or(|last_ms| now_ms >= last_ms + REQUEST_INTERVAL_MS);
        if is_due {
            requested.insert(from.to_string(), now_ms);
        }
        is_due
    }
}
