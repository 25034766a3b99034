//! Passes whole responses of endpoints on to callers: from memory if there is room, otherwise as fast
//! as the caller reads.
//!
//! Callers may read slowly, and responses may be long. A response counts towards the memory of
//! response bodies until the caller's connection has taken it. For one that does not fit, only a
//! short queue is in memory, and the endpoint waits for the caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::edge::Edge;
use crate::edge::body::{BodyChunk, CallBody, CallerBytes};
use crate::edge::collect::{
    CollectError, CollectedResponse, MAX_RESPONSE_BYTES, collect_response,
};
use crate::edge::exchange::PooledConnection;
use crate::edge::memory::Claim;
use crate::edge::stream_memory::StreamMemory;

/// Pieces that wait for a caller.
const MAX_QUEUED_PIECES: usize = 16;

/// Largest piece, in bytes.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// A caller that takes nothing for this long is given up, in milliseconds. Endpoints close connections
/// that are not read for some seconds.
const STALLED_CALLER_MS: u64 = 10_000;

/// Reads the body of a response that is passed on to the caller. Returns once all of it has been read,
/// or there is no memory for more.
///
/// # Errors
///
/// If the body breaks off, is too long, or is not there in time.
pub(crate) async fn read_body(
    edge: &Edge,
    body: Incoming,
    connection: PooledConnection,
    timeout: Duration,
) -> Result<CallBody, CollectError> {
    let collected = collect_response(&edge.response_memory, body);
    let collected = tokio::time::timeout(timeout, collected).await;
    match collected.unwrap_or(Err(CollectError::TimedOut))? {
        CollectedResponse::Whole(collected) => {
            connection.release();
            let content = CallerBytes::claimed(collected.content, collected.claim);
            Ok(CallBody::buffered(content))
        }
        CollectedResponse::Part {
            blocks,
            claim,
            rest,
        } => {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
            let forwarding = Forwarding {
                memory: StreamMemory::new(&edge.response_memory),
                sender,
            };
            let forwarded = forwarding.run(blocks, claim, rest, connection);
            tokio::task::spawn_local(forwarded);
            Ok(CallBody::streamed(receiver))
        }
    }
}

/// A response that is passed on as fast as its caller reads.
struct Forwarding {
    memory: StreamMemory,
    sender: mpsc::Sender<BodyChunk>,
}

impl Forwarding {
    /// Sends the blocks and the rest of the body. The caller gets an interrupted body if the rest
    /// breaks off or is too long. Ends if the caller has disconnected or reads nothing.
    async fn run(
        self,
        blocks: Vec<Bytes>,
        claim: Claim,
        mut rest: Incoming,
        connection: PooledConnection,
    ) {
        let mut left_bytes = MAX_RESPONSE_BYTES;
        for block in blocks {
            left_bytes = left_bytes.saturating_sub(block.len());
            if self.queue(block).await.is_none() {
                return;
            }
        }
        drop(claim);
        loop {
            let frame = tokio::select! {
                frame = rest.frame() => frame,
                () = self.sender.closed() => return,
            };
            match frame.map(|frame| frame.map(hyper::body::Frame::into_data)) {
                Some(Ok(Ok(data))) if data.len() > left_bytes => return,
                Some(Ok(Ok(data))) => {
                    left_bytes -= data.len();
                    if self.queue(data).await.is_none() {
                        return;
                    }
                }
                // Trailers are not passed on.
                Some(Ok(Err(_))) => {}
                Some(Err(_)) => return,
                None => break,
            }
        }
        connection.release();
        // Fails only if the caller has disconnected.
        let _ = self.sender.send(BodyChunk::End).await;
    }

    /// Queues content in pieces. `None` if the caller has disconnected, or takes nothing.
    async fn queue(&self, mut content: Bytes) -> Option<()> {
        let timeout = Duration::from_millis(STALLED_CALLER_MS);
        while !content.is_empty() {
            let piece = content.split_to(content.len().min(MAX_PIECE_BYTES));
            let queued = tokio::select! {
                queued = self.memory.queue(piece.len(), timeout) => queued?,
                () = self.sender.closed() => return None,
            };
            let chunk = BodyChunk::Data {
                content: piece,
                _queued: queued,
            };
            self.sender.send_timeout(chunk, timeout).await.ok()?;
        }
        Some(())
    }
}
