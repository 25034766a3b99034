//! The HTTP server for operators, which also serves the metrics.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use jayreel_model::{KeyHash, Refusal, RefusalReason};
use prometheus::{Registry, TextEncoder};
use serde::Serialize;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};
use tokio::sync::Semaphore;

use crate::admin::{
    AdminError, AdminErrorKind, AdminHandler, AdminKey, AdminRequest, AdminResponse,
    route,
};
use crate::body_budget::BodyBudget;
use crate::connection::HttpService;
use crate::listener::{Listener, Stage};
use crate::response::{IncompleteResponse, ResponseBody};
use crate::settings::ServerSettings;
use crate::{headers, read_body};

/// Maximum number of requests that run in the handler or wait for a thread of the pool.
/// Further requests are refused as [`AdminErrorKind::Busy`].
const MAX_PENDING_REQUESTS: usize = 32;
/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Settings of the administration server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminSettings {
    /// The keys that operators may use. All have the same rights.
    pub keys: Vec<AdminKey>,
    /// Whether `GET /metrics` is allowed without a key.
    pub open_metrics: bool,
    /// Limits on connections and requests.
    pub limits: ServerSettings,
}

/// Serves operators on one address. Connections run on a dedicated thread.
pub struct AdminServer {
    listener: Listener,
}

impl AdminServer {
    /// Binds `address` and serves until [`AdminServer::close`]. `GET /metrics` returns the
    /// metrics of `registry`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: AdminSettings,
        registry: Registry,
        handler: Arc<dyn AdminHandler>,
    ) -> io::Result<AdminServer> {
        let limits = settings.limits.clone();
        let service = Arc::new(AdminService {
            budget: BodyBudget::new(limits.max_held_body_bytes),
            settings,
            registry,
            handler,
            permits: Arc::new(Semaphore::new(MAX_PENDING_REQUESTS)),
        });
        let on_accept_error = Box::new(|| {});
        let listener =
            Listener::start("admin-http", address, limits, service, on_accept_error)?;
        Ok(AdminServer { listener })
    }

    /// The bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Closes the listening socket and waits up to `limit` for open connections to end.
    /// Returns the number of connections that were still open and were closed.
    pub fn close(self, limit: Option<Duration>) -> usize {
        self.listener.start_drain();
        self.listener.stop_accepting();
        self.listener.wait_idle(limit);
        self.listener.close()
    }
}

struct AdminService {
    budget: Arc<BodyBudget>,
    settings: AdminSettings,
    registry: Registry,
    handler: Arc<dyn AdminHandler>,
    permits: Arc<Semaphore>,
}

impl HttpService for AdminService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _stage: Stage,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, IncompleteResponse>> {
        async move {
            let (head, body) = request.into_parts();
            let had_body = !body.is_end_stream();
            let response = match self.respond(&head, body).await {
                Ok(response) => response,
                Err(error) => error_response(&error, had_body),
            };
            Ok(response)
        }
        .boxed()
    }
}

impl AdminService {
    async fn respond(
        &self,
        head: &request::Parts,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, AdminError> {
        let path = head.uri.path();
        let is_metrics = path == "/metrics" && head.method == "GET";
        if is_metrics && self.settings.open_metrics {
            return self.metrics();
        }
        let operator = self.authenticate(head)?;
        if is_metrics {
            return self.metrics();
        }
        let mut reservation = self.budget.reserve();
        let request = AdminRequest {
            operator,
            operation: route::parse(head.method.as_str(), path)?,
            expected: route::expected_version(
                header_value(head, "if-match"),
                header_value(head, "if-none-match"),
            )?,
            body: read_body::read(body, &self.settings.limits, &mut reservation)
                .await
                .map_err(body_error)?,
        };
        self.run_handler(request).await.and_then(success_response)
    }

    /// Authenticates the request and returns the name of the operator's key.
    fn authenticate(&self, head: &request::Parts) -> Result<String, AdminError> {
        let invalid =
            || AdminError::new(AdminErrorKind::InvalidKey, "the key is not valid");
        let key = headers::key(&head.headers).map_err(|_| invalid())?;
        let hash = KeyHash::of_key(&key.ok_or_else(invalid)?);
        find_key(&self.settings.keys, hash)
            .map(|key| key.name.clone())
            .ok_or_else(invalid)
    }

    /// Runs the handler on a blocking thread, because it accesses the store.
    async fn run_handler(
        &self,
        request: AdminRequest,
    ) -> Result<AdminResponse, AdminError> {
        let busy = |_| {
            let message = "too many administration requests are being handled";
            AdminError::new(AdminErrorKind::Busy, message)
        };
        let permit = Arc::clone(&self.permits)
            .try_acquire_owned()
            .map_err(busy)?;
        let handler = Arc::clone(&self.handler);
        let run = tokio::task::spawn_blocking(move || {
            let outcome = handler.handle(request);
            drop(permit);
            outcome
        });
        run.await.unwrap_or_else(|error| {
            log::error!("event=admin_handler_failed error={error:?}");
            let message = "the request ended without an outcome";
            Err(AdminError::new(AdminErrorKind::OutcomeUnknown, message))
        })
    }

    fn metrics(&self) -> Result<Response<ResponseBody>, AdminError> {
        let text = TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| {
                let message = format!("metrics: {error}");
                AdminError::new(AdminErrorKind::Busy, message)
            })?;
        Ok(http_response(200, METRICS_CONTENT_TYPE, text.into_bytes()))
    }
}

/// Compares the hash with every key in constant time, so that response times reveal nothing
/// about the stored hashes.
fn find_key(keys: &[AdminKey], hash: KeyHash) -> Option<&AdminKey> {
    let mut found = u64::MAX;
    for (index, key) in keys.iter().enumerate() {
        let equal: Choice = key.hash.0.ct_eq(&hash.0);
        found.conditional_assign(&(index as u64), equal);
    }
    keys.get(usize::try_from(found).ok()?)
}

/// The value of a header. A value that is not visible ASCII becomes empty, which
/// [`route::expected_version`] refuses.
fn header_value<'a>(head: &'a request::Parts, name: &str) -> Option<&'a str> {
    head.headers
        .get(name)
        .map(|value| value.to_str().unwrap_or_default())
}

/// Converts a refusal from reading the body, which is shared with the server for callers.
fn body_error(refusal: Refusal) -> AdminError {
    let kind = match refusal.reason {
        RefusalReason::BodyTooLarge => AdminErrorKind::BodyTooLarge,
        RefusalReason::Overloaded => AdminErrorKind::Busy,
        RefusalReason::RequestTimeout => AdminErrorKind::RequestTimeout,
        _ => AdminErrorKind::Invalid,
    };
    AdminError::new(kind, refusal.message)
}

fn success_response(admin: AdminResponse) -> Result<Response<ResponseBody>, AdminError> {
    let mut response = http_response(admin.status, "application/json", admin.body);
    if let Some(version) = admin.version
        && let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\""))
    {
        response.headers_mut().insert("etag", tag);
    }
    Ok(response)
}

#[derive(Serialize)]
struct ErrorForm<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: &'static str,
    message: &'a str,
}

fn error_response(error: &AdminError, had_body: bool) -> Response<ResponseBody> {
    let form = ErrorForm {
        error: ErrorFields {
            code: error.kind.code(),
            message: &error.message,
        },
    };
    let body = serde_json::to_vec(&form).unwrap_or_default();
    let mut response = http_response(error.kind.status(), "application/json", body);
    if error.kind == AdminErrorKind::InvalidKey {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert("www-authenticate", scheme);
    }
    if had_body {
        // The body may not have been read to its end, so the connection cannot be reused.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn http_response(
    status: u16,
    kind: &'static str,
    body: Vec<u8>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert("content-type", kind);
    response
}
