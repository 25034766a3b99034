//! Reads the records that all instances share: registrations and home weights.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use jayreel_fleet::{FleetEvent, Input, RegisteredInstance};
use jayreel_model::Incarnation;
use jayreel_quota::home_weights::HomeRecord;
use jayreel_scheduler::Event;
use jayreel_store::{
    ConfigurationFeed, Registration, home_weights_record, registrations,
};

use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;
use crate::store_link::Context;
use crate::store_link::writer::report_own_successor;

/// Interval at which the registrations and the home weights are read. Two reads fit into the
/// 5 s up to which contact with the store counts as uninterrupted.
const READ_INTERVAL_MS: u64 = 2_000;

/// Interval at which the state of the own registration and of the configuration feed is sent
/// to the reducer. Reading it needs no request to the store.
const LOCAL_STATE_INTERVAL_MS: u64 = 200;

/// If the registration was not renewed for this long, the own takeover record is read when it
/// is renewed again. Another process can take over at the earliest 5 s after the lease has
/// expired, and no lease is shorter than 1 s, so a shorter gap cannot hide a takeover.
const SUCCESSOR_CHECK_GAP_MS: u64 = 5_000;

/// The reading thread.
pub(super) struct StoreReader {
    pub(super) context: Context,
    pub(super) registration: Arc<Registration>,
    pub(super) feed: Arc<ConfigurationFeed>,
    /// Receives the addresses of the registered peers.
    pub(super) peers: PeerSender,
    pub(super) own: Incarnation,
    pub(super) stopped: Arc<AtomicBool>,
    /// When the last renewal that was reported to the reducer was sent.
    pub(super) last_renewal_ms: Option<u64>,
    /// The registered processes of the last read.
    pub(super) last_registered: Vec<Incarnation>,
}

impl StoreReader {
    /// Reads every [`READ_INTERVAL_MS`], and earlier when a read is requested, until `stopped`
    /// is set.
    pub(super) fn run(mut self, read_requests: &Receiver<()>) {
        let mut next_read_ms = 0;
        let interval = Duration::from_millis(LOCAL_STATE_INTERVAL_MS);
        while !self.stopped.load(Ordering::SeqCst) {
            let now_ms = self.context.clock.now_ms();
            if now_ms >= next_read_ms {
                next_read_ms = now_ms + READ_INTERVAL_MS;
                self.read_registrations();
                read_home_weights(&self.context);
            }
            self.send_local_state();
            if read_requests.recv_timeout(interval).is_ok() {
                next_read_ms = 0;
                thread::sleep(interval);
            }
        }
    }

    /// Sends the reducer the age of the last contact with the store and any new renewal of the
    /// registration.
    fn send_local_state(&mut self) {
        let now_ms = self.context.clock.now_ms();
        let age_ms = self.feed.store_contact_age_ms();
        self.context.send(FleetEvent::StoreContactAge(age_ms));
        if let Some(age_ms) = age_ms {
            let event = Event::StoreContact { age_ms };
            let _ = self
                .context
                .events
                .send(RunnerEvent::Reducer(Input::Schedule(event)));
        }
        let renewed_at_ms = self
            .registration
            .renewal_age_ms()
            .map(|age_ms| now_ms.saturating_sub(age_ms));
        match renewed_at_ms {
            Some(sent_at_ms)
                if self.last_renewal_ms.is_none_or(|last| last < sent_at_ms) =>
            {
                self.check_own_successor(sent_at_ms);
                self.last_renewal_ms = Some(sent_at_ms);
                self.context
                    .send(FleetEvent::RegistrationRenewed { sent_at_ms });
            }
            _ => {}
        }
    }

    /// Reads the own takeover record if the registration was not renewed for so long that
    /// another process may have taken over the programs.
    fn check_own_successor(&self, sent_at_ms: u64) {
        let gap_ms = self
            .last_renewal_ms
            .map_or(0, |last| sent_at_ms.saturating_sub(last));
        if gap_ms >= SUCCESSOR_CHECK_GAP_MS {
            report_own_successor(&self.context, &self.own);
        }
    }

    fn read_registrations(&mut self) {
        let sent_at_ms = self.context.clock.now_ms();
        match registrations::<RegisteredInstance>(self.context.store.as_ref()) {
            Ok(entries) => {
                let own_entry = entries
                    .iter()
                    .find(|entry| entry.record.value.incarnation == self.own);
                let own_lease = own_entry.and_then(|entry| entry.lease);
                let registered: Vec<RegisteredInstance> = entries
                    .into_iter()
                    .map(|entry| entry.record.value)
                    .collect();
                self.log_change(sent_at_ms, &registered);
                self.update_peer_addresses(&registered);
                let event = FleetEvent::RegistrationsRead {
                    sent_at_ms,
                    registered,
                    own_lease: own_lease.map(|lease| lease.0),
                };
                self.context.send(event);
            }
            Err(error) => log::warn!("event=registrations_unread error={error:?}"),
        }
    }

    /// Logs the registered processes if they differ from those of the last read.
    fn log_change(&mut self, sent_at_ms: u64, registered: &[RegisteredInstance]) {
        let entries = registered.iter();
        let incarnations: Vec<Incarnation> =
            entries.map(|entry| entry.incarnation.clone()).collect();
        if incarnations == self.last_registered {
            return;
        }
        let names: Vec<String> = incarnations.iter().map(ToString::to_string).collect();
        let names = names.join(",");
        log::info!("event=registrations_read sent_at_ms={sent_at_ms} registered={names}");
        self.last_registered = incarnations;
    }

    /// Passes the addresses of all other registered instances to the peer network.
    fn update_peer_addresses(&self, registered: &[RegisteredInstance]) {
        let others = registered
            .iter()
            .filter(|entry| entry.incarnation.instance != self.own.instance);
        let peers: BTreeMap<_, _> = others
            .filter_map(|entry| {
                let address = entry.peer_address.parse().ok()?;
                Some((entry.incarnation.instance.clone(), address))
            })
            .collect();
        let now_ms = self.context.clock.now_ms();
        self.peers.set_registered(now_ms, peers);
    }
}

/// Reads the home weights of all instances and sends them to the reducer.
pub(super) fn read_home_weights(context: &Context) {
    let sent_at_ms = context.clock.now_ms();
    match home_weights_record::<HomeRecord>(&context.store).read() {
        Ok(found) => {
            let version = found.as_ref().map_or(0, |found| found.version);
            let record = found.map(|found| found.value).unwrap_or_default();
            context.send(FleetEvent::HomeWeightsRead {
                sent_at_ms,
                record,
                version,
            });
        }
        Err(error) => log::warn!("event=home_unread error={error:?}"),
    }
}
