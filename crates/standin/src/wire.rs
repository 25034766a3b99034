//! The JSON format of the etcd v3 gateway: keys and values are base64, 64-bit numbers are
//! strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use jayreel_store::{Change, Condition, Entry, LeaseId, StoreError, Write};
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

/// Deserializes a 64-bit number from a JSON string or a JSON number; etcd's gateway
/// accepts both.
fn number<'de, D: Deserializer<'de>>(input: D) -> Result<i64, D::Error> {
    match Value::deserialize(input)? {
        Value::String(text) => text.parse().map_err(serde::de::Error::custom),
        Value::Number(n) => n
            .as_i64()
            .ok_or_else(|| serde::de::Error::custom("not an integer")),
        _ => Err(serde::de::Error::custom("expected a number")),
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    /// Empty for the single `key`, else the end of its prefix, see [`is_prefix_end`].
    pub(crate) range_end: String,
    /// Largest number of entries in the response. 0 means no limit.
    #[serde(deserialize_with = "number")]
    pub(crate) limit: i64,
    /// `DESCEND` reverses the order. Other values are ignored.
    pub(crate) sort_order: String,
    /// `MOD` sorts by `mod_revision`. Other values leave the entries sorted by key.
    pub(crate) sort_target: String,
    /// Whether to omit the values.
    pub(crate) keys_only: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    /// The lease to bind the key to. 0 means none.
    #[serde(deserialize_with = "number")]
    pub(crate) lease: i64,
}

/// A delete of a single key. A `range_end` is ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyRequest {
    pub(crate) key: String,
}

/// One operation of a transaction. Exactly one field must be set.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Operation {
    #[serde(alias = "requestPut")]
    pub(crate) request_put: Option<PutRequest>,
    #[serde(alias = "requestDeleteRange")]
    pub(crate) request_delete_range: Option<KeyRequest>,
}

/// One comparison of a transaction. All must hold for its `success` operations to run.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) key: String,
    /// The compared field. Only `MOD` is supported.
    pub(crate) target: String,
    /// The comparison operator. Only `EQUAL`, the default, is supported.
    pub(crate) result: String,
    #[serde(alias = "modRevision", deserialize_with = "number")]
    pub(crate) mod_revision: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    /// Must be empty: operations for a failed comparison are not supported.
    pub(crate) failure: Vec<Operation>,
}

/// The request to grant, renew or revoke a lease. A grant uses only `ttl`, in seconds, the
/// others only `id`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(crate) id: i64,
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub(crate) ttl: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CompactRequest {
    /// Revision up to which, inclusively, the history is dropped.
    #[serde(deserialize_with = "number")]
    pub(crate) revision: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    pub(crate) key: String,
    /// The end of the prefix `key` watches the prefix, any other value the single key.
    pub(crate) range_end: String,
    /// First revision to report. 0 means the one after the current revision.
    #[serde(deserialize_with = "number")]
    pub(crate) start_revision: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

/// Decodes a base64 key. This stand-in supports only keys that are valid UTF-8.
pub(crate) fn key(text: &str) -> Result<String, StoreError> {
    String::from_utf8(bytes(text)?)
        .map_err(|_| StoreError::Rejected("key is not UTF-8".into()))
}

/// Decodes base64.
pub(crate) fn bytes(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD
        .decode(text)
        .map_err(|_| StoreError::Rejected("invalid base64".into()))
}

/// Whether `range_end` selects all keys with the prefix `key`, i.e. is `key` with its last
/// byte increased by one, or a single zero byte if `key` is empty. The last byte can
/// always be increased, since UTF-8 contains no byte 0xff.
pub(crate) fn is_prefix_end(key: &str, range_end: &[u8]) -> bool {
    let mut end = key.as_bytes().to_vec();
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    end == range_end
}

/// Converts a comparison of a transaction. Only `EQUAL` on `MOD` is supported; an absent
/// result means `EQUAL`.
pub(crate) fn condition(compare: &Compare) -> Result<Condition, StoreError> {
    let equal = compare.result.is_empty() || compare.result == "EQUAL";
    match compare.target.as_str() {
        "MOD" if equal => Ok(Condition::ModRevision {
            key: key(&compare.key)?,
            revision: compare.mod_revision as u64,
        }),
        _ => Err(StoreError::Rejected(
            "only EQUAL on MOD is supported".into(),
        )),
    }
}

/// Converts a put. Lease 0 means no lease.
pub(crate) fn put(request: &PutRequest) -> Result<Write, StoreError> {
    Ok(Write::Put {
        key: key(&request.key)?,
        value: bytes(&request.value)?,
        lease: (request.lease != 0).then_some(LeaseId(request.lease)),
    })
}

/// Converts an operation of a transaction, which is either a put or a delete.
pub(crate) fn write(operation: &Operation) -> Result<Write, StoreError> {
    match (&operation.request_put, &operation.request_delete_range) {
        (Some(request), None) => put(request),
        (None, Some(request)) => Ok(Write::Delete {
            key: key(&request.key)?,
        }),
        _ => Err(StoreError::Rejected("unsupported operation".into())),
    }
}

/// The header of every response. Cluster, member and Raft term are constant.
pub(crate) fn header(revision: u64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string(),
        "raft_term": "1" })
}

/// A key-value pair. Empty values and absent leases are omitted, as etcd's gateway does.
/// The store keeps neither creation revisions nor versions, so `create_revision` repeats
/// the `mod_revision` and `version` is always 1.
pub(crate) fn entry(entry: &Entry, keys_only: bool) -> Value {
    let mut value = json!({ "key": STANDARD.encode(&entry.key),
        "create_revision": entry.mod_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(), "version": "1" });
    if !keys_only && !entry.value.is_empty() {
        value["value"] = STANDARD.encode(&entry.value).into();
    }
    if let Some(LeaseId(id)) = entry.lease {
        value["lease"] = id.to_string().into();
    }
    value
}

/// An event of a watch. The type of a put is omitted, since it is the default value.
pub(crate) fn event(change: &Change) -> Value {
    match change {
        Change::Put(put) => json!({ "kv": entry(put, false) }),
        Change::Delete { key, revision } => json!({ "type": "DELETE",
            "kv": { "key": STANDARD.encode(key), "mod_revision": revision.to_string() } }),
    }
}
