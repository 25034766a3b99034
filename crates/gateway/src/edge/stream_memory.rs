//! Memory of one streamed response: what has been received of the next events, what waits for the
//! caller, and the output of a turn that is to be stored.
//!
//! Events are short, so a stream takes little. One that takes more claims it from the memory for
//! response bodies, and is interrupted if there is none, so that the streams of a faulty endpoint
//! do not take the memory of others.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::edge::memory::{Claim, MemoryAccount};

/// Memory of a stream that needs no claim, in bytes.
const FREE_BYTES: usize = 32 << 10;

/// Bytes that wait for a caller, beyond which no more are received from the endpoint.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// The bytes that wait for the caller of one stream.
#[derive(Debug, Default)]
struct QueueLevel {
    bytes: Cell<usize>,
    /// Notified when bytes leave the queue. At most one task waits for it.
    drained: Notify,
}

/// Bytes in the queue of a stream. Dropped when they leave it.
#[derive(Debug)]
pub(crate) struct QueuedBytes {
    level: Rc<QueueLevel>,
    bytes: usize,
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        let level = &self.level.bytes;
        level.set(level.get() - self.bytes);
        self.level.drained.notify_one();
    }
}

/// Memory of one stream.
pub(crate) struct StreamMemory {
    queue: Rc<QueueLevel>,
    /// What the stream takes beyond `FREE_BYTES`.
    claim: Claim,
}

impl StreamMemory {
    pub(crate) fn new(account: &Rc<MemoryAccount>) -> StreamMemory {
        StreamMemory {
            queue: Rc::default(),
            claim: Claim::new(account),
        }
    }

    /// Sets what the stream takes besides its queue. Returns false if there is not enough memory.
    pub(crate) fn hold(&mut self, held_bytes: usize) -> bool {
        let bytes = held_bytes + self.queue.bytes.get();
        self.claim.resize(bytes.saturating_sub(FREE_BYTES))
    }

    /// Waits until the queue has room, and adds bytes to it. `None` if that takes longer than
    /// `timeout`.
    pub(crate) async fn queue(
        &self,
        bytes: usize,
        timeout: Duration,
    ) -> Option<QueuedBytes> {
        let level = &self.queue;
        let room = async {
            while level.bytes.get() > MAX_QUEUED_BYTES {
                level.drained.notified().await;
            }
        };
        tokio::time::timeout(timeout, room).await.ok()?;
        level.bytes.set(level.bytes.get() + bytes);
        Some(QueuedBytes {
            level: Rc::clone(level),
            bytes,
        })
    }
}
