//! Rewrites the body of a chat completion for the engine.

use serde_json::{Map, Value, json};

/// Sets the maximum number of generated tokens (if there is one) and the priority in the
/// caller's body. For a stream, also requests a final event with the token usage, by which
/// program budgets are charged. Returns the body unchanged if it is not a JSON object.
pub(crate) fn engine_body(
    body: &[u8],
    stream: bool,
    max_tokens: Option<u64>,
    priority: i32,
) -> Vec<u8> {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return body.to_vec();
    };
    if let Some(max_tokens) = max_tokens {
        set_max_tokens(&mut fields, max_tokens);
    }
    fields.insert("priority".to_string(), json!(priority));
    if stream {
        fields.insert(
            "stream_options".to_string(),
            json!({ "include_usage": true }),
        );
    }
    Value::Object(fields).to_string().into_bytes()
}

/// Whether the caller itself requested the usage event at the end of a stream.
pub(crate) fn requests_usage(body: &[u8]) -> bool {
    serde_json::from_slice::<Value>(body)
        .is_ok_and(|value| value["stream_options"]["include_usage"] == json!(true))
}

/// Writes the maximum under the newer name of the field if the caller used that one.
fn set_max_tokens(fields: &mut Map<String, Value>, max_tokens: u64) {
    let field = match fields.contains_key("max_completion_tokens") {
        true => "max_completion_tokens",
        false => "max_tokens",
    };
    fields.insert(field.to_string(), json!(max_tokens));
}
