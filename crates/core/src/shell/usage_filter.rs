//! Removes the token usage event from streams whose caller did not request it.
//!
//! Program budgets are charged by the reported token usage, so every streaming request to
//! an engine sets `stream_options.include_usage`. Common client libraries fail on an event
//! without choices unless they requested it.

use serde_json::Value;

/// Blank line that ends a server-sent event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Splits a stream into events and drops those that carry nothing but the usage.
#[derive(Debug, Default)]
pub(crate) struct UsageFilter {
    /// Start of an event whose end has not arrived.
    incomplete: Vec<u8>,
}

impl UsageFilter {
    /// Accepts the next chunk of the stream and returns the complete events to send to the
    /// caller. A chunk need not begin or end at an event.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.incomplete.extend_from_slice(bytes);
        let mut output = Vec::new();
        while let Some(end) = find(&self.incomplete, EVENT_TERMINATOR) {
            let event: Vec<u8> = self
                .incomplete
                .drain(..end + EVENT_TERMINATOR.len())
                .collect();
            if !is_usage_only(&event) {
                output.extend_from_slice(&event);
            }
        }
        output
    }

    /// Returns the bytes after the last complete event. Called at the end of the stream.
    pub(crate) fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.incomplete)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Whether the event has an empty list of choices and a usage object.
fn is_usage_only(event: &[u8]) -> bool {
    let Some(data) = event.strip_prefix(b"data:") else {
        return false;
    };
    let Ok(value) = serde_json::from_slice::<Value>(data) else {
        return false;
    };
    let has_no_choices = value["choices"].as_array().is_some_and(Vec::is_empty);
    has_no_choices && value["usage"].is_object()
}
