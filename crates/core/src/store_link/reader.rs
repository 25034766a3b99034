//! Reads what all instances share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use jayreel_fleet::{FleetEvent, Input, Registered};
use jayreel_model::Incarnation;
use jayreel_quota::home_weights::HomeRecord;
use jayreel_scheduler::Event;
use jayreel_store::{ConfigurationFeed, Registration, home_record, registrations};

use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;
use crate::store_link::Context;
use crate::store_link::writer::report_own_successor;

/// Time between two reads of the registrations and the home weights. Two reads fit into
/// the 5 s that count as uninterrupted contact.
const READ_INTERVAL_MS: u64 = 2_000;

/// Time between two looks at the own registration and the feed. These are local.
const LOCAL_INTERVAL_MS: u64 = 200;

/// After this time without a renewal of the registration the own takeover record is read.
/// A takeover needs the lease to end and 5 s more, and no lease is shorter than 1 s.
const SUCCESSOR_CHECK_MS: u64 = 5_000;

/// Reads until it is stopped.
pub(super) struct Reader {
    pub(super) context: Context,
    pub(super) registration: Arc<Registration>,
    pub(super) feed: Arc<ConfigurationFeed>,
    pub(super) peers: PeerSender,
    pub(super) own: Incarnation,
    pub(super) stopped: Arc<AtomicBool>,
    pub(super) renewed_at_ms: Option<u64>,
}

impl Reader {
    /// Reads at a fixed interval, and at once when asked to.
    pub(super) fn run(mut self, requests: &Receiver<()>) {
        let mut next_read_ms = 0;
        let interval = Duration::from_millis(LOCAL_INTERVAL_MS);
        while !self.stopped.load(Ordering::SeqCst) {
            let now_ms = self.context.clock.now_ms();
            if now_ms >= next_read_ms {
                next_read_ms = now_ms + READ_INTERVAL_MS;
                self.read_registrations();
                self.read_home();
            }
            self.tell_local_state();
            if requests.recv_timeout(interval).is_ok() {
                next_read_ms = 0;
                thread::sleep(interval);
            }
        }
    }

    fn tell_local_state(&mut self) {
        let now_ms = self.context.clock.now_ms();
        let age_ms = self.feed.store_contact_age_ms();
        self.context.send(FleetEvent::ContactAge(age_ms));
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
                if self.renewed_at_ms.is_none_or(|last| last < sent_at_ms) =>
            {
                self.check_own_successor(sent_at_ms);
                self.renewed_at_ms = Some(sent_at_ms);
                self.context
                    .send(FleetEvent::RegistrationRenewed { sent_at_ms });
            }
            _ => {}
        }
    }

    /// After a time without renewals another process may have taken over the programs.
    fn check_own_successor(&self, sent_at_ms: u64) {
        let gap_ms = self
            .renewed_at_ms
            .map_or(0, |last| sent_at_ms.saturating_sub(last));
        if gap_ms >= SUCCESSOR_CHECK_MS {
            report_own_successor(&self.context, &self.own);
        }
    }

    fn read_registrations(&self) {
        let sent_at_ms = self.context.clock.now_ms();
        match registrations::<Registered>(self.context.store.as_ref()) {
            Ok(entries) => {
                let own_entry = entries
                    .iter()
                    .find(|entry| entry.record.value.incarnation == self.own);
                let own_lease = own_entry.and_then(|entry| entry.lease);
                let registered: Vec<Registered> = entries
                    .into_iter()
                    .map(|entry| entry.record.value)
                    .collect();
                self.set_peers(&registered);
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

    fn set_peers(&self, registered: &[Registered]) {
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

    fn read_home(&self) {
        read_home(&self.context);
    }
}

/// Reads the home weights.
pub(super) fn read_home(context: &Context) {
    let sent_at_ms = context.clock.now_ms();
    match home_record::<HomeRecord>(&context.store).read() {
        Ok(found) => {
            let version = found.as_ref().map_or(0, |found| found.version);
            let record = found.map(|found| found.value).unwrap_or_default();
            context.send(FleetEvent::HomeRead {
                sent_at_ms,
                record,
                version,
            });
        }
        Err(error) => log::warn!("event=home_unread error={error:?}"),
    }
}
