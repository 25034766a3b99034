//! A store within the process, for tests, simulations and the `dev` mode.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::clock::{Clock, SystemClock};
use crate::error::StoreError;
use crate::keyspace::Keyspace;
use crate::record::{Change, Commit, Entry, LeaseId, Range, Transaction};
use crate::{Store, Watch};

/// How often a waiting watch reads the clock, so that leases expire during the wait.
const CLOCK_CHECK_MS: u64 = 20;

/// State shared by the clones of a store and its watches.
struct Shared {
    keyspace: Mutex<Keyspace>,
    /// Wakes waiting watches after a change or a compaction.
    changed: Condvar,
    clock: Arc<dyn Clock>,
}

impl Shared {
    /// Locks the keyspace and first ends the leases that have expired, so that every
    /// operation sees them gone.
    fn lock(&self) -> MutexGuard<'_, Keyspace> {
        let mut keyspace = self.keyspace.lock().unwrap_or_else(PoisonError::into_inner);
        let before = keyspace.revision();
        keyspace.expire_leases(self.clock.now_ms());
        if keyspace.revision() != before {
            self.changed.notify_all();
        }
        keyspace
    }
}

/// A store within the process. Clones share one keyspace.
#[derive(Clone)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

impl MemoryStore {
    /// An empty store whose leases expire by the clock of the operating system.
    pub fn new() -> MemoryStore {
        MemoryStore::with_clock(Arc::new(SystemClock::new()))
    }

    /// An empty store whose leases expire by `clock`, such as a [`ManualClock`] in tests.
    ///
    /// [`ManualClock`]: crate::ManualClock
    pub fn with_clock(clock: Arc<dyn Clock>) -> MemoryStore {
        MemoryStore {
            shared: Arc::new(Shared {
                keyspace: Mutex::new(Keyspace::new()),
                changed: Condvar::new(),
                clock,
            }),
        }
    }

    /// Runs `action` on the locked keyspace with the current time in milliseconds, and
    /// wakes the waiting watches if it changed or compacted anything.
    pub fn with<T>(&self, action: impl FnOnce(&mut Keyspace, u64) -> T) -> T {
        let now_ms = self.shared.clock.now_ms();
        let mut keyspace = self.shared.lock();
        let before = (keyspace.revision(), keyspace.compacted());
        let result = action(&mut keyspace, now_ms);
        if before != (keyspace.revision(), keyspace.compacted()) {
            self.shared.changed.notify_all();
        }
        result
    }

    /// Discards the changes up to `revision`, inclusive. A watch that has not read them
    /// yet fails with [`StoreError::Compacted`].
    pub fn compact(&self, revision: u64) {
        self.with(|keyspace, _| keyspace.compact(revision));
    }
}

impl Default for MemoryStore {
    fn default() -> MemoryStore {
        MemoryStore::new()
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.shared.lock().get(key).cloned())
    }

    fn range(&self, prefix: &str) -> Result<Range, StoreError> {
        Ok(self.shared.lock().range(prefix))
    }

    fn newest_revision(&self, prefix: &str) -> Result<u64, StoreError> {
        Ok(self.shared.lock().newest_revision(prefix))
    }

    fn commit(&self, transaction: Transaction) -> Result<Commit, StoreError> {
        self.with(|keyspace, _| keyspace.commit(&transaction))
    }

    fn grant_lease(&self, ttl_s: u64) -> Result<LeaseId, StoreError> {
        Ok(self.with(|keyspace, now_ms| keyspace.grant_lease(ttl_s, now_ms)))
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let renewed = self.with(|keyspace, now_ms| keyspace.renew_lease(lease, now_ms));
        Ok(renewed.is_some())
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with(|keyspace, _| keyspace.revoke_lease(lease));
        Ok(())
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> Result<Box<dyn Watch>, StoreError> {
        self.shared.lock().changes(prefix, from_revision)?;
        Ok(Box::new(MemoryWatch {
            shared: Arc::clone(&self.shared),
            prefix: prefix.to_string(),
            from_revision,
        }))
    }
}

struct MemoryWatch {
    shared: Arc<Shared>,
    prefix: String,
    /// The first revision that was not delivered yet.
    from_revision: u64,
}

impl Watch for MemoryWatch {
    fn next(&mut self, timeout: Duration) -> Result<Vec<Change>, StoreError> {
        let deadline = Instant::now() + timeout;
        let shared = Arc::clone(&self.shared);
        loop {
            let keyspace = shared.lock();
            let changes = keyspace.changes(&self.prefix, self.from_revision)?;
            self.from_revision = keyspace.revision() + 1;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                return Ok(changes);
            }
            let wait = remaining.min(Duration::from_millis(CLOCK_CHECK_MS));
            drop(shared.changed.wait_timeout(keyspace, wait));
        }
    }

    fn close(self: Box<Self>) {}
}
