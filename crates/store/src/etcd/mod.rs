//! Client for the HTTP/JSON gateway of the etcd v3 API.
//!
//! Every wait has a deadline. A change is reported as [`StoreError::Unavailable`] only if
//! it was certainly not made: no connection was established, so that no byte of the
//! request can have reached the store, or the gateway responded with status 429. A change
//! that was sent and got no usable response is [`StoreError::OutcomeUnknown`].

mod counts;
mod transport;
mod watch;
mod wire;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use ureq::Agent;

pub use self::counts::CallCounts;
use self::counts::{CallKind, Counters};
use crate::error::StoreError;
use crate::record::{Commit, Entry, LeaseId, Range, Transaction, Write};
use crate::{Store, Watch};

/// Largest response body that is read. A range read returns the whole configuration.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// Largest value that the platform's store accepts.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Addresses of the store, and deadlines of the calls to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EtcdSettings {
    /// `IP:PORT` of each member of the cluster. One is used until a call to it fails,
    /// then the next.
    pub addresses: Vec<String>,
    /// Time limit for establishing a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time limit for sending a request and for the head of its response, in milliseconds
    /// each. A watch must be confirmed within it too.
    pub first_byte_timeout_ms: u64,
    /// Time limit for the body of a response, in milliseconds. Does not apply to watches.
    pub body_timeout_ms: u64,
    /// Time without a received byte after which a watch fails, in milliseconds. Longer
    /// than `FeedSettings::watch_replace_ms`, so that the feed replaces a quiet watch
    /// before it fails.
    pub watch_progress_ms: u64,
}

impl EtcdSettings {
    /// The default deadlines, for the cluster members at `addresses`.
    pub fn new(addresses: Vec<String>) -> EtcdSettings {
        EtcdSettings {
            addresses,
            connect_timeout_ms: 1_000,
            first_byte_timeout_ms: 3_000,
            body_timeout_ms: 3_000,
            watch_progress_ms: 75_000,
        }
    }
}

/// A [`Store`] over the HTTP/JSON gateway of the etcd v3 API.
pub struct EtcdStore {
    settings: EtcdSettings,
    /// The pool of connections for calls other than watches.
    agent: Mutex<Agent>,
    /// Index of the address in use, modulo the number of addresses.
    current_member: AtomicUsize,
    counters: Counters,
}

impl EtcdStore {
    /// Creates a client. It connects on the first call.
    ///
    /// # Errors
    ///
    /// [`StoreError::Rejected`] if the settings hold no address.
    pub fn new(settings: EtcdSettings) -> Result<EtcdStore, StoreError> {
        if settings.addresses.is_empty() {
            return Err(StoreError::Rejected(
                "no store address is configured".into(),
            ));
        }
        Ok(EtcdStore {
            agent: Mutex::new(transport::call_agent(&settings)),
            settings,
            current_member: AtomicUsize::new(0),
            counters: Counters::default(),
        })
    }

    /// Calls sent so far. Attempts for which no connection was established don't count.
    pub fn calls(&self) -> CallCounts {
        self.counters.snapshot()
    }

    fn url(&self, path: &str) -> String {
        let addresses = &self.settings.addresses;
        let current = self.current_member.load(Ordering::Relaxed) % addresses.len();
        format!("http://{}{path}", addresses[current])
    }

    /// Switches to the next address and drops the idle connections, which may have
    /// stopped responding together with the one that failed.
    fn switch_member(&self) {
        self.current_member.fetch_add(1, Ordering::Relaxed);
        let agent = transport::call_agent(&self.settings);
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = agent;
    }

    fn agent(&self) -> Agent {
        self.agent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a request to the first member that accepts a connection. A request that was
    /// sent is never repeated, because the store may have applied it.
    fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &Value,
    ) -> Result<T, StoreError> {
        let mut untried = self.settings.addresses.len();
        loop {
            untried -= 1;
            let result = self.agent().post(self.url(path)).send_json(body);
            match result {
                Err(error) if transport::not_connected(&error) => {
                    self.switch_member();
                    if untried == 0 {
                        return Err(StoreError::Unavailable(error.to_string()));
                    }
                }
                result => {
                    self.counters.increment(kind);
                    return self.read_response(kind, result);
                }
            }
        }
    }

    /// Decodes the response to a request that was sent, or maps its failure to the error
    /// that tells whether the change may have been made.
    fn read_response<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<T, StoreError> {
        let response = result.and_then(|mut response| {
            let status = response.status().as_u16();
            let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
            Ok((status, body.read_to_vec()?))
        });
        let (status, body) = response.map_err(|error| {
            self.switch_member();
            no_response(kind, error.to_string())
        })?;
        match status {
            200 => serde_json::from_slice(&body).map_err(|error| match kind {
                kind if kind.can_change() => no_response(kind, error.to_string()),
                _ => StoreError::Protocol(error.to_string()),
            }),
            429 => Err(StoreError::Unavailable("too many requests".into())),
            400..=499 if !is_timeout_status(status) => {
                Err(StoreError::Rejected(wire::error_text(&body)))
            }
            _ => {
                self.switch_member();
                Err(no_response(
                    kind,
                    format!("status {status}: {}", wire::error_text(&body)),
                ))
            }
        }
    }

    fn read(&self, body: &Value) -> Result<Range, StoreError> {
        let response: wire::RangeResponse =
            self.call(CallKind::Read, "/v3/kv/range", body)?;
        response.into_range()
    }
}

/// Whether the gateway stopped waiting for etcd. It reports a cancelled call with status
/// 408 or 499; etcd may still apply the request.
fn is_timeout_status(status: u16) -> bool {
    matches!(status, 408 | 499)
}

/// The error for a request that was sent but got no usable response.
fn no_response(kind: CallKind, reason: String) -> StoreError {
    match kind.can_change() {
        true => StoreError::OutcomeUnknown(reason),
        false => StoreError::Unavailable(reason),
    }
}

/// Whether etcd rejected a request because the lease does not exist. The error carries
/// only etcd's message, so that is searched.
fn is_lease_missing(error: &StoreError) -> bool {
    matches!(error, StoreError::Rejected(reason) if reason.contains("lease not found"))
}

fn check_value_sizes(transaction: &Transaction) -> Result<(), StoreError> {
    let too_large = transaction.writes.iter().find_map(|write| match write {
        Write::Put { key, value, .. } if value.len() > MAX_VALUE_BYTES => Some(key),
        _ => None,
    });
    match too_large {
        Some(key) => Err(StoreError::Rejected(format!(
            "value of {key} is larger than {MAX_VALUE_BYTES} bytes"
        ))),
        None => Ok(()),
    }
}

impl Store for EtcdStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let range = self.read(&json!({ "key": wire::encode(key) }))?;
        Ok(range.entries.into_iter().next())
    }

    fn range(&self, prefix: &str) -> Result<Range, StoreError> {
        self.read(&wire::prefix_range(prefix))
    }

    fn newest_revision(&self, prefix: &str) -> Result<u64, StoreError> {
        let mut body = wire::prefix_range(prefix);
        body["sort_target"] = "MOD".into();
        body["sort_order"] = "DESCEND".into();
        body["limit"] = "1".into();
        body["keys_only"] = true.into();
        let range = self.read(&body)?;
        Ok(range.entries.first().map_or(0, |entry| entry.mod_revision))
    }

    fn commit(&self, transaction: Transaction) -> Result<Commit, StoreError> {
        check_value_sizes(&transaction)?;
        let body = wire::transaction(&transaction);
        let response: wire::TxnResponse =
            self.call(CallKind::Write, "/v3/kv/txn", &body)?;
        Ok(Commit {
            succeeded: response.succeeded,
            revision: response.header.revision,
        })
    }

    fn grant_lease(&self, ttl_s: u64) -> Result<LeaseId, StoreError> {
        let body = json!({ "TTL": ttl_s.to_string() });
        let response: wire::LeaseResponse =
            self.call(CallKind::Lease, "/v3/lease/grant", &body)?;
        Ok(LeaseId(response.id))
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        let response: wire::KeepAliveResponse =
            self.call(CallKind::Lease, "/v3/lease/keepalive", &body)?;
        Ok(response.result.ttl > 0)
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        match self.call::<Value>(CallKind::Lease, "/v3/lease/revoke", &body) {
            Err(error) if is_lease_missing(&error) => Ok(()),
            response => response.map(|_| ()),
        }
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> Result<Box<dyn Watch>, StoreError> {
        let mut create = wire::prefix_range(prefix);
        create["start_revision"] = from_revision.to_string().into();
        let body = json!({ "create_request": create });
        let closed = Arc::new(AtomicBool::new(false));
        let agent = transport::watch_agent(&self.settings, &closed);
        let opened = agent.post(self.url("/v3/watch")).send_json(&body);
        if !matches!(&opened, Err(error) if transport::not_connected(error)) {
            self.counters.increment(CallKind::Watch);
        }
        let response = opened.map_err(|error| {
            self.switch_member();
            StoreError::Unavailable(error.to_string())
        })?;
        let timeout = Duration::from_millis(self.settings.first_byte_timeout_ms);
        watch::EtcdWatch::open(response, closed, timeout).inspect_err(|_| {
            self.switch_member();
        })
    }
}
