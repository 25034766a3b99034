//! Accounts of the memory that grows with what callers and endpoints send.

use std::cell::Cell;
use std::rc::Rc;

/// Memory of one purpose, shared by all requests of an instance.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    /// What the memory is used for: a label of metrics and logs.
    purpose: &'static str,
    /// At most `max_bytes`.
    used_bytes: Cell<usize>,
    /// The largest value of `used_bytes` so far.
    peak_bytes: Cell<usize>,
    max_bytes: usize,
}

/// State of an account, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct MemoryUsage {
    pub purpose: &'static str,
    pub used_bytes: usize,
    pub peak_bytes: usize,
}

impl MemoryAccount {
    /// Limited to a share of the memory limit of a process, which is given in megabytes.
    pub(crate) fn share_of(
        memory_mb: u64,
        divisor: usize,
        purpose: &'static str,
    ) -> MemoryAccount {
        let memory_bytes = usize::try_from(memory_mb.saturating_mul(1_000_000));
        MemoryAccount {
            purpose,
            used_bytes: Cell::new(0),
            peak_bytes: Cell::new(0),
            max_bytes: memory_bytes.unwrap_or(usize::MAX) / divisor,
        }
    }

    /// Counts without a limit.
    pub(crate) fn unlimited(purpose: &'static str) -> MemoryAccount {
        MemoryAccount {
            purpose,
            used_bytes: Cell::new(0),
            peak_bytes: Cell::new(0),
            max_bytes: usize::MAX,
        }
    }

    /// Whether this much can be claimed now.
    pub(crate) fn has_room_for(&self, bytes: usize) -> bool {
        bytes <= self.max_bytes.saturating_sub(self.used_bytes.get())
    }

    pub(crate) fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            purpose: self.purpose,
            used_bytes: self.used_bytes.get(),
            peak_bytes: self.peak_bytes.get(),
        }
    }

    /// Adds a claim that fits.
    fn add(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
        let peak_bytes = self.peak_bytes.get().max(self.used_bytes.get());
        self.peak_bytes.set(peak_bytes);
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() - bytes);
    }
}

/// A part of an account. Gives it back when it is dropped.
#[derive(Debug)]
pub(crate) struct Claim {
    account: Rc<MemoryAccount>,
    bytes: usize,
}

impl Claim {
    /// Claims nothing yet.
    pub(crate) fn new(account: &Rc<MemoryAccount>) -> Claim {
        Claim {
            account: Rc::clone(account),
            bytes: 0,
        }
    }

    /// Claims this much in all. Returns false, and changes nothing, if there is not enough memory.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        match bytes.checked_sub(self.bytes) {
            Some(more) if !self.account.has_room_for(more) => return false,
            Some(more) => self.account.add(more),
            None => self.account.release(self.bytes - bytes),
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.account.release(self.bytes);
    }
}
