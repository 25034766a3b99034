//! The table of an instance's peers, from heartbeats and registrations.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::Incarnation;

use crate::heartbeat::Heartbeat;
use crate::liveness::{Liveness, PeerHealth};
use crate::registrations::Registrations;

/// Time between two heartbeats to a peer.
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    availability_zone: String,
    health: PeerHealth,
    config_revision: u64,
}

/// The peers that one instance knows, and how to treat them.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Incarnation,
    availability_zone: String,
    /// Peers by instance name, without this instance.
    peers: BTreeMap<String, Peer>,
    registrations: Registrations,
    /// Names of the instances that the platform lists as leaving.
    listed_leaving: BTreeSet<String>,
    next_heartbeat_ms: u64,
}

impl Membership {
    /// Creates the table of an instance that knows no peers yet.
    pub fn new(own: Incarnation, availability_zone: impl Into<String>) -> Membership {
        Membership {
            own,
            availability_zone: availability_zone.into(),
            peers: BTreeMap::new(),
            registrations: Registrations::default(),
            listed_leaving: BTreeSet::new(),
            next_heartbeat_ms: 0,
        }
    }

    /// Records the registered processes with their availability zones, as read from the
    /// store by a request that was sent at `sent_at_ms`.
    pub fn record_registrations(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        registered: &[(Incarnation, String)],
    ) {
        let present = registered
            .iter()
            .map(|(incarnation, _)| (incarnation.instance.clone(), incarnation.clone()))
            .collect();
        self.registrations.read(sent_at_ms, present);
        for (incarnation, zone) in registered {
            self.add_peer(now_ms, incarnation, zone);
        }
        self.remove_gone_peers(now_ms);
    }

    /// Removes peers that are neither registered nor responding. A peer that responds
    /// stays, because the store may have lost its registration in an outage, or it may
    /// have started during the outage.
    fn remove_gone_peers(&mut self, now_ms: u64) {
        let present = self.registrations.present();
        self.peers.retain(|name, peer| {
            present.get(name) == Some(&peer.incarnation)
                || peer.health.liveness(now_ms) != Liveness::Dead
        });
    }

    /// Records a heartbeat or a response to one.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        let incarnation = &heartbeat.incarnation;
        self.add_peer(now_ms, incarnation, &heartbeat.availability_zone);
        match self.peers.get_mut(&incarnation.instance) {
            Some(peer) if peer.incarnation == *incarnation => {
                peer.health.record_heartbeat(now_ms, heartbeat.state);
                peer.config_revision =
                    peer.config_revision.max(heartbeat.config_revision);
            }
            // A heartbeat of another process with the same name is no sign of life of the
            // known one.
            _ => {}
        }
    }

    /// Replaces the platform's list of leaving instances. The list lags behind, so it
    /// only adds to what the instances announce themselves.
    pub fn set_listed_leaving(&mut self, names: BTreeSet<String>) {
        self.listed_leaving = names;
    }

    /// The names of the peers to send a heartbeat to now. Empty until the heartbeat
    /// interval is over.
    pub fn due_heartbeats(&mut self, now_ms: u64) -> Vec<String> {
        if now_ms < self.next_heartbeat_ms {
            return Vec::new();
        }
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        self.remove_gone_peers(now_ms);
        self.peers.keys().cloned().collect()
    }

    /// How to treat a process. An unknown one counts as dead.
    pub fn liveness(&self, now_ms: u64, incarnation: &Incarnation) -> Liveness {
        if *incarnation == self.own {
            return Liveness::Alive;
        }
        match self.peers.get(&incarnation.instance) {
            Some(peer) if peer.incarnation == *incarnation => {
                self.peer_liveness(now_ms, peer)
            }
            _ => Liveness::Dead,
        }
    }

    /// Names of all known peers, whether they respond or not.
    pub fn known_peers(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Names of the live peers, those in this instance's availability zone first.
    pub fn live_peers(&self, now_ms: u64) -> Vec<String> {
        let alive = |peer: &&Peer| self.peer_liveness(now_ms, peer) == Liveness::Alive;
        let live: Vec<&Peer> = self.peers.values().filter(alive).collect();
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = live
            .into_iter()
            .partition(|peer| peer.availability_zone == self.availability_zone);
        near.iter()
            .chain(&far)
            .map(|peer| peer.incarnation.instance.clone())
            .collect()
    }

    /// Names of the live and registered instances in an availability zone, this one
    /// included. If there are none in the zone, those of all zones. An instance that is
    /// not registered may have no view of the registrations and then does not look after
    /// any engine, so it is left out.
    pub fn live_in_zone(&self, now_ms: u64, availability_zone: &str) -> Vec<String> {
        let present = self.registrations.present();
        let alive = |peer: &&Peer| self.peer_liveness(now_ms, peer) == Liveness::Alive;
        let registered = |peer: &&Peer| {
            present.get(&peer.incarnation.instance) == Some(&peer.incarnation)
        };
        let live = self.peers.values().filter(alive).filter(registered);
        let own = (&self.own, &self.availability_zone);
        let all: Vec<_> = live
            .map(|peer| (&peer.incarnation, &peer.availability_zone))
            .chain([own])
            .collect();
        let near = all.iter().filter(|(_, zone)| *zone == availability_zone);
        let near: Vec<String> = near
            .map(|(incarnation, _)| incarnation.instance.clone())
            .collect();
        match near.is_empty() {
            true => all
                .iter()
                .map(|(incarnation, _)| incarnation.instance.clone())
                .collect(),
            false => near,
        }
    }

    /// The number of live instances, this one included, and the position of this one
    /// among their sorted names, from 0.
    pub fn position(&self, now_ms: u64) -> (u32, u32) {
        let peers = self.live_peers(now_ms);
        let own = &self.own.instance;
        let before = peers.iter().filter(|name| *name < own).count();
        let count = u32::try_from(peers.len()).unwrap_or(u32::MAX);
        (
            count.saturating_add(1),
            u32::try_from(before).unwrap_or(u32::MAX),
        )
    }

    /// The known process of an instance. `None` if the instance is unknown.
    pub fn incarnation(&self, instance: &str) -> Option<&Incarnation> {
        match self.peers.get(instance) {
            _ if instance == self.own.instance => Some(&self.own),
            peer => peer.map(|peer| &peer.incarnation),
        }
    }

    /// All known peers with their liveness and configuration revision, ordered by name.
    pub fn peers(&self, now_ms: u64) -> Vec<(Incarnation, Liveness, u64)> {
        self.peers
            .values()
            .map(|peer| {
                let liveness = self.peer_liveness(now_ms, peer);
                (peer.incarnation.clone(), liveness, peer.config_revision)
            })
            .collect()
    }

    /// The highest configuration revision that a known peer has reported, 0 without
    /// peers.
    pub fn newest_revision(&self) -> u64 {
        let revisions = self.peers.values().map(|peer| peer.config_revision);
        revisions.max().unwrap_or(0)
    }

    /// The registrations as last read.
    pub fn registrations(&self) -> &Registrations {
        &self.registrations
    }

    /// Adds a process as a peer unless it is known. A known process of the same instance
    /// is replaced only if [`Membership::may_replace`] allows it.
    fn add_peer(&mut self, now_ms: u64, incarnation: &Incarnation, zone: &str) {
        if incarnation.instance == self.own.instance {
            return;
        }
        match self.peers.get(&incarnation.instance) {
            Some(peer) if peer.incarnation == *incarnation => return,
            Some(peer) if !self.may_replace(now_ms, peer, incarnation) => return,
            _ => {}
        }
        let peer = Peer {
            incarnation: incarnation.clone(),
            availability_zone: zone.to_string(),
            health: PeerHealth::new(now_ms),
            config_revision: 0,
        };
        self.peers.insert(incarnation.instance.clone(), peer);
    }

    /// Whether a process may replace a known one with the same instance name.
    ///
    /// A process other than the registered one was either replaced and its message is
    /// late, or it uses the name by mistake. While the registrations cannot be read, it
    /// may also be the successor of a registered process that is dead.
    fn may_replace(&self, now_ms: u64, known: &Peer, incarnation: &Incarnation) -> bool {
        let registered = self.registrations.present().get(&incarnation.instance);
        match registered {
            Some(registered) if registered != incarnation => {
                !self.registrations.is_current(now_ms)
                    && known.health.liveness(now_ms) == Liveness::Dead
            }
            _ => true,
        }
    }

    /// The liveness of a peer with the platform's list of leaving instances taken into
    /// account.
    fn peer_liveness(&self, now_ms: u64, peer: &Peer) -> Liveness {
        match peer.health.liveness(now_ms) {
            Liveness::Alive if self.is_listed_leaving(peer) => Liveness::Leaving,
            liveness => liveness,
        }
    }

    fn is_listed_leaving(&self, peer: &Peer) -> bool {
        self.listed_leaving.contains(&peer.incarnation.instance)
    }
}
