//! Connects the reducer to the peer network.
//!
//! Sends the reducer's messages to peers, and turns what peers send into events. While the
//! store does not respond, it also keeps the instance in contact with the fleet: it finds
//! peers through seed addresses and through other peers, and exchanges the configuration
//! with them.

mod addresses;
mod codec;
mod discovery;
mod receiver;
mod seeds;
mod snapshots;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jayreel_fleet::PeerMessage;
use jayreel_peer::{MessageBody, PeerNetwork};

use crate::peer_link::addresses::Addresses;
use crate::peer_link::codec::encode;
pub(crate) use crate::peer_link::receiver::start_receiver;
pub(crate) use crate::peer_link::seeds::SeedPoller;

/// Sends messages to peers by instance name, and maintains their addresses. Clones share the
/// addresses and the message ids.
#[derive(Clone)]
pub(crate) struct PeerSender {
    /// Name of this instance.
    own: String,
    network: Arc<dyn PeerNetwork>,
    /// Id of the next message.
    next_id: Arc<AtomicU64>,
    addresses: Arc<Mutex<Addresses>>,
}

impl PeerSender {
    /// A sender for the instance with the name `own`.
    pub(crate) fn new(own: String, network: Arc<dyn PeerNetwork>) -> PeerSender {
        PeerSender {
            own,
            network,
            next_id: Arc::new(AtomicU64::new(1)),
            addresses: Arc::new(Mutex::new(Addresses::default())),
        }
    }

    /// Replaces the addresses that come from the registrations. `registered` holds all
    /// registered peers by name.
    pub(crate) fn set_registered(
        &self,
        now_ms: u64,
        registered: BTreeMap<String, SocketAddr>,
    ) {
        self.change_addresses(now_ms, |addresses| {
            addresses.set_registered(now_ms, registered);
        });
    }

    /// Whether the registrations were read since the process started.
    pub(super) fn has_registered(&self) -> bool {
        self.lock().has_registered()
    }

    /// Names and addresses of all peers to which messages can be sent.
    pub(super) fn known_peers(&self) -> Vec<(String, SocketAddr)> {
        let addresses = self.lock();
        let in_use = addresses.in_use().iter();
        in_use
            .map(|(name, address)| (name.clone(), *address))
            .collect()
    }

    /// Records the address that a peer states for itself in a heartbeat.
    pub(super) fn record_heartbeat_address(
        &self,
        now_ms: u64,
        from: &str,
        address: SocketAddr,
    ) {
        self.change_addresses(now_ms, |addresses| {
            addresses.record_heartbeat(now_ms, from, address);
        });
    }

    /// Records addresses of peers that were learned from seeds or from other peers.
    pub(super) fn record_discovered_addresses(
        &self,
        now_ms: u64,
        peers: &[(String, SocketAddr)],
    ) {
        self.change_addresses(now_ms, |addresses| {
            for (name, address) in peers {
                addresses.record_discovered(now_ms, name, *address);
            }
        });
    }

    /// Asks the address which instance it belongs to. The response arrives as an event of the
    /// peer network.
    pub(super) fn discover(&self, address: SocketAddr) {
        self.network.discover(address);
    }

    /// Applies a change. Passes the addresses to the peer network if those in use differ
    /// afterwards.
    fn change_addresses(&self, now_ms: u64, change: impl FnOnce(&mut Addresses)) {
        let mut addresses = self.lock();
        change(&mut addresses);
        if let Some(changed) = addresses.update(now_ms) {
            self.network.set_peers(changed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Addresses> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message of the reducer to the named peer. Does not log heartbeats, which are
    /// frequent.
    pub(crate) fn send(&self, to: &str, message: &PeerMessage) {
        if !matches!(
            message,
            PeerMessage::Heartbeat(_) | PeerMessage::HeartbeatAnswer(_)
        ) {
            log::debug!("event=peer_message to={to} message={message:?}");
        }
        match encode(message) {
            Ok(body) => self.send_body(to, body),
            Err(error) => log::error!("event=message_not_encoded error={error}"),
        }
    }

    /// Sends a message that is already in the form of the peer protocol.
    pub(crate) fn send_body(&self, to: &str, body: MessageBody) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let message = jayreel_peer::PeerMessage {
            id,
            reply_to: None,
            body,
        };
        self.network.send(to, message);
    }
}
