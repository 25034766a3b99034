//! The operator's configuration, decoded and indexed for routing and admission.

use std::collections::HashMap;

use jayreel_ledger::RateLimit;

/// One version of the configuration. Immutable; a change replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number assigned by the operator.
    pub version: u64,
    /// All routes of all hosts. Looked up with [`Configuration::route`].
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Customers by name. If there are none, requests need no key.
    pub customers: HashMap<String, Customer>,
    /// Name of the customer by API key.
    pub keys: HashMap<String, String>,
    /// Limits that apply to every caller connection.
    pub limits: Limits,
}

/// What a customer's contract says about its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Overrides the priority of the route, if set. 0 is the most urgent.
    pub priority: Option<u8>,
    /// Request rate and burst, counted over all entry instances together.
    pub limit: RateLimit,
    /// Regions to which its requests are restricted. Empty for no restriction.
    pub home_regions: Vec<String>,
}

/// Size and time limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a caller to send a whole request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// The limits that apply until the first configuration is read.
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16_384,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Whether a request may be sent again when it is unknown if it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Running it more than once does no harm.
    Idempotent,
    /// It must run at most once.
    Once,
    /// The response is an event stream.
    Stream {
        /// Another endpoint can continue the stream after the last event received.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a request may be sent again although an earlier send may have run.
    pub fn may_run_again(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

/// A service and the share of a route's requests that it gets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Key in [`Configuration::services`].
    pub service: String,
    /// Weight of this service, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// Handling of the requests to one host whose path has a given prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name, used in logs and metrics.
    pub name: String,
    /// Host that the request must name, without a port.
    pub host: String,
    /// Path prefix. Begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be sent again.
    pub kind: CallKind,
    /// Upper bound of the time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency, in milliseconds: a response within this time is on time.
    pub target_ms: u64,
    /// Priority of its requests, unless the customer has its own. 0 is the most urgent.
    pub priority: u8,
    /// The services among which its requests are divided. Never empty.
    pub services: Vec<ServiceShare>,
    /// Number of endpoints to which one request may be sent. At least 1.
    pub max_attempts: u32,
    /// Finished turns are stored, so that a request carries only the new part of its input.
    pub stores_turns: bool,
    /// How long stored turns and programs can be continued, in milliseconds.
    pub retention_ms: u64,
    /// Requests need no API key.
    pub is_open: bool,
    /// Requests on the same object are faster at an endpoint that has handled the object recently.
    pub is_sticky: bool,
    /// Regions to which its requests are restricted. Empty for no restriction.
    pub home_regions: Vec<String>,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: usize,
    /// Present if the endpoints are model engines.
    pub engine: Option<Engine>,
    /// How long an endpoint is usually cold after its start, in milliseconds. 0 if never.
    pub cold_start_ms: u64,
    /// Requests per second that a cold endpoint can handle, from all entry instances together. 0
    /// for no limit.
    pub cold_per_s: f64,
}

impl Service {
    /// The rate to which cold endpoints are limited, in requests per second. `None` for no limit.
    pub fn cold_limit_per_s(&self) -> Option<f64> {
        (self.cold_start_ms > 0 && self.cold_per_s > 0.0).then_some(self.cold_per_s)
    }
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Number of tokens that one event of a response stream counts for.
    pub event_tokens: u32,
    /// Number of tokens, of prompts and generated, that the memory of one engine holds. `None` if it
    /// is not known.
    pub memory_tokens: Option<u32>,
}

impl Configuration {
    /// The rates of cold endpoints by service, in requests per second. Services without one are
    /// left out.
    pub fn cold_rates(&self) -> HashMap<String, f64> {
        let services = self.services.iter();
        let rates = services.filter_map(|(name, service)| {
            Some((name.clone(), service.cold_limit_per_s()?))
        });
        rates.collect()
    }

    /// The route of a request: the one of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Name and contract of the customer that owns an API key.
    pub fn customer_of(&self, key: &str) -> Option<(&str, &Customer)> {
        let name = self.keys.get(key)?;
        let customer = self.customers.get(name)?;
        Some((name, customer))
    }
}
