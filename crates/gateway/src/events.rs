//! Whole events of an event stream.
//!
//! Callers get the endpoint's bytes unchanged, and an endpoint may stop in the middle of an
//! event, so the stream is cut at the blank lines that end events. Libraries for the format
//! give the decoded events without their bytes.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes. Events are a few hundred bytes; a stream that
/// never ends one is not an event stream.
const MOST_EVENT_BYTES: usize = 1 << 20;

/// One event, as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The bytes, with the blank line at the end.
    pub raw: Bytes,
    /// Its identifier, if it has a number as such.
    pub id: Option<u64>,
    /// Its data lines, joined by line feeds. None without a data line.
    pub data: Option<Vec<u8>>,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Adds bytes. Returns the events that are now whole, or none if an event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<StreamEvent>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = event_length(&self.buffer) {
            events.push(decode(self.buffer.split_to(length).freeze()));
        }
        (self.buffer.len() <= MOST_EVENT_BYTES).then_some(events)
    }

    /// Whether the bytes end with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Length of the first event with the blank line that ends it.
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

/// Name and value of a line, without the one space that may follow the colon.
fn field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let value = &line[colon + 1..];
    Some((&line[..colon], value.strip_prefix(b" ").unwrap_or(value)))
}
