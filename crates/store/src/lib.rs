//! Access to the platform's key-value service, and the records that jayreel keeps there.
//!
//! The service offers compare-and-swap, leases and watches over the etcd v3 API. The
//! platform charges for each call. Calls can fail during outages, and a response can be
//! lost after the change was applied, so errors say whether a change may have been made
//! ([`StoreError`]). All calls block; each implementation bounds how long.
//!
//! [`EtcdStore`] talks to the service and [`MemoryStore`] replaces it within one process.
//! On top of [`Store`] stand the configuration ([`configuration`]), the registration of
//! running instances ([`registration`]) and single typed records ([`typed`]).

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
    /// [`StoreError::Unavailable`] if the store did not respond before the deadline.
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads all keys that start with `prefix`, and the store revision at which they
    /// were read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store did not respond before the deadline.
    fn range(&self, prefix: &str) -> Result<Range, StoreError>;

    /// The highest revision at which an existing key under `prefix` was written, or 0 if
    /// there is no key. A deletion alone does not raise it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store did not respond before the deadline.
    fn newest_revision(&self, prefix: &str) -> Result<u64, StoreError>;

    /// Applies all writes in one revision if all conditions hold, and no write otherwise.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the transaction was certainly not applied,
    /// [`StoreError::OutcomeUnknown`] if it may have been or may still be.
    fn commit(&self, transaction: Transaction) -> Result<Commit, StoreError>;

    /// Creates a lease that expires `ttl_s` seconds after its last renewal.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::OutcomeUnknown`].
    fn grant_lease(&self, ttl_s: u64) -> Result<LeaseId, StoreError>;

    /// Restarts the time to live of a lease. Returns false if the lease no longer exists.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::OutcomeUnknown`].
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and deletes the keys attached to it. Succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::OutcomeUnknown`].
    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Watches the keys under `prefix` for changes made at `from_revision` or later.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the store did not respond before the deadline,
    /// [`StoreError::Compacted`] if changes since `from_revision` were discarded by a
    /// compaction. [`Watch::next`] can report it too.
    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> Result<Box<dyn Watch>, StoreError>;
}

/// An open watch, which delivers changes in the order of their revisions.
pub trait Watch: Send {
    /// Waits up to `timeout` for changes. An empty list means that none arrived.
    ///
    /// # Errors
    ///
    /// Any error ends the watch. The caller then reads the prefix again and opens a new
    /// watch from the revision of that read.
    fn next(&mut self, timeout: Duration) -> Result<Vec<Change>, StoreError>;

    /// Ends the watch and releases its connection and thread, if it has any.
    fn close(self: Box<Self>);
}
