//! JSON requests and responses of the etcd gateway. It encodes bytes as base64 and 64-bit
//! integers as strings, and omits fields that are zero or empty.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use crate::error::StoreError;
use crate::record::{Change, Condition, Entry, LeaseId, Range, Transaction, Write};

pub(super) fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD
        .decode(text)
        .map_err(|error| StoreError::Protocol(format!("invalid base64: {error}")))
}

/// The `key` and `range_end` that select all keys that start with `prefix`, which must
/// not be empty. The end is exclusive: the prefix with its last byte increased by one.
/// That cannot overflow, because all keys of jayreel are ASCII.
pub(super) fn prefix_range(prefix: &str) -> Value {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    json!({ "key": encode(prefix), "range_end": encode(end) })
}

fn compare(condition: &Condition) -> Value {
    let Condition::ModRevision { key, revision } = condition;
    json!({ "target": "MOD", "result": "EQUAL", "key": encode(key),
        "mod_revision": revision.to_string() })
}

fn write_request(write: &Write) -> Value {
    match write {
        Write::Delete { key } => {
            json!({ "request_delete_range": { "key": encode(key) } })
        }
        Write::Put { key, value, lease } => {
            let lease = lease.map_or(0, |LeaseId(id)| id).to_string();
            json!({ "request_put": { "key": encode(key), "value": encode(value),
                "lease": lease } })
        }
    }
}

pub(super) fn transaction(transaction: &Transaction) -> Value {
    let compare: Vec<Value> = transaction.conditions.iter().map(compare).collect();
    let success: Vec<Value> = transaction.writes.iter().map(write_request).collect();
    json!({ "compare": compare, "success": success })
}

/// Deserializes an integer that the gateway writes as a string or as a JSON number.
fn number<'de, D, N>(input: D) -> Result<N, D::Error>
where
    D: Deserializer<'de>,
    N: std::str::FromStr<Err: std::fmt::Display>,
{
    let text = match Value::deserialize(input)? {
        Value::String(text) => text,
        other => other.to_string(),
    };
    text.parse().map_err(serde::de::Error::custom)
}

/// The header of every response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    /// The revision of the store when it responded.
    #[serde(deserialize_with = "number")]
    pub(super) revision: u64,
}

/// One key of a range response or of a watch event. A deletion has no value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct KeyValue {
    key: String,
    value: String,
    #[serde(deserialize_with = "number")]
    mod_revision: u64,
    #[serde(deserialize_with = "number")]
    lease: i64,
}

impl KeyValue {
    fn key(&self) -> Result<String, StoreError> {
        String::from_utf8(decode(&self.key)?)
            .map_err(|_| StoreError::Protocol("a key is not UTF-8".into()))
    }

    fn into_entry(self) -> Result<Entry, StoreError> {
        Ok(Entry {
            key: self.key()?,
            value: decode(&self.value)?,
            mod_revision: self.mod_revision,
            lease: (self.lease != 0).then_some(LeaseId(self.lease)),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    header: Header,
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    /// Decodes the keys. A response without a header, and so without a revision, is an
    /// error.
    pub(super) fn into_range(self) -> Result<Range, StoreError> {
        let entries: Result<Vec<Entry>, StoreError> =
            self.kvs.into_iter().map(KeyValue::into_entry).collect();
        match self.header.revision {
            0 => Err(StoreError::Protocol("the answer has no revision".into())),
            revision => Ok(Range {
                revision,
                entries: entries?,
            }),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    #[serde(default)]
    pub(super) succeeded: bool,
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(super) id: i64,
    #[serde(default, rename = "TTL", deserialize_with = "number")]
    pub(super) ttl: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeepAliveResponse {
    pub(super) result: LeaseResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    kv: KeyValue,
}

impl Event {
    fn into_change(self) -> Result<Change, StoreError> {
        match self.kind.as_str() {
            "DELETE" => Ok(Change::Delete {
                key: self.kv.key()?,
                revision: self.kv.mod_revision,
            }),
            _ => self.kv.into_entry().map(Change::Put),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchResult {
    created: bool,
    canceled: bool,
    #[serde(deserialize_with = "number")]
    compact_revision: u64,
    events: Vec<Event>,
}

/// One message of the stream with which the gateway responds to a watch: a result or an
/// error.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchMessage {
    result: Option<WatchResult>,
    error: Option<Value>,
}

impl WatchMessage {
    /// Whether the message confirms that the store has created the watch.
    pub(super) fn is_created(&self) -> bool {
        self.result.as_ref().is_some_and(|result| result.created)
    }

    /// The changes that the message delivers, or why the store ended the watch.
    pub(super) fn into_changes(self) -> Result<Vec<Change>, StoreError> {
        match (self.result, self.error) {
            (Some(result), _) if result.compact_revision > 0 => {
                Err(StoreError::Compacted)
            }
            (Some(result), None) if !result.canceled => {
                result.events.into_iter().map(Event::into_change).collect()
            }
            (_, Some(error)) => Err(StoreError::Unavailable(error.to_string())),
            _ => Err(StoreError::Unavailable(
                "the store canceled the watch".into(),
            )),
        }
    }
}

/// The message in the body of an error response, or the first 200 characters of a body
/// that has none.
pub(super) fn error_text(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["message"].as_str().or(value["error"].as_str()) {
        Some(text) => text.to_string(),
        None => String::from_utf8_lossy(body).chars().take(200).collect(),
    }
}
