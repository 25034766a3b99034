//! Single store records as typed values with compare-and-swap.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use jayreel_model::Incarnation;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Store;
use crate::error::StoreError;
use crate::record::{Condition, Entry, LeaseId, Transaction, Write};

/// Attempts of [`Record::update`] when others change the record at the same time.
const RACE_ATTEMPTS: u32 = 10;

/// Attempts of [`Record::claim`] after lost answers.
const CLAIM_ATTEMPTS: u32 = 5;

/// A value with the store revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The store revision of the last change. Never 0.
    pub version: u64,
    /// The value.
    pub value: T,
}

/// Why a typed read or write failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum RecordError {
    /// The record changed since the expected version. Nothing was written.
    Conflict,
    /// The stored or given value is not valid. Nothing was written.
    Malformed(String),
    /// The store failed; see there whether the write may have been made.
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
    /// The record now holds the given value.
    Ours(Versioned<T>),
    /// The record already held another value.
    Theirs(Versioned<T>),
}

/// One store key with a JSON value of type `T`.
pub struct Record<T> {
    store: Arc<dyn Store>,
    key: String,
    value: PhantomData<fn() -> T>,
}

/// The record with the home weights of all instances.
pub fn home_weights_record<T: DeserializeOwned + Serialize>(
    store: &Arc<dyn Store>,
) -> Record<T> {
    Record::new(store, "quota/home".into())
}

/// The record that names the successor of an incarnation.
pub fn takeover_record<T: DeserializeOwned + Serialize>(
    store: &Arc<dyn Store>,
    incarnation: &Incarnation,
) -> Record<T> {
    Record::new(store, format!("takeovers/{incarnation}"))
}

/// The record with the budget grants of an incarnation.
pub fn budget_record<T: DeserializeOwned + Serialize>(
    store: &Arc<dyn Store>,
    incarnation: &Incarnation,
) -> Record<T> {
    Record::new(store, format!("budgets/{incarnation}"))
}

/// Deletes a key that still has `version`.
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

fn versioned<T: DeserializeOwned>(entry: &Entry) -> Result<Versioned<T>, RecordError> {
    Ok(Versioned {
        version: entry.mod_revision,
        value: serde_json::from_slice(&entry.value)?,
    })
}

impl<T: DeserializeOwned + Serialize> Record<T> {
    /// The record under `key`.
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
            .map(versioned)
            .transpose()
    }

    /// Writes the record if it still has `version` (0: does not exist). Returns the new
    /// version.
    ///
    /// # Errors
    ///
    /// [`RecordError::Conflict`] if the version differs. After
    /// [`StoreError::OutcomeUnknown`] the write may have been made, or may still be.
    pub fn write(&self, value: &T, version: u64) -> Result<u64, RecordError> {
        self.write_with_lease(value, version, None)
    }

    /// Like [`Record::write`], for a record that ends with `lease`.
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
        let unchanged = Condition::ModRevision {
            key: self.key.clone(),
            revision: version,
        };
        let write = Write::Put {
            key: self.key.clone(),
            value: serde_json::to_vec(value)?,
            lease,
        };
        let commit = self.store.commit(Transaction {
            conditions: vec![unchanged],
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

    /// Reads, changes and writes the record, again if others change it meanwhile.
    /// `change` gets the current value and returns the new one, or `None` to leave the
    /// record as it is. Returns the record as it is then.
    ///
    /// # Errors
    ///
    /// As [`Record::write`]; [`RecordError::Conflict`] after ten lost races.
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
                Err(RecordError::Conflict) if attempt < RACE_ATTEMPTS => attempt += 1,
                Err(error) => return Err(error),
            }
        }
    }
}

impl<T: DeserializeOwned + PartialEq + Serialize> Record<T> {
    /// Creates the record, or reads it if it exists. Each claimant must give a value of
    /// its own, because after a lost answer the values tell the claimants apart.
    ///
    /// # Errors
    ///
    /// As [`Record::write`]. After an error the claim may still succeed later.
    pub fn claim(&self, value: T) -> Result<Claim<T>, RecordError> {
        let mut attempt = 1;
        loop {
            match self.read()? {
                Some(found) if found.value == value => return Ok(Claim::Ours(found)),
                Some(found) => return Ok(Claim::Theirs(found)),
                None => {}
            }
            let created = self.write(&value, 0);
            match created {
                Ok(version) => return Ok(Claim::Ours(Versioned { version, value })),
                Err(RecordError::Store(StoreError::OutcomeUnknown(_)))
                | Err(RecordError::Conflict)
                    if attempt < CLAIM_ATTEMPTS =>
                {
                    attempt += 1
                }
                Err(error) => return Err(error),
            }
        }
    }
}
