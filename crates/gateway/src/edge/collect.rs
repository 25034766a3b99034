//! Reads whole response bodies of endpoints into memory, within limits for each body and for all
//! bodies that are being read.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Share of the memory limit for all bodies that are being read, as a divisor.
const MEMORY_DIVISOR: usize = 8;

/// Size of the blocks into which a body is read, in bytes.
const BLOCK_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CollectError {
    /// The connection was lost before the end of the body.
    BrokenOff,
    /// It was not complete by the caller's deadline.
    TimedOut,
    /// It is longer than a body may be.
    TooLong,
    /// Too many bodies are being read at the same time.
    OutOfMemory,
}

impl CollectError {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            CollectError::BrokenOff => "response body broke off",
            CollectError::TimedOut => "response body timed out",
            CollectError::TooLong => "response body too long",
            CollectError::OutOfMemory => "too many response bodies in memory",
        }
    }
}

/// Memory of the bodies that are being read.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    used_bytes: Cell<usize>,
    max_bytes: usize,
}

impl BodyMemory {
    /// For a process with a memory limit in megabytes.
    pub(crate) fn new(memory_mb: u64) -> BodyMemory {
        let memory_bytes = usize::try_from(memory_mb.saturating_mul(1_000_000));
        BodyMemory {
            used_bytes: Cell::new(0),
            max_bytes: memory_bytes.unwrap_or(usize::MAX) / MEMORY_DIVISOR,
        }
    }
}

/// Memory of one body. Gives it back when it is dropped.
pub(crate) struct Claim {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl Claim {
    /// Claims nothing yet.
    pub(crate) fn new(memory: &Rc<BodyMemory>) -> Claim {
        Claim {
            memory: Rc::clone(memory),
            bytes: 0,
        }
    }

    /// Claims this much in all. Returns false, and changes nothing, if there is not enough memory.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        let used_bytes = &self.memory.used_bytes;
        used_bytes.set(used_bytes.get() - (self.bytes - bytes));
        self.bytes = bytes;
        true
    }

    /// Claims more memory. Returns false if there is not enough.
    fn grow(&mut self, bytes: usize) -> bool {
        let used_bytes = self.memory.used_bytes.get() + bytes;
        let fits = used_bytes <= self.memory.max_bytes;
        if fits {
            self.memory.used_bytes.set(used_bytes);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let used_bytes = &self.memory.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// If the body breaks off or exceeds a limit. The rest of it is not read.
pub(crate) async fn collect(
    memory: &Rc<BodyMemory>,
    mut body: Incoming,
) -> Result<Bytes, CollectError> {
    let announced = body.size_hint().lower();
    if announced > MAX_BODY_BYTES as u64 {
        return Err(CollectError::TooLong);
    }
    let mut claim = Claim::new(memory);
    // The blocks are joined once at the end: a buffer that grows would take three times the
    // length of the body. They are filled by copying, since a body may arrive in tiny pieces.
    let mut blocks: Vec<BytesMut> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::BrokenOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if claim.bytes + data.len() > MAX_BODY_BYTES {
            return Err(CollectError::TooLong);
        }
        if !claim.grow(data.len()) {
            return Err(CollectError::OutOfMemory);
        }
        append(&mut blocks, &data);
    }
    if blocks.len() == 1 {
        return Ok(blocks.remove(0).freeze());
    }
    let mut content = BytesMut::with_capacity(claim.bytes);
    for block in blocks {
        content.extend_from_slice(&block);
    }
    Ok(content.freeze())
}

/// Appends data to the last block, and to new ones once that is full.
fn append(blocks: &mut Vec<BytesMut>, mut data: &[u8]) {
    while !data.is_empty() {
        let room = blocks.last().map_or(0, |block| BLOCK_BYTES - block.len());
        let (first, rest) = data.split_at(room.min(data.len()));
        match blocks.last_mut() {
            Some(block) if room > 0 => block.extend_from_slice(first),
            _ => blocks.push(BytesMut::with_capacity(BLOCK_BYTES.min(data.len()))),
        }
        data = rest;
    }
}
