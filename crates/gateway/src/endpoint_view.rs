//! One instance's replica of the endpoint registry, and the updates that it sends to others.
//!
//! Members watch the registry in the store and pass the changes on to entry instances.
//! Otherwise every entry instance would call the store for every change. An entry instance
//! watches the store itself only while no member is up to date.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use jayreel_ledger::{COLD_END_TOLERANCE_MS, EndpointCursor, MAX_COLD_MS};

use crate::balance::is_same_run;
use crate::directory::{
    EndpointChange, EndpointChanges, EndpointEntry, EndpointSnapshot, MetadataError,
    MetadataStore,
};

/// Time for endpoints to register again after a store outage, in milliseconds. Entries that
/// disappeared during the outage are kept that long and removed afterwards.
const MISSING_GRACE_MS: u64 = 2_000;

/// How long a watch by an entry instance waits for changes, in milliseconds. Long, since
/// each watch is a call of the store.
pub(crate) const ENTRY_WATCH_MS: u64 = 2_500;

/// How long a watch by a member waits for changes, in milliseconds. Shorter than that of an
/// entry instance: entry instances rely on the member, so a connection to the store that went
/// silent must be noticed before the removal of an endpoint has to be known.
pub(crate) const MEMBER_WATCH_MS: u64 = 800;

/// Pause between two watches, in milliseconds, so that the changes in this time are read with
/// one call of the store. Short enough for a removed endpoint to be known within two seconds.
pub(crate) const CHANGE_BATCH_MS: u64 = 500;

/// Time since the last response of the store after which a view sends no updates any more, in
/// milliseconds: one watch, the pause after it, and 200 ms for the round trip.
const MAX_SHARED_AGE_MS: u64 = MEMBER_WATCH_MS + CHANGE_BATCH_MS + 200;

/// Number of changes kept for incremental updates. Exceeds the changes between two requests of
/// an entry instance while all endpoints of a large service are replaced by a new release.
const MAX_RECENT_CHANGES: usize = 256;

/// What one call of the store returned about the endpoint registry.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointRead {
    /// All registered endpoints.
    Listed {
        /// The list.
        snapshot: EndpointSnapshot,
        /// The store was reachable without interruption until this call. Otherwise entries of
        /// endpoints that still run may have expired.
        was_connected: bool,
    },
    /// Changes since the previous call.
    Changed(EndpointChanges),
}

/// An update that a view sends to another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Position in the view from which the next update continues.
    pub cursor: EndpointCursor,
    /// Store revision that the view has reached.
    pub revision: u64,
    /// `changes` lists all endpoints, and not only what changed since the last update.
    pub is_complete: bool,
    /// The changes, oldest first.
    pub changes: Vec<EndpointChange>,
}

/// All endpoints known to one instance, and the newest changes for other instances.
#[derive(Debug, Default)]
pub struct EndpointView {
    id: u64,
    /// Sequence number of the newest change.
    sequence: u64,
    /// The newest changes, oldest first. The last one has the number `sequence`.
    recent_changes: VecDeque<EndpointChange>,
    revision: u64,
    /// Time of the last response of the store.
    last_read_ms: Option<u64>,
    /// Until this time the store may lack entries of endpoints that still run, so no updates
    /// are sent.
    settled_at_ms: u64,
    /// By identifier. `cold_left_ms` is 0 in all of them, here and in `recent_changes`.
    entries: BTreeMap<String, EndpointEntry>,
    /// The ends of the cold times of endpoints in `entries`, by identifier. Endpoints write their
    /// entries again and again with the time left, which is a change only if the end is later.
    cold_until_ms: HashMap<String, u64>,
    /// Endpoints whose entries disappeared during a store outage, and when that was noticed.
    /// They stay in `entries` for [`MISSING_GRACE_MS`].
    missing_since_ms: HashMap<String, u64>,
    /// Where the last update from another instance ended. Reset by every read of the store, so
    /// that the next update lists all endpoints.
    update_cursor: EndpointCursor,
}

impl EndpointView {
    /// Whether an endpoint in this availability zone is registered.
    pub fn has_zone(&self, zone: &str) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.availability_zone == zone)
    }

    /// An empty view. `id` must differ from that of every other view, earlier ones included.
    pub fn new(id: u64) -> EndpointView {
        EndpointView {
            id,
            ..EndpointView::default()
        }
    }

    /// Applies what was read from the store. Returns the resulting changes, among them the
    /// removal of missing endpoints whose grace time is over.
    pub fn apply_read(&mut self, now_ms: u64, read: EndpointRead) -> Vec<EndpointChange> {
        self.last_read_ms = Some(now_ms);
        self.update_cursor = EndpointCursor::default();
        let mut applied = Vec::new();
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
                self.handle_unlisted(now_ms, &listed, was_connected, &mut applied);
                for entry in snapshot.entries {
                    self.apply(now_ms, EndpointChange::Present(entry), &mut applied);
                }
            }
            EndpointRead::Changed(changes) => {
                self.revision = self.revision.max(changes.revision);
                for change in changes.changes {
                    self.apply(now_ms, change, &mut applied);
                }
            }
        }
        applied.extend(self.remove_expired(now_ms));
        applied
    }

    /// Applies an update from another instance. Returns the resulting changes, or None if this
    /// view is newer.
    pub fn apply_update(
        &mut self,
        now_ms: u64,
        update: EndpointUpdate,
    ) -> Option<Vec<EndpointChange>> {
        if update.revision < self.revision {
            self.update_cursor = EndpointCursor::default();
            return None;
        }
        self.revision = update.revision;
        self.update_cursor = update.cursor;
        let mut applied = Vec::new();
        if update.is_complete {
            let listed = update.changes.iter().filter_map(|change| match change {
                EndpointChange::Present(entry) => Some(entry.id.clone()),
                EndpointChange::Removed(_) => None,
            });
            self.handle_unlisted(now_ms, &listed.collect(), true, &mut applied);
        }
        for change in update.changes {
            self.apply(now_ms, change, &mut applied);
        }
        applied.extend(self.remove_expired(now_ms));
        Some(applied)
    }

    /// Store revision that this view has reached.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Where the next update from another instance should begin.
    pub fn update_cursor(&self) -> EndpointCursor {
        self.update_cursor
    }

    /// The update for an instance whose last one ended at `known`. None if the store has not
    /// responded recently, or if it came back so recently that endpoints may be missing.
    pub fn update_since(
        &mut self,
        now_ms: u64,
        known: EndpointCursor,
    ) -> Option<EndpointUpdate> {
        let last_read_ms = self.last_read_ms?;
        if last_read_ms + MAX_SHARED_AGE_MS < now_ms || now_ms < self.settled_at_ms {
            return None;
        }
        self.remove_expired(now_ms);
        let missed = usize::try_from(self.sequence.saturating_sub(known.sequence));
        let missed = missed.unwrap_or(usize::MAX);
        let is_complete = known.view != self.id || missed > self.recent_changes.len();
        let changes = match is_complete {
            true => {
                let entries = self.entries.values().cloned();
                let entries = entries.map(EndpointChange::Present);
                entries.map(|change| self.aged(now_ms, change)).collect()
            }
            false => {
                let known = self.recent_changes.len() - missed;
                let changes = self.recent_changes.iter().skip(known).cloned();
                changes.map(|change| self.aged(now_ms, change)).collect()
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

    /// The endpoints that are cold, with the time left in `cold_left_ms`.
    pub(crate) fn cold_endpoints(&self, now_ms: u64) -> Vec<EndpointEntry> {
        let cold = self.cold_until_ms.iter();
        let cold = cold.filter(|(_, until_ms)| now_ms < **until_ms);
        let entries = cold.filter_map(|(id, until_ms)| {
            let entry = self.entries.get(id)?.clone();
            Some(EndpointEntry {
                cold_left_ms: until_ms - now_ms,
                ..entry
            })
        });
        entries.collect()
    }

    /// A change with the cold time that is left now.
    fn aged(&self, now_ms: u64, change: EndpointChange) -> EndpointChange {
        match change {
            EndpointChange::Present(mut entry) => {
                let until_ms = self.cold_until_ms.get(&entry.id).copied();
                let until_ms = until_ms.unwrap_or_default();
                entry.cold_left_ms = until_ms.saturating_sub(now_ms);
                EndpointChange::Present(entry)
            }
            removed @ EndpointChange::Removed(_) => removed,
        }
    }

    /// Takes the cold time out of an entry that is about to be inserted. Returns whether the
    /// endpoint is cold for longer than was known.
    ///
    /// When the entry was written is not known, so the time left counts from now on, and an entry
    /// that says less does not shorten it: it may be older, or of an earlier cold time.
    fn take_cold(&mut self, now_ms: u64, entry: &mut EndpointEntry) -> bool {
        let left_ms = std::mem::take(&mut entry.cold_left_ms).min(MAX_COLD_MS);
        let before = self.entries.get(&entry.id);
        if before.is_some_and(|before| !is_same_run(before, entry)) {
            self.cold_until_ms.remove(&entry.id);
        }
        let known_ms = self.cold_until_ms.get(&entry.id).copied();
        let until_ms = now_ms + left_ms;
        let is_longer = left_ms > 0
            && known_ms
                .is_none_or(|known_ms| until_ms > known_ms + COLD_END_TOLERANCE_MS);
        if is_longer {
            self.cold_until_ms.insert(entry.id.clone(), until_ms);
        }
        is_longer
    }

    /// Applies one change. Adds it to `applied` if it made a difference.
    fn apply(
        &mut self,
        now_ms: u64,
        mut change: EndpointChange,
        applied: &mut Vec<EndpointChange>,
    ) {
        let is_effective = match &mut change {
            EndpointChange::Present(entry) => {
                self.missing_since_ms.remove(&entry.id);
                let is_colder = self.take_cold(now_ms, entry);
                let before = self.entries.insert(entry.id.clone(), entry.clone());
                is_colder || before.as_ref() != Some(entry)
            }
            EndpointChange::Removed(id) => {
                self.missing_since_ms.remove(id);
                self.cold_until_ms.remove(id);
                self.entries.remove(id).is_some()
            }
        };
        if is_effective {
            self.sequence += 1;
            self.recent_changes.push_back(change.clone());
            if self.recent_changes.len() > MAX_RECENT_CHANGES {
                self.recent_changes.pop_front();
            }
            applied.push(self.aged(now_ms, change));
        }
    }

    /// Handles the endpoints that a complete list lacks. They are removed, or counted as missing
    /// if the store was unreachable before.
    fn handle_unlisted(
        &mut self,
        now_ms: u64,
        listed: &HashSet<String>,
        was_connected: bool,
        applied: &mut Vec<EndpointChange>,
    ) {
        let known = self.entries.keys();
        let absent: Vec<String> =
            known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in absent {
            match was_connected {
                true => self.apply(now_ms, EndpointChange::Removed(id), applied),
                false => {
                    self.missing_since_ms.entry(id).or_insert(now_ms);
                }
            }
        }
    }

    /// Removes the missing endpoints whose grace time is over.
    fn remove_expired(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        let missing = self.missing_since_ms.iter();
        let expired: Vec<String> = missing
            .filter(|(_, since_ms)| **since_ms + MISSING_GRACE_MS <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        let mut applied = Vec::new();
        for id in expired {
            self.apply(now_ms, EndpointChange::Removed(id), &mut applied);
        }
        applied
    }
}

/// Reads the endpoint registry in the store: lists it once, then watches its changes.
#[derive(Debug, Default)]
pub(crate) struct EndpointWatcher {
    /// Revision after which the next watch begins. None if the next call lists all endpoints.
    after_revision: Option<u64>,
    /// The store may have been unreachable since the last list.
    was_disconnected: bool,
}

impl EndpointWatcher {
    /// A watcher for an instance that did not watch the store before. The store may have been
    /// unreachable then, so the first list doesn't count as connected.
    pub(crate) fn after_gap() -> EndpointWatcher {
        EndpointWatcher {
            after_revision: None,
            was_disconnected: true,
        }
    }

    /// Makes the next call list all endpoints, after another instance provided them for a
    /// while. That instance had read the store so recently that no entry can have expired
    /// since, so the list counts as connected.
    pub(crate) fn restart(&mut self) {
        self.after_revision = None;
        self.was_disconnected = false;
    }

    /// Lists all endpoints, or waits up to `wait_ms` for changes since the previous call.
    ///
    /// # Errors
    ///
    /// If the call of the store fails. The next call then lists all endpoints.
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
            self.was_disconnected |= *error != MetadataError::HistoryLost;
            log::info!("event=endpoints_reread reason={error:?}");
        }
        result
    }

    /// Lists all endpoints. The next call watches for changes after the list.
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
            was_connected: !std::mem::take(&mut self.was_disconnected),
        })
    }

    /// Waits up to `wait_ms` for changes after revision `after`.
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
