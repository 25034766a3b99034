//! Single store keys whose values are read and written as typed JSON records, with
//! compare-and-swap on the version.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use jayreel_model::Incarnation;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Store;
use crate::error::StoreError;
use crate::record::{Condition, Entry, LeaseId, Transaction, Write};

/// Attempts of [`Record::update`] while other writers change the record at the same time.
const MAX_UPDATE_ATTEMPTS: u32 = 10;

/// Attempts of [`Record::claim`] after lost responses and conflicts.
const MAX_CLAIM_ATTEMPTS: u32 = 5;

/// A value with the version to give for a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The store revision at which the record was last written. Never 0.
    pub version: u64,
    /// The decoded value of the record.
    pub value: T,
}

/// Why a typed read or write failed.
///
/// The `Display` text reaches operators in responses of the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum RecordError {
    /// The record changed since the expected version. Nothing was written.
    Conflict,
    /// The stored value cannot be decoded, or the given one cannot be encoded. Nothing
    /// was written.
    Malformed(String),
    /// The store call failed. [`StoreError`] tells whether the write may have been made.
    Store(StoreError),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Conflict => f.write_str("the record was changed meanwhile"),
            RecordError::Malformed(why) => write!(f, "malformed record: {why}"),
            RecordError::Store(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RecordError {}

impl From<StoreError> for RecordError {
    fn from(error: StoreError) -> RecordError {
        RecordError::Store(error)
    }
}

impl From<serde_json::Error> for RecordError {
    fn from(error: serde_json::Error) -> RecordError {
        RecordError::Malformed(error.to_string())
    }
}

/// The outcome of [`Record::claim`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim<T> {
    /// The record holds the claimant's value.
    Acquired(Versioned<T>),
    /// Another claimant came first; the record holds its value.
    AlreadyHeld(Versioned<T>),
}

/// One store key whose value is the JSON form of a `T`.
pub struct Record<T> {
    store: Arc<dyn Store>,
    key: String,
    value: PhantomData<fn() -> T>,
}

/// The record with the home weights of all instances, which divide the rates of the
/// customers between them.
pub fn home_weights_record<T: DeserializeOwned + Serialize>(
    store: &Arc<dyn Store>,
) -> Record<T> {
    Record::new(store, "quota/home".into())
}

/// The record that names the instance that takes over the programs of a dead incarnation.
/// Creating it decides between several candidates.
pub fn takeover_record<T: DeserializeOwned + Serialize>(
    store: &Arc<dyn Store>,
    incarnation: &Incarnation,
) -> Record<T> {
    Record::new(store, format!("takeovers/{incarnation}"))
}

/// The record with the budgets granted to the programs of an incarnation.
pub fn budget_record<T: DeserializeOwned + Serialize>(
    store: &Arc<dyn Store>,
    incarnation: &Incarnation,
) -> Record<T> {
    Record::new(store, format!("budgets/{incarnation}"))
}

/// Deletes `key` if it was last written at revision `version`. Fails with
/// [`RecordError::Conflict`] otherwise.
pub(crate) fn delete_version(
    store: &dyn Store,
    key: &str,
    version: u64,
) -> Result<(), RecordError> {
    let commit = store.commit(Transaction {
        conditions: vec![Condition::ModRevision {
            key: key.to_string(),
            revision: version,
        }],
        writes: vec![Write::Delete {
            key: key.to_string(),
        }],
    })?;
    match commit.succeeded {
        true => Ok(()),
        false => Err(RecordError::Conflict),
    }
}

fn decode_entry<T: DeserializeOwned>(entry: &Entry) -> Result<Versioned<T>, RecordError> {
    Ok(Versioned {
        version: entry.mod_revision,
        value: serde_json::from_slice(&entry.value)?,
    })
}

impl<T: DeserializeOwned + Serialize> Record<T> {
    /// Refers to the record at `key` without reading it.
    pub fn new(store: &Arc<dyn Store>, key: String) -> Record<T> {
        Record {
            store: Arc::clone(store),
            key,
            value: PhantomData,
        }
    }

    /// Reads the record, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`RecordError::Store`] or [`RecordError::Malformed`].
    pub fn read(&self) -> Result<Option<Versioned<T>>, RecordError> {
        self.store
            .get(&self.key)?
            .as_ref()
            .map(decode_entry)
            .transpose()
    }

    /// Writes the record if it still has `version`, where 0 means that it does not exist.
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// [`RecordError::Conflict`] if the version differs. After
    /// [`StoreError::OutcomeUnknown`] the write may have been made, or may still be.
    pub fn write(&self, value: &T, version: u64) -> Result<u64, RecordError> {
        self.write_with_lease(value, version, None)
    }

    /// Like [`Record::write`], for a record that the store deletes when `lease` ends.
    ///
    /// # Errors
    ///
    /// As [`Record::write`].
    pub fn write_with_lease(
        &self,
        value: &T,
        version: u64,
        lease: Option<LeaseId>,
    ) -> Result<u64, RecordError> {
        let has_version = Condition::ModRevision {
            key: self.key.clone(),
            revision: version,
        };
        let write = Write::Put {
            key: self.key.clone(),
            value: serde_json::to_vec(value)?,
            lease,
        };
        let commit = self.store.commit(Transaction {
            conditions: vec![has_version],
            writes: vec![write],
        })?;
        match commit.succeeded {
            true => Ok(commit.revision),
            false => Err(RecordError::Conflict),
        }
    }

    /// Deletes the record if it still has `version`.
    ///
    /// # Errors
    ///
    /// As [`Record::write`].
    pub fn delete(&self, version: u64) -> Result<(), RecordError> {
        delete_version(self.store.as_ref(), &self.key, version)
    }

    /// Reads the record, passes it to `change` and writes the result, and starts over if
    /// another writer changed the record in between.
    ///
    /// `change` gets the current value, or `None` if there is no record. It returns the
    /// new value, or `None` to leave the record as it is. Returns the record as stored
    /// afterwards.
    ///
    /// # Errors
    ///
    /// As [`Record::write`]; [`RecordError::Conflict`] after ten attempts.
    pub fn update(
        &self,
        mut change: impl FnMut(Option<&T>) -> Option<T>,
    ) -> Result<Option<Versioned<T>>, RecordError> {
        let mut attempt = 1;
        loop {
            let old = self.read()?;
            let Some(value) = change(old.as_ref().map(|old| &old.value)) else {
                return Ok(old);
            };
            match self.write(&value, old.map_or(0, |old| old.version)) {
                Ok(version) => return Ok(Some(Versioned { version, value })),
                Err(RecordError::Conflict) if attempt < MAX_UPDATE_ATTEMPTS => {
                    attempt += 1
                }
                Err(error) => return Err(error),
            }
        }
    }
}

impl<T: DeserializeOwned + PartialEq + Serialize> Record<T> {
    /// Creates the record with `value`, or reads it if it exists. The claimant whose
    /// value is stored has acquired the claim.
    ///
    /// Each claimant must give a different value: after a lost response, only the stored
    /// value tells whose write was applied.
    ///
    /// # Errors
    ///
    /// As [`Record::write`]. After an error, a request that is still under way may
    /// acquire the claim later.
    pub fn claim(&self, value: T) -> Result<Claim<T>, RecordError> {
        let mut attempt = 1;
        loop {
            match self.read()? {
                Some(found) if found.value == value => return Ok(Claim::Acquired(found)),
                Some(found) => return Ok(Claim::AlreadyHeld(found)),
                None => {}
            }
            let created = self.write(&value, 0);
            match created {
                Ok(version) => return Ok(Claim::Acquired(Versioned { version, value })),
                Err(RecordError::Store(StoreError::OutcomeUnknown(_)))
                | Err(RecordError::Conflict)
                    if attempt < MAX_CLAIM_ATTEMPTS =>
                {
                    attempt += 1
                }
                Err(error) => return Err(error),
            }
        }
    }
}
