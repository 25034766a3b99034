//! Limits the total memory of request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the bytes of all bodies that are being read or whose response is not complete.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    used_bytes: AtomicU64,
    max_bytes: u64,
}

impl BodyBudget {
    pub(crate) fn new(max_bytes: u64) -> Arc<BodyBudget> {
        Arc::new(BodyBudget {
            used_bytes: AtomicU64::new(0),
            max_bytes,
        })
    }

    /// Creates an empty reservation for one body. It grows as the body is read.
    pub(crate) fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// The bytes that are reserved for one body. Dropping it returns them to the budget.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<BodyBudget>,
    bytes: u64,
}

impl Reservation {
    /// Reserves `bytes` more. Returns false, and reserves nothing, if they exceed the budget.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let max_bytes = self.budget.max_bytes;
        let reserved = self.budget.used_bytes.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |used| used.checked_add(bytes).filter(|sum| *sum <= max_bytes),
        );
        if reserved.is_ok() {
            self.bytes += bytes;
        }
        reserved.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
