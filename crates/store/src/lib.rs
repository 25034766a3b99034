//! The platform's key-value service behind a trait.
//!
//! The service offers compare-and-swap, leases and watches. It is charged by the call,
//! has outages, and may lose an answer after a change took effect. All calls block and
//! return within the deadline of the implementation.

pub mod clock;
pub mod configuration;
pub mod error;
pub mod etcd;
pub mod keyspace;
pub mod memory;
pub mod record;
pub mod registration;
pub mod typed;

pub use crate::clock::{Clock, ManualClock, SystemClock};
pub use crate::configuration::{
    Accepted, CONFIG_PREFIX, ConfigurationEditor, ConfigurationFeed, EditError,
    EditorSettings, FeedSettings, GivenKey,
};
pub use crate::error::StoreError;
pub use crate::etcd::{CallCounts, EtcdSettings, EtcdStore};
pub use crate::keyspace::Keyspace;
pub use crate::memory::MemoryStore;
pub use crate::record::{
    Change, Commit, Condition, Entry, LeaseId, Range, Transaction, Write,
};
pub use crate::registration::{
    Registered, Registration, RegistrationSettings, registrations, remove_registration,
};
pub use crate::typed::{
    Claim, Record, RecordError, Versioned, budget_record, home_weights_record,
    takeover_record,
};

use std::time::Duration;

/// Access to the platform's key-value service.
pub trait Store: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store gave no answer in time.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads all keys that start with `prefix`, with the revision of the read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store gave no answer in time.
    fn range(&self, prefix: &str) -> Result<Range, StoreError>;

    /// The revision of the newest change under `prefix`, 0 if it is empty.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store gave no answer in time.
    fn newest_revision(&self, prefix: &str) -> Result<u64, StoreError>;

    /// Applies all writes if all conditions hold, else none.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the transaction was certainly not applied,
    /// [`StoreError::OutcomeUnknown`] if it may have been.
    fn commit(&self, transaction: Transaction) -> Result<Commit, StoreError>;

    /// Creates a lease that lasts `ttl_s` seconds without renewal.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::OutcomeUnknown`].
    fn grant_lease(&self, ttl_s: u64) -> Result<LeaseId, StoreError>;

    /// Renews a lease. Returns false if the lease no longer exists.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::OutcomeUnknown`].
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::OutcomeUnknown`].
    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Watches the keys under `prefix` for changes from `from_revision` on, inclusive.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store gave no answer in time,
    /// [`StoreError::Compacted`] if `from_revision` is no longer kept.
    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> Result<Box<dyn Watch>, StoreError>;
}

/// An open watch.
pub trait Watch: Send {
    /// Waits up to `timeout` for changes. An empty list means that none came.
    ///
    /// # Errors
    ///
    /// Any error ends the watch; the caller reads the prefix again and reopens it.
    fn next(&mut self, timeout: Duration) -> Result<Vec<Change>, StoreError>;

    /// Ends the watch.
    fn close(self: Box<Self>);
}
