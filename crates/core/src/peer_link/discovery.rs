//! Learns of peers without the store: from seeds, and from the peers found that way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use crossbeam::channel::Sender;
use jayreel_fleet::{FleetEvent, Input};
use jayreel_peer::MessageBody;

use crate::clock::Clock;
use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;

/// Time between two questions to one peer for the peers that it knows.
const ASK_INTERVAL_MS: u64 = 5_000;

/// Finds peers while the registrations were never read.
pub(super) struct Discovery {
    clock: Clock,
    sender: PeerSender,
    events: Sender<RunnerEvent>,
    /// When each peer was last asked for the peers that it knows.
    asked_at_ms: Mutex<BTreeMap<String, u64>>,
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
            asked_at_ms: Mutex::new(BTreeMap::new()),
        }
    }

    /// Takes note of peers that were found at seeds or told by peers, and greets them.
    pub(super) fn found(&self, mut peers: Vec<(String, SocketAddr)>) {
        // The list of seeds may hold the own address.
        peers.retain(|(name, _)| *name != self.sender.own);
        if self.sender.has_registered() || peers.is_empty() {
            return;
        }
        self.sender.told_addresses(self.clock.now_ms(), &peers);
        let names = peers.into_iter().map(|(name, _)| name).collect();
        let event = FleetEvent::PeersFound(names);
        // The runner outlives this thread, so this fails only after a panic there.
        let _ = self.events.send(RunnerEvent::Reducer(Input::Fleet(event)));
    }

    /// Asks a peer that has answered for further peers. It knows the address to answer to
    /// from the heartbeat.
    pub(super) fn ask(&self, from: &str) {
        if !self.sender.has_registered() && self.is_due(from) {
            self.sender.send_body(from, MessageBody::PeersRequest);
        }
    }

    /// Answers such a question.
    pub(super) fn answer(&self, from: &str) {
        let mut peers = self.sender.known();
        peers.retain(|(name, _)| name != from);
        self.sender.send_body(from, MessageBody::Peers { peers });
    }

    fn is_due(&self, from: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let mut asked = self
            .asked_at_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let last_ms = asked.get(from);
        let is_due = last_ms.is_none_or(|last_ms| now_ms >= last_ms + ASK_INTERVAL_MS);
        if is_due {
            asked.insert(from.to_string(), now_ms);
        }
        is_due
    }
}
