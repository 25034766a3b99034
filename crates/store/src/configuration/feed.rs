//! Keeps an instance's copy of the configuration up to date, from the store and, during
//! outages of the store, from peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::{io, thread};

use crossbeam::channel::{self, Receiver, Sender};
use jayreel_model::{Configuration, KeyHash};

use crate::Store;
use crate::clock::Clock;
use crate::configuration::follow::FeedWorker;
use crate::configuration::state::FeedState;
use crate::record::Change;

/// Polling and watch intervals of a feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// How often the store is asked for the newest revision, in milliseconds.
    pub poll_interval_ms: u64,
    /// Time without a change after which a watch is replaced, in milliseconds.
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

/// State shared by the feed's thread and the owner of the feed.
pub(super) struct Shared {
    pub(super) clock: Arc<dyn Clock>,
    state: Mutex<FeedState>,
    updates: Sender<Arc<Configuration>>,
    /// A peer has reported a newer revision, so the store is asked at once.
    poll_now: AtomicBool,
    closed: AtomicBool,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `action` and sends the new copy, if it returns one. The copy is sent under
    /// the lock, so that the channel delivers copies in the order in which they were
    /// made. Returns whether a copy was sent.
    fn update(
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
        self.update(|state| state.offer(configuration))
    }

    pub(super) fn apply(&self, changes: &[Change]) -> bool {
        self.update(|state| state.apply(changes))
    }

    pub(super) fn confirm_current(&self, revision: u64, at_ms: u64) {
        self.lock().confirm_current(revision, at_ms);
    }

    pub(super) fn revision(&self) -> Option<u64> {
        self.lock().revision()
    }

    pub(super) fn is_behind(&self, revision: u64) -> bool {
        self.lock().is_behind(revision)
    }

    /// Whether a peer has reported a newer revision since the last call.
    pub(super) fn take_poll_request(&self) -> bool {
        self.poll_now.swap(false, Ordering::SeqCst)
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// Follows the configuration in the store on a thread of its own.
///
/// The revisions of the copies that [`ConfigurationFeed::updates`] delivers never
/// decrease, and a key that is withdrawn in one copy is withdrawn in all later ones.
pub struct ConfigurationFeed {
    shared: Arc<Shared>,
    updates: Receiver<Arc<Configuration>>,
    thread: JoinHandle<()>,
}

impl ConfigurationFeed {
    /// Starts the thread that reads and watches the store. Does not wait for the store,
    /// which may be down.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
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
            poll_now: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let worker = FeedWorker::new(store, Arc::clone(&shared), settings);
        let thread = thread::Builder::new()
            .name("config-feed".into())
            .spawn(move || worker.run())?;
        Ok(ConfigurationFeed {
            shared,
            updates,
            thread,
        })
    }

    /// The channel that delivers each new copy. Clones of the receiver share one queue,
    /// so each copy reaches only one of them.
    pub fn updates(&self) -> &Receiver<Arc<Configuration>> {
        &self.updates
    }

    /// The copy in use, `None` until the store or a peer has provided one.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.shared.lock().current().cloned()
    }

    /// Milliseconds since the store was last known to hold nothing newer than the copy,
    /// from its own response or from the report of a peer. `None` if that was never
    /// known.
    pub fn store_contact_age_ms(&self) -> Option<u64> {
        let confirmed_at_ms = self.shared.lock().confirmed_at_ms()?;
        Some(self.shared.clock.now_ms().saturating_sub(confirmed_at_ms))
    }

    /// Takes the configuration of a peer if it is newer than the copy.
    ///
    /// `contact_age_ms` is the peer's own [`store_contact_age_ms`] when it responded,
    /// plus the time since it was asked, which the caller adds. Returns whether the copy
    /// changed.
    ///
    /// [`store_contact_age_ms`]: ConfigurationFeed::store_contact_age_ms
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

    /// Takes the configuration revision and the store contact age that a peer reported in
    /// a heartbeat. If the peer has a newer revision, the store is asked at once and true
    /// is returned, so that the caller can request the peer's snapshot.
    pub fn note_peer_revision(&self, revision: u64, contact_age_ms: Option<u64>) -> bool {
        let is_behind = self.shared.is_behind(revision);
        if is_behind {
            self.shared.poll_now.store(true, Ordering::SeqCst);
        }
        let now_ms = self.shared.clock.now_ms();
        if let Some(at_ms) = contact_age_ms.and_then(|age_ms| now_ms.checked_sub(age_ms))
        {
            self.shared.confirm_current(revision, at_ms);
        }
        is_behind
    }

    /// Marks a key as withdrawn in this and all later copies of this instance, before the
    /// store reports it. Returns whether the copy changed.
    pub fn withdraw(&self, hash: KeyHash) -> bool {
        self.shared.update(|state| state.withdraw(hash))
    }

    /// The keys that are known as withdrawn but have no record in the copy. A peer that
    /// receives the copy must be told of them separately.
    pub fn withdrawn_without_record(&self) -> Vec<KeyHash> {
        self.shared.lock().withdrawn_without_record()
    }

    /// Ends the thread and its watch, and waits for a store call in progress, which ends
    /// at its deadline at the latest.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}
