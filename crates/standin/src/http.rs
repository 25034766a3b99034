//! HTTP requests and responses as the handlers of the stand-in servers see them.
//!
//! Handlers work with these types, so that only this module and [`crate::server`] deal
//! with hyper's body types.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::faults::ConnectionFaults;

/// A request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The HTTP method, as sent by the client.
    pub method: Method,
    /// The path of the URI, without the query.
    pub path: String,
    /// The query of the URI without the `?`. Empty if there is none.
    pub query: String,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// The complete body. Empty if the request has none.
    pub body: Bytes,
}

impl HttpRequest {
    /// The first value of a header. `None` if the header is absent or its value is not
    /// visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// How the body of a response is produced.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body, sent with its `Content-Length`.
    Whole(Bytes),
    /// Chunks that are sent as they arrive. The body ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// The response that a [`crate::server::Handler`] returns.
#[derive(Debug)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The value of the `Content-Type` header.
    pub content_type: &'static str,
    /// The body, either complete or streamed.
    pub body: ResponseBody,
}

impl HttpResponse {
    /// A complete response with `value` as JSON.
    pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
        let text = serde_json::to_vec(value).unwrap_or_default();
        HttpResponse {
            status,
            content_type: "application/json",
            body: ResponseBody::Whole(text.into()),
        }
    }

    /// An error in the JSON format of the chat completions API.
    pub fn error(status: StatusCode, message: &str) -> HttpResponse {
        let value = serde_json::json!({ "error": { "message": message } });
        HttpResponse::json(status, &value)
    }

    /// A response with status 200 whose body is streamed from `chunks`.
    pub fn stream(
        content_type: &'static str,
        chunks: mpsc::Receiver<Bytes>,
    ) -> HttpResponse {
        HttpResponse {
            status: StatusCode::OK,
            content_type,
            body: ResponseBody::Stream(chunks),
        }
    }

    /// Converts into hyper's response type. The body stops when the connection of
    /// `faults` is silenced.
    pub(crate) fn into_response(
        self,
        faults: Arc<ConnectionFaults>,
    ) -> Response<OutgoingBody> {
        let body = OutgoingBody {
            body: self.body,
            faults,
        };
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let value = hyper::header::HeaderValue::from_static(self.content_type);
        response.headers_mut().insert(CONTENT_TYPE, value);
        response
    }
}

/// The body of a response on the wire. It sends nothing more, and does not end, once its
/// connection is silenced.
pub(crate) struct OutgoingBody {
    body: ResponseBody,
    faults: Arc<ConnectionFaults>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.faults.is_silenced() {
            return Poll::Pending;
        }
        match &mut self.body {
            ResponseBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            ResponseBody::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, ResponseBody::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.body {
            ResponseBody::Whole(bytes) => {
                hyper::body::SizeHint::with_exact(bytes.len() as u64)
            }
            ResponseBody::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}
