//! Validates the requests of callers, passes them to the [`RequestHandler`] and returns the
//! responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::{BoxFuture, FutureExt};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode};
use jayreel_model::{Refusal, RefusalReason, RequestId};

use crate::body_budget::{BodyBudget, Reservation};
use crate::connection::HttpService;
use crate::listener::Stage;
use crate::request_handler::{IncomingRequest, Operation, RequestHandler};
use crate::responder::Responder;
use crate::response::{self, IncompleteResponse, ResponseBody};
use crate::response_channel;
use crate::settings::ServerSettings;
use crate::{chat, headers, operation, path, read_body};

/// Chat bodies above this size are parsed on a blocking thread, so that one large message
/// history does not delay the other connections.
const INLINE_PARSE_BYTES: usize = 64 * 1024;

/// Handles the requests of callers and the health probes.
pub(crate) struct CallerService {
    handler: Arc<dyn RequestHandler>,
    settings: ServerSettings,
    budget: Arc<BodyBudget>,
    next_id: AtomicU64,
}

impl CallerService {
    pub(crate) fn new(
        handler: Arc<dyn RequestHandler>,
        settings: ServerSettings,
    ) -> CallerService {
        CallerService {
            handler,
            budget: BodyBudget::new(settings.max_held_body_bytes),
            settings,
            next_id: AtomicU64::new(1),
        }
    }

    async fn handle_call(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, IncompleteResponse> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (head, body) = request.into_parts();
        let is_head_request = head.method == Method::HEAD;
        let had_body = !body.is_end_stream();
        match self.read_request(head, body).await {
            Ok(request) => self.submit(id, request, is_head_request).await,
            Err(refusal) => {
                log::debug!(
                    "event=request_refused request={id} reason={}",
                    refusal.reason.code()
                );
                let mut response = response::from_refusal(&refusal, id);
                if had_body {
                    // The body may not have been read to its end, so the connection cannot
                    // be reused.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok(response)
            }
        }
    }

    async fn submit(
        &self,
        id: RequestId,
        request: ValidatedRequest,
        is_head_request: bool,
    ) -> Result<Response<ResponseBody>, IncompleteResponse> {
        let handler = Arc::clone(&self.handler);
        let (sink, pending) = response_channel::channel(id, handler, request.reservation);
        self.handler.submit(IncomingRequest {
            id,
            method: request.method,
            path: request.path,
            operation: request.operation,
            headers: request.headers,
            passed_headers: request.passed_headers,
            body: request.body,
            responder: Responder::new(Box::new(sink)),
        });
        pending.receive(is_head_request).await
    }

    async fn read_request(
        &self,
        head: request::Parts,
        body: Incoming,
    ) -> Result<ValidatedRequest, Refusal> {
        let call_headers = headers::call_headers(&head.headers)?;
        let key = call_headers.key.as_deref();
        let target = path::validate(&head.method, &head.uri, key)?.to_string();
        let mut passed_headers = headers::passed_headers(&head.headers, key)?;
        let mut reservation = self.budget.reserve();
        let body = read_body::read(body, &self.settings, &mut reservation).await?;
        let (operation, body) = parse_operation(&head, body).await?;
        if let Operation::ChatCompletion(_) = operation {
            // The token usage is read from the response, so it must not be compressed.
            passed_headers.retain(|(name, _)| name != "accept-encoding");
        }
        Ok(ValidatedRequest {
            method: head.method.to_string(),
            path: target,
            operation,
            headers: call_headers,
            passed_headers,
            body,
            reservation,
        })
    }

    /// Returns the response if the path is that of a health probe.
    fn health_probe(&self, path: &str, stage: Stage) -> Option<Response<ResponseBody>> {
        let ready = stage == Stage::Serving && self.handler.ready();
        let (status, text) = match path {
            "/healthz" => (StatusCode::OK, "ok\n"),
            "/readyz" if ready => (StatusCode::OK, "ready\n"),
            "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => return None,
        };
        let mut response = Response::new(ResponseBody::whole(text));
        *response.status_mut() = status;
        Some(response)
    }
}

impl HttpService for CallerService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        stage: Stage,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, IncompleteResponse>> {
        async move {
            let is_probe = matches!(*request.method(), Method::GET | Method::HEAD);
            let probed = match is_probe {
                true => self.health_probe(request.uri().path(), stage),
                false => None,
            };
            match probed {
                Some(response) => Ok(response),
                None => self.handle_call(request).await,
            }
        }
        .boxed()
    }
}

/// A complete request whose headers, path and body are well-formed.
struct ValidatedRequest {
    method: String,
    path: String,
    operation: Operation,
    headers: crate::CallHeaders,
    passed_headers: Vec<(String, String)>,
    body: Vec<u8>,
    reservation: Reservation,
}

async fn parse_operation(
    head: &request::Parts,
    body: Vec<u8>,
) -> Result<(Operation, Vec<u8>), Refusal> {
    let is_chat = head.method == Method::POST && operation::is_chat(head.uri.path());
    if !is_chat || body.len() <= INLINE_PARSE_BYTES {
        let operation = operation::parse(&head.method, head.uri.path(), &body)?;
        return Ok((operation, body));
    }
    let parsed = tokio::task::spawn_blocking(move || {
        let params = chat::parse(&body)?;
        Ok((Operation::ChatCompletion(params), body))
    });
    parsed.await.unwrap_or_else(|error| {
        log::error!("event=parse_failed error={error:?}");
        Err(Refusal::not_run(
            RefusalReason::InvalidRequest,
            "the body cannot be parsed",
        ))
    })
}
