//! Reads whole bodies into memory, within limits for each body and for all of them.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::edge::memory::{Claim, MemoryAccount};

/// Largest body of a response, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Share of the memory limit for all response bodies until their callers have taken them, as a
/// divisor.
const RESPONSES_DIVISOR: usize = 8;

/// Share of the memory limit for all request bodies, as a divisor.
const REQUESTS_DIVISOR: usize = 4;

/// Length up to which request bodies do not count, in bytes, so that a few long ones do not keep
/// others away. Longer than almost all.
const FREE_REQUEST_BYTES: usize = 32 << 10;

/// Size of the blocks into which a body of unknown length is read, in bytes.
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
    /// Too many bodies are in memory at the same time.
    OutOfMemory {
        /// What this one needs beyond its present claim, in bytes.
        bytes: usize,
    },
}

impl CollectError {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            CollectError::BrokenOff => "response body broke off",
            CollectError::TimedOut => "response body timed out",
            CollectError::TooLong => "response body too long",
            CollectError::OutOfMemory { .. } => "too many response bodies in memory",
        }
    }
}

/// The account for the request bodies of a process with a memory limit in megabytes.
pub(crate) fn request_account(memory_mb: u64) -> MemoryAccount {
    MemoryAccount::share_of(memory_mb, REQUESTS_DIVISOR, "request_bodies")
}

/// The account for the response bodies that such a process reads.
pub(crate) fn response_account(memory_mb: u64) -> MemoryAccount {
    MemoryAccount::share_of(memory_mb, RESPONSES_DIVISOR, "response_bodies")
}

/// The part of a request body of this length that counts.
fn counted_request_bytes(body_bytes: usize) -> usize {
    body_bytes.saturating_sub(FREE_REQUEST_BYTES)
}

/// A body that was read, and its memory.
#[derive(Debug)]
pub(crate) struct Collected {
    pub content: Bytes,
    pub claim: Claim,
}

/// Length of a body as announced by its sender. 0 if it is not announced.
fn announced_bytes(body: &Incoming) -> usize {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX)
}

/// Reads a request body within a time. One that does not fit at the moment is refused at once if its
/// sender announces the length. The rest of a body beyond a limit is discarded.
pub(crate) async fn collect_request(
    account: &Rc<MemoryAccount>,
    mut body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Collected, CollectError> {
    let announced_bytes = announced_bytes(&body);
    let bytes = counted_request_bytes(announced_bytes);
    let collected = match announced_bytes <= max_bytes && !account.has_room_for(bytes) {
        true => Err(CollectError::OutOfMemory { bytes }),
        false => {
            let mut blocks = Blocks::for_body(&body);
            let mut claim = Claim::new(account);
            let reading =
                blocks.collect(&mut claim, &mut body, max_bytes, counted_request_bytes);
            let read = tokio::time::timeout(timeout, reading).await;
            let read = read.unwrap_or(Err(CollectError::TimedOut));
            read.map(|()| blocks.join(claim))
        }
    };
    if let Err(CollectError::TooLong | CollectError::OutOfMemory { .. }) = collected {
        discard(body, max_bytes, timeout);
    }
    collected
}

/// A response body, as far as there is memory for it.
#[derive(Debug)]
pub(crate) enum CollectedResponse {
    /// All of it.
    Whole(Collected),
    /// The beginning, in order. There is not enough memory for the rest, which has not been read.
    Part {
        blocks: Vec<Bytes>,
        claim: Claim,
        rest: Incoming,
    },
}

/// Reads a response body. Unlike a request, one that does not fit at the moment is not rejected: the
/// request has run.
///
/// # Errors
///
/// If the body breaks off or is too long.
pub(crate) async fn collect_response(
    account: &Rc<MemoryAccount>,
    mut body: Incoming,
) -> Result<CollectedResponse, CollectError> {
    let mut blocks = Blocks::for_body(&body);
    let mut claim = Claim::new(account);
    let max_bytes = MAX_RESPONSE_BYTES;
    match blocks
        .collect(&mut claim, &mut body, max_bytes, |bytes| bytes)
        .await
    {
        Ok(()) => Ok(CollectedResponse::Whole(blocks.join(claim))),
        Err(CollectError::OutOfMemory { .. }) => {
            account.record_limit();
            Ok(CollectedResponse::Part {
                blocks: blocks.into_vec(),
                claim,
                rest: body,
            })
        }
        Err(error) => Err(error),
    }
}

/// Content of a body that is being read.
///
/// A body of announced length has one block. The blocks of others are joined once at the end: a
/// buffer that grows would take three times the length of the body. They are filled by copying,
/// since a body may arrive in tiny pieces.
struct Blocks {
    blocks: Vec<BytesMut>,
    /// Capacity of each new block.
    block_bytes: usize,
    body_bytes: usize,
}

impl Blocks {
    fn for_body(body: &Incoming) -> Blocks {
        Blocks {
            blocks: Vec::new(),
            block_bytes: match announced_bytes(body) {
                0 => BLOCK_BYTES,
                announced_bytes => announced_bytes,
            },
            body_bytes: 0,
        }
    }

    /// Reads a body of at most `max_bytes` to its end. `counted_bytes` tells how much of a length
    /// is claimed.
    ///
    /// # Errors
    ///
    /// If the body breaks off or exceeds a limit. The rest of it is not read. What has been read is
    /// kept, also a piece for which nothing could be claimed.
    async fn collect(
        &mut self,
        claim: &mut Claim,
        body: &mut Incoming,
        max_bytes: usize,
        counted_bytes: fn(usize) -> usize,
    ) -> Result<(), CollectError> {
        if announced_bytes(body) > max_bytes {
            return Err(CollectError::TooLong);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| CollectError::BrokenOff)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.body_bytes += data.len();
            if self.body_bytes > max_bytes {
                return Err(CollectError::TooLong);
            }
            self.append(&data);
            if !claim.resize(counted_bytes(self.body_bytes)) {
                return Err(CollectError::OutOfMemory { bytes: data.len() });
            }
        }
        Ok(())
    }

    /// Appends data to the last block, and to new ones once that is full.
    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.blocks.last();
            let room = room.map_or(0, |block| self.block_bytes - block.len());
            let (first, rest) = data.split_at(room.min(data.len()));
            match self.blocks.last_mut() {
                Some(block) if room > 0 => block.extend_from_slice(first),
                _ => self.blocks.push(BytesMut::with_capacity(self.block_bytes)),
            }
            data = rest;
        }
    }

    /// The content in one piece.
    fn join(mut self, claim: Claim) -> Collected {
        if self.blocks.len() == 1 {
            let content = self.blocks.remove(0).freeze();
            return Collected { content, claim };
        }
        let mut content = BytesMut::with_capacity(self.body_bytes);
        for block in self.blocks {
            content.extend_from_slice(&block);
        }
        let content = content.freeze();
        Collected { content, claim }
    }

    fn into_vec(self) -> Vec<Bytes> {
        self.blocks.into_iter().map(BytesMut::freeze).collect()
    }
}

/// Reads the rest of a request body that is not used, in the background, so that the caller can
/// send it and then read why it was refused. Gives up after `max_bytes` or `timeout`.
fn discard(mut body: Incoming, max_bytes: usize, timeout: Duration) {
    tokio::task::spawn_local(tokio::time::timeout(timeout, async move {
        let mut body_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            body_bytes += frame.data_ref().map_or(0, Bytes::len);
            if body_bytes > max_bytes {
                return;
            }
        }
    }));
}
