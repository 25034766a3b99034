//! Hashes of the message history of a program, one for each prefix.
//!
//! Callers send the messages that an engine generated back in a different encoding: with
//! fields in another order, other white space, and null fields added or removed. The hash
//! therefore covers the parsed values of the fields that reach the model, not the bytes.

use serde_json::Value;

/// The hash of an empty history.
pub const EMPTY: u64 = 0;

/// The fields of a message that are hashed, in this order.
const FIELDS: [&str; 5] = ["role", "content", "name", "tool_calls", "tool_call_id"];

/// Returns the hash of the history with hash `prefix` followed by `message`.
pub fn extend(prefix: u64, message: &Value) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix.to_le_bytes());
    for field in FIELDS {
        let canonical = canonical(message.get(field));
        // Without the length, bytes could move between adjacent fields unnoticed.
        hasher.update(&(canonical.len() as u64).to_le_bytes());
        hasher.update(canonical.as_bytes());
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Encodes equal values as equal strings. Objects are sorted by key, and an absent field is
/// the same as null and an empty list.
fn canonical(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::Array(items)) if items.is_empty() => String::new(),
        Some(value) => value.to_string(),
    }
}
