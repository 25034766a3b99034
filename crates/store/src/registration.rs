//! Registration of running instances, each as a record under a lease.
//!
//! Peers and operators find instances by these records. The lease removes the record of a
//! process that dies without deleting it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use std::{io, thread};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Store;
use crate::clock::Clock;
use crate::error::StoreError;
use crate::record::{Entry, LeaseId, Transaction, Write};
use crate::typed::{RecordError, Versioned, delete_version};

/// The store keys of all registrations start with this prefix.
pub const INSTANCES_PREFIX: &str = "instances/";

/// How often the waiting thread checks the clock, new values and the request to close.
const WAKE_INTERVAL_MS: u64 = 50;

/// Value of [`Shared::renewed_at_ms`] before the first renewal.
const NEVER: u64 = u64::MAX;

/// Time to live and renewal interval of a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistrationSettings {
    /// Time to live of the lease, in seconds. A dead instance stays registered this long.
    pub ttl_s: u64,
    /// How often the lease is renewed, in milliseconds.
    pub renew_interval_ms: u64,
    /// The record is read back on every n-th renewal, and written again if it is missing
    /// or attached to another lease.
    pub check_every: u64,
}

impl Default for RegistrationSettings {
    fn default() -> RegistrationSettings {
        RegistrationSettings {
            ttl_s: 10,
            renew_interval_ms: 3_000,
            check_every: 10,
        }
    }
}

/// State shared by the registration's thread and its owner.
struct Shared {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    key: String,
    /// The record as JSON.
    value: Mutex<Vec<u8>>,
    /// The next renewal writes the record, because its value is new or the last write
    /// may have failed.
    write_needed: AtomicBool,
    /// The next renewal is made without waiting for its interval.
    renew_now: AtomicBool,
    closed: AtomicBool,
    /// When the last successful renewal was sent, or [`NEVER`].
    renewed_at_ms: AtomicU64,
}

/// Keeps the record `instances/NAME` in the store until it is closed, on a thread of its
/// own.
pub struct Registration {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Registration {
    /// Starts a thread that registers `name` with `value` as soon as the store responds,
    /// and again whenever the lease has expired. Does not wait for the store.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started or `value` cannot be encoded.
    pub fn start<T: Serialize>(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        name: &str,
        value: &T,
        settings: RegistrationSettings,
    ) -> io::Result<Registration> {
        let shared = Arc::new(Shared {
            store,
            clock,
            key: format!("{INSTANCES_PREFIX}{name}"),
            value: Mutex::new(serde_json::to_vec(value)?),
            write_needed: AtomicBool::new(false),
            renew_now: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            renewed_at_ms: AtomicU64::new(NEVER),
        });
        let renewer = Renewer {
            shared: Arc::clone(&shared),
            settings,
            lease: None,
            next_renewal_ms: 0,
            renewals: 0,
        };
        let thread = thread::Builder::new()
            .name("registration".into())
            .spawn(move || renewer.run())?;
        Ok(Registration { shared, thread })
    }

    /// Milliseconds since the last successful renewal was sent, `None` before the first.
    ///
    /// The store received the renewal after that, so the lease does not expire earlier
    /// than its time to live after the sending.
    pub fn renewal_age_ms(&self) -> Option<u64> {
        match self.shared.renewed_at_ms.load(Ordering::SeqCst) {
            NEVER => None,
            at_ms => Some(self.shared.clock.now_ms().saturating_sub(at_ms)),
        }
    }

    /// Replaces the value of the record without waiting for the next renewal, for example
    /// to show that the instance is leaving. Does not wait for the store.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] if `value` cannot be encoded.
    pub fn set_value<T: Serialize>(&self, value: &T) -> Result<(), RecordError> {
        let value = serde_json::to_vec(value)?;
        *self
            .shared
            .value
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = value;
        self.shared.write_needed.store(true, Ordering::SeqCst);
        self.shared.renew_now.store(true, Ordering::SeqCst);
        Ok(())
    }

    /// Revokes the lease, which deletes the record, and waits for the thread. If the
    /// store does not respond, the record stays until the lease expires.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

/// The state of the registration's thread.
struct Renewer {
    shared: Arc<Shared>,
    settings: RegistrationSettings,
    /// The lease of the record, `None` before the first one and after a lost one.
    lease: Option<LeaseId>,
    /// When the next renewal is due.
    next_renewal_ms: u64,
    /// Renewals attempted so far.
    renewals: u64,
}

impl Renewer {
    fn run(mut self) {
        while !self.shared.closed.load(Ordering::SeqCst) {
            let now_ms = self.shared.clock.now_ms();
            if now_ms < self.next_renewal_ms
                && !self.shared.renew_now.load(Ordering::SeqCst)
            {
                thread::sleep(Duration::from_millis(WAKE_INTERVAL_MS));
                continue;
            }
            self.shared.renew_now.store(false, Ordering::SeqCst);
            let write_needed = self.shared.write_needed.swap(false, Ordering::SeqCst);
            self.next_renewal_ms = now_ms + self.settings.renew_interval_ms;
            match self.renew_or_register(write_needed) {
                Ok(()) => self.shared.renewed_at_ms.store(now_ms, Ordering::SeqCst),
                Err(error) => self.schedule_retry(now_ms, &error),
            }
        }
        self.revoke();
    }

    /// Schedules the next attempt after a third of the renewal interval. It writes the
    /// record, since the failed one may not have done so.
    fn schedule_retry(&mut self, now_ms: u64, error: &StoreError) {
        log::warn!(
            "event=registration_failed key={} error={error:?}",
            self.shared.key
        );
        self.next_renewal_ms = now_ms + self.settings.renew_interval_ms / 3;
        self.shared.write_needed.store(true, Ordering::SeqCst);
    }

    /// Renews the lease, or gets a new one, and writes the record if the lease is new,
    /// the record is missing or `write_needed` is set.
    fn renew_or_register(&mut self, write_needed: bool) -> Result<(), StoreError> {
        self.renewals += 1;
        let lease = match self.renew_lease()? {
            Some(lease) if !write_needed && self.is_record_intact(lease)? => {
                return Ok(());
            }
            Some(lease) => lease,
            None => self.shared.store.grant_lease(self.settings.ttl_s)?,
        };
        let result = self.write(lease);
        // After an unknown outcome, the write is repeated with the same lease. With a new
        // lease, the first write could arrive late and attach the record to a lease that
        // is no longer renewed.
        let lease_is_gone = matches!(result, Err(StoreError::Rejected(_)));
        self.lease = (!lease_is_gone).then_some(lease);
        result
    }

    /// Renews the lease. Returns `None` if there is no lease or it has expired.
    fn renew_lease(&mut self) -> Result<Option<LeaseId>, StoreError> {
        let Some(lease) = self.lease else {
            return Ok(None);
        };
        if !self.shared.store.renew_lease(lease)? {
            log::warn!("event=registration_lost key={}", self.shared.key);
            self.lease = None;
        }
        Ok(self.lease)
    }

    /// Whether the record is still attached to `lease`. Reads the record only on every
    /// `check_every`-th renewal and assumes it on the others: a deletion by an operator
    /// and a second process of the same name are rare.
    fn is_record_intact(&self, lease: LeaseId) -> Result<bool, StoreError> {
        if !self.renewals.is_multiple_of(self.settings.check_every) {
            return Ok(true);
        }
        let entry = self.shared.store.get(&self.shared.key)?;
        let is_intact = entry.is_some_and(|entry| entry.lease == Some(lease));
        if !is_intact {
            log::warn!("event=registration_replaced key={}", self.shared.key);
        }
        Ok(is_intact)
    }

    /// Writes the record with `lease`. Replaces the record that a previous process of the
    /// same name may have left, hence no condition.
    fn write(&self, lease: LeaseId) -> Result<(), StoreError> {
        let value = self
            .shared
            .value
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let write = Write::Put {
            key: self.shared.key.clone(),
            value: value.clone(),
            lease: Some(lease),
        };
        drop(value);
        self.shared
            .store
            .commit(Transaction {
                conditions: Vec::new(),
                writes: vec![write],
            })
            .map(|_| ())
    }

    fn revoke(&self) {
        let Some(lease) = self.lease else {
            return;
        };
        if let Err(error) = self.shared.store.revoke_lease(lease) {
            log::warn!(
                "event=registration_not_ended key={} error={error:?}",
                self.shared.key
            );
        }
    }
}

/// An instance that was registered when the store was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registered<T> {
    /// The name of the instance: the key without [`INSTANCES_PREFIX`].
    pub name: String,
    /// The value that the instance registered, with the version of the record.
    pub record: Versioned<T>,
    /// The lease of the record. A different lease than in an earlier read means that the
    /// registration had ended in between.
    pub lease: Option<LeaseId>,
}

/// Reads all registrations, sorted by name. Records that cannot be decoded are left out
/// and logged.
///
/// # Errors
///
/// [`RecordError::Store`] if the store did not respond.
pub fn registrations<T: DeserializeOwned>(
    store: &dyn Store,
) -> Result<Vec<Registered<T>>, RecordError> {
    let range = store.range(INSTANCES_PREFIX)?;
    Ok(range
        .entries
        .iter()
        .filter_map(decode_registration)
        .collect())
}

fn decode_registration<T: DeserializeOwned>(entry: &Entry) -> Option<Registered<T>> {
    match serde_json::from_slice(&entry.value) {
        Ok(value) => Some(Registered {
            name: entry.key[INSTANCES_PREFIX.len()..].to_string(),
            record: Versioned {
                version: entry.mod_revision,
                value,
            },
            lease: entry.lease,
        }),
        Err(error) => {
            log::warn!(
                "event=registration_unreadable key={} error={error}",
                entry.key
            );
            None
        }
    }
}

/// Deletes the registration of an instance that an operator knows to be dead, if the
/// record still has `version`.
///
/// # Errors
///
/// [`RecordError::Conflict`] if the record changed or is gone.
pub fn remove_registration(
    store: &dyn Store,
    name: &str,
    version: u64,
) -> Result<(), RecordError> {
    delete_version(store, &format!("{INSTANCES_PREFIX}{name}"), version)
}
