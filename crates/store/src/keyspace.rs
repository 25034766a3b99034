//! The data model of etcd without I/O or clock: keys, revisions, leases and the log of
//! changes that watches read.
//!
//! [`MemoryStore`](crate::MemoryStore) adds a lock and a clock; the model checker of the
//! configuration protocol uses it directly.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::StoreError;
use crate::record::{
    Change, Commit, Condition, Entry, LeaseId, Range, Transaction, Write,
};

#[derive(Clone, Debug, Eq, PartialEq)]
struct Lease {
    ttl_ms: u64,
    /// By the caller's clock; moved on by each renewal.
    expires_at_ms: u64,
    /// The keys to delete when the lease ends.
    keys: BTreeSet<String>,
}

/// Keys and leases as of one revision, with the changes since the last compaction.
///
/// Every method that depends on time takes `now_ms`, milliseconds of the caller's clock.
///
/// Invariants: `revision` never decreases; every entry's `mod_revision` is at most
/// `revision`; a lease lists a key if and only if the key's entry names that lease.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keyspace {
    revision: u64,
    /// Changes up to this revision, inclusive, are discarded from `log`.
    compacted: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    /// The id of the newest lease, so that ids are not reused.
    last_lease: i64,
    /// The changes of each revision after `compacted`.
    log: BTreeMap<u64, Vec<Change>>,
}

impl Keyspace {
    /// An empty keyspace at revision 1, which a new etcd cluster reports too.
    pub fn new() -> Keyspace {
        Keyspace {
            revision: 1,
            ..Keyspace::default()
        }
    }

    /// The revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The highest revision that watches can no longer start from, 0 if there is none.
    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    /// The entry of one key, `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The entries whose keys start with `prefix`, and the current revision.
    pub fn range(&self, prefix: &str) -> Range {
        Range {
            revision: self.revision,
            entries: self.entries_with_prefix(prefix).cloned().collect(),
        }
    }

    /// The highest `mod_revision` among the keys that start with `prefix`, or 0 if there
    /// is no such key.
    pub fn newest_revision(&self, prefix: &str) -> u64 {
        self.entries_with_prefix(prefix)
            .map(|entry| entry.mod_revision)
            .max()
            .unwrap_or(0)
    }

    fn entries_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .range(prefix.to_string()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry)
    }

    /// Applies all writes in one revision if all conditions hold.
    ///
    /// # Errors
    ///
    /// [`StoreError::Rejected`] if a write names a lease that does not exist. Nothing is
    /// written in that case.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<Commit, StoreError> {
        let all_hold = transaction.conditions.iter().all(|c| self.is_met(c));
        if !all_hold {
            return Ok(Commit {
                succeeded: false,
                revision: self.revision,
            });
        }
        self.check_leases_exist(&transaction.writes)?;
        self.apply(&transaction.writes);
        Ok(Commit {
            succeeded: true,
            revision: self.revision,
        })
    }

    fn is_met(&self, condition: &Condition) -> bool {
        let Condition::ModRevision { key, revision } = condition;
        let current = self.entries.get(key).map_or(0, |entry| entry.mod_revision);
        current == *revision
    }

    fn check_leases_exist(&self, writes: &[Write]) -> Result<(), StoreError> {
        let missing = writes.iter().any(|write| match write {
            Write::Put {
                lease: Some(lease), ..
            } => !self.leases.contains_key(lease),
            _ => false,
        });
        match missing {
            true => Err(StoreError::Rejected("requested lease not found".into())),
            false => Ok(()),
        }
    }

    fn apply(&mut self, writes: &[Write]) {
        let next = self.revision + 1;
        let changes: Vec<Change> = writes
            .iter()
            .filter_map(|write| self.apply_write(write, next))
            .collect();
        if changes.is_empty() {
            return;
        }
        self.revision = next;
        self.log.insert(next, changes);
    }

    fn apply_write(&mut self, write: &Write, revision: u64) -> Option<Change> {
        match write {
            Write::Delete { key } => {
                self.detach_from_lease(key);
                self.entries.remove(key)?;
                Some(Change::Delete {
                    key: key.clone(),
                    revision,
                })
            }
            Write::Put { key, value, lease } => {
                self.detach_from_lease(key);
                let entry = Entry {
                    key: key.clone(),
                    value: value.clone(),
                    mod_revision: revision,
                    lease: *lease,
                };
                self.attach_to_lease(&entry);
                self.entries.insert(key.clone(), entry.clone());
                Some(Change::Put(entry))
            }
        }
    }

    fn detach_from_lease(&mut self, key: &str) {
        let lease = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn attach_to_lease(&mut self, entry: &Entry) {
        if let Some(lease) = entry.lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(entry.key.clone());
        }
    }

    /// Creates a lease with a time to live of `ttl_s` seconds. 0 counts as 1.
    pub fn grant_lease(&mut self, ttl_s: u64, now_ms: u64) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        let ttl_ms = ttl_s.max(1) * 1_000;
        let lease = Lease {
            ttl_ms,
            expires_at_ms: now_ms + ttl_ms,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease and returns its time to live in seconds, or `None` if it does not
    /// exist.
    pub fn renew_lease(&mut self, id: LeaseId, now_ms: u64) -> Option<u64> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        Some(lease.ttl_ms / 1_000)
    }

    /// Ends a lease and deletes the keys attached to it in one revision. Returns false if
    /// the lease does not exist.
    pub fn revoke_lease(&mut self, id: LeaseId) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        let deletes: Vec<Write> = lease
            .keys
            .into_iter()
            .map(|key| Write::Delete { key })
            .collect();
        self.apply(&deletes);
        true
    }

    /// Ends the leases that were not renewed within their time to live, each in a
    /// revision of its own.
    pub fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// The changes of keys under `prefix` made at revision `from` or later, in order.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the changes of revision `from` are discarded.
    pub fn changes(&self, prefix: &str, from: u64) -> Result<Vec<Change>, StoreError> {
        if from <= self.compacted {
            return Err(StoreError::Compacted);
        }
        let changes = self
            .log
            .range(from..)
            .flat_map(|(_, changes)| changes)
            .filter(|change| change.key().starts_with(prefix))
            .cloned()
            .collect();
        Ok(changes)
    }

    /// Discards the changes up to `revision`, inclusive, from the log that watches read.
    /// Entries stay.
    pub fn compact(&mut self, revision: u64) {
        let revision = revision.min(self.revision);
        self.compacted = self.compacted.max(revision);
        self.log = self.log.split_off(&(self.compacted + 1));
    }
}
