//! Exchanges snapshots of the configuration with peers while the store does not respond.

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

/// A peer is asked for its configuration only if the last contact of the configuration feed
/// with the store is at least this old. Longer than the polling interval of the feed, 2 s.
const STORE_SILENCE_MS: u64 = 3_000;

/// Shortest time between two requests for a snapshot, to any peer.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// The configuration of a peer according to its last heartbeat that stated an age of its
/// store contact.
struct PeerRevision {
    revision: u64,
    /// When the peer last had contact with the store, which then held no newer revision. By
    /// the clock of this instance.
    contact_at_ms: u64,
}

/// Requests, applies and sends snapshots of the configuration.
pub(super) struct Snapshots {
    clock: Clock,
    sender: PeerSender,
    feed: Arc<ConfigurationFeed>,
    events: Sender<RunnerEvent>,
    /// When a snapshot was last requested.
    requested_at_ms: AtomicU64,
    /// By instance name of the peer.
    peer_revisions: Mutex<BTreeMap<String, PeerRevision>>,
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
            requested_at_ms: AtomicU64::new(0),
            peer_revisions: Mutex::new(BTreeMap::new()),
        }
    }

    /// Records the revision and the age of the store contact in a heartbeat. Requests a
    /// snapshot from the peer if its configuration is newer and [`Snapshots::may_request`]
    /// allows it.
    pub(super) fn observe_heartbeat(&self, from: &str, heartbeat: &Heartbeat) {
        let age_ms = heartbeat.store_contact_age_ms;
        let revision = heartbeat.config_revision;
        let is_behind = self.feed.note_peer_revision(revision, age_ms);
        let contact_at_ms =
            age_ms.map(|age_ms| self.clock.now_ms().saturating_sub(age_ms));
        if let Some(contact_at_ms) = contact_at_ms {
            let reported = PeerRevision {
                revision,
                contact_at_ms,
            };
            let mut peers = self
                .peer_revisions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            peers.insert(from.to_string(), reported);
        }
        let has_configuration = heartbeat.state != HeartbeatState::Starting;
        if is_behind && has_configuration && self.may_request() {
            let current = self.feed.current();
            let newer_than_revision = current.map_or(0, |current| current.revision);
            let request = MessageBody::SnapshotRequest {
                newer_than_revision,
            };
            self.sender.send_body(from, request);
        }
    }

    /// Whether a snapshot may be requested now. If so, records a request.
    ///
    /// Most changes soon arrive from the store. A snapshot is large, and without this check
    /// each heartbeat of a peer that received a change earlier would cause one. Snapshots are
    /// therefore requested only if the store does not respond, and from one peer at a time.
    fn may_request(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let age_ms = self.feed.store_contact_age_ms();
        let store_responds = age_ms.is_some_and(|age_ms| age_ms < STORE_SILENCE_MS);
        let last_ms = self.requested_at_ms.load(Ordering::Relaxed);
        if store_responds || now_ms < last_ms + REQUEST_INTERVAL_MS {
            return false;
        }
        self.requested_at_ms.store(now_ms, Ordering::Relaxed);
        true
    }

    /// Applies the snapshot that a peer has sent.
    pub(super) fn apply(&self, from: &str, body: &[u8]) {
        let configuration: Configuration = match serde_json::from_slice(body) {
            Ok(configuration) => configuration,
            Err(error) => return log::warn!("event=bad_snapshot error={error}"),
        };
        let age_ms = self.snapshot_age_ms(from, configuration.revision);
        if self.feed.current().is_none() {
            // A configuration of unknown age could be years old, and `offline_grace_s`
            // would not limit its use. The peer's next heartbeat causes a new request.
            let Some(age_ms) = age_ms else {
                return log::warn!("event=snapshot_of_unknown_age from={from}");
            };
            self.send_store_contact(age_ms);
        }
        self.feed.offer_peer_snapshot(configuration, age_ms);
    }

    /// Sends the configuration to a peer if it is newer than the peer's. Withdrawn keys that
    /// the configuration does not show as withdrawn yet are sent before it.
    pub(super) fn send(&self, to: &str, newer_than_revision: u64) {
        let Some(configuration) = self.feed.current() else {
            return;
        };
        if configuration.revision <= newer_than_revision {
            return;
        }
        let keys = self.feed.withdrawn_without_record();
        if !keys.is_empty() {
            self.sender.send_body(to, MessageBody::Withdrawals { keys });
        }
        if let Ok(body) = serde_json::to_vec(configuration.as_ref()) {
            let revision = configuration.revision;
            self.sender
                .send_body(to, MessageBody::Snapshot { revision, body });
        }
    }

    /// Age of a peer's last contact with the store at which the store held nothing newer than
    /// `revision`. `None` if no such contact is known, in particular if the peer has since
    /// reported a newer revision.
    fn snapshot_age_ms(&self, from: &str, revision: u64) -> Option<u64> {
        let peers = self
            .peer_revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let reported = peers
            .get(from)
            .filter(|reported| reported.revision <= revision)?;
        Some(self.clock.now_ms().saturating_sub(reported.contact_at_ms))
    }

    /// Reports the age of the store contact to the reducer. Done before the configuration is
    /// applied, so that no key is accepted later than `offline_grace_s` after that contact.
    fn send_store_contact(&self, age_ms: u64) {
        let inputs = [
            Input::Schedule(Event::StoreContact { age_ms }),
            Input::Fleet(FleetEvent::StoreContactAge(Some(age_ms))),
        ];
        for input in inputs {
            // The runner outlives this thread, so this fails only after a panic in the runner.
            let _ = self.events.send(RunnerEvent::Reducer(input));
        }
    }
}
