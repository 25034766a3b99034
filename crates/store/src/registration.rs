//! Registration of an instance under a lease, and the list of registered instances.

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

/// All registrations have keys that start with this.
pub const INSTANCES_PREFIX: &str = "instances/";

/// Longest wait before the thread looks at the clock and for a close.
const STEP_MS: u64 = 50;

/// Never happened, in [`Shared::renewed_at_ms`].
const NEVER: u64 = u64::MAX;

/// Term and renewal of a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistrationSettings {
    /// Term of the lease, in seconds.
    pub ttl_s: u64,
    /// How often the lease is renewed, in milliseconds.
    pub renew_interval_ms: u64,
    /// Every so many renewals the record is read and, if need be, written again.
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

struct Shared {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    key: String,
    value: Mutex<Vec<u8>>,
    /// The record must be written in the next round.
    changed: AtomicBool,
    /// The next round is due now.
    announce: AtomicBool,
    closed: AtomicBool,
    renewed_at_ms: AtomicU64,
}

/// Keeps the record `instances/NAME` in the store while the process lives.
pub struct Registration {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl Registration {
    /// Registers `name` with `value` as soon as the store answers, and again whenever
    /// the lease was lost.
    ///
    /// # Errors
    ///
    /// [`io::Error`] of starting the thread, or if `value` cannot be encoded.
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
            changed: AtomicBool::new(false),
            announce: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            renewed_at_ms: AtomicU64::new(NEVER),
        });
        let renewer = Renewer {
            shared: Arc::clone(&shared),
            settings,
            lease: None,
            next_ms: 0,
            rounds: 0,
        };
        let thread = thread::Builder::new()
            .name("registration".into())
            .spawn(move || renewer.run())?;
        Ok(Registration { shared, thread })
    }

    /// Milliseconds since the last successful renewal was **sent**, `None` before the
    /// first.
    pub fn renewal_age_ms(&self) -> Option<u64> {
        match self.shared.renewed_at_ms.load(Ordering::SeqCst) {
            NEVER => None,
            at_ms => Some(self.shared.clock.now_ms().saturating_sub(at_ms)),
        }
    }

    /// Replaces the value, e.g. to announce that the instance is leaving.
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
        self.shared.changed.store(true, Ordering::SeqCst);
        self.shared.announce.store(true, Ordering::SeqCst);
        Ok(())
    }

    /// Deletes the registration, at most one store deadline long, and ends the thread.
    /// If the store is down, the lease ends the registration.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

struct Renewer {
    shared: Arc<Shared>,
    settings: RegistrationSettings,
    lease: Option<LeaseId>,
    next_ms: u64,
    rounds: u64,
}

impl Renewer {
    fn run(mut self) {
        while !self.shared.closed.load(Ordering::SeqCst) {
            let now_ms = self.shared.clock.now_ms();
            if now_ms < self.next_ms && !self.shared.announce.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(STEP_MS));
                continue;
            }
            self.shared.announce.store(false, Ordering::SeqCst);
            let changed = self.shared.changed.swap(false, Ordering::SeqCst);
            self.next_ms = now_ms + self.settings.renew_interval_ms;
            match self.keep(changed) {
                Ok(()) => self.shared.renewed_at_ms.store(now_ms, Ordering::SeqCst),
                Err(error) => self.retry(now_ms, &error),
            }
        }
        self.end();
    }

    /// Makes the next round due sooner, and writes the record in it in any case.
    fn retry(&mut self, now_ms: u64, error: &StoreError) {
        log::warn!(
            "event=registration_failed key={} error={error:?}",
            self.shared.key
        );
        self.next_ms = now_ms + self.settings.renew_interval_ms / 3;
        self.shared.changed.store(true, Ordering::SeqCst);
    }

    /// Renews the lease and writes the record if it is new, changed or lost.
    fn keep(&mut self, changed: bool) -> Result<(), StoreError> {
        self.rounds += 1;
        let lease = match self.renewed()? {
            Some(lease) if !changed && self.is_in_place(lease)? => return Ok(()),
            Some(lease) => lease,
            None => self.shared.store.grant_lease(self.settings.ttl_s)?,
        };
        let result = self.write(lease);
        // After an unknown outcome the write is repeated with the same lease. With a new
        // one, the first write could arrive late and bind the record to a lease that
        // nobody renews.
        let lost = matches!(result, Err(StoreError::Rejected(_)));
        self.lease = (!lost).then_some(lease);
        result
    }

    /// Renews the lease. `None` if there is none or it has ended.
    fn renewed(&mut self) -> Result<Option<LeaseId>, StoreError> {
        let Some(lease) = self.lease else {
            return Ok(None);
        };
        if !self.shared.store.renew_lease(lease)? {
            log::warn!("event=registration_lost key={}", self.shared.key);
            self.lease = None;
        }
        Ok(self.lease)
    }

    /// Whether the record still hangs on `lease`. Read only every few rounds: deletion
    /// by an operator and a second process of the same name are rare.
    fn is_in_place(&self, lease: LeaseId) -> Result<bool, StoreError> {
        if !self.rounds.is_multiple_of(self.settings.check_every) {
            return Ok(true);
        }
        let entry = self.shared.store.get(&self.shared.key)?;
        let in_place = entry.is_some_and(|entry| entry.lease == Some(lease));
        if !in_place {
            log::warn!("event=registration_replaced key={}", self.shared.key);
        }
        Ok(in_place)
    }

    /// Writes the record over whatever a previous process of this name left.
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

    fn end(&self) {
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

/// One registered instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registered<T> {
    /// Name of the instance.
    pub name: String,
    /// Its record.
    pub record: Versioned<T>,
    /// The lease of the record. Another one tells that the registration had ended between.
    pub lease: Option<LeaseId>,
}

/// Reads all registrations, by name.
///
/// # Errors
///
/// [`RecordError::Store`] if the store gave no answer. Records that cannot be read are
/// left out and logged.
pub fn registrations<T: DeserializeOwned>(
    store: &dyn Store,
) -> Result<Vec<Registered<T>>, RecordError> {
    let range = store.range(INSTANCES_PREFIX)?;
    Ok(range.entries.iter().filter_map(registered).collect())
}

fn registered<T: DeserializeOwned>(entry: &Entry) -> Option<Registered<T>> {
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

/// Deletes the registration of an instance that is known to be dead, if the record still
/// has `version`.
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
