//! The transactions of one operator change, without I/O.
//!
//! A change writes its record together with a marker `edits/ID`, and both only if the
//! marker does not exist. After a lost answer a second transaction tries to create the
//! marker as cancelled. Exactly one of the two can succeed, also when the first is still
//! under way, so the marker tells whether the change was made. The marker hangs on a
//! lease; a change that arrives after its end is rejected by the store.
//!
//! Comparing the record's value instead was considered: it cannot tell two operators
//! that write the same value apart, nor a change that arrives after the read.

use crate::configuration::layout::{ConfigRecord, record_key};
use crate::record::{Condition, Entry, LeaseId, Transaction, Write};

/// Prefix of the markers.
const EDITS_PREFIX: &str = "edits/";

/// Value of the marker of a change that was made.
const APPLIED: &[u8] = b"applied";

/// Value of the marker of a change that can no longer be made.
const CANCELLED: &[u8] = b"cancelled";

/// How long a marker is kept. Longer than an editor tries to learn the outcome.
pub const MARKER_TTL_S: u64 = 600;

/// Names one attempt of an operator to change the configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EditId(pub String);

impl EditId {
    /// A new random id.
    pub fn random() -> EditId {
        EditId(format!("{:032x}", rand::random::<u128>()))
    }

    /// The store key of the marker.
    pub fn marker_key(&self) -> String {
        format!("{EDITS_PREFIX}{}", self.0)
    }
}

/// What a marker says about its change.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EditOutcome {
    /// The change was made in this revision.
    Accepted {
        /// The revision of the change.
        revision: u64,
    },
    /// The change was not made and never will be.
    NotAccepted,
    /// The marker does not exist or is not readable.
    Unknown,
}

/// Writes a record that has version `version` (0: that does not exist).
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
    let unchanged = Condition::ModRevision {
        key: key.clone(),
        revision: version,
    };
    let lease = None;
    Ok(Transaction {
        conditions: vec![unchanged],
        writes: vec![Write::Put { key, value, lease }],
    })
}

fn marker_is_new(id: &EditId) -> Condition {
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

/// Adds the marker to a change, so that its outcome can be learned after a lost answer.
pub fn with_marker(mut change: Transaction, id: &EditId, lease: LeaseId) -> Transaction {
    change.conditions.push(marker_is_new(id));
    change.writes.push(put_marker(id, lease, APPLIED));
    change
}

/// Makes the change `id` impossible unless it was made already.
pub fn cancel(id: &EditId, lease: LeaseId) -> Transaction {
    Transaction {
        conditions: vec![marker_is_new(id)],
        writes: vec![put_marker(id, lease, CANCELLED)],
    }
}

/// Reads the marker.
pub fn read_outcome(marker: Option<&Entry>) -> EditOutcome {
    match marker {
        Some(entry) if entry.value == APPLIED => EditOutcome::Accepted {
            revision: entry.mod_revision,
        },
        Some(entry) if entry.value == CANCELLED => EditOutcome::NotAccepted,
        _ => EditOutcome::Unknown,
    }
}
