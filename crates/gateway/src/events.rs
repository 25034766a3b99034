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
    /// Position in `buffer` up to which no event ends. The search continues there, so that an
    /// event that arrives in small pieces is not searched again for each of them.
    searched_bytes: usize,
    /// Start of the line that contains this position.
    line_start: usize,
}

impl EventReader {
    /// Adds received bytes and returns the events completed by them. Returns None if the
    /// incomplete event at the end exceeds 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<StreamEvent>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = self.event_length() {
            events.push(decode(self.buffer.split_to(length).freeze()));
        }
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Length in bytes of the first complete event, including the blank line that ends it.
    fn event_length(&mut self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched_bytes..];
        let line_ends = unsearched.iter().enumerate();
        let line_ends = line_ends.filter(|(_, byte)| **byte == b'\n');
        for (position, _) in line_ends {
            let index = self.searched_bytes + position;
            match &self.buffer[self.line_start..index] {
                b"" | b"\r" if self.line_start > 0 => {
                    self.searched_bytes = 0;
                    self.line_start = 0;
                    return Some(index + 1);
                }
                _ => self.line_start = index + 1,
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }

    /// Memory of the incomplete event at the end, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether the bytes received so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
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
