//! A stand-in for the etcd store: the JSON gateway of the etcd v3 API over a
//! [`MemoryStore`].
//!
//! Implements a part of the API: ranges of a single key or a prefix, puts, transactions
//! that compare the `mod_revision`, compaction, leases and watches. Other paths and
//! operations are rejected with an error; unknown fields of a request are ignored.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jayreel_store::{Condition, LeaseId, MemoryStore, StoreError, Transaction, Write};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::faults::FaultControls;
use crate::http::{HttpRequest, HttpResponse};
use crate::record::{Recorder, Runs};
use crate::server::{Handler, HttpServer, ResponseFuture};
use crate::service::RUNS_PATH;
use crate::wire;

/// Interval at which an open watch polls the store for changes.
const WATCH_POLL_INTERVAL_MS: u64 = 5;

/// The gRPC status code `NOT_FOUND`, as it appears in the JSON errors of the gateway.
const GRPC_NOT_FOUND: u32 = 5;

/// The gRPC status code `INVALID_ARGUMENT`, as it appears in the JSON errors of the
/// gateway.
const GRPC_INVALID_ARGUMENT: u32 = 3;

/// A running etcd gateway. Its clients over HTTP and the owner of [`Self::store`] see the
/// same state.
pub struct StoreGateway {
    server: HttpServer,
    store: MemoryStore,
    recorder: Arc<Recorder>,
}

impl StoreGateway {
    /// Binds `address` (port 0: chosen by the system) and serves `store` until closed.
    ///
    /// # Errors
    ///
    /// Any error of binding the address or starting the thread.
    pub fn start(address: SocketAddr, store: MemoryStore) -> io::Result<StoreGateway> {
        let recorder = Arc::new(Recorder::default());
        let handler = Arc::new(GatewayHandler {
            store: store.clone(),
            recorder: Arc::clone(&recorder),
        });
        Ok(StoreGateway {
            server: HttpServer::start(address, handler)?,
            store,
            recorder,
        })
    }

    /// The bound address, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that this server injects.
    pub fn faults(&self) -> &Arc<FaultControls> {
        self.server.faults()
    }

    /// The served store. It can be read and changed also while the gateway is down.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// The requests handled so far. Only [`Runs::paths`] is filled.
    pub fn runs(&self) -> Runs {
        self.recorder.runs()
    }

    /// Closes all connections and waits for the server thread to end.
    pub fn close(self) {
        self.server.close();
    }
}

struct GatewayHandler {
    store: MemoryStore,
    recorder: Arc<Recorder>,
}

impl Handler for GatewayHandler {
    fn handle(&self, request: HttpRequest) -> ResponseFuture<'_> {
        if request.path == RUNS_PATH {
            let response = HttpResponse::json(StatusCode::OK, &self.recorder.runs());
            return Box::pin(async move { response });
        }
        self.recorder.record_path(&request);
        let response = self
            .route(&request)
            .unwrap_or_else(|error| error_response(&error));
        Box::pin(async move { response })
    }
}

/// The JSON error of the etcd gateway for a store error.
fn error_response(error: &StoreError) -> HttpResponse {
    let message = match error {
        StoreError::Rejected(reason) => format!("etcdserver: {reason}"),
        other => other.to_string(),
    };
    let (status, code) = match message.contains("lease not found") {
        true => (StatusCode::NOT_FOUND, GRPC_NOT_FOUND),
        false => (StatusCode::BAD_REQUEST, GRPC_INVALID_ARGUMENT),
    };
    HttpResponse::json(
        status,
        &json!({ "error": message, "code": code, "message": message }),
    )
}

fn parse<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, StoreError> {
    serde_json::from_slice(&request.body)
        .map_err(|error| StoreError::Rejected(error.to_string()))
}

impl GatewayHandler {
    fn route(&self, request: &HttpRequest) -> Result<HttpResponse, StoreError> {
        if request.method != Method::POST {
            let reason = "method not allowed";
            return Ok(HttpResponse::error(StatusCode::METHOD_NOT_ALLOWED, reason));
        }
        let value = match request.path.as_str() {
            "/v3/kv/range" => self.range(&parse(request)?)?,
            "/v3/kv/put" => self.put(&parse(request)?)?,
            "/v3/kv/txn" => self.txn(&parse(request)?)?,
            "/v3/kv/compaction" => self.compact(&parse(request)?),
            "/v3/lease/grant" => self.grant(&parse(request)?),
            "/v3/lease/keepalive" => self.keep_alive(&parse(request)?),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                self.revoke(&parse(request)?)?
            }
            "/v3/watch" => return self.watch(&parse(request)?),
            _ => return Ok(HttpResponse::error(StatusCode::NOT_FOUND, "not found")),
        };
        Ok(HttpResponse::json(StatusCode::OK, &value))
    }

    fn range(&self, request: &wire::RangeRequest) -> Result<Value, StoreError> {
        let key = wire::key(&request.key)?;
        let end = wire::bytes(&request.range_end)?;
        let is_prefix = wire::is_prefix_end(&key, &end);
        if !end.is_empty() && !is_prefix {
            return Err(StoreError::Rejected("only prefixes are supported".into()));
        }
        let mut range = self.store.with(|keyspace, _| keyspace.range(&key));
        range.entries.retain(|entry| is_prefix || entry.key == key);
        if request.sort_target == "MOD" {
            range.entries.sort_by_key(|entry| entry.mod_revision);
        }
        if request.sort_order == "DESCEND" {
            range.entries.reverse();
        }
        let count = range.entries.len();
        if request.limit > 0 {
            range.entries.truncate(request.limit as usize);
        }
        let kvs: Vec<Value> = range
            .entries
            .iter()
            .map(|entry| wire::entry(entry, request.keys_only))
            .collect();
        let mut response = json!({ "header": wire::header(range.revision) });
        if count > 0 {
            response["kvs"] = kvs.into();
            response["count"] = count.to_string().into();
        }
        Ok(response)
    }

    fn commit(&self, transaction: Transaction) -> Result<Value, StoreError> {
        let commit = self
            .store
            .with(|keyspace, _| keyspace.commit(&transaction))?;
        let mut response = json!({ "header": wire::header(commit.revision) });
        if commit.succeeded {
            response["succeeded"] = true.into();
        }
        Ok(response)
    }

    fn put(&self, request: &wire::PutRequest) -> Result<Value, StoreError> {
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![wire::put(request)?],
        };
        let response = self.commit(transaction)?;
        Ok(json!({ "header": response["header"] }))
    }

    fn txn(&self, request: &wire::TxnRequest) -> Result<Value, StoreError> {
        if !request.failure.is_empty() {
            let reason = "failure operations are not supported";
            return Err(StoreError::Rejected(reason.into()));
        }
        let conditions: Result<Vec<Condition>, StoreError> =
            request.compare.iter().map(wire::condition).collect();
        let writes: Result<Vec<Write>, StoreError> =
            request.success.iter().map(wire::write).collect();
        self.commit(Transaction {
            conditions: conditions?,
            writes: writes?,
        })
    }

    fn compact(&self, request: &wire::CompactRequest) -> Value {
        self.store.compact(request.revision as u64);
        self.store
            .with(|keyspace, _| json!({ "header": wire::header(keyspace.revision()) }))
    }

    fn grant(&self, request: &wire::LeaseRequest) -> Value {
        let ttl_s = request.ttl.max(1) as u64;
        self.store.with(|keyspace, now_ms| {
            let LeaseId(id) = keyspace.grant_lease(ttl_s, now_ms);
            json!({ "header": wire::header(keyspace.revision()),
                "ID": id.to_string(), "TTL": ttl_s.to_string() })
        })
    }

    fn keep_alive(&self, request: &wire::LeaseRequest) -> Value {
        self.store.with(|keyspace, now_ms| {
            let ttl_s = keyspace.renew_lease(LeaseId(request.id), now_ms);
            let mut result = json!({ "header": wire::header(keyspace.revision()),
                "ID": request.id.to_string() });
            if let Some(ttl_s) = ttl_s {
                result["TTL"] = ttl_s.to_string().into();
            }
            json!({ "result": result })
        })
    }

    fn revoke(&self, request: &wire::LeaseRequest) -> Result<Value, StoreError> {
        self.store.with(|keyspace, _| {
            if !keyspace.revoke_lease(LeaseId(request.id)) {
                let reason = "requested lease not found";
                return Err(StoreError::Rejected(reason.into()));
            }
            Ok(json!({ "header": wire::header(keyspace.revision()) }))
        })
    }

    fn watch(&self, request: &wire::WatchRequest) -> Result<HttpResponse, StoreError> {
        let create = &request.create_request;
        let key = wire::key(&create.key)?;
        let is_prefix = wire::is_prefix_end(&key, &wire::bytes(&create.range_end)?);
        let current = self.store.with(|keyspace, _| keyspace.revision());
        let next_revision = match create.start_revision {
            0 => current + 1,
            start => start as u64,
        };
        let watcher = Watcher {
            store: self.store.clone(),
            key,
            is_prefix,
            next_revision,
        };
        let (sender, chunks) = mpsc::channel(16);
        tokio::spawn(watcher.run(sender));
        Ok(HttpResponse::stream("application/json", chunks))
    }
}

/// One open watch of a key or a prefix.
struct Watcher {
    store: MemoryStore,
    key: String,
    is_prefix: bool,
    /// The first revision whose changes have not been sent yet.
    next_revision: u64,
}

impl Watcher {
    /// Sends the results of the watch, one JSON object a line, until the client closes
    /// the connection or the watch is cancelled by a compaction.
    async fn run(mut self, sender: mpsc::Sender<Bytes>) {
        let revision = self.store.with(|keyspace, _| keyspace.revision());
        let created = json!({ "header": wire::header(revision), "created": true });
        let mut next = Some((created, false));
        loop {
            if let Some((result, last)) = next.take() {
                let line = format!("{}\n", json!({ "result": result }));
                if sender.send(line.into()).await.is_err() || last {
                    return;
                }
            }
            tokio::select! {
                _ = sender.closed() => return,
                _ = tokio::time::sleep(Duration::from_millis(WATCH_POLL_INTERVAL_MS)) => {}
            }
            next = self.poll();
        }
    }

    /// The next result to send, and whether it ends the watch. `None` if nothing has
    /// changed. The watch ends if its next revision has been compacted.
    fn poll(&mut self) -> Option<(Value, bool)> {
        self.store.with(|keyspace, _| {
            let header = wire::header(keyspace.revision());
            let Ok(changes) = keyspace.changes(&self.key, self.next_revision) else {
                let compacted = keyspace.compacted().to_string();
                let result = json!({ "header": header, "canceled": true,
                    "compact_revision": compacted });
                return Some((result, true));
            };
            self.next_revision = keyspace.revision() + 1;
            let events: Vec<Value> = changes
                .iter()
                .filter(|change| self.is_prefix || change.key() == self.key)
                .map(wire::event)
                .collect();
            let result = json!({ "header": header, "events": events });
            (!events.is_empty()).then_some((result, false))
        })
    }
}
