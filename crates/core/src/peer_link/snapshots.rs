//! Passes the configuration between peers while the store does not answer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crossbeam::channel::Sender;
use jayreel_fleet::{FleetEvent, Input};
use jayreel_model::Configuration;
use jayreel_peer::{Heartbeat, HeartbeatState, MessageBody};
use jayreel_scheduler::Event;
use jayreel_store::ConfigurationFeed;

use crate::clock::Clock;
use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;

/// A peer is asked for its configuration when the store has not confirmed the own one for
/// this long. Longer than the interval of polls, 2 s.
const SNAPSHOT_AFTER_MS: u64 = 3_000;

/// Time between two requests for a snapshot.
const SNAPSHOT_INTERVAL_MS: u64 = 1_000;

/// What a peer last told of its configuration.
struct Told {
    revision: u64,
    /// When the store held nothing newer, by the own clock.
    contact_at_ms: u64,
}

/// Asks for, takes and gives configurations.
pub(super) struct Snapshots {
    clock: Clock,
    sender: PeerSender,
    feed: Arc<ConfigurationFeed>,
    events: Sender<RunnerEvent>,
    /// When a peer was last asked.
    asked_at_ms: AtomicU64,
    told: Mutex<BTreeMap<String, Told>>,
}

impl Snapshots {
    pub(super) fn new(
        clock: Clock,
        sender: PeerSender,
        feed: Arc<ConfigurationFeed>,
        events: Sender<RunnerEvent>,
    ) -> Snapshots {
        Snapshots {
            clock,
            sender,
            feed,
            events,
            asked_at_ms: AtomicU64::new(0),
            told: Mutex::new(BTreeMap::new()),
        }
    }

    /// Takes note of the revision and the store contact in a heartbeat, and asks the peer
    /// for its configuration if that is needed.
    pub(super) fn note_heartbeat(&self, from: &str, heartbeat: &Heartbeat) {
        let age_ms = heartbeat.store_contact_age_ms;
        let revision = heartbeat.config_revision;
        let behind = self.feed.note_peer(revision, age_ms);
        let contact_at_ms =
            age_ms.map(|age_ms| self.clock.now_ms().saturating_sub(age_ms));
        if let Some(contact_at_ms) = contact_at_ms {
            let told = Told {
                revision,
                contact_at_ms,
            };
            let mut peers = self.told.lock().unwrap_or_else(PoisonError::into_inner);
            peers.insert(from.to_string(), told);
        }
        let has_configuration = heartbeat.state != HeartbeatState::Starting;
        if behind && has_configuration && self.may_ask() {
            let current = self.feed.current();
            let newer_than_revision = current.map_or(0, |current| current.revision);
            let request = MessageBody::SnapshotRequest {
                newer_than_revision,
            };
            self.sender.send_body(from, request);
        }
    }

    /// The store tells of most changes soon. A snapshot is large, and each heartbeat of a
    /// peer that heard of the change first would bring one, so peers are asked only if the
    /// store does not answer, and one at a time.
    fn may_ask(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let age_ms = self.feed.store_contact_age_ms();
        let store_answers = age_ms.is_some_and(|age_ms| age_ms < SNAPSHOT_AFTER_MS);
        let last_ms = self.asked_at_ms.load(Ordering::Relaxed);
        if store_answers || now_ms < last_ms + SNAPSHOT_INTERVAL_MS {
            return false;
        }
        self.asked_at_ms.store(now_ms, Ordering::Relaxed);
        true
    }

    /// Takes the configuration of a peer.
    pub(super) fn take(&self, from: &str, body: &[u8]) {
        let configuration: Configuration = match serde_json::from_slice(body) {
            Ok(configuration) => configuration,
            Err(error) => return log::warn!("event=bad_snapshot error={error}"),
        };
        let age_ms = self.told_age_ms(from, configuration.revision);
        if self.feed.current().is_none() {
            // A configuration of unknown age could be years old, and offline_grace_s
            // would not end its use. The peer is asked again after its next heartbeat.
            let Some(age_ms) = age_ms else {
                return log::warn!("event=snapshot_of_unknown_age from={from}");
            };
            self.tell_contact(age_ms);
        }
        self.feed.offer_peer_snapshot(configuration, age_ms);
    }

    /// Gives the configuration to a peer, with the withdrawals that it does not show.
    pub(super) fn give(&self, to: &str, newer_than_revision: u64) {
        let Some(configuration) = self.feed.current() else {
            return;
        };
        if configuration.revision <= newer_than_revision {
            return;
        }
        let keys = self.feed.withdrawn_ahead();
        if !keys.is_empty() {
            self.sender.send_body(to, MessageBody::Withdrawals { keys });
        }
        if let Ok(body) = serde_json::to_vec(configuration.as_ref()) {
            let revision = configuration.revision;
            self.sender
                .send_body(to, MessageBody::Snapshot { revision, body });
        }
    }

    /// Age of the contact with the store that a peer had when the store held nothing newer
    /// than `revision`.
    fn told_age_ms(&self, from: &str, revision: u64) -> Option<u64> {
        let peers = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let told = peers.get(from).filter(|told| told.revision <= revision)?;
        Some(self.clock.now_ms().saturating_sub(told.contact_at_ms))
    }

    /// Tells the reducer of the contact before the configuration comes into force, so that
    /// no key is accepted after `offline_grace_s`.
    fn tell_contact(&self, age_ms: u64) {
        let inputs = [
            Input::Schedule(Event::StoreContact { age_ms }),
            Input::Fleet(FleetEvent::ContactAge(Some(age_ms))),
        ];
        for input in inputs {
            // The runner outlives this thread, so this fails only after a panic there.
            let _ = self.events.send(RunnerEvent::Reducer(input));
        }
    }
}
