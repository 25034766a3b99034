//! What an entry instance reads from the store and from the group, again and again.

use std::rc::Rc;
use std::time::Duration;

use jayreel_ledger::{Freshness, Group};

use crate::clock::now_ms;
use crate::directory::{
    ConfigurationRead, EndpointChange, EndpointChanges, EndpointSnapshot, MetadataError,
};
use crate::edge::Edge;
use crate::edge::quota::REFILL_INTERVAL_MS;
use crate::membership::GROUP_RECORD;

/// Part of the time in which changes must be in force after which the configuration is read
/// again. With the age that a member's may have, and a read that fails, this is within it.
const READ_PART: f64 = 0.3;

/// Age up to which a member's configuration is taken, in milliseconds: a little more than the
/// pause between two reads there.
const MOST_SHARED_AGE_MS: u64 = 1_000;

/// Pause after a failed read of the store, in milliseconds.
const FAILED_READ_PAUSE_MS: u64 = 200;

/// Age of the proof of freshness from which other instances are asked, in milliseconds:
/// several reads of the store have failed by then.
const ASK_OTHERS_AGE_MS: u64 = 2_000;

/// How long one watch waits for changes of endpoints, in milliseconds: a watch that went
/// silent is noticed while there is time to learn of a leaving endpoint.
const WATCH_MS: u64 = 2_500;

/// Changes that come within this time are taken together, in milliseconds: each watch is a
/// call, and a leaving endpoint must be known within two seconds.
const BETWEEN_CHANGES_MS: u64 = 600;

/// After the store is back, entries that are missing may come back for this time, in
/// milliseconds; those that are still missing then are gone.
const MISSING_GRACE_MS: u64 = 2_000;

/// Pause between two reads of the group's record, in milliseconds. Members tell of newer
/// groups as well.
const GROUP_INTERVAL_MS: u64 = 2_000;

/// Pause between two reads of the group's record before the first one is there, in
/// milliseconds.
const FIRST_GROUP_INTERVAL_MS: u64 = 400;

/// Pause between two probes of the group, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 80;

/// Pause between two rounds of closing unused connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Starts all loops.
pub(crate) fn start(edge: &Rc<Edge>) {
    tokio::task::spawn_local(read_configuration(Rc::clone(edge)));
    tokio::task::spawn_local(follow_endpoints(Rc::clone(edge)));
    tokio::task::spawn_local(read_group(Rc::clone(edge)));
    tokio::task::spawn_local(refill(Rc::clone(edge)));
    tokio::task::spawn_local(probe(Rc::clone(edge)));
    tokio::task::spawn_local(sweep(Rc::clone(edge)));
}

/// Reads the configuration from the nearest member, which reads it from the store for all,
/// and from the store itself while that member has no fresh one.
async fn read_configuration(edge: Rc<Edge>) {
    let bound_ms = edge.settings.bounds.configuration_ms as f64;
    let interval_ms = (bound_ms * READ_PART) as u64;
    let mut is_reachable = true;
    loop {
        let began_ms = now_ms();
        let known = edge.configuration_revision.get();
        let shared = edge.members.nearest_configuration(known).await;
        if let Some(found) = shared.filter(|found| found.age_ms <= MOST_SHARED_AGE_MS) {
            edge.take_shared_configuration(began_ms, found);
            if !is_reachable {
                log::info!("event=store_regained by=member");
                is_reachable = true;
            }
            pause(interval_ms).await;
            continue;
        }
        match edge.store.configuration(known).await {
            Ok(read) => {
                edge.take_configuration(began_ms, read);
                note_store(&mut is_reachable, None);
                pause(interval_ms).await;
            }
            Err(error) => {
                note_store(&mut is_reachable, Some(&error));
                ask_others(&edge).await;
                pause(FAILED_READ_PAUSE_MS).await;
            }
        }
    }
}

fn note_store(is_reachable: &mut bool, error: Option<&MetadataError>) {
    match (error, *is_reachable) {
        (Some(error), true) => log::warn!("event=store_lost reason={error:?}"),
        (None, false) => log::info!("event=store_regained"),
        _ => {}
    }
    *is_reachable = error.is_none();
}

/// While the store does not answer here, it may answer others.
async fn ask_others(edge: &Rc<Edge>) {
    let age_ms = edge.freshness.borrow().age_ms(now_ms());
    if age_ms.is_some_and(|age_ms| age_ms < ASK_OTHERS_AGE_MS) {
        return;
    }
    let asked_ms = now_ms();
    let known = edge.configuration_revision.get();
    for found in edge.members.configuration(known).await {
        edge.take_shared_configuration(asked_ms, found);
    }
}

impl Edge {
    /// Takes a configuration that a member read. Its age counts from when it was asked for.
    fn take_shared_configuration(&self, asked_ms: u64, found: Freshness) {
        let content = found.content.and_then(|content| {
            let decoded = self.store.decode_configuration(&content);
            match decoded {
                Ok(configuration) => Some((content, configuration)),
                Err(error) => {
                    log::warn!("event=configuration_unreadable reason={error:?}");
                    None
                }
            }
        });
        let read = ConfigurationRead {
            revision: found.revision,
            content,
        };
        self.take_configuration(asked_ms.saturating_sub(found.age_ms), read);
    }

    /// Takes a configuration that was the newest when its read began. Older ones than the
    /// one in hand are ignored, so that none is ever undone.
    fn take_configuration(&self, read_began_ms: u64, read: ConfigurationRead) {
        let known = self.configuration_revision.get();
        match read.content {
            Some((_, configuration)) if read.revision > known => {
                log::info!(
                    "event=configuration version={} revision={} routes={} customers={}",
                    configuration.version,
                    read.revision,
                    configuration.routes.len(),
                    configuration.customers.len(),
                );
                self.configuration_revision.set(read.revision);
                *self.configuration.borrow_mut() = Rc::new(configuration);
                self.freshness.borrow_mut().prove(read_began_ms);
            }
            _ if read.revision == known && known > 0 => {
                self.freshness.borrow_mut().prove(read_began_ms);
            }
            _ => {}
        }
    }
}

async fn follow_endpoints(edge: Rc<Edge>) {
    let mut is_complete = true;
    loop {
        let error = match edge.store.endpoints().await {
            Ok(snapshot) => {
                let revision = snapshot.revision;
                take_snapshot(&edge, snapshot, is_complete);
                is_complete = true;
                watch(&edge, revision).await
            }
            Err(error) => error,
        };
        if error != MetadataError::HistoryLost {
            is_complete = false;
            pause(FAILED_READ_PAUSE_MS).await;
        }
        log::info!("event=endpoints_reread reason={error:?}");
    }
}

/// Endpoints that are missing after the store was away may still be there.
fn take_snapshot(edge: &Edge, snapshot: EndpointSnapshot, was_connected: bool) {
    let mut balancer = edge.balancer.borrow_mut();
    let present: Vec<&str> = snapshot.entries.iter().map(|e| e.id.as_str()).collect();
    for id in balancer.ids() {
        match present.contains(&id.as_str()) {
            true => {}
            false if was_connected => balancer.remove(&id),
            false => balancer.mark_missing(now_ms(), &id),
        }
    }
    log::info!(
        "event=endpoints count={} unreadable={}",
        present.len(),
        snapshot.unreadable
    );
    for entry in snapshot.entries {
        balancer.upsert(entry);
    }
    edge.has_endpoints.set(true);
}

/// Applies changes until the store gives none any more.
async fn watch(edge: &Edge, mut revision: u64) -> MetadataError {
    loop {
        let changes = match edge.store.endpoint_changes(revision, WATCH_MS).await {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        revision = changes.revision.max(revision);
        let has_changes = !changes.changes.is_empty();
        take_changes(edge, changes);
        let gone = edge
            .balancer
            .borrow_mut()
            .drop_missing(now_ms(), MISSING_GRACE_MS);
        if !gone.is_empty() {
            log::info!("event=endpoints_gone ids={gone:?}");
        }
        if has_changes {
            pause(BETWEEN_CHANGES_MS).await;
        }
    }
}

fn take_changes(edge: &Edge, changes: EndpointChanges) {
    let mut balancer = edge.balancer.borrow_mut();
    for change in changes.changes {
        match change {
            EndpointChange::Present(entry) => {
                log::info!(
                    "event=endpoint id={} service={} draining={}",
                    entry.id,
                    entry.service,
                    entry.is_draining
                );
                balancer.upsert(entry);
            }
            EndpointChange::Gone(id) => {
                log::info!("event=endpoint_gone id={id}");
                balancer.remove(&id);
            }
        }
    }
}

async fn read_group(edge: Rc<Edge>) {
    loop {
        match edge.store.own_records(GROUP_RECORD, true).await {
            Ok(records) => {
                let record = records.iter().find(|record| record.name == GROUP_RECORD);
                if let Some(record) = record {
                    adopt(&edge, &record.content);
                }
            }
            Err(error) => log::debug!("event=group_unread reason={error:?}"),
        }
        let is_known = edge.members.group().version > 0;
        pause(if is_known {
            GROUP_INTERVAL_MS
        } else {
            FIRST_GROUP_INTERVAL_MS
        })
        .await;
    }
}

fn adopt(edge: &Edge, content: &[u8]) {
    match postcard::from_bytes::<Group>(content) {
        Ok(group) => edge.members.adopt(group),
        Err(error) => log::warn!("event=group_unreadable reason={error:?}"),
    }
}

async fn probe(edge: Rc<Edge>) {
    let mut had_quorum = true;
    loop {
        edge.members.probe().await;
        let has_quorum = edge.members.contact().has_quorum(now_ms());
        match (had_quorum, has_quorum) {
            (true, false) => log::warn!("event=group_lost"),
            (false, true) => log::info!("event=group_regained"),
            _ => {}
        }
        had_quorum = has_quorum;
        pause(PROBE_INTERVAL_MS).await;
    }
}

async fn refill(edge: Rc<Edge>) {
    loop {
        pause(REFILL_INTERVAL_MS).await;
        edge.refill_quota().await;
    }
}

async fn sweep(edge: Rc<Edge>) {
    loop {
        pause(SWEEP_INTERVAL_MS).await;
        edge.sum_up_log();
        let balancer = edge.balancer.borrow();
        let mut pool = edge.pool.borrow_mut();
        pool.sweep(now_ms(), |key| balancer.contains(key));
    }
}
