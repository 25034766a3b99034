//! From an HTTP request to the intake and back.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::future::{BoxFuture, FutureExt};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode};
use jayreel_model::{Refusal, RefusalReason, RequestId};

use crate::answer::{self, AnswerBody, Incomplete};
use crate::answer_channel;
use crate::body_budget::{BodyBudget, Reservation};
use crate::connection::HttpService;
use crate::listener::Stage;
use crate::request_handler::{IncomingRequest, Operation, RequestHandler};
use crate::responder::Responder;
use crate::settings::ServerSettings;
use crate::{chat, headers, operation, path, read_body};

/// Bodies above this size are parsed on a blocking thread, so that one large history does
/// not delay the other connections.
const INLINE_PARSE_BYTES: usize = 64 * 1024;

/// Answers the requests of callers.
pub(crate) struct CallerService {
    intake: Arc<dyn RequestHandler>,
    settings: ServerSettings,
    budget: Arc<BodyBudget>,
    next_id: AtomicU64,
}

impl CallerService {
    pub(crate) fn new(
        intake: Arc<dyn RequestHandler>,
        settings: ServerSettings,
    ) -> CallerService {
        CallerService {
            intake,
            budget: BodyBudget::new(settings.max_held_body_bytes),
            settings,
            next_id: AtomicU64::new(1),
        }
    }

    async fn call(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Incomplete> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (head, body) = request.into_parts();
        let to_head = head.method == Method::HEAD;
        let had_body = !body.is_end_stream();
        match self.read(head, body).await {
            Ok(request) => self.submit(id, request, to_head).await,
            Err(refusal) => {
                log::debug!(
                    "event=request_refused request={id} reason={}",
                    refusal.reason.code()
                );
                let mut response = answer::refused(&refusal, id);
                if had_body {
                    // The rest of the body is not read.
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
        request: CheckedRequest,
        to_head: bool,
    ) -> Result<Response<AnswerBody>, Incomplete> {
        let intake = Arc::clone(&self.intake);
        let (sink, pending) = answer_channel::channel(id, intake, request.reservation);
        self.intake.submit(IncomingRequest {
            id,
            method: request.method,
            path: request.path,
            operation: request.operation,
            headers: request.headers,
            passed_headers: request.passed_headers,
            body: request.body,
            responder: Responder::new(Box::new(sink)),
        });
        pending.response(to_head).await
    }

    async fn read(
        &self,
        head: request::Parts,
        body: Incoming,
    ) -> Result<CheckedRequest, Refusal> {
        let call_headers = headers::call_headers(&head.headers)?;
        let key = call_headers.key.as_deref();
        let target = path::checked(&head.method, &head.uri, key)?.to_string();
        let mut passed_headers = headers::passed_headers(&head.headers, key)?;
        let mut reservation = self.budget.reserve();
        let body = read_body::read(body, &self.settings, &mut reservation).await?;
        let (operation, body) = parse(&head, body).await?;
        if let Operation::ChatCompletion(_) = operation {
            // Usage is read out of the answer, which must therefore not be compressed.
            passed_headers.retain(|(name, _)| name != "accept-encoding");
        }
        Ok(CheckedRequest {
            method: head.method.to_string(),
            path: target,
            operation,
            headers: call_headers,
            passed_headers,
            body,
            reservation,
        })
    }

    fn probe(&self, path: &str, stage: Stage) -> Option<Response<AnswerBody>> {
        let ready = stage == Stage::Serving && self.intake.ready();
        let (status, text) = match path {
            "/healthz" => (StatusCode::OK, "ok\n"),
            "/readyz" if ready => (StatusCode::OK, "ready\n"),
            "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => return None,
        };
        let mut response = Response::new(AnswerBody::whole(text));
        *response.status_mut() = status;
        Some(response)
    }
}

impl HttpService for CallerService {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        stage: Stage,
    ) -> BoxFuture<'static, Result<Response<AnswerBody>, Incomplete>> {
        async move {
            let is_probe = matches!(*request.method(), Method::GET | Method::HEAD);
            let probed = match is_probe {
                true => self.probe(request.uri().path(), stage),
                false => None,
            };
            match probed {
                Some(response) => Ok(response),
                None => self.call(request).await,
            }
        }
        .boxed()
    }
}

/// A request whose form is checked.
struct CheckedRequest {
    method: String,
    path: String,
    operation: Operation,
    headers: crate::CallHeaders,
    passed_headers: Vec<(String, String)>,
    body: Vec<u8>,
    reservation: Reservation,
}

async fn parse(
    head: &request::Parts,
    body: Vec<u8>,
) -> Result<(Operation, Vec<u8>), Refusal> {
    let is_chat = head.method == Method::POST && operation::is_chat(head.uri.path());
    if !is_chat || body.len() <= INLINE_PARSE_BYTES {
        let operation = operation::parse(&head.method, head.uri.path(), &body)?;
        return Ok((operation, body));
    }
    let parsed = tokio::task::spawn_blocking(move || {
        let facts = chat::parse(&body)?;
        Ok((Operation::ChatCompletion(facts), body))
    });
    parsed.await.unwrap_or_else(|error| {
        log::error!("event=parse_failed error={error:?}");
        Err(Refusal::not_run(
            RefusalReason::InvalidRequest,
            "the body cannot be parsed",
        ))
    })
}
