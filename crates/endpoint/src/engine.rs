//! Client for the control interface of a model engine: load, models, cache tags and orders.
//!
//! | request | response |
//! |---|---|
//! | `GET /load` | `{"running", "waiting", "age_ms"}` |
//! | `GET /models` | `{"fencing", "models": [...], "adapters": [...]}`, see [`EngineModels`] |
//! | `GET /cache` | `{"tags": {TAG: TOKENS, ...}}` |
//! | `DELETE /cache/TAG` | 2xx, even if the engine does not hold the tag |
//! | `POST /orders` with `{"fencing", "order": {...}}` | 2xx, or 409 if the engine has seen a newer fencing number |

use std::collections::BTreeMap;
use std::fmt;

use jayreel_model::{EngineModels, EngineOrder, RefusalReason};
use serde::{Deserialize, Serialize};

use crate::call::{
    CallFailure, CallObserver, CallRequest, CancelHandle, EndpointClient, ResponseHead,
};
use crate::client::HttpEndpointClient;

/// Maximum size of an engine's response in bytes. A cache tag takes about 60 bytes, so this
/// is enough for about 70,000 tags.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for establishing a connection. Set by section 4.6 of the design.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Timeout of each read and write of a control request.
const PROGRESS_TIMEOUT_MS: u64 = 2_000;

/// The load that an engine reports. The counts are `age_ms` old when the engine sends them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct EngineLoad {
    /// Calls that the engine is running.
    pub running: u32,
    /// Calls in the engine's own queue.
    pub waiting: u32,
    /// Age of both counts when the engine sent them. 0 if it does not report an age.
    #[serde(default)]
    pub age_ms: u64,
}

/// An engine's decision on an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it has seen a newer fencing number.
    Superseded,
}

/// Why a control request failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlError {
    /// The request could not be sent or the response is incomplete.
    Call(CallFailure),
    /// The engine responded with an unexpected status.
    Status(u16),
    /// The response is not as specified, or the request cannot be encoded.
    Malformed(String),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Call(failure) => f.write_str(&failure.message),
            ControlError::Status(status) => {
                write!(f, "unexpected status {status} from the engine")
            }
            ControlError::Malformed(message) => {
                write!(f, "malformed engine request or response: {message}")
            }
        }
    }
}

impl std::error::Error for ControlError {}

/// Controls model engines. `address` is the IP address and port of an engine.
pub trait EngineControl: Send + Sync {
    /// Reads the load of the engine.
    ///
    /// # Errors
    ///
    /// A [`ControlError`]. A missing or bad response is never read as an idle engine.
    fn load(&self, address: &str) -> Result<EngineLoad, ControlError>;
    /// Reads which models and adapters the engine has loaded.
    ///
    /// # Errors
    ///
    /// A [`ControlError`]. A missing or bad response is never read as an engine without
    /// models. An engine that does not report its models responds with a status other than
    /// 200, which is [`ControlError::Status`].
    fn models(&self, address: &str) -> Result<EngineModels, ControlError>;
    /// Lists the cache tags that the engine holds.
    ///
    /// # Errors
    ///
    /// A [`ControlError`]. A missing or bad response is never read as an empty cache.
    fn cache_tags(&self, address: &str) -> Result<Vec<String>, ControlError>;
    /// Releases the cache memory of a tag. Succeeds if the engine does not hold the tag.
    ///
    /// # Errors
    ///
    /// A [`ControlError`]. The memory may still be held, so the caller has to retry.
    fn release_cache(&self, address: &str, tag: &str) -> Result<(), ControlError>;
    /// Sends an order. `fencing_number` is the store revision of the record that justifies
    /// the order; the engine rejects an order with an older number than it has seen.
    ///
    /// # Errors
    ///
    /// A [`ControlError`]. The order may have taken effect, except after a
    /// [`ControlError::Call`] with `Ran::No`.
    fn send_order(
        &self,
        address: &str,
        fencing_number: u64,
        order: &EngineOrder,
    ) -> Result<OrderOutcome, ControlError>;
}

/// Response to `GET /cache`.
#[derive(Deserialize)]
struct CacheTags {
    /// Number of tokens by tag.
    tags: BTreeMap<String, u64>,
}

/// Body of `POST /orders`.
#[derive(Serialize)]
struct FencedOrder<'a> {
    fencing: u64,
    order: &'a EngineOrder,
}

impl EngineControl for HttpEndpointClient {
    fn load(&self, address: &str) -> Result<EngineLoad, ControlError> {
        let (status, body) = send(self, request(address, "GET", "/load"))?;
        parse(status, &body)
    }

    fn models(&self, address: &str) -> Result<EngineModels, ControlError> {
        let (status, body) = send(self, request(address, "GET", "/models"))?;
        parse(status, &body)
    }

    fn cache_tags(&self, address: &str) -> Result<Vec<String>, ControlError> {
        let (status, body) = send(self, request(address, "GET", "/cache"))?;
        parse::<CacheTags>(status, &body)
            .map(|response| response.tags.into_keys().collect())
    }

    fn release_cache(&self, address: &str, tag: &str) -> Result<(), ControlError> {
        // The unreserved characters of a URI, which need no escaping. Others, such as a slash,
        // could reach another path of the engine.
        let is_unreserved =
            |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
        if tag.is_empty() || !tag.bytes().all(is_unreserved) {
            return Err(ControlError::Malformed(
                "the cache tag is empty or has characters that are not allowed"
                    .to_string(),
            ));
        }
        let path = format!("/cache/{tag}");
        match send(self, request(address, "DELETE", &path))? {
            // A 404 is a failure too: it may mean that the path is wrong, and then the memory
            // is still held.
            (200..300, _) => Ok(()),
            (status, _) => Err(ControlError::Status(status)),
        }
    }

    fn send_order(
        &self,
        address: &str,
        fencing_number: u64,
        order: &EngineOrder,
    ) -> Result<OrderOutcome, ControlError> {
        let body = FencedOrder {
            fencing: fencing_number,
            order,
        };
        let body = serde_json::to_vec(&body)
            .map_err(|error| ControlError::Malformed(error.to_string()))?;
        let json = ("content-type".to_string(), "application/json".to_string());
        let request = CallRequest {
            headers: vec![json],
            body,
            repeatable: false,
            ..request(address, "POST", "/orders")
        };
        match send(self, request)? {
            (200..300, _) => Ok(OrderOutcome::Accepted),
            (409, _) => Ok(OrderOutcome::Superseded),
            (status, _) => Err(ControlError::Status(status)),
        }
    }
}

/// A control request without a body. Repeatable, so it may use a pooled connection.
fn request(address: &str, method: &str, path: &str) -> CallRequest {
    CallRequest {
        address: address.to_string(),
        method: method.to_string(),
        path: path.to_string(),
        headers: Vec::new(),
        body: Vec::new(),
        repeatable: true,
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        progress_timeout_ms: PROGRESS_TIMEOUT_MS,
    }
}

/// Collects a response of at most [`MAX_RESPONSE_BYTES`].
#[derive(Default)]
struct ResponseCollector {
    status: u16,
    body: Vec<u8>,
}

impl CallObserver for ResponseCollector {
    fn sent(&mut self) {}

    fn head(&mut self, head: &ResponseHead) -> bool {
        self.status = head.status;
        true
    }

    fn chunk(&mut self, bytes: &[u8]) -> bool {
        self.body.extend_from_slice(bytes);
        self.body.len() <= MAX_RESPONSE_BYTES
    }
}

/// Sends a request and returns the status and body of its response.
fn send(
    client: &dyn EndpointClient,
    request: CallRequest,
) -> Result<(u16, Vec<u8>), ControlError> {
    let mut collector = ResponseCollector::default();
    let mut ignore = |_: Box<dyn CancelHandle>| {};
    // The observer only stops a call whose response is too large.
    match client.call(&request, &mut ignore, &mut collector) {
        Ok(()) => Ok((collector.status, collector.body)),
        Err(failure) if failure.reason == RefusalReason::CallerGone => Err(
            ControlError::Malformed("the response is too large".to_string()),
        ),
        Err(failure) => Err(ControlError::Call(failure)),
    }
}

/// Decodes the JSON body of a response, which must have status 200.
fn parse<'a, T: Deserialize<'a>>(status: u16, body: &'a [u8]) -> Result<T, ControlError> {
    match status {
        200 => serde_json::from_slice(body)
            .map_err(|error| ControlError::Malformed(error.to_string())),
        status => Err(ControlError::Status(status)),
    }
}
