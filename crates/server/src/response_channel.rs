//! The channel that carries a response from a [`Responder`](crate::Responder), which may be
//! on a blocking thread, to the connection of the caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use bytes::Bytes;
use jayreel_model::{Refusal, RequestId};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use crate::body_budget::Reservation;
use crate::error_body;
use crate::request_handler::RequestHandler;
use crate::responder::{ResponderClosed, ResponseSink};

/// Maximum number of chunks that are buffered while the caller reads slowly.
const MAX_QUEUED_CHUNKS: usize = 16;

/// The responder has not ended the response yet.
const OPEN: u8 = 0;
/// The responder ended a complete response.
const COMPLETE: u8 = 1;
/// The responder aborted the response or was dropped.
const ABORTED: u8 = 2;
/// The caller disconnected before the responder ended the response.
const DISCONNECTED: u8 = 3;

/// The state of one response: one of the constants above. It changes once, from `OPEN` to
/// one of the others, so that only the first of responder and connection takes effect.
#[derive(Debug, Default)]
struct Progress(AtomicU8);

impl Progress {
    /// Moves from `OPEN` to `outcome`. Returns false if another outcome came first.
    fn finish(&self, outcome: u8) -> bool {
        self.0
            .compare_exchange(OPEN, outcome, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    fn is_complete(&self) -> bool {
        self.0.load(Ordering::SeqCst) == COMPLETE
    }
}

/// Status and headers of a response.
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    /// The complete body, for refusals. `None` if the body follows in chunks.
    pub(crate) whole: Option<Vec<u8>>,
}

/// The sending half, owned by a [`Responder`](crate::Responder). Dropping it aborts the
/// response.
pub(crate) struct ChannelSink {
    id: RequestId,
    head: Option<oneshot::Sender<ResponseHead>>,
    chunks: mpsc::Sender<Bytes>,
    progress: Arc<Progress>,
}

/// The receiving half, owned by the connection. Dropping it before the responder ends the
/// response reports the caller as disconnected.
pub(crate) struct PendingResponse {
    /// Must come before the receivers, because fields are dropped in declaration order. If
    /// a receiver were dropped first, the responder could find its channel closed and end
    /// the response as aborted, and the disconnect would not be reported.
    pub(crate) guard: CallerGuard,
    pub(crate) head: oneshot::Receiver<ResponseHead>,
    pub(crate) chunks: mpsc::Receiver<Bytes>,
}

/// Creates the channel for the response to request `id`. `reservation` is the memory of the
/// request body, which is released with the receiving half.
pub(crate) fn channel(
    id: RequestId,
    handler: Arc<dyn RequestHandler>,
    reservation: Reservation,
) -> (ChannelSink, PendingResponse) {
    let (head_sender, head) = oneshot::channel();
    let (chunk_sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let progress = Arc::new(Progress::default());
    let sink = ChannelSink {
        id,
        head: Some(head_sender),
        chunks: chunk_sender,
        progress: Arc::clone(&progress),
    };
    let guard = CallerGuard {
        id,
        handler,
        progress,
        _reservation: reservation,
    };
    (
        sink,
        PendingResponse {
            guard,
            head,
            chunks,
        },
    )
}

impl ResponseSink for ChannelSink {
    fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed> {
        let head = ResponseHead {
            status,
            headers: headers.to_vec(),
            whole: None,
        };
        let sender = self.head.take().ok_or(ResponderClosed)?;
        sender.send(head).map_err(|_| ResponderClosed)
    }

    fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.chunks
            .blocking_send(Bytes::copy_from_slice(bytes))
            .map_err(|_| ResponderClosed)
    }

    fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed> {
        if bytes.is_empty() {
            return Ok(true);
        }
        match self.chunks.try_send(Bytes::copy_from_slice(bytes)) {
            Ok(()) => Ok(true),
            Err(TrySendError::Full(_)) => Ok(false),
            Err(TrySendError::Closed(_)) => Err(ResponderClosed),
        }
    }

    fn close(self: Box<Self>) {
        self.progress.finish(COMPLETE);
    }

    fn abort(self: Box<Self>) {
        self.progress.finish(ABORTED);
    }

    fn refuse(mut self: Box<Self>, refusal: &Refusal) {
        let Some(sender) = self.head.take() else {
            self.progress.finish(ABORTED);
            return;
        };
        self.progress.finish(COMPLETE);
        let _ = sender.send(ResponseHead {
            status: refusal.reason.status(),
            headers: error_body::headers(refusal),
            whole: Some(error_body::body(refusal, Some(self.id))),
        });
    }
}

impl Drop for ChannelSink {
    fn drop(&mut self) {
        self.progress.finish(ABORTED);
    }
}

/// Reports the caller as disconnected when it is dropped, unless the responder ended the
/// response before.
pub(crate) struct CallerGuard {
    id: RequestId,
    handler: Arc<dyn RequestHandler>,
    progress: Arc<Progress>,
    /// The memory of the request body. Released when the response has been sent.
    _reservation: Reservation,
}

impl CallerGuard {
    /// Whether the responder ended the response and did not abort it.
    pub(crate) fn is_complete(&self) -> bool {
        self.progress.is_complete()
    }

    /// The id of the request that the response belongs to.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.progress.finish(DISCONNECTED) {
            self.handler.caller_gone(self.id);
        }
    }
}
