//! The instance's home share of all customers' rates.

use std::collections::BTreeMap;

use jayreel_membership::Liveness;
use jayreel_model::Incarnation;
use jayreel_quota::home_weights::{
    AbsenceTracker, HomeOwner, HomeRecord, HomeStep, HomeView, plan,
};

use crate::event::FleetEffect;
use crate::fleet::Fleet;

/// What is known of the home weights in the store.
#[derive(Debug, Default)]
pub(crate) struct HomeShare {
    /// The newest record with its version. `None` until it was read.
    read: Option<(HomeRecord, u64)>,
    /// The version on which the last write was based, whatever its outcome.
    last_write_on: Option<u64>,
    /// A write was asked for, and the record was not read since.
    writing: bool,
    absence: AbsenceTracker,
    registered: BTreeMap<String, Incarnation>,
    /// The lease of the own registration in the last read.
    pub(crate) own_lease: Option<i64>,
    /// When the last read of the registrations was sent.
    registered_at_ms: Option<u64>,
    /// When the last successful renewal of the own registration was sent.
    renewed_at_ms: Option<u64>,
    stopping: bool,
}

impl Fleet {
    /// Takes note of the record.
    pub(crate) fn home_read(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        record: HomeRecord,
        version: u64,
    ) {
        let is_older = self
            .home
            .read
            .as_ref()
            .is_some_and(|(_, known)| version < *known);
        if is_older {
            return;
        }
        let registered = &self.home.registered;
        self.home.absence.observe(sent_at_ms, &record, registered);
        self.home.read = Some((record, version));
        self.home.writing = false;
        self.update_keyed();
        self.plan_home(now_ms);
    }

    /// The other registered processes that are not leaving.
    pub(crate) fn registered_peers(&self) -> BTreeMap<String, Incarnation> {
        let mut peers = self.home.registered.clone();
        peers.remove(&self.settings.own.instance);
        peers
    }

    /// Takes note of the outcome of a write. Whoever replaced version 0 created the record.
    pub(crate) fn home_written(&mut self, version: u64, accepted: bool) {
        if accepted && version == 0 {
            self.keyed.assume_founder();
        }
    }

    /// Takes note of the registered instances that are not leaving, as read by a request
    /// sent at `sent_at_ms`.
    pub(crate) fn home_registrations(
        &mut self,
        sent_at_ms: u64,
        registered: BTreeMap<String, Incarnation>,
    ) {
        self.home.registered = registered;
        self.home.registered_at_ms = Some(sent_at_ms);
        self.update_keyed();
    }

    /// Tells which instances are responsible for idempotency keys without a program: the
    /// founder of the fleet while it is registered, because it remembers all keys, else
    /// all registered ones.
    fn update_keyed(&mut self) {
        let (Some((record, 1..)), Some(sent_at_ms)) =
            (&self.home.read, self.home.registered_at_ms)
        else {
            return;
        };
        let registered = &self.home.registered;
        let founder = record
            .founder
            .as_ref()
            .filter(|founder| registered.get(&founder.instance) == Some(founder));
        let processes = match founder {
            Some(founder) => {
                BTreeMap::from([(founder.instance.clone(), founder.clone())])
            }
            None => registered.clone(),
        };
        let own_lease = self.home.own_lease;
        self.keyed
            .registrations_read(sent_at_ms, processes, own_lease);
    }

    /// The home share may be used for one more term.
    pub(crate) fn registration_renewed(&mut self, now_ms: u64, sent_at_ms: u64) {
        self.home.renewed_at_ms = self.home.renewed_at_ms.max(Some(sent_at_ms));
        if let Some(until_ms) = self.home_valid_until_ms() {
            // After a lapse the weight may have been reclaimed: only a record that is read
            // from now on tells what this process still has.
            if !self.quota.renew_home(now_ms, until_ms) {
                self.home.read = None;
                self.home.last_write_on = None;
            }
        }
    }

    /// Whether a live peer holds a home weight by the record as last read.
    pub(crate) fn has_live_holder(&self, now_ms: u64) -> bool {
        let Some((record, _)) = &self.home.read else {
            return false;
        };
        let own = &self.settings.own;
        let mut peers = record.weights.values().map(|entry| &entry.incarnation);
        peers.any(|peer| {
            peer != own && self.membership.liveness(now_ms, peer) == Liveness::Alive
        })
    }

    /// Begins to give the home share back.
    pub(crate) fn stop_home(&mut self) {
        self.home.stopping = true;
    }

    /// Whether the planned stop has given the home share back.
    pub(crate) fn home_released(&self) -> bool {
        let name = &self.settings.own.instance;
        let record = self.home.read.as_ref();
        record.is_none_or(|(record, _)| record.weight_ppm(name) == 0)
    }

    /// Does the next step towards an even share.
    pub(crate) fn plan_home(&mut self, now_ms: u64) {
        let Some(valid_until_ms) = self.home_valid_until_ms() else {
            return;
        };
        let Some((record, version)) = self.home.read.clone() else {
            return;
        };
        let name = &self.settings.own.instance;
        let registered = self.home.registered.contains_key(name);
        if self.home.writing || !(registered || self.home.stopping) {
            return;
        }
        let owner = HomeOwner {
            incarnation: self.settings.own.clone(),
            address: self.settings.peer_address.clone(),
        };
        // A step that changes only local state is followed by another one.
        for _ in 0..2 {
            let step = plan(&HomeView {
                own: &owner,
                record: &record,
                revision: version,
                last_write_on: self.home.last_write_on,
                live: &self.home.registered,
                reclaimable: &self.home.absence.reclaimable(self.settings.home_term_ms),
                held_ppm: self.quota.home_weight_ppm(now_ms),
                in_force_ppm: self.quota.home_in_force_ppm(now_ms),
                within_home_weight: self.quota.is_within_home_weight(now_ms),
                stopping: self.home.stopping,
            });
            match step {
                HomeStep::Wait => return,
                HomeStep::Use {
                    weight_ppm,
                    settled_ppm,
                } => self.quota.set_settled_home_weight(
                    now_ms,
                    weight_ppm,
                    settled_ppm,
                    valid_until_ms,
                ),
                HomeStep::Write {
                    record,
                    requires_absent,
                } => {
                    self.write_home(record, version, requires_absent);
                    return;
                }
            }
        }
    }

    fn write_home(
        &mut self,
        record: HomeRecord,
        version: u64,
        requires_absent: Vec<String>,
    ) {
        self.home.last_write_on = Some(version);
        self.home.writing = true;
        self.effects.push(FleetEffect::WriteHomeWeights {
            record,
            version,
            requires_absent,
        });
    }

    fn home_valid_until_ms(&self) -> Option<u64> {
        let renewed_at_ms = self.home.renewed_at_ms?;
        Some(renewed_at_ms + self.settings.home_term_ms)
    }
}
