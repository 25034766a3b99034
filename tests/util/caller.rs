//! HTTP client for the chat completions API, for programs and for plain services.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use ureq::Agent;

/// A response whose body was read until its end or until the connection broke.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers, with the names in lower case.
    pub headers: Vec<(String, String)>,
    /// The part of the body that arrived.
    pub body: String,
    /// Whether the whole body arrived.
    pub complete: bool,
}

impl Response {
    /// The body as JSON. `Null` if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The `ran` field of a refusal: whether the call ran at an endpoint. Empty if there is
    /// none.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }

    /// The `code` field of a refusal. Empty if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    }
}

/// Sends requests with one customer key, each on a new connection.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
    key: String,
}

impl Caller {
    pub fn new(key: &str) -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(Duration::from_secs(60)))
            .build();
        Caller {
            agent: config.into(),
            key: key.to_string(),
        }
    }

    /// Sends a request. `None` if the connection failed before the headers of a response.
    pub fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("Authorization", format!("Bearer {}", self.key))
            .header("Content-Type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body.to_string()).unwrap();
        let response = self.agent.run(request).ok()?;
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .map(|(name, value)| {
                (
                    name.to_string(),
                    value.to_str().unwrap_or_default().to_string(),
                )
            })
            .collect();
        let mut bytes = Vec::new();
        let complete = response
            .into_body()
            .into_reader()
            .read_to_end(&mut bytes)
            .is_ok();
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Some(Response {
            status,
            headers,
            body,
            complete,
        })
    }

    /// Sends a chat completion for `test-model` with `text` as the only message.
    pub fn chat(
        &self,
        to: SocketAddr,
        headers: &[(&str, &str)],
        text: &str,
    ) -> Option<Response> {
        let body = json!({
            "model": "test-model",
            "max_tokens": 8,
            "messages": [{ "role": "user", "content": text }],
        });
        self.send(
            to,
            "POST",
            "/v1/chat/completions",
            headers,
            &body.to_string(),
        )
    }

    /// Opens a program and returns its token.
    pub fn open(&self, to: SocketAddr, headers: &[(&str, &str)]) -> String {
        let response = self
            .send(to, "POST", "/v1/programs", headers, "{}")
            .unwrap();
        assert_eq!(response.status, 201, "{response:?}");
        response.json()["id"].as_str().unwrap().to_string()
    }

    /// Sends a non-repeatable request to the plain service, which counts it under `tag`.
    pub fn send_order(
        &self,
        to: SocketAddr,
        headers: &[(&str, &str)],
        tag: &str,
    ) -> Option<Response> {
        let mut all_headers = vec![("X-Request-Tag", tag)];
        all_headers.extend_from_slice(headers);
        self.send(to, "POST", "/orders/new", &all_headers, "{}")
    }
}
