//! Instances of the configuration model. They follow the configuration with a watch and a
//! poll, receive snapshots from peers, are told of withdrawals, and restart.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use jayreel_model::Configuration;
use jayreel_store::CONFIG_PREFIX;
use jayreel_store::configuration::FeedState;
use jayreel_store::configuration::layout::configuration_of;

use crate::configuration::{SeededFault, World, customer_key};

/// How an instance follows the configuration in the store.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum WatchState {
    /// There is no watch.
    #[default]
    Closed,
    /// The instance has read the current revision of the store, but not the configuration.
    ReadingConfiguration {
        /// The revision of the store at that time.
        head: u64,
    },
    /// A watch is open.
    Watching {
        /// The next change that the watch delivers has this revision or a higher one.
        from: u64,
    },
    /// A watch is open but no longer delivers changes.
    Silent,
}

/// One instance. `highest_revision` and `saw_withdrawn` exist only to check the properties.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Instance {
    feed: FeedState,
    watch_state: WatchState,
    /// A configuration that a peer has sent and that has not arrived.
    snapshot: Option<Arc<Configuration>>,
    /// Highest revision since the start of the instance.
    highest_revision: u64,
    /// Whether the key was withdrawn here at any time since the start of the instance.
    saw_withdrawn: bool,
}

/// Hashes only the revision of each configuration, which is slow to hash as a whole.
impl Hash for Instance {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.feed.revision().hash(hasher);
        self.watch_state.hash(hasher);
        self.snapshot
            .as_ref()
            .map(|copy| copy.revision)
            .hash(hasher);
        self.highest_revision.hash(hasher);
        self.saw_withdrawn.hash(hasher);
    }
}

/// See [`Instance::sort_key`].
type SortKey = (Option<u64>, WatchState, Option<u64>, u64, bool);

impl Instance {
    /// Key by which the instances of a state are sorted. Instances are interchangeable, so
    /// states that differ only in their order are merged. The numbers of instances in traces
    /// are positions in this order.
    pub(crate) fn sort_key(&self) -> SortKey {
        let snapshot = self.snapshot.as_ref().map(|copy| copy.revision);
        let revision = self.feed.revision();
        (
            revision,
            self.watch_state,
            snapshot,
            self.highest_revision,
            self.saw_withdrawn,
        )
    }

    pub(crate) fn has_lowered_revision(&self) -> bool {
        self.feed.revision().unwrap_or(0) < self.highest_revision
    }

    pub(crate) fn has_valid_withdrawn_key(&self) -> bool {
        self.saw_withdrawn && self.key_is_withdrawn() == Some(false)
    }

    fn key_is_withdrawn(&self) -> Option<bool> {
        let key = self.feed.current()?.keys.get(&customer_key())?;
        Some(key.withdrawn)
    }

    /// Offers a received configuration to the feed, which ignores old ones unless a rule is
    /// broken.
    fn offer(&mut self, copy: Configuration, fault: Option<SeededFault>) {
        match fault {
            Some(SeededFault::ApplyLowerRevision) => self.replace(copy),
            Some(SeededFault::ForgetWithdrawals)
                if self.feed.is_behind(copy.revision) =>
            {
                self.replace(copy);
            }
            _ => drop(self.feed.offer(copy)),
        }
        self.record_observations();
    }

    fn replace(&mut self, copy: Configuration) {
        self.feed = FeedState::new();
        self.feed.offer(copy);
    }

    fn record_observations(&mut self) {
        self.highest_revision =
            self.highest_revision.max(self.feed.revision().unwrap_or(0));
        self.saw_withdrawn |= self.key_is_withdrawn() == Some(true);
    }
}

impl World {
    pub(crate) fn instance_steps(
        &self,
        index: usize,
        fault: Option<SeededFault>,
    ) -> Vec<World> {
        let mut steps = match self.instances[index].watch_state {
            WatchState::Closed => self.read_head(index),
            WatchState::ReadingConfiguration { head } => self.open(index, head, fault),
            WatchState::Watching { from } => self.watch(index, from),
            WatchState::Silent => self.poll(index),
        };
        steps.extend(self.restart(index));
        steps.extend(self.snapshot_steps(index, fault));
        steps.extend(self.direct_withdrawal(index));
        steps
    }

    fn read_head(&self, index: usize) -> Vec<World> {
        if !self.store_is_up {
            return Vec::new();
        }
        let mut next = self.next(format!("instance {index} reads the store's revision"));
        let head = self.store.revision();
        next.instances[index].watch_state = WatchState::ReadingConfiguration { head };
        vec![next]
    }

    /// Reads the configuration if the store has a newer one, and opens a watch.
    fn open(&self, index: usize, head: u64, fault: Option<SeededFault>) -> Vec<World> {
        let mut next = self.next(format!("instance {index} opens a watch"));
        let instance = &mut next.instances[index];
        if !self.store_is_up {
            next.step = format!("instance {index} cannot reach the store");
            instance.watch_state = WatchState::Closed;
            return vec![next];
        }
        let mut from = head + 1;
        let newest = self.store.newest_revision(CONFIG_PREFIX);
        if instance.feed.is_behind(newest) {
            let range = self.store.range(CONFIG_PREFIX);
            from = range.revision + 1;
            instance.offer(configuration_of(&range), fault);
        }
        instance.watch_state = WatchState::Watching { from };
        vec![next]
    }

    /// The watch delivers changes, goes silent, or breaks because the store is down.
    fn watch(&self, index: usize, from: u64) -> Vec<World> {
        let mut steps = Vec::new();
        let changes = self.store.changes(CONFIG_PREFIX, from).unwrap_or_default();
        if self.store_is_up && !changes.is_empty() {
            let mut next = self.next(format!("watch of instance {index} delivers"));
            let instance = &mut next.instances[index];
            instance.feed.apply(&changes);
            instance.record_observations();
            let from = self.store.revision() + 1;
            instance.watch_state = WatchState::Watching { from };
            steps.push(next);
        }
        if self.failures_left.silent_watches > 0 {
            let mut next = self.next(format!("watch of instance {index} goes silent"));
            next.failures_left.silent_watches -= 1;
            next.instances[index].watch_state = WatchState::Silent;
            steps.push(next);
        }
        if !self.store_is_up {
            let mut next = self.next(format!("watch of instance {index} breaks"));
            next.instances[index].watch_state = WatchState::Closed;
            steps.push(next);
        }
        steps
    }

    /// A poll finds a change that the silent watch did not deliver, and closes the watch.
    fn poll(&self, index: usize) -> Vec<World> {
        let newest = self.store.newest_revision(CONFIG_PREFIX);
        if !self.store_is_up || !self.instances[index].feed.is_behind(newest) {
            return Vec::new();
        }
        let mut next = self.next(format!("instance {index} polls"));
        next.instances[index].watch_state = WatchState::Closed;
        vec![next]
    }

    fn restart(&self, index: usize) -> Option<World> {
        if self.failures_left.restarts == 0 {
            return None;
        }
        let mut next = self.next(format!("instance {index} restarts"));
        next.failures_left.restarts -= 1;
        next.instances[index] = Instance::default();
        Some(next)
    }

    /// A peer sends its configuration, which arrives at any later time.
    fn snapshot_steps(&self, index: usize, fault: Option<SeededFault>) -> Vec<World> {
        let mut steps = Vec::new();
        let instance = &self.instances[index];
        if let Some(copy) = &instance.snapshot {
            let mut next = self.next(format!("instance {index} gets a snapshot"));
            next.instances[index].snapshot = None;
            next.instances[index].offer(Configuration::clone(copy), fault);
            steps.push(next);
        }
        let peers = self.instances.iter().enumerate();
        let copies = peers
            .filter(|(peer, _)| *peer != index && instance.snapshot.is_none())
            .filter_map(|(_, peer)| peer.feed.current());
        for copy in copies {
            let mut next =
                self.next(format!("a peer sends instance {index} its configuration"));
            next.instances[index].snapshot = Some(Arc::clone(copy));
            steps.push(next);
        }
        steps
    }

    /// The instance is told of a withdrawal directly, possibly before the store applies it.
    fn direct_withdrawal(&self, index: usize) -> Option<World> {
        let is_requested = self
            .operators
            .iter()
            .any(|operator| operator.has_requested_withdrawal());
        let instance = &self.instances[index];
        let is_valid = instance.key_is_withdrawn() == Some(false);
        if !is_requested || !is_valid {
            return None;
        }
        let mut next = self.next(format!("instance {index} is told of the withdrawal"));
        next.instances[index].feed.withdraw(customer_key());
        next.instances[index].record_observations();
        Some(next)
    }
}
