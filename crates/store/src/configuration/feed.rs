//! Keeps an instance's copy of the configuration up to date.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::{io, thread};

use crossbeam::channel::{self, Receiver, Sender};
use jayreel_model::{Configuration, KeyHash};

use crate::Store;
use crate::clock::Clock;
use crate::configuration::follow::Follower;
use crate::configuration::state::FeedState;
use crate::record::Change;

/// Deadlines of a feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// How often the store is asked for the newest revision, in milliseconds.
    pub poll_interval_ms: u64,
    /// A watch without a change for this long is replaced, in milliseconds.
    pub watch_replace_ms: u64,
}

impl Default for FeedSettings {
    fn default() -> FeedSettings {
        FeedSettings {
            poll_interval_ms: 2_000,
            watch_replace_ms: 60_000,
        }
    }
}

/// State shared by the feed's thread and its users.
pub(super) struct Shared {
    pub(super) clock: Arc<dyn Clock>,
    state: Mutex<FeedState>,
    updates: Sender<Arc<Configuration>>,
    behind: AtomicBool,
    closed: AtomicBool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `action` and sends the new copy, if it returns one. Sending under the lock
    /// keeps the copies on the channel in order.
    fn emit(
        &self,
        action: impl FnOnce(&mut FeedState) -> Option<Arc<Configuration>>,
    ) -> bool {
        let mut state = self.lock();
        match action(&mut state) {
            Some(copy) => self.updates.send(copy).is_ok(),
            None => false,
        }
    }

    pub(super) fn offer(&self, configuration: Configuration) -> bool {
        self.emit(|state| state.offer(configuration))
    }

    pub(super) fn apply(&self, changes: &[Change]) -> bool {
        self.emit(|state| state.apply(changes))
    }

    pub(super) fn vouch(&self, revision: u64, at_ms: u64) {
        self.lock().vouch(revision, at_ms);
    }

    pub(super) fn revision(&self) -> Option<u64> {
        self.lock().revision()
    }

    pub(super) fn is_behind(&self, revision: u64) -> bool {
        self.lock().is_behind(revision)
    }

    /// Whether a peer has told of a newer revision since the last call.
    pub(super) fn take_behind(&self) -> bool {
        self.behind.swap(false, Ordering::SeqCst)
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// Follows the configuration in the store on a thread of its own.
///
/// The copies that [`ConfigurationFeed::updates`] delivers never go back to a lower
/// revision, and a key that was withdrawn in one is withdrawn in all later ones.
pub struct ConfigurationFeed {
    shared: Arc<Shared>,
    updates: Receiver<Arc<Configuration>>,
    thread: JoinHandle<()>,
}

impl ConfigurationFeed {
    /// Starts to read and watch the store.
    ///
    /// # Errors
    ///
    /// Any error of starting the thread. The store may be down.
    pub fn start(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        settings: FeedSettings,
    ) -> io::Result<ConfigurationFeed> {
        let (sender, updates) = channel::unbounded();
        let shared = Arc::new(Shared {
            clock,
            state: Mutex::new(FeedState::new()),
            updates: sender,
            behind: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let follower = Follower::new(store, Arc::clone(&shared), settings);
        let thread = thread::Builder::new()
            .name("config-feed".into())
            .spawn(move || follower.run())?;
        Ok(ConfigurationFeed {
            shared,
            updates,
            thread,
        })
    }

    /// Delivers each new copy. Clones share one queue.
    pub fn updates(&self) -> &Receiver<Arc<Configuration>> {
        &self.updates
    }

    /// The newest copy, `None` until the store or a peer gave one.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.shared.lock().current().cloned()
    }

    /// Milliseconds since the store is known to have held nothing newer than the copy,
    /// by its own answer or by that of a peer. `None` if that was never known.
    pub fn store_contact_age_ms(&self) -> Option<u64> {
        let vouched_at_ms = self.shared.lock().vouched_at_ms()?;
        Some(self.shared.clock.now_ms().saturating_sub(vouched_at_ms))
    }

    /// Takes the copy of a peer whose own contact with the store was
    /// `contact_age_ms` ago when it answered. The caller adds the time since it asked.
    /// Returns whether the copy in force changed.
    pub fn offer_peer_snapshot(
        &self,
        configuration: Configuration,
        contact_age_ms: Option<u64>,
    ) -> bool {
        let revision = configuration.revision;
        let changed = self.shared.offer(configuration);
        self.note_peer_revision(revision, contact_age_ms);
        changed
    }

    /// Takes the revision and contact age that a peer told in a heartbeat. If the peer
    /// is ahead, the store is asked at once, and true is returned: its snapshot helps.
    pub fn note_peer_revision(&self, revision: u64, contact_age_ms: Option<u64>) -> bool {
        let behind = self.shared.is_behind(revision);
        if behind {
            self.shared.behind.store(true, Ordering::SeqCst);
        }
        let now_ms = self.shared.clock.now_ms();
        if let Some(at_ms) = contact_age_ms.and_then(|age_ms| now_ms.checked_sub(age_ms))
        {
            self.shared.vouch(revision, at_ms);
        }
        behind
    }

    /// Withdraws a key here, ahead of the store. Returns whether the copy changed.
    pub fn withdraw(&self, hash: KeyHash) -> bool {
        self.shared.emit(|state| state.withdraw(hash))
    }

    /// Keys that are withdrawn but have no record in the copy, so that the copy alone does
    /// not tell of their withdrawal.
    pub fn withdrawn_without_record(&self) -> Vec<KeyHash> {
        self.shared.lock().withdrawn_without_record()
    }

    /// Ends the watch and waits for the thread, at most one store deadline long.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}
