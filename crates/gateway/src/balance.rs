//! Load balancing: chooses the endpoint for each request.
//!
//! Other entry instances send to the same endpoints, and a load that an endpoint reports is
//! outdated by the time it is used. The load of an endpoint is therefore estimated as the
//! requests that this instance has in flight there, plus the load caused by other instances
//! as of the last report. The second part decays exponentially with the age of the report,
//! since nothing is known about how those requests went on.

mod explain;

use std::collections::HashMap;
use std::net::SocketAddr;

use jayreel_hedging::EndpointState;
use jayreel_ledger::{EndpointLimit, EndpointRun};
use slotmap::{SlotMap, new_key_type};

use crate::directory::EndpointEntry;
use crate::limit_view::LimitView;
use crate::protocol::Load;

pub use explain::ExplainedEndpoint;

new_key_type! {
    /// Identifies one run of an endpoint. A restarted endpoint gets a new key.
    pub struct EndpointKey;
}

/// Half-life of the load that other instances cause, in milliseconds: about the duration of a
/// request.
const OTHERS_HALF_LIFE_MS: f64 = 400.0;

/// Score penalty for an endpoint in another availability zone, in units of load per slot.
/// Traffic between zones is expensive.
const REMOTE_ZONE_PENALTY: f64 = 0.7;

/// Score bonus, in units of load per slot, for the endpoint that has the program's earlier
/// turns in its cache.
const AFFINITY_BONUS: f64 = 0.10;

/// Pause after the first failure of an endpoint, in milliseconds. It doubles with each
/// consecutive failure.
const INITIAL_PAUSE_MS: u64 = 250;

/// Upper bound of the pause, in milliseconds: a recovered endpoint is used again within the
/// time in which the registry would announce a new one.
const MAX_PAUSE_MS: u64 = 2_000;

/// Pause of an endpoint that sent something else than responses, in milliseconds.
const MISBEHAVIOUR_PAUSE_MS: u64 = 3_000;

/// Weight of the newest time to first byte in an endpoint's moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Time constant, in milliseconds, with which an endpoint's slowness decays towards the
/// service's average, so that an endpoint that was slow is tried again.
const SLOWNESS_DECAY_MS: f64 = 4_000.0;

/// Score penalty for an endpoint that only fails, in units of load per slot. Larger than the
/// penalty for a remote zone, so that requests leave a zone in which every endpoint fails.
const ERROR_PENALTY: f64 = 1.0;

/// Weight of a failed request in an endpoint's error rate. An instance sends few requests a
/// second to one endpoint, so a single error must be enough to try others.
const ERROR_WEIGHT: f64 = 0.5;

/// Weight of a successful request in an endpoint's error rate. Lower than that of an error,
/// since an endpoint may fail only some of its requests.
const SUCCESS_WEIGHT: f64 = 0.1;

/// Time constant, in milliseconds, with which the error rate decays. An instance sends a
/// healthy endpoint a request every few seconds.
const ERROR_DECAY_MS: f64 = 5_000.0;

/// Load per slot above which an endpoint counts as overloaded. The queue of an endpoint is
/// three times its slots.
const OVERLOAD_LOAD_PER_SLOT: f64 = 3.5;

/// What this instance knows about one run of an endpoint.
#[derive(Debug)]
struct Endpoint {
    entry: EndpointEntry,
    /// Requests of this instance that are in flight.
    own_requests: u32,
    /// Requests of other instances as of `reported_ms`.
    other_requests: f64,
    reported_ms: u64,
    consecutive_failures: u32,
    /// Until this time the endpoint is chosen only without an alternative.
    paused_until_ms: u64,
    /// No connection could be made, and none has been made since.
    is_suspended: bool,
    /// A response said that this run of the endpoint is about to stop.
    is_leaving: bool,
    /// The rate of requests that the endpoint accepts from all instances together.
    limit: LimitView,
    /// Average time to first byte, divided by the service's average. Valid at `slowness_ms`.
    slowness: f64,
    slowness_ms: u64,
    /// Exponentially weighted share of the requests that failed or got no response, from 0 to
    /// 1. Valid at `error_rate_ms`.
    error_rate: f64,
    error_rate_ms: u64,
}

/// The endpoint chosen for one send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Its key in the balancer.
    pub key: EndpointKey,
    /// Its identifier in the registry.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is in another availability zone than this instance.
    pub is_remote: bool,
    /// Whether the endpoint limits the rate of requests, so that a token is needed.
    pub needs_token: bool,
}

/// Load, errors and latency of all endpoints, as one entry instance observes them.
#[derive(Debug)]
pub struct Balancer {
    availability_zone: String,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Keys by the endpoints' identifiers.
    by_id: HashMap<String, EndpointKey>,
    /// Average time to first byte by service, in milliseconds.
    service_latency_ms: HashMap<String, f64>,
}

impl Balancer {
    /// A balancer without endpoints, for an instance in `availability_zone`.
    pub fn new(availability_zone: &str) -> Balancer {
        Balancer {
            availability_zone: availability_zone.to_string(),
            endpoints: SlotMap::with_key(),
            by_id: HashMap::new(),
            service_latency_ms: HashMap::new(),
        }
    }

    /// Adds an endpoint or updates its entry. If it was restarted under the same identifier,
    /// everything observed about the earlier run is dropped.
    pub fn upsert(&mut self, entry: EndpointEntry) {
        let known = self.by_id.get(&entry.id).copied();
        let existing = known.and_then(|key| self.endpoints.get_mut(key));
        match existing {
            Some(endpoint) if is_same_run(&endpoint.entry, &entry) => {
                endpoint.entry = entry;
            }
            _ => {
                self.remove(&entry.id);
                self.insert(entry);
            }
        }
    }

    fn insert(&mut self, entry: EndpointEntry) {
        let id = entry.id.clone();
        let key = self.endpoints.insert(Endpoint {
            entry,
            own_requests: 0,
            other_requests: 0.0,
            reported_ms: 0,
            consecutive_failures: 0,
            paused_until_ms: 0,
            is_suspended: false,
            is_leaving: false,
            limit: LimitView::default(),
            slowness: 1.0,
            slowness_ms: 0,
            error_rate: 0.0,
            error_rate_ms: 0,
        });
        self.by_id.insert(id, key);
    }

    /// Removes an endpoint that is no longer registered.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            self.endpoints.remove(key);
        }
    }

    /// Whether this run of an endpoint is still registered.
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.endpoints.contains_key(key)
    }

    /// The run of an endpoint that a pick is for.
    pub fn run(&self, pick: &Pick) -> EndpointRun {
        let endpoint = self.endpoints.get(pick.key);
        let started_unix_ms = endpoint.and_then(|one| one.entry.started_unix_ms);
        EndpointRun::new(&pick.id, started_unix_ms)
    }

    /// Whether any endpoint of a service accepts new requests.
    pub fn serves(&self, service: &str) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.accepts(service))
    }

    /// Chooses the endpoint of a service with the lowest score. `affinity` is the identifier of
    /// the endpoint that ran the program's last turn; endpoints in `tried` are left out.
    ///
    /// An endpoint that failed recently is chosen only if there is no other. One that has reached
    /// its limit is not chosen.
    pub fn pick(
        &self,
        now_ms: u64,
        service: &str,
        affinity: Option<&str>,
        tried: &[String],
    ) -> Option<Pick> {
        let scored = self.scored(now_ms, service, affinity, tried);
        let best = scored.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b));
        best.map(|(key, endpoint, _)| self.picked(now_ms, key, endpoint))
    }

    /// Like `pick`, but all endpoints that may be chosen, the best first. Ends with the first one
    /// that needs no token.
    pub fn candidates(
        &self,
        now_ms: u64,
        service: &str,
        affinity: Option<&str>,
        tried: &[String],
    ) -> Vec<Pick> {
        let mut scored: Vec<_> = self.scored(now_ms, service, affinity, tried).collect();
        scored.sort_by(|(_, _, a), (_, _, b)| a.total_cmp(b));
        let needing = scored
            .iter()
            .take_while(|(_, endpoint, _)| endpoint.limit.needs_token(now_ms))
            .count();
        let scored = scored.into_iter().take(needing + 1);
        scored
            .map(|(key, endpoint, _)| self.picked(now_ms, key, endpoint))
            .collect()
    }

    /// All endpoints of a service that may be chosen, with what decides whether a request that was
    /// sent to those in `tried` may be hedged there.
    pub fn hedge_candidates(
        &self,
        now_ms: u64,
        service: &str,
        tried: &[String],
    ) -> Vec<(Pick, EndpointState<'_>)> {
        let scored = self.scored(now_ms, service, None, &[]);
        let candidate = |(key, endpoint, score): (EndpointKey, &Endpoint, f64)| {
            let pick = self.picked(now_ms, key, endpoint);
            let state = EndpointState {
                zone: &self.endpoints[key].entry.availability_zone,
                score,
                load_per_slot: endpoint.load(now_ms),
                slowness: endpoint.slowness_at(now_ms),
                error_rate: endpoint.error_rate_at(now_ms),
                is_paused: endpoint.paused_until_ms > now_ms || endpoint.is_suspended,
                needs_token: pick.needs_token,
                is_tried: tried.contains(&pick.id),
            };
            (pick, state)
        };
        scored.map(candidate).collect()
    }

    /// The endpoints that may be chosen, with their scores.
    fn scored<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
        affinity: Option<&'a str>,
        tried: &'a [String],
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint, f64)> {
        let usable = self.endpoints.iter().filter(move |(_, endpoint)| {
            endpoint.accepts(service)
                && !tried.contains(&endpoint.entry.id)
                && endpoint.limit.wait_ms(now_ms) == 0
        });
        usable.map(move |(key, endpoint)| {
            (key, endpoint, self.score(now_ms, endpoint, affinity))
        })
    }

    fn picked(&self, now_ms: u64, key: EndpointKey, endpoint: &Endpoint) -> Pick {
        Pick {
            key,
            id: endpoint.entry.id.clone(),
            address: endpoint.entry.address,
            is_remote: endpoint.entry.availability_zone != self.availability_zone,
            needs_token: endpoint.limit.needs_token(now_ms),
        }
    }

    /// Estimated load per slot with one more request, corrected by penalties and bonuses.
    /// Lower is better. The terms for paused and suspended endpoints exceed all others.
    fn score(&self, now_ms: u64, endpoint: &Endpoint, affinity: Option<&str>) -> f64 {
        let load = endpoint.load(now_ms) + 1.0 / f64::from(endpoint.entry.slots);
        let is_remote = endpoint.entry.availability_zone != self.availability_zone;
        let holds_cache = affinity == Some(endpoint.entry.id.as_str());
        let pause_penalty = match endpoint.paused_until_ms > now_ms {
            true => 1_000.0 + f64::from(endpoint.consecutive_failures),
            false => 0.0,
        };
        let suspension_penalty = if endpoint.is_suspended { 10_000.0 } else { 0.0 };
        let zone_penalty = if is_remote { REMOTE_ZONE_PENALTY } else { 0.0 };
        let cache_bonus = if holds_cache { AFFINITY_BONUS } else { 0.0 };
        let slowness = endpoint.slowness_at(now_ms);
        let error_penalty = ERROR_PENALTY * endpoint.error_rate_at(now_ms);
        load * slowness + (slowness - 1.0) * 0.5 + error_penalty + zone_penalty
            - cache_bonus
            + pause_penalty
            + suspension_penalty
    }

    /// Whether every endpoint of a service has more work than it can queue, judged by its
    /// estimated load, or has reached its limit.
    pub fn is_overloaded(&self, now_ms: u64, service: &str) -> bool {
        let mut usable = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.accepts(service));
        usable.all(|endpoint| {
            endpoint.load(now_ms) > OVERLOAD_LOAD_PER_SLOT
                || endpoint.limit.wait_ms(now_ms) > 0
        })
    }

    /// Counts a request as in flight at an endpoint.
    pub fn begin(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own_requests += 1;
        }
    }

    /// Counts a request as finished, whatever its outcome. Called once for each `begin`.
    pub fn end(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own_requests = endpoint.own_requests.saturating_sub(1);
        }
    }

    /// Records that a response of the endpoint said that it is about to stop. Its entry in the
    /// registry may say so later or not at all. Returns whether that is news.
    pub fn mark_leaving(&mut self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get_mut(key);
        endpoint
            .is_some_and(|endpoint| !std::mem::replace(&mut endpoint.is_leaving, true))
    }

    /// Records the limit that a response of the endpoint named, or that it named none. The request
    /// was sent at `sent_ms`. Returns what to tell the members, if they should be told.
    pub fn hear_limit(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        key: EndpointKey,
        limit_per_s: Option<f64>,
    ) -> Option<EndpointLimit> {
        let endpoint = self.endpoints.get_mut(key)?;
        let is_news = endpoint.limit.hear(now_ms, sent_ms, limit_per_s);
        is_news.then(|| endpoint.limit_report(now_ms))
    }

    /// Takes the limits that a member listed in the response to a request sent at `requested_ms`.
    pub fn learn_limits(&mut self, requested_ms: u64, limits: &[EndpointLimit]) {
        for limit in limits {
            let key = self.by_id.get(&limit.endpoint).copied();
            let endpoint = key.and_then(|key| self.endpoints.get_mut(key));
            if let Some(endpoint) = endpoint {
                endpoint.limit.learn(requested_ms, limit.report);
            }
        }
    }

    /// Records that no member has a token for an endpoint for `wait_ms`.
    pub fn exhaust_limit(&mut self, now_ms: u64, key: EndpointKey, wait_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.limit.exhaust(now_ms, wait_ms);
        }
    }

    /// What is known about the limit of an endpoint, for the members. `None` if it is gone.
    pub fn limit_report(&self, now_ms: u64, key: EndpointKey) -> Option<EndpointLimit> {
        let endpoint = self.endpoints.get(key)?;
        Some(endpoint.limit_report(now_ms))
    }

    /// If every endpoint of a service has reached its limit: how long until one of them may
    /// accept a request again, in milliseconds.
    pub fn limit_wait_ms(&self, now_ms: u64, service: &str) -> Option<u64> {
        let endpoints = self.endpoints.values();
        let usable = endpoints.filter(|endpoint| endpoint.accepts(service));
        let wait_ms = usable.map(|endpoint| endpoint.limit.wait_ms(now_ms)).min();
        wait_ms.filter(|wait_ms| *wait_ms > 0)
    }

    /// Takes the load that an endpoint reports in the head of a response. It includes the
    /// request to which the response belongs.
    pub fn report(&mut self, now_ms: u64, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let total = f64::from(load.running) + f64::from(load.waiting);
            endpoint.other_requests = (total - f64::from(endpoint.own_requests)).max(0.0);
            endpoint.reported_ms = now_ms;
        }
    }

    /// Records a request without a usable response, and pauses the endpoint.
    pub fn fail(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let pause_ms = INITIAL_PAUSE_MS << endpoint.consecutive_failures.min(8);
            endpoint.consecutive_failures += 1;
            endpoint.update_error_rate(now_ms, true);
            let until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
            endpoint.paused_until_ms = endpoint.paused_until_ms.max(until_ms);
        }
    }

    /// Pauses an endpoint that sent something else than a response, or a response without end.
    pub fn set_aside(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let until_ms = now_ms + MISBEHAVIOUR_PAUSE_MS;
            endpoint.paused_until_ms = endpoint.paused_until_ms.max(until_ms);
        }
    }

    /// Records that no connection to an endpoint could be made. It is chosen only if there is
    /// no other, until `resume`. Returns false if it was suspended already.
    pub fn suspend(&mut self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get_mut(key);
        endpoint
            .is_some_and(|endpoint| !std::mem::replace(&mut endpoint.is_suspended, true))
    }

    /// Records that a connection was made, which ends suspension and pause.
    pub fn resume(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_suspended = false;
            endpoint.consecutive_failures = 0;
            endpoint.paused_until_ms = 0;
        }
    }

    /// Records that the endpoint rejected a request without running it. Its estimated load is
    /// raised at least to the overload threshold.
    pub fn reject(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let slots = f64::from(endpoint.entry.slots);
            endpoint.other_requests =
                endpoint.other_requests.max(slots * OVERLOAD_LOAD_PER_SLOT);
            endpoint.reported_ms = now_ms;
        }
    }

    /// Records a response that reports a failure of the endpoint. It causes no pause.
    pub fn record_error_response(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.update_error_rate(now_ms, true);
        }
    }

    /// Records that a send was cancelled `elapsed_ms` after it began, because another endpoint had
    /// responded. Its response would have taken at least that long. This is no failure.
    pub fn record_cancelled(&mut self, now_ms: u64, key: EndpointKey, elapsed_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let Some(average_ms) = self.service_latency_ms.get(&endpoint.entry.service)
        else {
            return;
        };
        let relative = (elapsed_ms as f64 / average_ms).min(10.0);
        let slowness = endpoint.slowness_at(now_ms);
        if relative > slowness {
            endpoint.slowness = slowness + (relative - slowness) * LATENCY_WEIGHT;
            endpoint.slowness_ms = now_ms;
        }
    }

    /// Records a successful response whose first byte arrived `elapsed_ms` after the request.
    pub fn succeed(&mut self, now_ms: u64, key: EndpointKey, elapsed_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let elapsed_ms = elapsed_ms.max(1) as f64;
        let service = endpoint.entry.service.clone();
        let average_ms = self.service_latency_ms.entry(service).or_insert(elapsed_ms);
        *average_ms += (elapsed_ms - *average_ms) * LATENCY_WEIGHT / 4.0;
        let relative = (elapsed_ms / *average_ms).clamp(0.5, 10.0);
        let slowness = endpoint.slowness_at(now_ms);
        endpoint.slowness = slowness + (relative - slowness) * LATENCY_WEIGHT;
        endpoint.slowness_ms = now_ms;
        endpoint.update_error_rate(now_ms, false);
        endpoint.consecutive_failures = 0;
        endpoint.paused_until_ms = 0;
    }
}

impl Endpoint {
    /// Whether it accepts new requests for a service.
    fn accepts(&self, service: &str) -> bool {
        let is_ending = self.entry.is_draining || self.is_leaving;
        self.entry.service == service && !is_ending
    }

    fn limit_report(&self, now_ms: u64) -> EndpointLimit {
        EndpointLimit {
            endpoint: self.entry.id.clone(),
            report: self.limit.report(now_ms),
        }
    }

    /// Estimated number of requests, running and waiting, per slot.
    fn load(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        let other_requests = self.other_requests
            * (-age_ms / OTHERS_HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        (f64::from(self.own_requests) + other_requests) / f64::from(self.entry.slots)
    }

    /// Updates the error rate with the outcome of one request.
    fn update_error_rate(&mut self, now_ms: u64, is_error: bool) {
        let before = self.error_rate_at(now_ms);
        self.error_rate = match is_error {
            true => before + (1.0 - before) * ERROR_WEIGHT,
            false => before * (1.0 - SUCCESS_WEIGHT),
        };
        self.error_rate_ms = now_ms;
    }

    /// The error rate, decayed to `now_ms`.
    fn error_rate_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.error_rate_ms) as f64;
        self.error_rate * (-age_ms / ERROR_DECAY_MS).exp()
    }

    /// The slowness, decayed to `now_ms`. At least 1, so a fast endpoint gets no bonus.
    fn slowness_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.slowness_ms) as f64;
        let weight = (-age_ms / SLOWNESS_DECAY_MS).exp();
        (1.0 + (self.slowness - 1.0) * weight).max(1.0)
    }
}

/// Whether two entries with the same identifier are of the same run of an endpoint.
fn is_same_run(known: &EndpointEntry, new: &EndpointEntry) -> bool {
    known.address == new.address
        && known.service == new.service
        && known.started_unix_ms == new.started_unix_ms
}
