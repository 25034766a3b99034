//! Changes of the configuration by operators.

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

/// How an editor behaves after a lost answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EditorSettings {
    /// How often it tries to learn the outcome of a change.
    pub resolve_attempts: u32,
    /// The pause between these attempts, in milliseconds.
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

/// A change that is in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The revision of the record, which is also its new version.
    pub revision: u64,
    /// False if the record already was as wanted and nothing was written.
    pub changed: bool,
}

/// A change that is not, or perhaps not, in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum EditError {
    /// Not accepted: a record of this name exists, possibly a retired one.
    AlreadyExists(String),
    /// Not accepted: the record changed since the version on which the change was based.
    Conflict(String),
    /// Not accepted: the change breaks a rule.
    Invalid(String),
    /// Not accepted: there is no such record.
    NotFound(String),
    /// Not accepted: the store did not take the change, and never will.
    Store(String),
    /// It is not known whether the change was accepted.
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

/// Converts the error of a call that changes nothing.
fn not_changed(error: StoreError) -> EditError {
    EditError::Store(error.to_string())
}

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

/// Changes the configuration in the store. Calls block.
#[derive(Clone)]
pub struct ConfigurationEditor {
    store: Arc<dyn Store>,
    settings: EditorSettings,
}

impl ConfigurationEditor {
    /// An editor over `store`.
    pub fn new(store: Arc<dyn Store>, settings: EditorSettings) -> ConfigurationEditor {
        ConfigurationEditor { store, settings }
    }

    /// Reads one record.
    ///
    /// # Errors
    ///
    /// [`EditError::NotFound`], or [`EditError::Store`] if the store gave no answer.
    pub fn read<T: ConfigRecord>(&self, name: &str) -> Result<Versioned<T>, EditError> {
        let entry = self
            .store
            .get(&record_key::<T>(name))
            .map_err(not_changed)?;
        match entry {
            Some(entry) => decode(&entry),
            None => Err(EditError::NotFound(describe::<T>(name))),
        }
    }

    /// Reads all records of a type, by name.
    ///
    /// # Errors
    ///
    /// [`EditError::Store`] if the store gave no answer.
    pub fn list<T: ConfigRecord>(
        &self,
    ) -> Result<Vec<(String, Versioned<T>)>, EditError> {
        let prefix = kind_prefix::<T>();
        let range = self.store.range(&prefix).map_err(not_changed)?;
        let named = |entry: &Entry| {
            let name = entry.key[prefix.len()..].to_string();
            decode(entry).map(|record| (name, record))
        };
        range.entries.iter().map(named).collect()
    }

    /// Creates a record. The name must never have been used.
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

    /// Replaces a record that still has version `version`.
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

    /// Writes a record that has version `version` (0: that does not exist) if the
    /// `conditions` hold too.
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

    /// Makes a change and learns its outcome, also after a lost answer.
    pub(super) fn commit(
        &self,
        what: &str,
        change: Transaction,
    ) -> Result<Accepted, EditError> {
        let lease = self.store.grant_lease(MARKER_TTL_S).map_err(not_changed)?;
        let id = EditId::random();
        let result = self.store.commit(change::with_marker(change, &id, lease));
        match result {
            Ok(commit) if commit.succeeded => Ok(Accepted {
                revision: commit.revision,
                changed: true,
            }),
            Ok(_) => Err(EditError::Conflict(what.to_string())),
            Err(StoreError::OutcomeUnknown(_) | StoreError::Protocol(_)) => {
                self.resolve(&id, lease)
            }
            Err(error) => Err(not_changed(error)),
        }
    }

    /// Tries to cancel the change; either that succeeds or the change was made.
    fn resolve(&self, id: &EditId, lease: LeaseId) -> Result<Accepted, EditError> {
        for _ in 0..self.settings.resolve_attempts {
            match self.try_resolve(id, lease) {
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

    fn try_resolve(
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
