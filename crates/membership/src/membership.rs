//! The peers of one instance.

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

/// The peers of one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Incarnation,
    availability_zone: String,
    /// By instance name. Does not hold the own instance.
    peers: BTreeMap<String, Peer>,
    registrations: Registrations,
    /// Names of leaving instances, by the platform's list.
    listed_leaving: BTreeSet<String>,
    next_heartbeat_ms: u64,
}

impl Membership {
    /// An instance that knows no peers.
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

    /// Takes note of the registered processes with their zones, as read from the store by
    /// a request sent at `sent_at_ms`.
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
            self.add(now_ms, incarnation, zone);
        }
        self.forget_gone(now_ms);
    }

    /// Forgets processes that are neither registered nor heard of. One that still answers
    /// stays, because the store may have lost its registration in an outage, or it started
    /// during the outage.
    fn forget_gone(&mut self, now_ms: u64) {
        let present = self.registrations.present();
        self.peers.retain(|name, peer| {
            present.get(name) == Some(&peer.incarnation)
                || peer.health.liveness(now_ms) != Liveness::Dead
        });
    }

    /// Takes note of a heartbeat, or of an answer to one.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        let incarnation = &heartbeat.incarnation;
        self.add(now_ms, incarnation, &heartbeat.availability_zone);
        match self.peers.get_mut(&incarnation.instance) {
            Some(peer) if peer.incarnation == *incarnation => {
                peer.health.heard(now_ms, heartbeat.state);
                peer.config_revision =
                    peer.config_revision.max(heartbeat.config_revision);
            }
            // What another process of the name says does not tell that this one lives.
            _ => {}
        }
    }

    /// Takes over the platform's list of leaving instances. The list lags, so it only adds
    /// to what the instances say themselves.
    pub fn set_listed_leaving(&mut self, names: BTreeSet<String>) {
        self.listed_leaving = names;
    }

    /// The peers to send a heartbeat to, if it is time for the next ones.
    pub fn due_heartbeats(&mut self, now_ms: u64) -> Vec<String> {
        if now_ms < self.next_heartbeat_ms {
            return Vec::new();
        }
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        self.forget_gone(now_ms);
        self.peers.keys().cloned().collect()
    }

    /// How a process is to be treated. One that is not known counts as dead.
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

    /// Names of all peers, whether they answer or not.
    pub fn known_peers(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Names of live peers, those of the own availability zone first.
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

    /// Names of live and registered instances of an availability zone, this one included.
    /// All of them if there is none in the zone. An instance that is not registered may
    /// have no view of the registrations, so nothing is left to its care.
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
        let near: Vec<String> = near.map(|(one, _)| one.instance.clone()).collect();
        match near.is_empty() {
            true => all.iter().map(|(one, _)| one.instance.clone()).collect(),
            false => near,
        }
    }

    /// Number of live instances and the position of this one among their sorted names.
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

    /// The current process of an instance.
    pub fn incarnation(&self, instance: &str) -> Option<&Incarnation> {
        match self.peers.get(instance) {
            _ if instance == self.own.instance => Some(&self.own),
            peer => peer.map(|peer| &peer.incarnation),
        }
    }

    /// All peers with their liveness and configuration revision, by name.
    pub fn peers(&self, now_ms: u64) -> Vec<(Incarnation, Liveness, u64)> {
        self.peers
            .values()
            .map(|peer| {
                let liveness = self.peer_liveness(now_ms, peer);
                (peer.incarnation.clone(), liveness, peer.config_revision)
            })
            .collect()
    }

    /// The highest configuration revision that a peer has told, 0 without peers.
    pub fn newest_revision(&self) -> u64 {
        let revisions = self.peers.values().map(|peer| peer.config_revision);
        revisions.max().unwrap_or(0)
    }

    /// The registrations as last read.
    pub fn registrations(&self) -> &Registrations {
        &self.registrations
    }

    fn add(&mut self, now_ms: u64, incarnation: &Incarnation, zone: &str) {
        if incarnation.instance == self.own.instance {
            return;
        }
        match self.peers.get(&incarnation.instance) {
            Some(peer) if peer.incarnation == *incarnation => return,
            Some(peer) if !self.may_follow(now_ms, peer, incarnation) => return,
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

    /// Whether a process may take the place of a known one of the same name.
    ///
    /// Another one than the registered process is one that was replaced and whose message
    /// is late, or has the name by mistake. While the registrations cannot be read it may
    /// also be the successor of a registered process that is dead.
    fn may_follow(&self, now_ms: u64, known: &Peer, incarnation: &Incarnation) -> bool {
        let registered = self.registrations.present().get(&incarnation.instance);
        match registered {
            Some(registered) if registered != incarnation => {
                !self.registrations.is_current(now_ms)
                    && known.health.liveness(now_ms) == Liveness::Dead
            }
            _ => true,
        }
    }

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
