//! Chat completions: parses the request, spends the time of the call, and sends the
//! response either complete or as a stream of server-sent events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::engine::cache::TOKEN_BYTES;
use crate::engine::{CACHE_TAG_HEADER, EngineState};
use crate::http::{HttpRequest, HttpResponse};
use crate::service::CancelGuard;

/// Number of events of a stream that are buffered for a slow client. When the buffer is
/// full, the call stops generating until the client reads on.
const STREAM_BUFFER_EVENTS: usize = 16;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    /// Whether an event with the usage is sent before the final `[DONE]`.
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    /// A string, or an array of parts of which those with a `text` count.
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    /// Calls with a lower value get a slot first.
    #[serde(default)]
    priority: i64,
    /// Whether to generate exactly `max_tokens`.
    #[serde(default)]
    ignore_eos: bool,
}

/// A call that is waiting for a slot or running.
struct Call {
    state: Arc<EngineState>,
    id: String,
    model: String,
    cache_tag: String,
    /// The text of all messages, and in the end also the generated text.
    prompt: Vec<u8>,
    /// With the tokens of the chat template.
    prompt_tokens: u64,
    /// Number of prompt tokens that were found in the prefix cache.
    cached_tokens: u64,
    /// Number of tokens to generate. It is fixed when the call arrives.
    generated_tokens: u64,
    finish_reason: &'static str,
    priority: i64,
}

/// The response to `GET /v1/models`: the models of the settings.
pub(super) fn list_models(state: &EngineState) -> HttpResponse {
    let data: Vec<Value> = state
        .settings
        .models
        .iter()
        .map(|id| json!({ "id": id, "object": "model", "owned_by": "standin" }))
        .collect();
    HttpResponse::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

/// Handles `POST /v1/chat/completions`. Only calls for served models are recorded.
pub(super) async fn handle_completion(
    state: &Arc<EngineState>,
    http_request: HttpRequest,
) -> HttpResponse {
    let request = match serde_json::from_slice::<ChatRequest>(&http_request.body) {
        Ok(request) => request,
        Err(error) => {
            return HttpResponse::error(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    if !state.serves(&request.model) {
        return HttpResponse::error(StatusCode::NOT_FOUND, "the model does not exist");
    }
    state.recorder.record(&http_request);
    let call = Call::new(state, &http_request, &request);
    if !request.stream {
        return call.respond_whole().await;
    }
    let (sender, chunks) = mpsc::channel(STREAM_BUFFER_EVENTS);
    tokio::spawn(call.stream_or_cancel(sender, request.stream_options.include_usage));
    HttpResponse::stream("text/event-stream", chunks)
}

/// The text of all messages, without roles and separators.
fn prompt_text(messages: &[Message]) -> Vec<u8> {
    let mut text = Vec::new();
    for message in messages {
        match &message.content {
            Value::String(content) => text.extend_from_slice(content.as_bytes()),
            Value::Array(parts) => parts
                .iter()
                .filter_map(|part| part["text"].as_str())
                .for_each(|part| text.extend_from_slice(part.as_bytes())),
            _ => {}
        }
    }
    text
}

/// The made-up text of the generated token at `index`. It has [`TOKEN_BYTES`] bytes, as
/// the prefix cache assumes.
fn token_text(index: u64) -> String {
    format!("{:03x} ", index % 0xfff)
}

impl Call {
    fn new(
        state: &Arc<EngineState>,
        http_request: &HttpRequest,
        request: &ChatRequest,
    ) -> Call {
        let settings = &state.settings;
        let prompt = prompt_text(&request.messages);
        let template_tokens = settings.template_tokens * request.messages.len() as u64;
        let max_tokens = request.max_tokens.unwrap_or(settings.answer_tokens);
        let (generated_tokens, finish_reason) = match request.ignore_eos {
            false if max_tokens > settings.answer_tokens => {
                (settings.answer_tokens, "stop")
            }
            _ => (max_tokens, "length"),
        };
        Call {
            state: Arc::clone(state),
            id: format!("chatcmpl-{}", state.batch.next_id()),
            model: request.model.clone(),
            cache_tag: http_request
                .header(CACHE_TAG_HEADER)
                .unwrap_or("")
                .to_string(),
            prompt_tokens: prompt.len().div_ceil(TOKEN_BYTES) as u64 + template_tokens,
            prompt,
            cached_tokens: 0,
            generated_tokens,
            finish_reason,
            priority: request.priority,
        }
    }

    /// Waits for the time that the uncached prompt tokens take, then caches the prompt.
    async fn prefill(&mut self) {
        let (model, prompt) = (&self.model, &self.prompt);
        self.cached_tokens = self.state.with_cache(|cache| cache.lookup(model, prompt));
        let tokens = self.prompt_tokens.saturating_sub(self.cached_tokens);
        let us = tokens * self.state.settings.prefill_us_per_token;
        tokio::time::sleep(Duration::from_micros(us)).await;
        self.state
            .with_cache(|cache| cache.store(model, prompt, &self.cache_tag));
    }

    /// The time at which the next token is due, if the one before was due at `previous`.
    fn next_token_due(&self, previous: Instant) -> Instant {
        let settings = &self.state.settings;
        let other_calls = self.state.batch.running().saturating_sub(1) as u64;
        let us = settings.token_us + settings.batch_slowdown_us * other_calls;
        previous + Duration::from_micros(us)
    }

    /// Caches the prompt followed by the generated text.
    fn cache_conversation(&mut self, content: &str) {
        self.prompt.extend_from_slice(content.as_bytes());
        let (model, text) = (&self.model, &self.prompt);
        self.state
            .with_cache(|cache| cache.store(model, text, &self.cache_tag));
    }

    /// The `usage` object of the response.
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated_tokens,
            "total_tokens": self.prompt_tokens + self.generated_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }

    /// Runs the call and returns its complete response. If the future is dropped, the call
    /// is recorded as cancelled and its slot is freed.
    async fn respond_whole(mut self) -> HttpResponse {
        let state = Arc::clone(&self.state);
        let guard = CancelGuard::new(&state.recorder);
        let _slot = state.batch.acquire(self.priority).await;
        self.prefill().await;
        let mut due = Instant::now();
        let mut content = String::new();
        for index in 0..self.generated_tokens {
            due = self.next_token_due(due);
            tokio::time::sleep_until(due).await;
            content.push_str(&token_text(index));
        }
        self.cache_conversation(&content);
        guard.disarm();
        let message = json!({ "role": "assistant", "content": content });
        let response = json!({ "id": self.id, "object": "chat.completion", "created": 0,
            "model": self.model, "usage": self.usage(), "choices": [{ "index": 0,
            "message": message, "finish_reason": self.finish_reason }] });
        HttpResponse::json(StatusCode::OK, &response)
    }

    /// Runs a streamed call until it ends or its client closes the connection. The latter
    /// is recorded as a cancellation.
    async fn stream_or_cancel(self, sender: mpsc::Sender<Bytes>, include_usage: bool) {
        let state = Arc::clone(&self.state);
        let guard = CancelGuard::new(&state.recorder);
        tokio::select! {
            biased;
            result = self.stream(sender.clone(), include_usage) => if result.is_some() {
                guard.disarm();
            },
            _ = sender.closed() => {}
        }
    }

    /// Runs the call and sends its events to `sender`. Returns `None` if the client closed
    /// the connection before all were sent.
    async fn stream(
        mut self,
        sender: mpsc::Sender<Bytes>,
        include_usage: bool,
    ) -> Option<()> {
        let state = Arc::clone(&self.state);
        let slot = state.batch.acquire(self.priority).await;
        self.prefill().await;
        let mut due = Instant::now();
        let mut content = String::new();
        for index in 0..self.generated_tokens {
            due = self.next_token_due(due);
            tokio::time::sleep_until(due).await;
            let text = token_text(index);
            let delta = json!({ "role": "assistant", "content": text });
            content.push_str(&text);
            sender.send(self.chunk(delta, None)).await.ok()?;
        }
        self.cache_conversation(&content);
        drop(slot);
        let last = self.chunk(json!({}), Some(self.finish_reason));
        sender.send(last).await.ok()?;
        if include_usage {
            let mut chunk = self.chunk_value(json!([]));
            chunk["usage"] = self.usage();
            sender.send(sse_event(&chunk)).await.ok()?;
        }
        sender
            .send(Bytes::from_static(b"data: [DONE]\n\n"))
            .await
            .ok()
    }

    /// The event of one `chat.completion.chunk` with a single choice.
    fn chunk(&self, delta: Value, finish_reason: Option<&str>) -> Bytes {
        let choice =
            json!({ "index": 0, "delta": delta, "finish_reason": finish_reason });
        sse_event(&self.chunk_value(json!([choice])))
    }

    /// The JSON of a `chat.completion.chunk`.
    fn chunk_value(&self, choices: Value) -> Value {
        json!({ "id": self.id, "object": "chat.completion.chunk", "created": 0,
            "model": self.model, "choices": choices })
    }
}

/// Encodes a server-sent event.
fn sse_event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
