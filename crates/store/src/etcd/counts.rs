//! Counts of the calls to the store, by the kinds in which the platform charges for them.

use std::sync::atomic::{AtomicU64, Ordering};

/// Calls that were sent to the store since the client was created. The platform charges
/// for each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of a key, a prefix or the newest revision.
    pub reads: u64,
    /// Transactions, including those whose conditions did not hold.
    pub writes: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches opened. A watch counts once, however long it stays open.
    pub watches: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
}

/// The kind of a call: selects its counter and tells whether it can change the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Read,
    Write,
    Lease,
    Watch,
}

impl CallKind {
    /// Whether a call without a response may have changed the store.
    pub(super) fn can_change(self) -> bool {
        matches!(self, CallKind::Write | CallKind::Lease)
    }
}

impl Counters {
    pub(super) fn increment(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Lease => &self.leases,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn snapshot(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}
