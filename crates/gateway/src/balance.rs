//! Load balancing: chooses the endpoint for each request.
//!
//! Other entry instances send to the same endpoints, and a load that an endpoint reports is
//! outdated by the time it is used. The load of an endpoint is therefore estimated as the
//! requests that this instance has in flight there, plus the load caused by other instances
//! as of the last report. The second part decays exponentially with the age of the report,
//! since nothing is known about how those requests went on.

mod choice;
mod endpoint;
mod explain;

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use jayreel_admission::EndpointLoad;
use jayreel_ledger::{EndpointLimit, EndpointRun};
use jayreel_placement::{EndpointHash, Overflow, SpeedEstimate, TokenLoad, WorkFactor};
use slotmap::{SlotMap, new_key_type};

use crate::directory::EndpointEntry;
use crate::home_regions::Target;
use crate::limit_view::LimitView;
use crate::protocol::Load;
use crate::zone_state::{ZoneChange, ZoneStates};

pub use choice::{MemoryBound, PickReason, PickRequest};
pub use explain::ExplainedEndpoint;

new_key_type! {
    /// Identifies one run of an endpoint. A restarted endpoint gets a new key.
    pub struct EndpointKey;
}

/// Weight of the newest report in an endpoint's usual load. An instance hears from an endpoint
/// about once in two seconds.
const USUAL_LOAD_WEIGHT: f64 = 0.2;

/// Weight of the newest report in the usual load of a service's endpoints.
const SERVICE_LOAD_WEIGHT: f64 = 0.02;

/// Weight of the newest request in the average number of tokens of a service's requests.
const REQUEST_TOKENS_WEIGHT: f64 = 0.02;

/// Weight of the newest request in the average time of a service's requests.
const REQUEST_TIME_WEIGHT: f64 = 0.02;

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

/// Load per slot above which an endpoint counts as overloaded. The queue of an endpoint is
/// three times its slots.
const OVERLOAD_LOAD_PER_SLOT: f64 = 3.5;

/// What this instance knows about one run of an endpoint.
#[derive(Debug)]
struct Endpoint {
    entry: EndpointEntry,
    /// Hash of its identifier.
    hash: EndpointHash,
    /// Time per request, relative to that of the service.
    speed: SpeedEstimate,
    /// As last reported. `None` if it has reported none.
    work_factor: Option<WorkFactor>,
    /// Tokens of the requests of this instance.
    tokens: TokenLoad,
    /// Requests of this instance that are in flight.
    own_requests: u32,
    /// Requests of other instances as of `reported_ms`.
    other_requests: f64,
    reported_ms: u64,
    /// Requests waited as of `reported_ms`.
    has_queue: bool,
    /// Average of the reported requests of other instances. `None` before the first report.
    usual_requests: Option<f64>,
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
    /// Why it was chosen.
    pub reason: PickReason,
    /// Whether the rate is limited because it is cold, or was until a moment ago.
    pub is_cold: bool,
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
    /// Availability zones that are evacuated or returning.
    zones: ZoneStates,
    /// Whether programs are assigned to endpoints by rendezvous hashing.
    has_program_affinity: bool,
    /// Rates of cold endpoints by service, in requests per second. Services without one are left
    /// out.
    cold_rates: HashMap<String, f64>,
    /// State of the placement by service. Services whose endpoints have reported no load are
    /// missing.
    placements: HashMap<String, ServicePlacement>,
}

/// State of the placement of one service.
#[derive(Debug, Default)]
struct ServicePlacement {
    /// Its endpoints report work factors, or programs have affinity, so they are ranked by expected
    /// time. Affinity with a ranking by load sends slow endpoints as many programs as fast ones.
    is_timed: bool,
    /// Average time of a request at an endpoint, waiting and the work factor excluded, in
    /// milliseconds. 0 before the first.
    request_ms: f64,
    /// Average number of tokens of a request.
    request_tokens: f64,
    /// Average of the reported requests of other instances per slot.
    usual_load: f64,
    /// Whether requests currently go to other zones.
    overflow: Cell<Overflow>,
}

impl Balancer {
    /// A balancer without endpoints, for an instance in `availability_zone`.
    pub fn new(availability_zone: &str) -> Balancer {
        Balancer {
            availability_zone: availability_zone.to_string(),
            endpoints: SlotMap::with_key(),
            by_id: HashMap::new(),
            service_latency_ms: HashMap::new(),
            zones: ZoneStates::default(),
            has_program_affinity: false,
            cold_rates: HashMap::new(),
            placements: HashMap::new(),
        }
    }

    /// Assigns the programs of all services to endpoints by rendezvous hashing.
    pub fn enable_program_affinity(&mut self) {
        self.has_program_affinity = true;
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
        let cold_per_s = self.cold_rates.get(&entry.service).copied();
        let key = self.endpoints.insert(Endpoint {
            entry,
            hash: EndpointHash::new(&id),
            speed: SpeedEstimate::default(),
            work_factor: None,
            tokens: TokenLoad::default(),
            own_requests: 0,
            other_requests: 0.0,
            reported_ms: 0,
            has_queue: false,
            usual_requests: None,
            consecutive_failures: 0,
            paused_until_ms: 0,
            is_suspended: false,
            is_leaving: false,
            limit: LimitView::new(cold_per_s.unwrap_or_default()),
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

    /// Takes the set of evacuated availability zones, whose endpoints get no new requests. Returns
    /// the changes.
    pub fn set_evacuated(
        &mut self,
        now_ms: u64,
        evacuated: &BTreeSet<String>,
    ) -> Vec<ZoneChange> {
        self.zones.set_evacuated(now_ms, evacuated)
    }

    /// Number of endpoints in an availability zone.
    pub fn endpoints_in(&self, zone: &str) -> usize {
        let endpoints = self.endpoints.values();
        let inside = endpoints.filter(|one| one.entry.availability_zone == zone);
        inside.count()
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
    pub fn serves<'a>(&self, target: impl Into<Target<'a>>) -> bool {
        let target = target.into();
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.accepts(target, &self.zones))
    }

    /// Whether an endpoint is in another availability zone than this instance.
    fn is_remote(&self, endpoint: &Endpoint) -> bool {
        endpoint.entry.availability_zone != self.availability_zone
    }

    /// Whether every endpoint of a service has more work than it can queue, judged by its
    /// estimated load, or has reached its limit.
    pub fn is_overloaded<'a>(&self, now_ms: u64, target: impl Into<Target<'a>>) -> bool {
        let target = target.into();
        let mut usable = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.accepts(target, &self.zones));
        usable.all(|endpoint| {
            endpoint.load(now_ms) > OVERLOAD_LOAD_PER_SLOT
                || endpoint.limit.wait_ms(now_ms) > 0
        })
    }

    /// What is known about the load of the endpoints of a service that this instance would use:
    /// those that accept requests and are not paused, suspended or at their limit.
    pub fn endpoint_loads(&self, now_ms: u64, service: &str) -> Vec<EndpointLoad> {
        let usable = self.endpoints.values().filter(|endpoint| {
            endpoint.accepts(service.into(), &self.zones)
                && !endpoint.is_suspended
                && endpoint.paused_until_ms <= now_ms
                && endpoint.limit.wait_ms(now_ms) == 0
        });
        let load = |endpoint: &Endpoint| {
            let requests = f64::from(endpoint.own_requests) + endpoint.other_requests;
            let is_reported = endpoint.reported_ms > 0;
            EndpointLoad {
                load_per_slot: requests / f64::from(endpoint.entry.slots),
                report_age_ms: is_reported
                    .then(|| now_ms.saturating_sub(endpoint.reported_ms)),
                is_remote: endpoint.entry.availability_zone != self.availability_zone,
            }
        };
        usable.map(load).collect()
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

    /// Counts the tokens of a request that was sent to an endpoint. 0 if they are unknown.
    pub fn hold_tokens(&mut self, key: EndpointKey, tokens: u32) {
        let endpoint = self.endpoints.get_mut(key).filter(|_| tokens > 0);
        if let Some(endpoint) = endpoint {
            endpoint.tokens.begin(tokens);
            if let Some(placement) = self.placements.get_mut(&endpoint.entry.service) {
                let tokens = f64::from(tokens);
                placement.request_tokens +=
                    (tokens - placement.request_tokens) * REQUEST_TOKENS_WEIGHT;
            }
        }
    }

    /// Releases the tokens of a request. Called once for each `hold_tokens`, with the same number.
    pub fn release_tokens(&mut self, key: EndpointKey, tokens: u32) {
        let endpoint = self.endpoints.get_mut(key).filter(|_| tokens > 0);
        if let Some(endpoint) = endpoint {
            endpoint.tokens.end(tokens);
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
                if let Some(cold) = limit.cold {
                    endpoint.limit.learn_cold(requested_ms, cold);
                }
            }
        }
    }

    /// Takes the rates of cold endpoints by service, in requests per second.
    pub fn set_cold_rates(&mut self, cold_rates: HashMap<String, f64>) {
        for endpoint in self.endpoints.values_mut() {
            let cold_per_s = cold_rates.get(&endpoint.entry.service).copied();
            endpoint.limit.set_cold_rate(cold_per_s.unwrap_or_default());
        }
        self.cold_rates = cold_rates;
    }

    /// Takes the cold time in the registry entry of an endpoint. Returns whether its rate is
    /// limited now and that is news.
    pub fn register_cold(&mut self, now_ms: u64, id: &str, left_ms: u64) -> bool {
        let key = self.by_id.get(id).copied();
        let endpoint = key.and_then(|key| self.endpoints.get_mut(key));
        endpoint.is_some_and(|endpoint| {
            left_ms > 0
                && endpoint.limit.extend_cold(now_ms + left_ms)
                && endpoint.limit.is_cold(now_ms)
        })
    }

    /// Records the cold time that a response of the endpoint named. Returns what to tell the
    /// members, if they should be told.
    pub fn hear_cold(
        &mut self,
        now_ms: u64,
        key: EndpointKey,
        left_ms: u64,
    ) -> Option<EndpointLimit> {
        let endpoint = self.endpoints.get_mut(key)?;
        let is_news = endpoint.limit.hear_cold(now_ms, left_ms);
        is_news.then(|| endpoint.limit_report(now_ms))
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
    pub fn limit_wait_ms<'a>(
        &self,
        now_ms: u64,
        target: impl Into<Target<'a>>,
    ) -> Option<u64> {
        let target = target.into();
        let endpoints = self.endpoints.values();
        let usable = endpoints.filter(|endpoint| endpoint.accepts(target, &self.zones));
        let wait_ms = usable.map(|endpoint| endpoint.limit.wait_ms(now_ms)).min();
        wait_ms.filter(|wait_ms| *wait_ms > 0)
    }

    /// Takes the load that an endpoint reports in the head of a response. It includes the
    /// request to which the response belongs.
    pub fn report(&mut self, now_ms: u64, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let total = f64::from(load.running) + f64::from(load.waiting);
            let others = (total - f64::from(endpoint.own_requests)).max(0.0);
            // A report beyond any queue is an error, which must not count for long.
            let slots = f64::from(endpoint.entry.slots);
            let counted = others.min(slots * 2.0 * OVERLOAD_LOAD_PER_SLOT);
            let usual = endpoint.usual_requests.unwrap_or(counted);
            let usual = usual + (counted - usual) * USUAL_LOAD_WEIGHT;
            endpoint.usual_requests = Some(usual);
            endpoint.other_requests = others;
            endpoint.reported_ms = now_ms;
            endpoint.has_queue = load.waiting > 0;
            if let Some(placement) = self.placements.get_mut(&endpoint.entry.service) {
                placement.usual_load +=
                    (counted / slots - placement.usual_load) * SERVICE_LOAD_WEIGHT;
            }
        }
    }

    /// Takes the work factor that an endpoint reports along with its load, if it does. From the
    /// first one on, the endpoints of its service are ranked by expected time; where programs have
    /// affinity, from the first load on.
    pub fn report_work_factor(
        &mut self,
        now_ms: u64,
        key: EndpointKey,
        factor: Option<f64>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let factor = factor.and_then(|factor| WorkFactor::new(now_ms, factor));
        if factor.is_some() {
            endpoint.work_factor = factor;
        }
        let service = &endpoint.entry.service;
        if !self.placements.contains_key(service) {
            self.placements
                .insert(service.clone(), ServicePlacement::default());
        }
        if let Some(placement) = self.placements.get_mut(service) {
            placement.is_timed |= factor.is_some() || self.has_program_affinity;
        }
    }

    /// Records a successful response that was complete `elapsed_ms` after the request was sent.
    pub fn complete(&mut self, now_ms: u64, key: EndpointKey, elapsed_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let Some(placement) = self.placements.get_mut(&endpoint.entry.service) else {
            return;
        };
        // How long a request waited is unknown. Estimates corrected by the load at the end made
        // endpoints with growing queues look fast. The last report is that of the response.
        if endpoint.has_queue {
            return;
        }
        let factor = endpoint.work_factor_at(now_ms);
        let request_ms = elapsed_ms.max(1) as f64 / factor;
        match placement.request_ms > 0.0 {
            true => {
                placement.request_ms +=
                    (request_ms - placement.request_ms) * REQUEST_TIME_WEIGHT;
            }
            false => placement.request_ms = request_ms,
        }
        let observed = request_ms / placement.request_ms;
        endpoint.speed.learn(now_ms, observed);
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

/// Whether two entries with the same identifier are of the same run of an endpoint.
pub(crate) fn is_same_run(known: &EndpointEntry, new: &EndpointEntry) -> bool {
    known.address == new.address
        && known.service == new.service
        && known.started_unix_ms == new.started_unix_ms
}
