//! The configuration as an entry instance uses it.

use std::collections::HashMap;

use jayreel_ledger::RateLimit;

/// One version of the configuration, indexed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version that the operator gave it.
    pub version: u64,
    /// All routes. Those of one host are found by `route`.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Customers by name. Empty if requests need no key.
    pub customers: HashMap<String, Customer>,
    /// Customer by key.
    pub keys: HashMap<String, String>,
    /// Limits for callers.
    pub limits: Limits,
}

/// A customer and its contract.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Customer {
    /// Goes before the priority of routes. 0 is the most urgent.
    pub priority: Option<u8>,
    /// Rate and burst over all instances.
    pub limit: RateLimit,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Size of a head, in bytes.
    pub head_bytes: usize,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time for a head, in milliseconds.
    pub head_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// In force until the first configuration is read.
    fn default() -> Limits {
        Limits {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// What may be done with a request whose outcome is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// It may run again.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Another endpoint can continue it after the last event that arrived.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a request may be sent again although it may have run.
    pub fn may_run_again(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::Once => false,
            CallKind::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Relative to the other shares.
    pub weight: u32,
}

/// A path prefix of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, in milliseconds.
    pub target_ms: u64,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where requests go. At least one.
    pub services: Vec<ServiceShare>,
    /// Endpoints to which one request may be sent. At least 1.
    pub max_attempts: u32,
    /// Finished turns are kept, and requests carry only what is new.
    pub keeps_turns: bool,
    /// How long turns and programs can be continued, in milliseconds.
    pub retention_ms: u64,
    /// Requests need no key.
    pub is_open: bool,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: usize,
    /// Set if the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Tokens that each event of a stream stands for.
    pub event_tokens: u32,
}

impl Configuration {
    /// The route of a request: of its host, the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// The customer that holds a key.
    pub fn customer_of(&self, key: &str) -> Option<(&str, Customer)> {
        let name = self.keys.get(key)?;
        let customer = self.customers.get(name)?;
        Some((name, *customer))
    }
}
