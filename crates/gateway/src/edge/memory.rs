//! Accounts of the memory that grows with what callers and endpoints send.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::clock::now_ms;
use crate::limit_gate::LimitGate;

/// Time over which the rate of releases is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// Bounds of the time after which a rejected request may find room, in milliseconds. The upper one
/// is a third of the longest deadline, the most that callers wait before they return.
const ROOM_WAIT_BOUNDS_MS: (u64, u64) = (100, 1_000);

/// That time if nothing has been released lately, in milliseconds: about the duration of one
/// request.
const UNKNOWN_ROOM_WAIT_MS: u64 = 250;

/// Bytes released per time, measured over the last one to two windows.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    window_began_ms: u64,
    window_bytes: u64,
    /// Bytes of the window before.
    previous_bytes: u64,
}

impl ReleaseRate {
    /// Starts a new window if the current one is over.
    fn advance(&mut self, now_ms: u64) {
        match now_ms.saturating_sub(self.window_began_ms) {
            elapsed_ms if elapsed_ms < RATE_WINDOW_MS => return,
            elapsed_ms if elapsed_ms < 2 * RATE_WINDOW_MS => {
                self.previous_bytes = self.window_bytes;
                self.window_began_ms += RATE_WINDOW_MS;
            }
            _ => {
                self.previous_bytes = 0;
                self.window_began_ms = now_ms;
            }
        }
        self.window_bytes = 0;
    }

    /// Records that so many bytes were released.
    pub fn record(&mut self, now_ms: u64, bytes: usize) {
        self.advance(now_ms);
        self.window_bytes += bytes as u64;
    }

    /// Time in which so many bytes are released, in milliseconds. `None` if nothing was released
    /// lately.
    pub fn time_for_ms(&mut self, now_ms: u64, bytes: usize) -> Option<u64> {
        self.advance(now_ms);
        let previous_ms = match self.previous_bytes {
            0 => 0,
            _ => RATE_WINDOW_MS,
        };
        let elapsed_ms = now_ms.saturating_sub(self.window_began_ms) + previous_ms;
        let released_bytes = self.window_bytes + self.previous_bytes;
        (bytes as u64 * elapsed_ms.max(1)).checked_div(released_bytes)
    }
}

/// Memory of one purpose, shared by all requests of an instance.
#[derive(Debug)]
pub struct MemoryAccount {
    /// What the memory is used for: a label of metrics and logs.
    purpose: &'static str,
    /// At most `max_bytes`.
    used_bytes: Cell<usize>,
    /// The largest value of `used_bytes` so far.
    peak_bytes: Cell<usize>,
    max_bytes: usize,
    releases: RefCell<ReleaseRate>,
    gate: RefCell<LimitGate>,
}

/// State of an account, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct MemoryUsage {
    pub purpose: &'static str,
    pub used_bytes: usize,
    pub peak_bytes: usize,
    pub max_bytes: usize,
    /// Claims that were rejected because there was not enough memory.
    pub rejected: u64,
}

impl MemoryAccount {
    /// Limited to a share of the memory limit of a process, which is given in megabytes.
    pub fn share_of(
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
            releases: RefCell::default(),
            gate: RefCell::new(LimitGate::new("memory_limit", purpose)),
        }
    }

    /// Bytes that can be claimed now.
    pub fn room_bytes(&self) -> usize {
        self.max_bytes - self.used_bytes.get()
    }

    /// Whether this much can be claimed now.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        bytes <= self.room_bytes()
    }

    /// Records that there is not enough memory for a request or a response.
    pub(crate) fn record_limit(&self) {
        let used_bytes = self.used_bytes.get() as u64;
        self.gate.borrow_mut().rejects(now_ms(), true, used_bytes);
    }

    /// Records that a request which needs so many bytes is rejected. Returns the time after which
    /// there may be room for it, in milliseconds.
    pub fn reject(&self, bytes: usize) -> u64 {
        self.record_limit();
        let now_ms = now_ms();
        let missing_bytes = bytes.saturating_sub(self.room_bytes());
        let mut releases = self.releases.borrow_mut();
        let wait_ms = releases.time_for_ms(now_ms, missing_bytes);
        let (min_ms, max_ms) = ROOM_WAIT_BOUNDS_MS;
        wait_ms
            .unwrap_or(UNKNOWN_ROOM_WAIT_MS)
            .clamp(min_ms, max_ms)
    }

    pub(crate) fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            purpose: self.purpose,
            used_bytes: self.used_bytes.get(),
            peak_bytes: self.peak_bytes.get(),
            max_bytes: self.max_bytes,
            rejected: self.gate.borrow().rejected,
        }
    }

    /// Adds a claim that fits.
    fn add(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
        let peak_bytes = self.peak_bytes.get().max(self.used_bytes.get());
        self.peak_bytes.set(peak_bytes);
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.used_bytes.set(self.used_bytes.get() - bytes);
            self.releases.borrow_mut().record(now_ms(), bytes);
        }
    }
}

/// A part of an account. Gives it back when it is dropped.
#[derive(Debug)]
pub struct Claim {
    account: Rc<MemoryAccount>,
    bytes: usize,
}

impl Claim {
    /// Claims nothing yet.
    pub fn new(account: &Rc<MemoryAccount>) -> Claim {
        Claim {
            account: Rc::clone(account),
            bytes: 0,
        }
    }

    /// Claims this much. `None` if there is not enough memory.
    pub fn of(account: &Rc<MemoryAccount>, bytes: usize) -> Option<Claim> {
        let mut claim = Claim::new(account);
        claim.resize(bytes).then_some(claim)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Claims this much in all. Returns false, and changes nothing, if there is not enough memory.
    pub fn resize(&mut self, bytes: usize) -> bool {
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
