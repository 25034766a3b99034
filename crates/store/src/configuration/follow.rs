//! The thread of a [`ConfigurationFeed`](super::feed::ConfigurationFeed).
//!
//! It watches the configuration for changes and polls the newest revision, because a
//! watch can stop delivering changes without an error. It reads the whole configuration
//! only when the copy is behind.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::configuration::feed::{FeedSettings, Shared};
use crate::configuration::layout::{CONFIG_PREFIX, DELETED_KEY, configuration_of};
use crate::error::StoreError;
use crate::{Store, Watch};

/// Longest wait for changes before the thread checks the clock and whether it was closed.
const MAX_WAIT_MS: u64 = 50;

/// How long a watch that is behind the polled revision may take to catch up before it is
/// replaced. The response to a poll can overtake a change that the watch is delivering.
const CATCH_UP_MS: u64 = 250;

/// Longest pause after a failed call to the store.
const RETRY_MS: u64 = 1_000;

/// The state of the feed's thread.
pub(super) struct FeedWorker {
    store: Arc<dyn Store>,
    shared: Arc<Shared>,
    settings: FeedSettings,
    watch: Option<Box<dyn Watch>>,
    /// When the watch was opened or last delivered a change.
    last_watch_activity_ms: u64,
    /// When the store is next asked for the newest revision.
    next_poll_ms: u64,
}

impl FeedWorker {
    pub(super) fn new(
        store: Arc<dyn Store>,
        shared: Arc<Shared>,
        settings: FeedSettings,
    ) -> FeedWorker {
        FeedWorker {
            store,
            shared,
            settings,
            watch: None,
            last_watch_activity_ms: 0,
            next_poll_ms: 0,
        }
    }

    /// Runs until the feed is closed.
    pub(super) fn run(mut self) {
        while !self.shared.is_closed() {
            if let Err(error) = self.step() {
                log::warn!("event=config_feed_error error={error:?}");
                self.close_watch();
                let retry_at_ms = self.shared.clock.now_ms() + RETRY_MS;
                self.next_poll_ms = self.next_poll_ms.min(retry_at_ms);
            }
        }
        self.close_watch();
    }

    /// Does what is due: replaces the watch, polls, or opens a missing watch. If nothing
    /// is due, waits for changes.
    fn step(&mut self) -> Result<(), StoreError> {
        let now_ms = self.shared.clock.now_ms();
        let due = now_ms >= self.next_poll_ms || self.shared.take_poll_request();
        if due {
            self.next_poll_ms = now_ms + self.settings.poll_interval_ms;
        }
        let replace_at_ms = self.last_watch_activity_ms + self.settings.watch_replace_ms;
        match self.watch.is_some() {
            true if now_ms >= replace_at_ms => {
                log::info!("event=config_watch_replaced reason=no_change");
                self.replace_watch()
            }
            true if due => self.poll(now_ms),
            false if due => self.replace_watch(),
            _ => self.wait_for_changes(MAX_WAIT_MS),
        }
    }

    /// Waits up to `wait_ms` for changes and applies them. Without a watch, only waits.
    fn wait_for_changes(&mut self, wait_ms: u64) -> Result<(), StoreError> {
        let wait = Duration::from_millis(wait_ms);
        let Some(watch) = self.watch.as_mut() else {
            thread::sleep(wait);
            return Ok(());
        };
        let changes = watch.next(wait)?;
        if !changes.is_empty() {
            self.last_watch_activity_ms = self.shared.clock.now_ms();
            self.shared.apply(&changes);
        }
        Ok(())
    }

    /// Asks the store for the newest revision. A watch that does not deliver the change
    /// of that revision is replaced.
    fn poll(&mut self, asked_at_ms: u64) -> Result<(), StoreError> {
        let newest = self.store.newest_revision(CONFIG_PREFIX)?;
        if self.shared.is_behind(newest) {
            self.wait_for_changes(CATCH_UP_MS)?;
        }
        if self.shared.is_behind(newest) {
            log::warn!("event=config_watch_replaced reason=silent newest={newest}");
            return self.replace_watch();
        }
        self.confirm(newest, asked_at_ms);
        Ok(())
    }

    /// Records that the copy was current at `asked_at_ms`, unless the store reports an
    /// older revision than that of the copy, as it does after losing changes.
    fn confirm(&self, newest: u64, asked_at_ms: u64) {
        match self.shared.revision() {
            Some(held) if held > newest => {
                log::warn!("event=config_store_behind held={held} newest={newest}");
            }
            _ => self.shared.confirm_current(newest, asked_at_ms),
        }
    }

    /// Closes the watch, reads the configuration if the copy is behind, and opens a watch
    /// that continues from there.
    ///
    /// The store's current revision is read before the newest revision of the
    /// configuration. A copy at the latter therefore misses no change up to the former,
    /// and the watch can start after it. The configuration is not read each time, because
    /// at the target size that is megabytes per replacement.
    fn replace_watch(&mut self) -> Result<(), StoreError> {
        self.close_watch();
        let asked_at_ms = self.shared.clock.now_ms();
        let mut store_revision = self.store.range(DELETED_KEY)?.revision;
        let mut newest = self.store.newest_revision(CONFIG_PREFIX)?;
        if self.shared.is_behind(newest) {
            let range = self.store.range(CONFIG_PREFIX)?;
            store_revision = range.revision;
            let configuration = configuration_of(&range);
            newest = configuration.revision;
            self.shared.offer(configuration);
        }
        self.confirm(newest, asked_at_ms);
        self.watch = Some(self.store.watch(CONFIG_PREFIX, store_revision + 1)?);
        self.last_watch_activity_ms = self.shared.clock.now_ms();
        Ok(())
    }

    fn close_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.close();
        }
    }
}
