//! Chat completions: requests, the run of one call, and the two forms of the response.

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

/// Pieces of a stream that wait for a slow client before the call stops generating.
const STREAM_BUFFER: usize = 16;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
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
    /// Lower runs first.
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    ignore_eos: bool,
}

/// One call that is being answered.
struct Call {
    state: Arc<EngineState>,
    id: String,
    model: String,
    cache_tag: String,
    prompt: Vec<u8>,
    prompt_tokens: u64,
    cached_tokens: u64,
    generated_tokens: u64,
    finish_reason: &'static str,
    priority: i64,
}

pub(super) fn list_models(state: &EngineState) -> HttpResponse {
    let data: Vec<Value> = state
        .settings
        .models
        .iter()
        .map(|id| json!({ "id": id, "object": "model", "owned_by": "standin" }))
        .collect();
    HttpResponse::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

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
    let (chunks, response) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(call.stream_or_cancel(chunks, request.stream_options.include_usage));
    HttpResponse::stream("text/event-stream", response)
}

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

/// The text of the generated token at `index`.
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
        let template = settings.template_tokens * request.messages.len() as u64;
        let limit = request.max_tokens.unwrap_or(settings.answer_tokens);
        let (generated_tokens, finish_reason) = match request.ignore_eos {
            false if limit > settings.answer_tokens => (settings.answer_tokens, "stop"),
            _ => (limit, "length"),
        };
        Call {
            state: Arc::clone(state),
            id: format!("chatcmpl-{}", state.batch.next_id()),
            model: request.model.clone(),
            cache_tag: http_request
                .header(CACHE_TAG_HEADER)
                .unwrap_or("")
                .to_string(),
            prompt_tokens: prompt.len().div_ceil(TOKEN_BYTES) as u64 + template,
            prompt,
            cached_tokens: 0,
            generated_tokens,
            finish_reason,
            priority: request.priority,
        }
    }

    /// Spends the time of the prompt tokens that are not cached, then caches the prompt.
    async fn prefill(&mut self) {
        let (model, prompt) = (&self.model, &self.prompt);
        self.cached_tokens = self.state.with_cache(|cache| cache.lookup(model, prompt));
        let tokens = self.prompt_tokens.saturating_sub(self.cached_tokens);
        let us = tokens * self.state.settings.prefill_us_per_token;
        tokio::time::sleep(Duration::from_micros(us)).await;
        self.state
            .with_cache(|cache| cache.store(model, prompt, &self.cache_tag));
    }

    /// The time at which the token after one at `previous` is due.
    fn next_token_due(&self, previous: Instant) -> Instant {
        let settings = &self.state.settings;
        let others = self.state.batch.running().saturating_sub(1) as u64;
        let us = settings.token_us + settings.batch_slowdown_us * others;
        previous + Duration::from_micros(us)
    }

    fn cache_conversation(&mut self, response: &str) {
        self.prompt.extend_from_slice(response.as_bytes());
        let (model, text) = (&self.model, &self.prompt);
        self.state
            .with_cache(|cache| cache.store(model, text, &self.cache_tag));
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated_tokens,
            "total_tokens": self.prompt_tokens + self.generated_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }

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

    async fn stream_or_cancel(self, chunks: mpsc::Sender<Bytes>, with_usage: bool) {
        let state = Arc::clone(&self.state);
        let guard = CancelGuard::new(&state.recorder);
        let sender = chunks.clone();
        tokio::select! {
            biased;
            sent = self.stream(sender, with_usage) => if sent.is_some() {
                guard.disarm();
            },
            _ = chunks.closed() => {}
        }
    }

    async fn stream(
        mut self,
        chunks: mpsc::Sender<Bytes>,
        with_usage: bool,
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
            chunks.send(self.chunk(delta, None)).await.ok()?;
        }
        self.cache_conversation(&content);
        drop(slot);
        let last = self.chunk(json!({}), Some(self.finish_reason));
        chunks.send(last).await.ok()?;
        if with_usage {
            let mut chunk = self.chunk_value(json!([]));
            chunk["usage"] = self.usage();
            chunks.send(sse_event(&chunk)).await.ok()?;
        }
        chunks
            .send(Bytes::from_static(b"data: [DONE]\n\n"))
            .await
            .ok()
    }

    fn chunk(&self, delta: Value, finish_reason: Option<&str>) -> Bytes {
        let choice =
            json!({ "index": 0, "delta": delta, "finish_reason": finish_reason });
        sse_event(&self.chunk_value(json!([choice])))
    }

    fn chunk_value(&self, choices: Value) -> Value {
        json!({ "id": self.id, "object": "chat.completion.chunk", "created": 0,
            "model": self.model, "choices": choices })
    }
}

fn sse_event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
