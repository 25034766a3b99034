//! Parses the body of a chat completion request.
//!
//! Only the fields that scheduling needs are read. The body is forwarded unchanged, so
//! fields that are unknown here still reach the engine.

use jayreel_model::{Refusal, RefusalReason};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::history;
use crate::request_handler::ChatParams;

/// Maximum length of a model name.
const MAX_MODEL_BYTES: usize = 256;
/// Maximum number of messages in a request.
const MAX_MESSAGES: usize = 10_000;

#[derive(Deserialize)]
struct ChatBody<'a> {
    model: String,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
    #[serde(borrow, default)]
    tools: Option<&'a RawValue>,
    #[serde(borrow, default)]
    functions: Option<&'a RawValue>,
    #[serde(borrow, default)]
    response_format: Option<&'a RawValue>,
}

/// Upper bound of the tokens that an engine's chat template adds for each message, and once
/// more for the start of the response. Without them a prompt of short messages could use
/// more tokens than its bound, and the program more than its budget.
const MAX_TEMPLATE_TOKENS: u64 = 16;

/// Parses the parameters that scheduling needs.
///
/// # Errors
///
/// [`RefusalReason::InvalidRequest`] if the body is not a valid chat request. The message
/// names the field at fault.
pub fn parse(body: &[u8]) -> Result<ChatParams, Refusal> {
    let text =
        std::str::from_utf8(body).map_err(|_| invalid("the body is not valid UTF-8"))?;
    let body: ChatBody<'_> = serde_json::from_str(text)
        .map_err(|error| invalid(format!("the body is not a chat request: {error}")))?;
    validate(&body)?;
    let mut prompt_bound = MAX_TEMPLATE_TOKENS;
    let mut prefix = history::EMPTY;
    let mut prefix_hashes = Vec::with_capacity(body.messages.len());
    for raw in &body.messages {
        let message: Value = serde_json::from_str(raw.get())
            .map_err(|error| invalid(format!("field messages: {error}")))?;
        if !message.is_object() {
            return Err(invalid("field messages: a message is not an object"));
        }
        prompt_bound += text_bytes(&message) + MAX_TEMPLATE_TOKENS;
        prefix = history::extend(prefix, &message);
        prefix_hashes.push(prefix);
    }
    let schemas = [body.tools, body.functions, body.response_format];
    prompt_bound += schemas
        .iter()
        .flatten()
        .map(|raw| raw.get().len() as u64)
        .sum::<u64>();
    Ok(ChatParams {
        model: body.model,
        stream: body.stream.unwrap_or(false),
        max_tokens: body.max_completion_tokens.or(body.max_tokens),
        prompt_bound_tokens: prompt_bound,
        prefix_hashes,
    })
}

fn validate(body: &ChatBody<'_>) -> Result<(), Refusal> {
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    if body.model.is_empty() || body.model.len() > MAX_MODEL_BYTES {
        return Err(invalid("field model is empty or too long"));
    }
    if body.messages.is_empty() || body.messages.len() > MAX_MESSAGES {
        return Err(invalid("field messages is empty or too long"));
    }
    if max_tokens == Some(0) {
        return Err(invalid("field max_tokens is zero"));
    }
    // n choices generate up to n * max_tokens, but only max_tokens are reserved.
    match body.n {
        None | Some(1) => Ok(()),
        Some(_) => Err(invalid("field n is not 1")),
    }
}

/// Total bytes of all strings in a message. A token covers at least one byte, so this is an
/// upper bound of its tokens.
fn text_bytes(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.len() as u64,
        Value::Array(items) => items.iter().map(text_bytes).sum(),
        Value::Object(fields) => fields.values().map(text_bytes).sum(),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}
