//! Addresses of peers and the choice between differing sources for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long an unregistered address is used after it was last received, in a heartbeat or
/// from another peer.
const UNREGISTERED_VALID_MS: u64 = 30_000;

/// How long after its last heartbeat a process keeps its address against another process of
/// the same name that states a different one. Equals the time after which membership counts
/// a peer as dead.
const ADDRESS_HOLD_MS: u64 = 10_000;

/// Age of the last read of the registrations up to which their addresses take precedence.
/// After that, a registered address may belong to a process that has been replaced since.
/// Five reads fit into this time.
const REGISTERED_VALID_MS: u64 = 10_000;

/// Addresses of peers by instance name.
///
/// They come from the registrations in the store and, for processes whose registration could
/// not be read yet, from heartbeats and from other peers.
#[derive(Default)]
pub(super) struct Addresses {
    /// Addresses from the last read of the registrations.
    registered: BTreeMap<String, SocketAddr>,
    /// When the registrations were last read. `None` if they never were.
    registered_at_ms: Option<u64>,
    /// Addresses from heartbeats and from other peers, with the time at which they were last
    /// received.
    unregistered: BTreeMap<String, (SocketAddr, u64)>,
    /// The addresses that the last [`Addresses::update`] chose.
    in_use: BTreeMap<String, SocketAddr>,
}

impl Addresses {
    /// Whether the registrations were read since the process started.
    pub(super) fn has_registered(&self) -> bool {
        self.registered_at_ms.is_some()
    }

    /// The addresses that the peer network uses now.
    pub(super) fn in_use(&self) -> &BTreeMap<String, SocketAddr> {
        &self.in_use
    }

    /// Replaces the registered addresses.
    pub(super) fn set_registered(
        &mut self,
        now_ms: u64,
        registered: BTreeMap<String, SocketAddr>,
    ) {
        self.registered = registered;
        self.registered_at_ms = Some(now_ms);
    }

    /// Records the address that a peer states for itself in a heartbeat. A second process of
    /// the same name does not displace one that sends heartbeats, unless its own address is
    /// the registered one.
    pub(super) fn record_heartbeat(
        &mut self,
        now_ms: u64,
        name: &str,
        address: SocketAddr,
    ) {
        let is_registered = self.registered.get(name) == Some(&address);
        let is_held = self
            .unregistered
            .get(name)
            .is_some_and(|(known, received_ms)| {
                *known != address && now_ms < *received_ms + ADDRESS_HOLD_MS
            });
        if is_registered || !is_held {
            self.unregistered
                .insert(name.to_string(), (address, now_ms));
        }
    }

    /// Records an address that was learned from a seed or from another peer. Ignored if an
    /// address of the named peer is already in use.
    pub(super) fn record_discovered(
        &mut self,
        now_ms: u64,
        name: &str,
        address: SocketAddr,
    ) {
        if !self.in_use.contains_key(name) {
            self.unregistered
                .insert(name.to_string(), (address, now_ms));
        }
    }

    /// Chooses an address for each peer. Returns all addresses if one of them has changed
    /// since the last update.
    ///
    /// The registered address of a peer takes precedence while the registrations were read
    /// less than [`REGISTERED_VALID_MS`] ago; after that the other one does.
    pub(super) fn update(&mut self, now_ms: u64) -> Option<BTreeMap<String, SocketAddr>> {
        self.unregistered
            .retain(|_, (_, received_ms)| now_ms < *received_ms + UNREGISTERED_VALID_MS);
        let unregistered = self
            .unregistered
            .iter()
            .map(|(name, (address, _))| (name.clone(), *address));
        let registered = self.registered.iter().map(|(name, a)| (name.clone(), *a));
        let is_current = self
            .registered_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + REGISTERED_VALID_MS);
        // If a name occurs twice in the chain, the map keeps the later address.
        let addresses: BTreeMap<String, SocketAddr> = match is_current {
            true => unregistered.chain(registered).collect(),
            false => registered.chain(unregistered).collect(),
        };
        let changed = addresses != self.in_use;
        self.in_use = addresses.clone();
        changed.then_some(addresses)
    }
}
