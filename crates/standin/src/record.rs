//! Records the requests that a stand-in server handled: counts by request tag and by
//! path, the headers seen, and the number of cancelled requests.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::http::HttpRequest;

/// Request header whose value is the key of the request in [`Runs::counts`].
pub const TAG_HEADER: &str = "x-request-tag";

/// Longest body, in bytes, that is used whole as the key in [`Runs::counts`]. Longer ones
/// are shortened, since bodies with the history of a program would fill the memory.
const MAX_BODY_TAG_BYTES: usize = 1_024;

/// Number of distinct values kept for each header in [`Runs::headers`].
const MAX_HEADER_VALUES: usize = 1_000;

/// The recorded requests, as reported by `GET /standin/runs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Runs {
    /// Number of requests by the value of their `X-Request-Tag` header, or by their body
    /// if they have none. The key of a body above 1,024 bytes is its first 1,024 bytes, a
    /// `#` and a hash of the whole body.
    pub counts: BTreeMap<String, u64>,
    /// The first 1,000 distinct values of each header, by lower-case header name.
    pub headers: BTreeMap<String, Vec<String>>,
    /// Number of requests by method and path, such as `POST /v3/kv/txn`.
    pub paths: BTreeMap<String, u64>,
    /// Number of requests whose handling was cancelled, because the client closed the
    /// connection before the response was complete.
    pub cancelled: u64,
}

/// Collects [`Runs`] for one server.
#[derive(Debug, Default)]
pub struct Recorder {
    runs: Mutex<Runs>,
}

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request by tag or body and by path, and keeps its headers.
    pub fn record(&self, request: &HttpRequest) {
        self.record_path(request);
        let mut runs = self.lock();
        *runs.counts.entry(count_key(request)).or_default() += 1;
        for (name, value) in &request.headers {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            let seen = runs.headers.entry(name.to_string()).or_default();
            if seen.len() < MAX_HEADER_VALUES && !seen.contains(&value) {
                seen.push(value);
            }
        }
    }

    /// Counts a request by its method and path only.
    pub fn record_path(&self, request: &HttpRequest) {
        let path = format!("{} {}", request.method, request.path);
        *self.lock().paths.entry(path).or_default() += 1;
    }

    /// Counts a request whose client closed the connection before the response was
    /// complete.
    pub fn record_cancelled(&self) {
        self.lock().cancelled += 1;
    }

    /// Everything recorded so far.
    pub fn runs(&self) -> Runs {
        self.lock().clone()
    }
}

/// The key of a request in [`Runs::counts`].
fn count_key(request: &HttpRequest) -> String {
    match request.header(TAG_HEADER) {
        Some(tag) => tag.to_string(),
        None if request.body.len() <= MAX_BODY_TAG_BYTES => {
            String::from_utf8_lossy(&request.body).into_owned()
        }
        None => {
            let mut hasher = DefaultHasher::new();
            request.body.hash(&mut hasher);
            let prefix = String::from_utf8_lossy(&request.body[..MAX_BODY_TAG_BYTES]);
            format!("{prefix}#{:016x}", hasher.finish())
        }
    }
}
