//! What an entry instance reads from the store and from the group, again and again.

use std::rc::Rc;

use jayreel_ledger::{Group, SharedConfiguration, SharedEndpoints, ZonePresence};

use crate::clock::{now_ms, pause};
use crate::directory::{ConfigurationRead, EndpointChange, MetadataError};
use crate::edge::Edge;
use crate::edge::quota::REFILL_INTERVAL_MS;
use crate::endpoint_view::{
    CHANGE_BATCH_MS, ENTRY_WATCH_MS, EndpointUpdate, EndpointView, EndpointWatcher,
};
use crate::membership::GROUP_RECORD;
use crate::presence::{PRESENCE_INTERVAL_MS, is_majority_absent};

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

/// Pause between two questions for changes of endpoints, in milliseconds. Together with the
/// pause between a member's calls a leaving endpoint is known within a second.
const SHARED_ENDPOINTS_INTERVAL_MS: u64 = 250;

/// Pause between two looks whether the group's record must be read, in milliseconds.
const GROUP_INTERVAL_MS: u64 = 2_000;

/// Pause between two reads of the group's record before the first one is there, in
/// milliseconds.
const FIRST_GROUP_INTERVAL_MS: u64 = 400;

/// Pause between two probes of the group, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 80;

/// Pause between two rounds of closing unused connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// At the first start of all, the group is founded only after the instances with disks have
/// registered. Until then, but no longer than this, in milliseconds, nothing else is read: without
/// the group nothing can be served.
const FOUNDING_WAIT_MS: u64 = 3_000;

/// Pause between two looks whether the group is known, in milliseconds.
const FOUNDING_POLL_MS: u64 = 25;

/// Starts all loops.
pub(crate) fn start(edge: &Rc<Edge>) {
    tokio::task::spawn_local(read_configuration(Rc::clone(edge)));
    tokio::task::spawn_local(follow_endpoints(Rc::clone(edge)));
    tokio::task::spawn_local(read_group(Rc::clone(edge)));
    tokio::task::spawn_local(refill(Rc::clone(edge)));
    tokio::task::spawn_local(probe(Rc::clone(edge)));
    tokio::task::spawn_local(sweep(Rc::clone(edge)));
    tokio::task::spawn_local(follow_presence(Rc::clone(edge)));
}

/// Reads the configuration from the nearest member, which reads it from the store for all,
/// and from the store itself while that member has no fresh one.
async fn read_configuration(edge: Rc<Edge>) {
    let bound_ms = edge.settings.bounds.configuration_ms as f64;
    let interval_ms = (bound_ms * READ_PART) as u64;
    let mut is_reachable = true;
    wait_for_group(&edge).await;
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
            edge.store_backoff.borrow_mut().succeed();
            pause(interval_ms).await;
            continue;
        }
        if !edge.store_backoff.borrow().is_over(now_ms()) {
            ask_others(&edge).await;
            pause(FAILED_READ_PAUSE_MS).await;
            continue;
        }
        match edge.store.configuration(known).await {
            Ok(read) => {
                edge.members.note_store();
                edge.take_configuration(began_ms, read);
                note_store(&mut is_reachable, None);
                edge.store_backoff.borrow_mut().succeed();
                pause(interval_ms).await;
            }
            Err(error) => {
                note_store(&mut is_reachable, Some(&error));
                edge.store_backoff.borrow_mut().fail(now_ms());
                ask_others(&edge).await;
                pause(FAILED_READ_PAUSE_MS).await;
            }
        }
    }
}

/// Waits until the group is known, or could have been founded.
async fn wait_for_group(edge: &Edge) {
    let until_ms = now_ms() + FOUNDING_WAIT_MS;
    while edge.members.group().version == 0 && now_ms() < until_ms {
        pause(FOUNDING_POLL_MS).await;
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
    fn take_shared_configuration(&self, asked_ms: u64, found: SharedConfiguration) {
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

/// Learns endpoints from a near member, which follows the store for all, and from the store
/// itself while no such member has heard from it lately.
async fn follow_endpoints(edge: Rc<Edge>) {
    let mut view = EndpointView::default();
    let mut follower = EndpointWatcher::default();
    wait_for_group(&edge).await;
    loop {
        let shared = edge.members.endpoints(view.update_cursor()).await;
        let told = shared.and_then(decode);
        let changes = told.and_then(|told| view.apply_update(now_ms(), told));
        if let Some(changes) = changes {
            edge.take_endpoints(changes);
            follower.restart();
            edge.store_backoff.borrow_mut().succeed();
            pause(SHARED_ENDPOINTS_INTERVAL_MS).await;
            continue;
        }
        if !edge.store_backoff.borrow().is_over(now_ms()) {
            pause(FAILED_READ_PAUSE_MS).await;
            continue;
        }
        match follower.read(&*edge.store, ENTRY_WATCH_MS).await {
            Ok(read) => {
                let changes = view.apply_read(now_ms(), read);
                let has_changes = !changes.is_empty();
                edge.take_endpoints(changes);
                edge.store_backoff.borrow_mut().succeed();
                if has_changes {
                    pause(CHANGE_BATCH_MS).await;
                }
            }
            Err(_) => {
                edge.store_backoff.borrow_mut().fail(now_ms());
                pause(FAILED_READ_PAUSE_MS).await;
            }
        }
    }
}

fn decode(told: SharedEndpoints) -> Option<EndpointUpdate> {
    match postcard::from_bytes(&told.content) {
        Ok(changes) => Some(EndpointUpdate {
            cursor: told.cursor,
            revision: told.revision,
            is_complete: told.is_complete,
            changes,
        }),
        Err(error) => {
            log::warn!("event=endpoints_unreadable reason={error:?}");
            None
        }
    }
}

impl Edge {
    fn take_endpoints(&self, changes: Vec<EndpointChange>) {
        let mut balancer = self.balancer.borrow_mut();
        for change in changes {
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
        self.has_endpoints.set(true);
    }
}

/// Members tell of a newer group whenever they are asked something that needs it, so the record
/// is read only while the group is not known, does not answer, or is known to have changed.
async fn read_group(edge: Rc<Edge>) {
    loop {
        if edge.members.is_group_current(now_ms()) {
            pause(GROUP_INTERVAL_MS).await;
            continue;
        }
        match edge.store.internal_records(GROUP_RECORD, true).await {
            Ok(records) => {
                edge.members.note_store();
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

/// Follows how many entry instances of the zone are there.
async fn follow_presence(edge: Rc<Edge>) {
    loop {
        pause(PRESENCE_INTERVAL_MS).await;
        let presence = edge.members.zone_presence(&edge.settings.name).await;
        let is_zone_away = presence.is_some_and(is_majority_absent);
        if is_zone_away != edge.is_zone_mostly_away.replace(is_zone_away) {
            let ZonePresence { known, present } = presence.unwrap_or_default();
            log::warn!(
                "event=zone_presence mostly_away={is_zone_away} known={known} present={present}"
            );
        }
    }
}
