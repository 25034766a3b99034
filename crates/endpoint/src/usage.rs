//! Reads token usage from responses to chat completions.

use serde::Deserialize;

use crate::call::Usage;

/// Maximum number of bytes buffered of a JSON response, or of one line of an event stream.
/// Usage in anything longer is ignored.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Reads the token usage of a response while its body is forwarded.
#[derive(Debug)]
pub struct UsageReader {
    format: BodyFormat,
    usage: Option<Usage>,
    /// Whether the final event was seen.
    done: bool,
}

/// The format of the body, with what is buffered of it.
#[derive(Debug)]
enum BodyFormat {
    /// One JSON document, from its start.
    Json(BoundedBuffer),
    /// Server-sent events: the line that is not complete yet.
    EventStream(BoundedBuffer),
}

/// A buffer of at most [`MAX_BUFFERED_BYTES`]. On overflow it drops its content and all that
/// follows, until [`BoundedBuffer::take`] empties it.
#[derive(Debug, Default)]
struct BoundedBuffer {
    bytes: Vec<u8>,
    overflowed: bool,
}

impl BoundedBuffer {
    fn push(&mut self, bytes: &[u8]) {
        self.overflowed |= self.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES;
        match self.overflowed {
            true => self.bytes.clear(),
            false => self.bytes.extend_from_slice(bytes),
        }
    }

    fn take(&mut self) -> Vec<u8> {
        self.overflowed = false;
        std::mem::take(&mut self.bytes)
    }
}

/// The part of a response or of an event's data that is read.
#[derive(Deserialize)]
struct UsageReport {
    #[serde(default)]
    usage: Option<ReportedUsage>,
}

#[derive(Deserialize)]
struct ReportedUsage {
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

impl UsageReader {
    /// Creates a reader for a response with this content type. Anything but an event stream
    /// is read as JSON.
    pub fn new(content_type: &str) -> UsageReader {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        let format = match media_type.eq_ignore_ascii_case("text/event-stream") {
            true => BodyFormat::EventStream(BoundedBuffer::default()),
            false => BodyFormat::Json(BoundedBuffer::default()),
        };
        UsageReader {
            format,
            usage: None,
            done: false,
        }
    }

    /// Reads the next piece of the body. Pieces may be cut anywhere.
    pub fn push(&mut self, bytes: &[u8]) {
        match &mut self.format {
            BodyFormat::Json(buffer) => buffer.push(bytes),
            BodyFormat::EventStream(_) => self.push_events(bytes),
        }
    }

    /// Whether an event stream has sent its final event, `data: [DONE]`.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the usage after the last piece, or `None` if the response reported none or a
    /// malformed one. Cached tokens are limited to the prompt tokens.
    pub fn finish(mut self) -> Option<Usage> {
        let document = match &mut self.format {
            BodyFormat::Json(buffer) => buffer.take(),
            BodyFormat::EventStream(buffer) => {
                let line = buffer.take();
                self.read_line(&line);
                return self.usage;
            }
        };
        parse(&document)
    }

    fn push_events(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let BodyFormat::EventStream(buffer) = &mut self.format else {
                return;
            };
            buffer.push(part);
            if part.ends_with(b"\n") {
                let line = buffer.take();
                self.read_line(&line);
            }
        }
    }

    fn read_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        self.done |= data == b"[DONE]";
        // Skips parsing the many events that cannot have usage.
        let has_usage = data.windows(7).any(|window| window == b"\"usage\"");
        if has_usage && let Some(usage) = parse(data) {
            self.usage = Some(usage);
        }
    }
}

fn parse(json: &[u8]) -> Option<Usage> {
    let report: UsageReport = serde_json::from_slice(json).ok()?;
    let usage = report.usage?;
    let cached = usage
        .prompt_tokens_details
        .and_then(|details| details.cached_tokens)
        .unwrap_or(0);
    Some(Usage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: cached.min(usage.prompt_tokens),
        generated_tokens: usage.completion_tokens,
    })
}
