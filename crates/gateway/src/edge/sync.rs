//! Background tasks of an entry instance: they keep the configuration, the endpoints, the group
//! and the presence of the zone up to date, fetch rate-limit tokens and close idle connections.
//!
//! Configuration and endpoints come from a member, which reads the metadata store on behalf of
//! all entry instances. The store itself is called only while no member has current data.

use std::rc::Rc;

use jayreel_ledger::{
    Group, SharedChanges, SharedConfiguration, SharedEvacuations, ZonePresence,
};

use crate::clock::{now_ms, pause};
use crate::directory::{ConfigurationRead, EndpointChange, Evacuations, MetadataError};
use crate::edge::Edge;
use crate::edge::quota::REFILL_INTERVAL_MS;
use crate::endpoint_view::{
    CHANGE_BATCH_MS, ENTRY_WATCH_MS, EndpointUpdate, EndpointView, EndpointWatcher,
};
use crate::loop_monitor::monitor_loop;
use crate::membership::GROUP_RECORD;
use crate::presence::{PRESENCE_INTERVAL_MS, is_majority_absent};
use crate::zone_state::ZoneChange;

/// Interval at which the configuration and the evacuated zones are read, as a fraction of
/// `Bounds::configuration_ms` or `Bounds::evacuation_ms`, whichever is shorter. A change still takes effect in time if the member's copy is `MAX_SHARED_AGE_MS` old and one read
/// fails.
const READ_INTERVAL_FRACTION: f64 = 0.3;

/// Largest age at which a member's configuration is accepted, in milliseconds: slightly more
/// than the interval at which members read it.
const MAX_SHARED_AGE_MS: u64 = 1_000;

/// Largest number of log lines for one change of the set of evacuated zones. The rest is counted.
const MAX_ZONE_LINES: usize = 16;

/// Pause after a failed read of the metadata store, in milliseconds.
const FAILED_READ_RETRY_MS: u64 = 200;

/// The configuration is requested from all members if it was last confirmed to be current this long
/// ago, in milliseconds: several reads of the store have failed by then.
const MAX_UNCONFIRMED_AGE_MS: u64 = 2_000;

/// Interval at which endpoint changes are requested from a member, in milliseconds. Together with
/// the pause between the member's own calls, a draining endpoint is known within one second.
const SHARED_ENDPOINTS_INTERVAL_MS: u64 = 250;

/// Interval at which it is checked whether the group's record must be read, in milliseconds.
const GROUP_CHECK_INTERVAL_MS: u64 = 2_000;

/// Interval at which the group's record is read while no group is known, in milliseconds.
const FIRST_GROUP_READ_INTERVAL_MS: u64 = 400;

/// Pause between two probes of the members, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 80;

/// Interval at which expired idle connections are closed, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Interval at which the members are told which stored turns are still used, in milliseconds. A
/// fraction of `RETENTION_MARGIN_MS`, which covers the delay.
const RENEWAL_INTERVAL_MS: u64 = 5_000;

/// Longest wait for a group after the start, in milliseconds. When the whole system starts for
/// the first time, the group is created only after the storage instances have registered.
/// Configuration and endpoints are not read before that, since without a group nothing can be
/// served.
const GROUP_WAIT_MS: u64 = 3_000;

/// Interval at which this wait checks whether a group is known, in milliseconds.
const GROUP_POLL_MS: u64 = 25;

/// Starts all background tasks. They run until the process ends.
pub(crate) fn start(edge: &Rc<Edge>) {
    tokio::task::spawn_local(read_configuration(Rc::clone(edge)));
    tokio::task::spawn_local(follow_endpoints(Rc::clone(edge)));
    tokio::task::spawn_local(read_group(Rc::clone(edge)));
    tokio::task::spawn_local(refill_quota_loop(Rc::clone(edge)));
    tokio::task::spawn_local(probe_loop(Rc::clone(edge)));
    tokio::task::spawn_local(sweep_loop(Rc::clone(edge)));
    tokio::task::spawn_local(follow_presence(Rc::clone(edge)));
    tokio::task::spawn_local(renew_turns(Rc::clone(edge)));
    tokio::task::spawn_local(monitor_loop());
}

/// Tells the members periodically which stored turns are still used.
async fn renew_turns(edge: Rc<Edge>) {
    loop {
        pause(RENEWAL_INTERVAL_MS).await;
        edge.members.send_renewals().await;
    }
}

/// Reads the configuration and the evacuated zones periodically from the nearest member, or from
/// the metadata store while that member does not respond or its copy is too old.
async fn read_configuration(edge: Rc<Edge>) {
    let bounds = edge.settings.bounds;
    let bound_ms = bounds.evacuation_ms.unwrap_or(u64::MAX);
    let bound_ms = bound_ms.min(bounds.configuration_ms) as f64;
    let interval_ms = (bound_ms * READ_INTERVAL_FRACTION) as u64;
    let mut is_reachable = true;
    wait_for_group(&edge).await;
    loop {
        let began_ms = now_ms();
        let known = edge.configuration_revision.get();
        let shared = edge.members.nearest_configuration(known).await;
        if let Some(mut found) = shared.filter(|found| found.age_ms <= MAX_SHARED_AGE_MS)
        {
            // Before the configuration, without which nothing is sent to any zone.
            edge.apply_shared_evacuations(began_ms, found.evacuations.take());
            if !edge.has_recent_evacuations() {
                edge.read_evacuations().await;
            }
            edge.apply_shared_configuration(began_ms, found);
            if !is_reachable {
                log::info!("event=store_regained by=member");
                is_reachable = true;
            }
            edge.store_backoff.borrow_mut().succeed();
            pause(interval_ms).await;
            continue;
        }
        if !edge.store_backoff.borrow().is_over(now_ms()) {
            read_configuration_from_members(&edge).await;
            pause(FAILED_READ_RETRY_MS).await;
            continue;
        }
        let (configuration, ()) = futures::future::join(
            edge.store.configuration(known),
            edge.read_evacuations(),
        )
        .await;
        match configuration {
            Ok(read) => {
                edge.members.record_store_response();
                edge.apply_configuration(began_ms, read);
                log_store_transition(&mut is_reachable, None);
                edge.store_backoff.borrow_mut().succeed();
                pause(interval_ms).await;
            }
            Err(error) => {
                log_store_transition(&mut is_reachable, Some(&error));
                edge.store_backoff.borrow_mut().fail(now_ms());
                read_configuration_from_members(&edge).await;
                pause(FAILED_READ_RETRY_MS).await;
            }
        }
    }
}

/// Waits until a group is known, but no longer than `GROUP_WAIT_MS`.
async fn wait_for_group(edge: &Edge) {
    let until_ms = now_ms() + GROUP_WAIT_MS;
    while edge.members.group().version == 0 && now_ms() < until_ms {
        pause(GROUP_POLL_MS).await;
    }
}

/// Logs the first failure of the metadata store and its first success after that.
fn log_store_transition(is_reachable: &mut bool, error: Option<&MetadataError>) {
    match (error, *is_reachable) {
        (Some(error), true) => log::warn!("event=store_lost reason={error:?}"),
        (None, false) => log::info!("event=store_regained"),
        _ => {}
    }
    *is_reachable = error.is_none();
}

/// Reads the configuration from all members if it has not been confirmed for
/// `MAX_UNCONFIRMED_AGE_MS`: the metadata store may be reachable from them though not from here.
async fn read_configuration_from_members(edge: &Rc<Edge>) {
    let age_ms = edge.freshness.borrow().age_ms(now_ms());
    if age_ms.is_some_and(|age_ms| age_ms < MAX_UNCONFIRMED_AGE_MS) {
        return;
    }
    let requested_ms = now_ms();
    let known = edge.configuration_revision.get();
    for mut found in edge.members.configuration(known).await {
        edge.apply_shared_evacuations(requested_ms, found.evacuations.take());
        edge.apply_shared_configuration(requested_ms, found);
    }
}

impl Edge {
    /// Whether the known evacuated zones are recent enough not to read them from the metadata store.
    fn has_recent_evacuations(&self) -> bool {
        let age_ms = self.evacuations.borrow().age_ms(now_ms());
        age_ms.is_some_and(|age_ms| age_ms <= MAX_SHARED_AGE_MS)
    }

    /// Reads the evacuated zones from the metadata store, unless that failed shortly before. Does
    /// nothing if the operator does not evacuate zones.
    async fn read_evacuations(&self) {
        let is_delayed = !self.evacuation_backoff.borrow().is_over(now_ms());
        if self.settings.bounds.evacuation_ms.is_none() || is_delayed {
            return;
        }
        let read_began_ms = now_ms();
        match self.store.evacuations().await {
            Ok(evacuations) => {
                self.evacuation_backoff.borrow_mut().succeed();
                self.apply_evacuations(read_began_ms, evacuations);
            }
            Err(error) => {
                log::debug!("event=evacuations_unread reason={error:?}");
                self.evacuation_backoff.borrow_mut().fail(now_ms());
            }
        }
    }

    /// Applies the evacuated zones that a member sent in the response to a request sent at
    /// `requested_ms`.
    fn apply_shared_evacuations(
        &self,
        requested_ms: u64,
        shared: Option<SharedEvacuations>,
    ) {
        if let Some(shared) = shared {
            let read_began_ms = requested_ms.saturating_sub(shared.age_ms);
            self.apply_evacuations(read_began_ms, shared.into());
        }
    }

    /// Applies the evacuated zones to the balancer, if they are the newest, and logs the changes.
    fn apply_evacuations(&self, read_began_ms: u64, read: Evacuations) {
        let mut balancer = self.balancer.borrow_mut();
        let mut evacuations = self.evacuations.borrow_mut();
        let is_in_use = |zone: &str| balancer.endpoints_in(zone) > 0;
        if !evacuations.apply(read_began_ms, read, is_in_use) {
            return;
        }
        if evacuations.ignored() > 0 {
            log::warn!("event=evacuations_ignored count={}", evacuations.ignored());
        }
        self.metrics.set_evacuated_zones(evacuations.zones().len());
        let changes = balancer.set_evacuated(now_ms(), evacuations.zones());
        for change in changes.iter().take(MAX_ZONE_LINES) {
            match change {
                ZoneChange::Evacuated { zone } => log::info!(
                    "event=zone_evacuated zone={zone:?} endpoints={}",
                    balancer.endpoints_in(zone)
                ),
                ZoneChange::Restored { zone, evacuated_ms } => log::info!(
                    "event=zone_restored zone={zone:?} endpoints={} \
                     evacuated_ms={evacuated_ms}",
                    balancer.endpoints_in(zone)
                ),
            }
        }
        if changes.len() > MAX_ZONE_LINES {
            let omitted = changes.len() - MAX_ZONE_LINES;
            log::info!("event=zone_changes_summed count={omitted}");
        }
    }

    /// Applies a configuration that a member read. Its age counts back from `requested_ms`, when
    /// the request was sent, so that it is never underestimated.
    fn apply_shared_configuration(&self, requested_ms: u64, found: SharedConfiguration) {
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
        self.apply_configuration(requested_ms.saturating_sub(found.age_ms), read);
    }

    /// Applies a configuration that was the newest at `read_began_ms`, or confirms the current one.
    /// Older revisions are ignored, so that a change is never undone.
    fn apply_configuration(&self, read_began_ms: u64, read: ConfigurationRead) {
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
                let cold_rates = configuration.cold_rates();
                self.balancer.borrow_mut().set_cold_rates(cold_rates);
                self.configuration_revision.set(read.revision);
                *self.configuration.borrow_mut() = Rc::new(configuration);
                self.freshness.borrow_mut().confirm(read_began_ms);
            }
            _ if read.revision == known && known > 0 => {
                self.freshness.borrow_mut().confirm(read_began_ms);
            }
            _ => {}
        }
    }
}

/// Reads changes of endpoints from a near member, or from the metadata store while no such member
/// has had a response of the store recently.
async fn follow_endpoints(edge: Rc<Edge>) {
    let mut view = EndpointView::default();
    let mut watcher = EndpointWatcher::default();
    wait_for_group(&edge).await;
    loop {
        let requested_ms = now_ms();
        let known_suspects = edge.suspects.borrow().version();
        let found = edge
            .members
            .endpoints(view.update_cursor(), known_suspects)
            .await;
        let mut update = None;
        for shared in found {
            let mut balancer = edge.balancer.borrow_mut();
            balancer.learn_limits(requested_ms, &shared.limits);
            drop(balancer);
            edge.apply_suspects(requested_ms, shared.suspects);
            update = shared.changes.and_then(decode_endpoint_update);
        }
        let changes = update.and_then(|update| view.apply_update(now_ms(), update));
        if let Some(changes) = changes {
            edge.apply_endpoints(changes);
            watcher.restart();
            edge.store_backoff.borrow_mut().succeed();
            pause(SHARED_ENDPOINTS_INTERVAL_MS).await;
            continue;
        }
        if !edge.store_backoff.borrow().is_over(now_ms()) {
            pause(FAILED_READ_RETRY_MS).await;
            continue;
        }
        match watcher.read(&*edge.store, ENTRY_WATCH_MS).await {
            Ok(read) => {
                let changes = view.apply_read(now_ms(), read);
                let has_changes = !changes.is_empty();
                edge.apply_endpoints(changes);
                edge.store_backoff.borrow_mut().succeed();
                if has_changes {
                    pause(CHANGE_BATCH_MS).await;
                }
            }
            Err(_) => {
                edge.store_backoff.borrow_mut().fail(now_ms());
                pause(FAILED_READ_RETRY_MS).await;
            }
        }
    }
}

/// Decodes the changes of endpoints that a member sent. `None` if they are unreadable.
fn decode_endpoint_update(shared: SharedChanges) -> Option<EndpointUpdate> {
    match postcard::from_bytes(&shared.content) {
        Ok(changes) => Some(EndpointUpdate {
            cursor: shared.cursor,
            revision: shared.revision,
            is_complete: shared.is_complete,
            changes,
        }),
        Err(error) => {
            log::warn!("event=endpoints_unreadable reason={error:?}");
            None
        }
    }
}

impl Edge {
    /// Applies changes of endpoints to the balancer.
    fn apply_endpoints(&self, changes: Vec<EndpointChange>) {
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
                    let (id, left_ms) = (entry.id.clone(), entry.cold_left_ms);
                    balancer.upsert(entry);
                    if balancer.register_cold(now_ms(), &id, left_ms) {
                        log::info!(
                            "event=endpoint_cold endpoint={id} left_ms={left_ms} \
                             source=registry"
                        );
                    }
                }
                EndpointChange::Removed(id) => {
                    log::info!("event=endpoint_gone id={id}");
                    balancer.remove(&id);
                }
            }
        }
        self.has_endpoints.set(true);
    }
}

/// Reads the group's record from the metadata store, but only while no group is known, the known
/// one has no quorum, or a member has reported a newer one. Otherwise members return a newer group
/// in their response to any request that depends on it.
async fn read_group(edge: Rc<Edge>) {
    loop {
        if edge.members.is_group_current(now_ms()) {
            pause(GROUP_CHECK_INTERVAL_MS).await;
            continue;
        }
        match edge.store.internal_records(GROUP_RECORD, true).await {
            Ok(records) => {
                edge.members.record_store_response();
                let record = records.iter().find(|record| record.name == GROUP_RECORD);
                if let Some(record) = record {
                    adopt_record(&edge, &record.content);
                }
            }
            Err(error) => log::debug!("event=group_unread reason={error:?}"),
        }
        let is_known = edge.members.group().version > 0;
        pause(if is_known {
            GROUP_CHECK_INTERVAL_MS
        } else {
            FIRST_GROUP_READ_INTERVAL_MS
        })
        .await;
    }
}

/// Switches to the group of a record read from the metadata store.
fn adopt_record(edge: &Edge, content: &[u8]) {
    match postcard::from_bytes::<Group>(content) {
        Ok(group) => edge.members.adopt(group),
        Err(error) => log::warn!("event=group_unreadable reason={error:?}"),
    }
}

/// Probes the members, and logs when the quorum is lost or regained.
async fn probe_loop(edge: Rc<Edge>) {
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

/// Fetches rate-limit tokens in advance.
async fn refill_quota_loop(edge: Rc<Edge>) {
    loop {
        pause(REFILL_INTERVAL_MS).await;
        edge.refill_quota().await;
    }
}

/// Closes expired idle connections and logs the number of omitted log lines.
async fn sweep_loop(edge: Rc<Edge>) {
    loop {
        pause(SWEEP_INTERVAL_MS).await;
        edge.log_omitted_responses();
        edge.suspects.borrow_mut().expire(now_ms());
        let balancer = edge.balancer.borrow();
        let mut pool = edge.pool.borrow_mut();
        pool.sweep(now_ms(), |key| balancer.contains(key));
    }
}

/// Reports the presence of this instance to its zone's member, and reads from the response whether
/// fewer than half of the entry instances of the zone are present.
async fn follow_presence(edge: Rc<Edge>) {
    loop {
        pause(PRESENCE_INTERVAL_MS).await;
        let presence = edge.members.zone_presence(&edge.settings.name).await;
        let majority_absent = presence.is_some_and(is_majority_absent);
        if majority_absent != edge.is_zone_majority_absent.replace(majority_absent) {
            let ZonePresence { known, present } = presence.unwrap_or_default();
            log::warn!(
                "event=zone_presence mostly_away={majority_absent} known={known} \
                 present={present}"
            );
        }
    }
}
