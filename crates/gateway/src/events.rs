//! Incremental parser that splits a server-sent event stream into complete events.
//!
//! Callers receive the endpoint's bytes unchanged, and an endpoint may fail in the middle of
//! an event, so the stream is split at the blank lines that end events. Libraries for this
//! format return decoded events without the original bytes.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered, in bytes. Events are a few hundred bytes long;
/// a response that exceeds this limit is not an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes as received, including the blank line at the end.
    pub raw: Bytes,
    /// Its `id` field, if that is a number.
    pub id: Option<u64>,
    /// The values of its `data` fields, joined by line feeds. None without such a field.
    pub data: Option<Vec<u8>>,
}

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Adds received bytes and returns the events completed by them. Returns None if the
    /// incomplete event at the end exceeds 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<StreamEvent>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = event_length(&self.buffer) {
            events.push(decode(self.buffer.split_to(length).freeze()));
        }
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Whether the bytes received so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Length in bytes of the first complete event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        match &bytes[line_start..index] {
            b"" | b"\r" if line_start > 0 => return Some(index + 1),
            _ => line_start = index + 1,
        }
    }
    None
}

fn decode(raw: Bytes) -> StreamEvent {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match field(line) {
            Some((b"id", value)) => {
                id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|text| text.parse().ok());
            }
            Some((b"data", value)) => {
                let collected = match data.take() {
                    Some(mut earlier) => {
                        earlier.push(b'\n');
                        earlier.extend_from_slice(value);
                        earlier
                    }
                    None => value.to_vec(),
                };
                data = Some(collected);
            }
            _ => {}
        }
    }
    StreamEvent { raw, id, data }
}

/// Name and value of a field line. The value lacks the optional space after the colon.
fn field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let value = &line[colon + 1..];
    Some((&line[..colon], value.strip_prefix(b" ").unwrap_or(value)))
}
