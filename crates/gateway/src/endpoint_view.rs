//! Endpoints as one instance knows them, and what has changed since another one asked.
//!
//! Instances with disks follow the store and tell entry instances, so that not each of these
//! needs a call of the store for every change.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use jayreel_ledger::EndpointCursor;

use crate::directory::{
    EndpointChange, EndpointChanges, EndpointEntry, EndpointSnapshot, MetadataError,
    MetadataStore,
};

/// After the store is back, entries that are missing may come back for this time, in
/// milliseconds; those that are still missing then are gone.
const MISSING_GRACE_MS: u64 = 2_000;

/// How long a watch of an entry instance waits for changes, in milliseconds: each is a call.
pub(crate) const ENTRY_WATCH_MS: u64 = 2_500;

/// How long a watch of a member waits for changes, in milliseconds. Entry instances rely on it,
/// so that one which went silent must be noticed while a leaving endpoint need not be known.
pub(crate) const MEMBER_WATCH_MS: u64 = 800;

/// Changes that come within this time are taken together, in milliseconds: each watch is a
/// call, and a leaving endpoint must be known within two seconds.
pub(crate) const CHANGE_BATCH_MS: u64 = 500;

/// A view that has not heard from the store for longer is not shared, in milliseconds: a watch,
/// the pause between two, and the way there and back.
const MOST_SHARED_AGE_MS: u64 = MEMBER_WATCH_MS + CHANGE_BATCH_MS + 200;

/// Changes that are kept for instances that ask, more than a release of all endpoints of a
/// large service makes between two questions.
const MOST_RECENT: usize = 256;

/// What one call of the store told.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointRead {
    /// All endpoints.
    Listed {
        /// The endpoints.
        snapshot: EndpointSnapshot,
        /// The store was followed without a gap until now. Otherwise it may have lost entries
        /// of endpoints that are still there.
        was_connected: bool,
    },
    /// Changes since the call before.
    Changed(EndpointChanges),
}

/// What a view tells another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Where to go on.
    pub cursor: EndpointCursor,
    /// Store revision of the view.
    pub revision: u64,
    /// `changes` are all endpoints, not just what has changed.
    pub is_complete: bool,
    /// In order.
    pub changes: Vec<EndpointChange>,
}

/// All endpoints that one instance knows.
#[derive(Debug, Default)]
pub struct EndpointView {
    id: u64,
    /// Number of the newest change.
    sequence: u64,
    /// The newest changes, the last one with the number `sequence`.
    recent: VecDeque<EndpointChange>,
    revision: u64,
    heard_ms: Option<u64>,
    /// Until then entries may be missing that others know to be there or gone.
    settled_at_ms: u64,
    entries: BTreeMap<String, EndpointEntry>,
    /// Endpoints of `entries` whose entries went while the store was away, and when that was
    /// noticed.
    missing_since_ms: HashMap<String, u64>,
    /// Where the last news of another instance ended. None are known if the store told
    /// something since: such news must be complete.
    update_cursor: EndpointCursor,
}

impl EndpointView {
    /// An empty view. `id` differs from that of other views.
    pub fn new(id: u64) -> EndpointView {
        EndpointView {
            id,
            ..EndpointView::default()
        }
    }

    /// Takes what the store told. Returns what has changed by that.
    pub fn apply_read(&mut self, now_ms: u64, read: EndpointRead) -> Vec<EndpointChange> {
        self.heard_ms = Some(now_ms);
        self.update_cursor = EndpointCursor::default();
        let mut news = Vec::new();
        match read {
            EndpointRead::Listed {
                snapshot,
                was_connected,
            } => {
                self.revision = self.revision.max(snapshot.revision);
                if !was_connected {
                    self.settled_at_ms = now_ms + MISSING_GRACE_MS;
                }
                let entries = snapshot.entries.iter();
                let listed = entries.map(|entry| entry.id.clone()).collect();
                self.note_absent(now_ms, &listed, was_connected, &mut news);
                for entry in snapshot.entries {
                    self.apply(EndpointChange::Present(entry), &mut news);
                }
            }
            EndpointRead::Changed(changes) => {
                self.revision = self.revision.max(changes.revision);
                for change in changes.changes {
                    self.apply(change, &mut news);
                }
            }
        }
        news.extend(self.drop_missing(now_ms));
        news
    }

    /// Takes what another instance told. Returns what has changed by that, or none if this view
    /// is newer.
    pub fn apply_update(
        &mut self,
        now_ms: u64,
        told: EndpointUpdate,
    ) -> Option<Vec<EndpointChange>> {
        if told.revision < self.revision {
            self.update_cursor = EndpointCursor::default();
            return None;
        }
        self.revision = told.revision;
        self.update_cursor = told.cursor;
        let mut news = Vec::new();
        if told.is_complete {
            let listed = told.changes.iter().filter_map(|change| match change {
                EndpointChange::Present(entry) => Some(entry.id.clone()),
                EndpointChange::Gone(_) => None,
            });
            self.note_absent(now_ms, &listed.collect(), true, &mut news);
        }
        for change in told.changes {
            self.apply(change, &mut news);
        }
        news.extend(self.drop_missing(now_ms));
        Some(news)
    }

    /// Store revision up to which endpoints are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Where other instances should begin to tell.
    pub fn update_cursor(&self) -> EndpointCursor {
        self.update_cursor
    }

    /// What another instance does not know yet, or none if the store has not been heard lately
    /// or was lost shortly before.
    pub fn update_since(
        &mut self,
        now_ms: u64,
        known: EndpointCursor,
    ) -> Option<EndpointUpdate> {
        let heard_ms = self.heard_ms?;
        if heard_ms + MOST_SHARED_AGE_MS < now_ms || now_ms < self.settled_at_ms {
            return None;
        }
        self.drop_missing(now_ms);
        let missed = usize::try_from(self.sequence.saturating_sub(known.sequence));
        let missed = missed.unwrap_or(usize::MAX);
        let is_complete = known.view != self.id || missed > self.recent.len();
        let changes = match is_complete {
            true => {
                let entries = self.entries.values().cloned();
                entries.map(EndpointChange::Present).collect()
            }
            false => {
                let known = self.recent.len() - missed;
                self.recent.iter().skip(known).cloned().collect()
            }
        };
        Some(EndpointUpdate {
            cursor: EndpointCursor {
                view: self.id,
                sequence: self.sequence,
            },
            revision: self.revision,
            is_complete,
            changes,
        })
    }

    fn apply(&mut self, change: EndpointChange, news: &mut Vec<EndpointChange>) {
        let is_new = match &change {
            EndpointChange::Present(entry) => {
                self.missing_since_ms.remove(&entry.id);
                let before = self.entries.insert(entry.id.clone(), entry.clone());
                before.as_ref() != Some(entry)
            }
            EndpointChange::Gone(id) => {
                self.missing_since_ms.remove(id);
                self.entries.remove(id).is_some()
            }
        };
        if is_new {
            self.sequence += 1;
            self.recent.push_back(change.clone());
            if self.recent.len() > MOST_RECENT {
                self.recent.pop_front();
            }
            news.push(change);
        }
    }

    /// Endpoints that are not listed are gone, or missing for a while if the store was away.
    fn note_absent(
        &mut self,
        now_ms: u64,
        listed: &HashSet<String>,
        was_connected: bool,
        news: &mut Vec<EndpointChange>,
    ) {
        let known = self.entries.keys();
        let absent: Vec<String> =
            known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in absent {
            match was_connected {
                true => self.apply(EndpointChange::Gone(id), news),
                false => {
                    self.missing_since_ms.entry(id).or_insert(now_ms);
                }
            }
        }
    }

    fn drop_missing(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        let missing = self.missing_since_ms.iter();
        let gone: Vec<String> = missing
            .filter(|(_, since_ms)| **since_ms + MISSING_GRACE_MS <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        let mut news = Vec::new();
        for id in gone {
            self.apply(EndpointChange::Gone(id), &mut news);
        }
        news
    }
}

/// Follows the endpoints in the store, one call at a time.
#[derive(Debug, Default)]
pub(crate) struct EndpointWatcher {
    after_revision: Option<u64>,
    was_cut_off: bool,
}

impl EndpointWatcher {
    /// A follower that knows nothing of the time before: the store may have been away then.
    pub(crate) fn after_gap() -> EndpointWatcher {
        EndpointWatcher {
            after_revision: None,
            was_cut_off: true,
        }
    }

    /// The next call lists all endpoints: another instance told them until now. It had heard
    /// from the store so lately that no entry can have lapsed since.
    pub(crate) fn restart(&mut self) {
        self.after_revision = None;
        self.was_cut_off = false;
    }

    /// Lists all endpoints, or waits up to `wait_ms` for changes of them.
    ///
    /// # Errors
    ///
    /// If the store does not answer. The next call lists all endpoints.
    pub(crate) async fn read(
        &mut self,
        store: &dyn MetadataStore,
        wait_ms: u64,
    ) -> Result<EndpointRead, MetadataError> {
        let result = match self.after_revision {
            None => self.list(store).await,
            Some(after) => self.wait_for_changes(store, after, wait_ms).await,
        };
        if let Err(error) = &result {
            self.after_revision = None;
            self.was_cut_off |= *error != MetadataError::HistoryLost;
            log::info!("event=endpoints_reread reason={error:?}");
        }
        result
    }

    async fn list(
        &mut self,
        store: &dyn MetadataStore,
    ) -> Result<EndpointRead, MetadataError> {
        let snapshot = store.endpoints().await?;
        log::info!(
            "event=endpoints count={} unreadable={}",
            snapshot.entries.len(),
            snapshot.unreadable
        );
        self.after_revision = Some(snapshot.revision);
        Ok(EndpointRead::Listed {
            snapshot,
            was_connected: !std::mem::take(&mut self.was_cut_off),
        })
    }

    async fn wait_for_changes(
        &mut self,
        store: &dyn MetadataStore,
        after: u64,
        wait_ms: u64,
    ) -> Result<EndpointRead, MetadataError> {
        let changes = store.endpoint_changes(after, wait_ms).await?;
        self.after_revision = Some(changes.revision.max(after));
        Ok(EndpointRead::Changed(changes))
    }
}
