//! The home share: the part of every customer's rate that this instance may use by the
//! record of home weights in the store. Each instance moves towards an even share by
//! rewriting that record.

use std::collections::BTreeMap;

use jayreel_membership::Liveness;
use jayreel_model::Incarnation;
use jayreel_quota::home_weights::{
    AbsenceTracker, HomeOwner, HomeRecord, HomeStep, HomeView, plan,
};

use crate::event::FleetEffect;
use crate::fleet::FleetState;

/// What this instance knows of the home weights in the store, and of its own writes to
/// them.
#[derive(Debug, Default)]
pub(crate) struct HomeShare {
    /// The newest record that was read, with its version. `None` before the first read and
    /// after a lapse of the home share.
    latest_record: Option<(HomeRecord, u64)>,
    /// The founder that the record names, and when a record first named it. The founder was
    /// registered before it created the record.
    founder: Option<(Incarnation, u64)>,
    /// The version on which the last write was based, whatever its outcome. `None` if there
    /// was no write since the start or since a lapse of the home share.
    last_write_on: Option<u64>,
    /// Whether a write was requested and the record has not been read since.
    write_in_flight: bool,
    /// Finds holders that have been gone for so long that their weight can be reclaimed.
    absence: AbsenceTracker,
    /// Registered instances that are not leaving, by name.
    registered: BTreeMap<String, Incarnation>,
    /// Lease of the own registration in the last read. `None` if it was not registered.
    pub(crate) own_lease: Option<i64>,
    /// When the last read of the registrations was sent.
    registered_at_ms: Option<u64>,
    /// When the last successful renewal of the own registration was sent.
    renewed_at_ms: Option<u64>,
    /// Whether a planned stop is giving up the home share.
    stopping: bool,
}

impl FleetState {
    /// Handles a read of the record, which was sent at `sent_at_ms`. Ignores it if a newer
    /// version is known.
    pub(crate) fn home_weights_read(
        &mut self,
        now_ms: u64,
        sent_at_ms: u64,
        record: HomeRecord,
        version: u64,
    ) {
        let is_older = self
            .home
            .latest_record
            .as_ref()
            .is_some_and(|(_, known)| version < *known);
        if is_older {
            return;
        }
        let registered = &self.home.registered;
        self.home.absence.observe(sent_at_ms, &record, registered);
        let known_founder = self.home.founder.as_ref().map(|(founder, _)| founder);
        if known_founder != record.founder.as_ref() {
            let founder = record.founder.clone();
            self.home.founder = founder.map(|founder| (founder, now_ms));
        }
        self.home.latest_record = Some((record, version));
        self.home.write_in_flight = false;
        self.update_keyed_responsibility();
        self.update_home_share(now_ms);
    }

    /// The other registered processes that are not leaving, by instance name.
    pub(crate) fn registered_peers(&self) -> BTreeMap<String, Incarnation> {
        let mut peers = self.home.registered.clone();
        peers.remove(&self.settings.own.instance);
        peers
    }

    /// Handles the outcome of a write. The process whose write replaced version 0 has
    /// created the record, so no process of the fleet ran before it.
    pub(crate) fn home_weights_written(&mut self, version: u64, accepted: bool) {
        if accepted && version == 0 {
            self.keyed.assume_founder();
        }
    }

    /// Sets the registered instances that are not leaving, as read by a request sent at
    /// `sent_at_ms`.
    pub(crate) fn set_home_registrations(
        &mut self,
        sent_at_ms: u64,
        registered: BTreeMap<String, Incarnation>,
    ) {
        self.home.registered = registered;
        self.home.registered_at_ms = Some(sent_at_ms);
        self.update_keyed_responsibility();
    }

    /// Updates which instances are responsible for idempotency keys of calls without a
    /// program. That is the process that created the home record, while it is registered,
    /// because it knows all keys; otherwise all registered instances.
    ///
    /// The founder was registered before it created the record. If the registrations were
    /// read before the record and lack it, it may have registered, or left, around that
    /// read. A process that has just started then takes it for registered, so that it can
    /// use the keys that the founder hands over. Later ones wait for the next read.
    fn update_keyed_responsibility(&mut self) {
        let (Some((_, 1..)), Some(sent_at_ms)) =
            (&self.home.latest_record, self.home.registered_at_ms)
        else {
            return;
        };
        let registered = &self.home.registered;
        let is_registered =
            |founder: &Incarnation| registered.get(&founder.instance) == Some(founder);
        let processes = match &self.home.founder {
            Some((founder, _)) if is_registered(founder) => founder_only(founder),
            Some((founder, named_at_ms)) if sent_at_ms <= *named_at_ms => {
                match self.is_starting(*named_at_ms) {
                    true => founder_only(founder),
                    false => return,
                }
            }
            _ => registered.clone(),
        };
        let own_lease = self.home.own_lease;
        self.keyed
            .registrations_read(sent_at_ms, processes, own_lease);
    }

    /// Whether this process had just started at `at_ms`. No other process can have become
    /// responsible for keys and settled since its start.
    fn is_starting(&self, at_ms: u64) -> bool {
        let started_ms = self.started_ms.unwrap_or(at_ms);
        at_ms.saturating_sub(started_ms) <= self.settings.registration_freshness_ms
    }

    /// Extends the validity of the home share to one term after the renewal of the own
    /// registration, which was sent at `sent_at_ms`.
    pub(crate) fn registration_renewed(&mut self, now_ms: u64, sent_at_ms: u64) {
        self.home.renewed_at_ms = self.home.renewed_at_ms.max(Some(sent_at_ms));
        if let Some(until_ms) = self.home_share_valid_until_ms() {
            // The home share had lapsed, and its weight may have been reclaimed since. Only
            // a record that is read from now on shows what this process still holds.
            if !self.quota.renew_home(now_ms, until_ms) {
                self.home.latest_record = None;
                self.home.last_write_on = None;
            }
        }
    }

    /// Whether a live peer holds a home weight by the newest record that was read.
    pub(crate) fn has_live_holder(&self, now_ms: u64) -> bool {
        let Some((record, _)) = &self.home.latest_record else {
            return false;
        };
        let own = &self.settings.own;
        let mut peers = record.weights.values().map(|entry| &entry.incarnation);
        peers.any(|peer| {
            peer != own && self.membership.liveness(now_ms, peer) == Liveness::Alive
        })
    }

    /// Makes the following calls of [`FleetState::update_home_share`] give up the home
    /// share.
    pub(crate) fn release_home_share(&mut self) {
        self.home.stopping = true;
    }

    /// Whether this instance holds no home weight by the newest record that was read, or no
    /// record is known.
    pub(crate) fn is_home_share_released(&self) -> bool {
        let name = &self.settings.own.instance;
        let record = self.home.latest_record.as_ref();
        record.is_none_or(|(record, _)| record.weight_ppm(name) == 0)
    }

    /// Takes the next step towards an even share, or during a planned stop towards none:
    /// puts a weight that was read in force, or writes a changed record.
    pub(crate) fn update_home_share(&mut self, now_ms: u64) {
        let Some(valid_until_ms) = self.home_share_valid_until_ms() else {
            return;
        };
        let Some((record, version)) = self.home.latest_record.clone() else {
            return;
        };
        let name = &self.settings.own.instance;
        let registered = self.home.registered.contains_key(name);
        if self.home.write_in_flight || !(registered || self.home.stopping) {
            return;
        }
        let owner = HomeOwner {
            incarnation: self.settings.own.clone(),
            address: self.settings.peer_address.clone(),
        };
        // A step that only puts a weight in force may be followed by a write.
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
                    self.write_home_weights(record, version, requires_absent);
                    return;
                }
            }
        }
    }

    fn write_home_weights(
        &mut self,
        record: HomeRecord,
        version: u64,
        requires_absent: Vec<String>,
    ) {
        self.home.last_write_on = Some(version);
        self.home.write_in_flight = true;
        self.effects.push(FleetEffect::WriteHomeWeights {
            record,
            version,
            requires_absent,
        });
    }

    /// When the home share expires unless the registration is renewed again. `None` before
    /// the first renewal.
    fn home_share_valid_until_ms(&self) -> Option<u64> {
        let renewed_at_ms = self.home.renewed_at_ms?;
        Some(renewed_at_ms + self.settings.home_term_ms)
    }
}

/// The processes responsible for keys while the founder is registered.
fn founder_only(founder: &Incarnation) -> BTreeMap<String, Incarnation> {
    BTreeMap::from([(founder.instance.clone(), founder.clone())])
}
