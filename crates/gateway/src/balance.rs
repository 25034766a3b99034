//! Which endpoint gets the next request.
//!
//! Other instances send to the same endpoints, and what endpoints tell of their load is old
//! by the time it is used. The estimate is the last report, corrected by what this instance
//! sent and finished since; the part that comes from others fades, since nothing is known
//! about how it went on.

use std::collections::HashMap;
use std::net::SocketAddr;

use slotmap::{SlotMap, new_key_type};

use crate::directory::EndpointEntry;
use crate::protocol::Load;

new_key_type! {
    /// An endpoint that is known.
    pub struct EndpointKey;
}

/// Half of the load that others were seen to cause is forgotten in this time, in
/// milliseconds: about the length of a request.
const OTHERS_HALF_LIFE_MS: f64 = 400.0;

/// Load that an endpoint of another availability zone must have less, relative to its slots,
/// to be preferred. Traffic between zones is dear.
const ZONE_PENALTY: f64 = 0.7;

/// Advantage, relative to its slots, of the endpoint that holds the program's earlier turns
/// in its cache.
const AFFINITY_BONUS: f64 = 0.10;

/// First pause after a failure, in milliseconds. It doubles with each further one.
const FIRST_PAUSE_MS: u64 = 250;

/// Longest pause after failures, in milliseconds: an endpoint that is back is found within
/// the time in which the registry would tell of a new one.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// A time to the first byte counts with this weight in the average of an endpoint.
const SPEED_WEIGHT: f64 = 0.2;

/// Averages of speed fade toward the service's in this time, in milliseconds, so that an
/// endpoint that was slow is tried again.
const SPEED_MEMORY_MS: f64 = 4_000.0;

/// Load that an endpoint which answers only with errors, or not at all, must have less, relative to its slots,
/// to be preferred. More than a zone's penalty, so that errors of a whole zone are left.
const ERROR_PENALTY: f64 = 1.0;

/// An error counts with this weight in the part of errors: an instance sends an endpoint few
/// requests a second, so one must be enough to try others.
const ERROR_WEIGHT: f64 = 0.5;

/// An answer without an error counts with this weight in the part of errors, less than an
/// error, since an endpoint may fail some requests only.
const SUCCESS_WEIGHT: f64 = 0.1;

/// The part of errors fades in this time, in milliseconds: an instance sends a healthy endpoint
/// a request every few seconds.
const ERROR_MEMORY_MS: f64 = 5_000.0;

/// Estimated load in multiples of the slots from which an endpoint counts as overloaded: its
/// queue is three times its slots.
const OVERLOAD: f64 = 3.5;

#[derive(Debug)]
struct Endpoint {
    entry: EndpointEntry,
    own: u32,
    others: f64,
    reported_ms: u64,
    failures: u32,
    paused_until_ms: u64,
    /// It could not be reached, and has not been reached since.
    is_suspended: bool,
    /// Average time to the first byte over the service's average.
    slowness: f64,
    slowness_ms: u64,
    /// Part of the sends that ended with an error or with no answer, the newest ones counting
    /// most. 0 to 1.
    error_part: f64,
    error_part_ms: u64,
}

/// The choice for one send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub key: EndpointKey,
    /// Its identifier.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is in another availability zone.
    pub is_remote: bool,
}

/// All endpoints, as one instance sees them.
#[derive(Debug)]
pub struct Balancer {
    availability_zone: String,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// One key for each endpoint, by its identifier.
    by_id: HashMap<String, EndpointKey>,
    /// Average time to the first byte by service, in milliseconds.
    service_speed_ms: HashMap<String, f64>,
}

impl Balancer {
    /// A balancer of an instance in this availability zone.
    pub fn new(availability_zone: &str) -> Balancer {
        Balancer {
            availability_zone: availability_zone.to_string(),
            endpoints: SlotMap::with_key(),
            by_id: HashMap::new(),
            service_speed_ms: HashMap::new(),
        }
    }

    /// An endpoint is there, as told. One that started again under its identifier is new.
    pub fn upsert(&mut self, entry: EndpointEntry) {
        let known = self.by_id.get(&entry.id).copied();
        let same = known.and_then(|key| self.endpoints.get_mut(key));
        match same {
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
            own: 0,
            others: 0.0,
            reported_ms: 0,
            failures: 0,
            paused_until_ms: 0,
            is_suspended: false,
            slowness: 1.0,
            slowness_ms: 0,
            error_part: 0.0,
            error_part_ms: 0,
        });
        self.by_id.insert(id, key);
    }

    /// An endpoint is gone.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            self.endpoints.remove(key);
        }
    }

    /// Whether an endpoint is still there.
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.endpoints.contains_key(key)
    }

    /// Whether any endpoint of a service takes new work.
    pub fn serves(&self, service: &str) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|e| e.entry.service == service && !e.entry.is_draining)
    }

    /// Chooses an endpoint of a service. `affinity` is the one that ran the program's last
    /// turn. Endpoints that have failed lately are only used if no other is there.
    pub fn pick(
        &self,
        now_ms: u64,
        service: &str,
        affinity: Option<&str>,
        tried: &[String],
    ) -> Option<Pick> {
        let usable = self.endpoints.iter().filter(|(_, endpoint)| {
            let entry = &endpoint.entry;
            entry.service == service && !entry.is_draining && !tried.contains(&entry.id)
        });
        let best = usable.min_by(|(_, a), (_, b)| {
            let a = self.score(now_ms, a, affinity);
            let b = self.score(now_ms, b, affinity);
            a.total_cmp(&b)
        });
        best.map(|(key, endpoint)| Pick {
            key,
            id: endpoint.entry.id.clone(),
            address: endpoint.entry.address,
            is_remote: endpoint.entry.availability_zone != self.availability_zone,
        })
    }

    fn score(&self, now_ms: u64, endpoint: &Endpoint, affinity: Option<&str>) -> f64 {
        let load = endpoint.load(now_ms) + 1.0 / f64::from(endpoint.entry.slots);
        let is_remote = endpoint.entry.availability_zone != self.availability_zone;
        let is_known = affinity == Some(endpoint.entry.id.as_str());
        let paused = match endpoint.paused_until_ms > now_ms {
            true => 1_000.0 + f64::from(endpoint.failures),
            false => 0.0,
        };
        let suspended = if endpoint.is_suspended { 10_000.0 } else { 0.0 };
        let zone = if is_remote { ZONE_PENALTY } else { 0.0 };
        let cached = if is_known { AFFINITY_BONUS } else { 0.0 };
        let slowness = endpoint.slowness_at(now_ms);
        let errors = ERROR_PENALTY * endpoint.error_part_at(now_ms);
        load * slowness + (slowness - 1.0) * 0.5 + errors + zone - cached
            + paused
            + suspended
    }

    /// Whether every endpoint of a service has more work than it can queue.
    pub fn is_overloaded(&self, now_ms: u64, service: &str) -> bool {
        let mut usable = self.endpoints.values().filter(|endpoint| {
            endpoint.entry.service == service && !endpoint.entry.is_draining
        });
        usable.all(|endpoint| endpoint.load(now_ms) > OVERLOAD)
    }

    /// A request is sent.
    pub fn begin(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own += 1;
        }
    }

    /// A request has ended, whatever became of it.
    pub fn end(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.own = endpoint.own.saturating_sub(1);
        }
    }

    /// An endpoint tells its load, the request that is being answered included.
    pub fn report(&mut self, now_ms: u64, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let total = f64::from(load.running + load.waiting);
            endpoint.others = (total - f64::from(endpoint.own)).max(0.0);
            endpoint.reported_ms = now_ms;
        }
    }

    /// The endpoint could not be reached, or broke off.
    pub fn fail(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let pause_ms = FIRST_PAUSE_MS << endpoint.failures.min(8);
            endpoint.failures += 1;
            endpoint.note_answer(now_ms, true);
            endpoint.paused_until_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
        }
    }

    /// The endpoint could not be reached. It is used only if no other is there, until
    /// `resume`. Returns false if that was known.
    pub fn suspend(&mut self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get_mut(key);
        endpoint
            .is_some_and(|endpoint| !std::mem::replace(&mut endpoint.is_suspended, true))
    }

    /// The endpoint was reached again.
    pub fn resume(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_suspended = false;
            endpoint.failures = 0;
            endpoint.paused_until_ms = 0;
        }
    }

    /// The endpoint has no room at the moment.
    pub fn reject(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let slots = f64::from(endpoint.entry.slots);
            endpoint.others = endpoint.others.max(slots * OVERLOAD);
            endpoint.reported_ms = now_ms;
        }
    }

    /// The endpoint answered that it failed.
    pub fn record_error_response(&mut self, now_ms: u64, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.note_answer(now_ms, true);
        }
    }

    /// The first byte of an answer came after `elapsed_ms`.
    pub fn succeed(&mut self, now_ms: u64, key: EndpointKey, elapsed_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let elapsed_ms = elapsed_ms.max(1) as f64;
        let service = endpoint.entry.service.clone();
        let average_ms = self.service_speed_ms.entry(service).or_insert(elapsed_ms);
        *average_ms += (elapsed_ms - *average_ms) * SPEED_WEIGHT / 4.0;
        let relative = (elapsed_ms / *average_ms).clamp(0.5, 10.0);
        let slowness = endpoint.slowness_at(now_ms);
        endpoint.slowness = slowness + (relative - slowness) * SPEED_WEIGHT;
        endpoint.slowness_ms = now_ms;
        endpoint.note_answer(now_ms, false);
        endpoint.failures = 0;
        endpoint.paused_until_ms = 0;
    }
}

impl Endpoint {
    /// Estimated requests over slots.
    fn load(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        let others =
            self.others * (-age_ms / OTHERS_HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        (f64::from(self.own) + others) / f64::from(self.entry.slots)
    }

    fn note_answer(&mut self, now_ms: u64, is_error: bool) {
        let before = self.error_part_at(now_ms);
        self.error_part = match is_error {
            true => before + (1.0 - before) * ERROR_WEIGHT,
            false => before * (1.0 - SUCCESS_WEIGHT),
        };
        self.error_part_ms = now_ms;
    }

    fn error_part_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.error_part_ms) as f64;
        self.error_part * (-age_ms / ERROR_MEMORY_MS).exp()
    }

    fn slowness_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.slowness_ms) as f64;
        let weight = (-age_ms / SPEED_MEMORY_MS).exp();
        (1.0 + (self.slowness - 1.0) * weight).max(1.0)
    }
}

fn is_same_run(known: &EndpointEntry, told: &EndpointEntry) -> bool {
    known.address == told.address
        && known.service == told.service
        && known.started_unix_ms == told.started_unix_ms
}
