//! Keys, values, changes and transactions, as all implementations of the store use them.

/// The id of a lease, assigned by the store. Never 0, which means "no lease" in etcd.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub i64);

/// One key with its value, as of one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The full key, including any prefix.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// The revision at which the key was last written. Never 0.
    pub mod_revision: u64,
    /// The lease that deletes the key when it ends. `None` if the key is kept until it is
    /// deleted.
    pub lease: Option<LeaseId>,
}

/// All entries under a prefix at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// The revision of the whole store at the read. A watch from the next revision on
    /// misses nothing.
    pub revision: u64,
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// One change of a key, as a watch delivers it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was created or its value was replaced.
    Put(Entry),
    /// A key was deleted, by a transaction or by the end of its lease.
    Delete {
        /// The full key, including any prefix.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

impl Change {
    /// The full key that was written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(entry) => &entry.key,
            Change::Delete { key, .. } => key,
        }
    }

    /// The revision at which the key was written or deleted.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Put(entry) => entry.mod_revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// A precondition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The key was last written at this revision. 0 means that the key does not exist.
    ModRevision {
        /// The full key, including any prefix.
        key: String,
        /// The expected [`Entry::mod_revision`], or 0.
        revision: u64,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Deletes a key. Has no effect if it does not exist.
    Delete {
        /// The full key, including any prefix.
        key: String,
    },
    /// Creates a key or replaces its value and its lease.
    Put {
        /// The full key, including any prefix.
        key: String,
        /// The new value, at most 1 MB.
        value: Vec<u8>,
        /// The lease that deletes the key when it ends. The commit fails if it does not
        /// exist.
        lease: Option<LeaseId>,
    },
}

/// Writes that are applied together if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Checked before the writes. If one does not hold, nothing is written.
    pub conditions: Vec<Condition>,
    /// Applied in one revision, so that readers see all of them or none.
    pub writes: Vec<Write>,
}

/// The outcome of a transaction to which the store responded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    /// True if the conditions held and the writes were applied.
    pub succeeded: bool,
    /// The store revision after the transaction. If it succeeded and wrote anything, this
    /// is the `mod_revision` of the keys that it put.
    pub revision: u64,
}
