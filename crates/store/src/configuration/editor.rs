//! Changes of configuration records by operators, with a definite outcome wherever the
//! store allows one. See [`change`] for the protocol.

use std::fmt;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Store;
use crate::configuration::change::{self, EditId, EditOutcome, MARKER_TTL_S};
use crate::configuration::layout::{ConfigRecord, kind_prefix, record_key};
use crate::configuration::validate::{Editable, check_name};
use crate::error::StoreError;
use crate::record::{Condition, Entry, LeaseId, Transaction};
use crate::typed::Versioned;

/// How an editor tries to learn the outcome of a change after a lost response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EditorSettings {
    /// Number of attempts before the outcome is reported as unknown.
    pub resolve_attempts: u32,
    /// The pause after each failed attempt, in milliseconds.
    pub resolve_pause_ms: u64,
}

impl Default for EditorSettings {
    fn default() -> EditorSettings {
        EditorSettings {
            resolve_attempts: 10,
            resolve_pause_ms: 300,
        }
    }
}

/// A change that the store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision of the record, which is also its new version.
    pub revision: u64,
    /// False if the record already had the requested value and nothing was written.
    pub changed: bool,
}

/// Why a change was not made, or that its outcome is unknown.
///
/// The `Display` text reaches operators in responses of the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum EditError {
    /// Not accepted: a record of this name exists, possibly a retired or removed one.
    AlreadyExists(String),
    /// Not accepted: the record, or one that the change depends on, is no longer at the
    /// version on which the change was based.
    Conflict(String),
    /// Not accepted: the change violates a rule of its record type, or the stored record
    /// cannot be decoded.
    Invalid(String),
    /// Not accepted: there is no record of this name.
    NotFound(String),
    /// Not accepted: the store failed or rejected the change, and will not make it later.
    Store(String),
    /// The response was lost and the outcome could not be learned afterwards, so the
    /// change may or may not have been accepted.
    Unknown(String),
}

impl EditError {
    /// Whether the change was certainly not accepted.
    pub fn is_not_accepted(&self) -> bool {
        !matches!(self, EditError::Unknown(_))
    }
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::AlreadyExists(what) => write!(f, "{what} already exists"),
            EditError::Conflict(what) => {
                write!(f, "{what} was changed by somebody else, read it again")
            }
            EditError::Invalid(why) => f.write_str(why),
            EditError::NotFound(what) => write!(f, "there is no {what}"),
            EditError::Store(why) => write!(f, "the change was not accepted: {why}"),
            EditError::Unknown(why) => {
                write!(f, "it is not known whether the change was accepted: {why}")
            }
        }
    }
}

impl std::error::Error for EditError {}

/// Converts the error of a store call that certainly did not make the change.
fn store_error(error: StoreError) -> EditError {
    EditError::Store(error.to_string())
}

/// Type and name of a record, for messages to operators.
pub(super) fn describe<T: ConfigRecord>(name: &str) -> String {
    format!("{} {name:?}", T::NOUN)
}

pub(super) fn decode<T: ConfigRecord>(entry: &Entry) -> Result<Versioned<T>, EditError> {
    let value = serde_json::from_slice(&entry.value)
        .map_err(|error| EditError::Invalid(format!("record {}: {error}", entry.key)))?;
    Ok(Versioned {
        version: entry.mod_revision,
        value,
    })
}

/// Reads and changes configuration records in the store. Calls block until the store
/// responds or the deadlines and attempts are used up.
#[derive(Clone)]
pub struct ConfigurationEditor {
    store: Arc<dyn Store>,
    settings: EditorSettings,
}

impl ConfigurationEditor {
    /// An editor of the configuration in `store`.
    pub fn new(store: Arc<dyn Store>, settings: EditorSettings) -> ConfigurationEditor {
        ConfigurationEditor { store, settings }
    }

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// [`EditError::NotFound`], [`EditError::Store`] if the store did not respond, or
    /// [`EditError::Invalid`] if the stored record cannot be decoded.
    pub fn read<T: ConfigRecord>(&self, name: &str) -> Result<Versioned<T>, EditError> {
        let entry = self
            .store
            .get(&record_key::<T>(name))
            .map_err(store_error)?;
        match entry {
            Some(entry) => decode(&entry),
            None => Err(EditError::NotFound(describe::<T>(name))),
        }
    }

    /// Reads all records of type `T` with their names, sorted by name.
    ///
    /// # Errors
    ///
    /// [`EditError::Store`] if the store did not respond, or [`EditError::Invalid`] if a
    /// stored record cannot be decoded.
    pub fn list<T: ConfigRecord>(
        &self,
    ) -> Result<Vec<(String, Versioned<T>)>, EditError> {
        let prefix = kind_prefix::<T>();
        let range = self.store.range(&prefix).map_err(store_error)?;
        let named = |entry: &Entry| {
            let name = entry.key[prefix.len()..].to_string();
            decode(entry).map(|record| (name, record))
        };
        range.entries.iter().map(named).collect()
    }

    /// Creates a record. No record of this name may exist, not even a retired or removed
    /// one.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn create<T: Editable>(
        &self,
        name: &str,
        record: &T,
    ) -> Result<Accepted, EditError> {
        check_name(name).map_err(EditError::Invalid)?;
        record.check().map_err(EditError::Invalid)?;
        match self.put(name, record, 0, Vec::new()) {
            Err(EditError::Conflict(what)) => Err(EditError::AlreadyExists(what)),
            result => result,
        }
    }

    /// Replaces a record if it still has `version`, the revision at which it was read.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn change<T: Editable>(
        &self,
        name: &str,
        record: &T,
        version: u64,
    ) -> Result<Accepted, EditError> {
        record.check().map_err(EditError::Invalid)?;
        let old: Versioned<T> = self.read(name)?;
        if old.version != version {
            return Err(EditError::Conflict(describe::<T>(name)));
        }
        record
            .check_change(&old.value)
            .map_err(EditError::Invalid)?;
        self.put(name, record, version, Vec::new())
    }

    /// Writes a record if it still has `version`, where 0 means that it does not exist,
    /// and if the other `conditions` hold.
    pub(super) fn put<T: ConfigRecord>(
        &self,
        name: &str,
        record: &T,
        version: u64,
        conditions: Vec<Condition>,
    ) -> Result<Accepted, EditError> {
        let mut transaction = change::replace(name, record, version)
            .map_err(|error| EditError::Invalid(error.to_string()))?;
        transaction.conditions.extend(conditions);
        self.commit(&describe::<T>(name), transaction)
    }

    /// Commits a change, and finds out its outcome if the response is lost. `what` names
    /// the record in the message of a conflict.
    pub(super) fn commit(
        &self,
        what: &str,
        change: Transaction,
    ) -> Result<Accepted, EditError> {
        let lease = self.store.grant_lease(MARKER_TTL_S).map_err(store_error)?;
        let id = EditId::random();
        let result = self.store.commit(change::with_marker(change, &id, lease));
        match result {
            Ok(commit) if commit.succeeded => Ok(Accepted {
                revision: commit.revision,
                changed: true,
            }),
            Ok(_) => Err(EditError::Conflict(what.to_string())),
            Err(StoreError::OutcomeUnknown(_) | StoreError::Protocol(_)) => {
                self.resolve_outcome(&id, lease)
            }
            Err(error) => Err(store_error(error)),
        }
    }

    /// Tries to cancel the change `id` until the store responds. Either the cancellation
    /// succeeds or the change was made.
    fn resolve_outcome(
        &self,
        id: &EditId,
        lease: LeaseId,
    ) -> Result<Accepted, EditError> {
        for _ in 0..self.settings.resolve_attempts {
            match self.cancel_or_read_outcome(id, lease) {
                Ok(EditOutcome::Accepted { revision }) => {
                    let changed = true;
                    return Ok(Accepted { revision, changed });
                }
                Ok(EditOutcome::NotAccepted) => {
                    let why = "the store lost the change";
                    return Err(EditError::Store(why.into()));
                }
                Ok(EditOutcome::Unknown) | Err(_) => {
                    let pause = Duration::from_millis(self.settings.resolve_pause_ms);
                    thread::sleep(pause);
                }
            }
        }
        Err(EditError::Unknown("the store does not answer".into()))
    }

    /// Cancels the change, or reads its outcome if its marker exists already.
    fn cancel_or_read_outcome(
        &self,
        id: &EditId,
        lease: LeaseId,
    ) -> Result<EditOutcome, StoreError> {
        let cancelled = self.store.commit(change::cancel(id, lease))?;
        if cancelled.succeeded {
            return Ok(EditOutcome::NotAccepted);
        }
        let marker = self.store.get(&id.marker_key())?;
        Ok(change::read_outcome(marker.as_ref()))
    }
}
