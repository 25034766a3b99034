//! The transactions of one configuration change by an operator, without I/O.
//!
//! If the response to a change is lost, the operator must still learn whether the change
//! was made. Therefore a change writes its record together with a marker `edits/ID`, on
//! the condition that the marker does not exist. After a lost response, a second
//! transaction tries to create the same marker with the value "cancelled". Exactly one of
//! the two can succeed, even if the first is still on its way to the store, so the value
//! of the marker tells whether the change was made. The marker is attached to a lease.
//! The store rejects a change that arrives after the lease has ended, when the marker is
//! gone.
//!
//! Comparing the value of the record instead does not work: it cannot distinguish two
//! operators that write the same value, and it misses a change that arrives after the
//! comparison.

use crate::configuration::layout::{ConfigRecord, record_key};
use crate::record::{Condition, Entry, LeaseId, Transaction, Write};

/// Prefix of the store keys of the markers.
const EDITS_PREFIX: &str = "edits/";

/// Value of the marker of a change that was made.
const APPLIED: &[u8] = b"applied";

/// Value of the marker of a change that can no longer be made.
const CANCELLED: &[u8] = b"cancelled";

/// Time to live of a marker's lease, in seconds. Longer than an editor tries to learn the
/// outcome of a change.
pub const MARKER_TTL_S: u64 = 600;

/// Identifies one attempt to change the configuration. Each attempt has a different id.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EditId(pub String);

impl EditId {
    /// An id of 128 random bits, as 32 hexadecimal digits.
    pub fn random() -> EditId {
        EditId(format!("{:032x}", rand::random::<u128>()))
    }

    /// The store key of the marker of this attempt.
    pub fn marker_key(&self) -> String {
        format!("{EDITS_PREFIX}{}", self.0)
    }
}

/// The outcome of a change, as its marker tells it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EditOutcome {
    /// The change was made.
    Accepted {
        /// The store revision at which it was made.
        revision: u64,
    },
    /// The change was cancelled. It was not made and never will be.
    NotAccepted,
    /// The marker does not exist or has another value, so it does not tell.
    Unknown,
}

/// The transaction that writes the record `name` if it still has `version`, where 0 means
/// that it does not exist.
///
/// # Errors
///
/// If the record cannot be encoded as JSON.
pub fn replace<T: ConfigRecord>(
    name: &str,
    record: &T,
    version: u64,
) -> Result<Transaction, serde_json::Error> {
    let key = record_key::<T>(name);
    let value = serde_json::to_vec(record)?;
    let has_version = Condition::ModRevision {
        key: key.clone(),
        revision: version,
    };
    let lease = None;
    Ok(Transaction {
        conditions: vec![has_version],
        writes: vec![Write::Put { key, value, lease }],
    })
}

fn marker_is_absent(id: &EditId) -> Condition {
    Condition::ModRevision {
        key: id.marker_key(),
        revision: 0,
    }
}

fn put_marker(id: &EditId, lease: LeaseId, value: &[u8]) -> Write {
    Write::Put {
        key: id.marker_key(),
        value: value.to_vec(),
        lease: Some(lease),
    }
}

/// Adds the marker of `id` to a change, so that its outcome can be learned after a lost
/// response. `lease` deletes the marker when it ends.
pub fn with_marker(mut change: Transaction, id: &EditId, lease: LeaseId) -> Transaction {
    change.conditions.push(marker_is_absent(id));
    change.writes.push(put_marker(id, lease, APPLIED));
    change
}

/// The transaction that prevents the change `id` from being made. It does not succeed if
/// the change was made already.
pub fn cancel(id: &EditId, lease: LeaseId) -> Transaction {
    Transaction {
        conditions: vec![marker_is_absent(id)],
        writes: vec![put_marker(id, lease, CANCELLED)],
    }
}

/// Reads the outcome of a change from its marker, the entry at [`EditId::marker_key`].
pub fn read_outcome(marker: Option<&Entry>) -> EditOutcome {
    match marker {
        Some(entry) if entry.value == APPLIED => EditOutcome::Accepted {
            revision: entry.mod_revision,
        },
        Some(entry) if entry.value == CANCELLED => EditOutcome::NotAccepted,
        _ => EditOutcome::Unknown,
    }
}
