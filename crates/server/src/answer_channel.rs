//! The channel between a responder on a blocking thread and a connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use bytes::Bytes;
use jayreel_model::{Refusal, RequestId};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use crate::body_budget::Reservation;
use crate::error_form;
use crate::request_handler::RequestHandler;
use crate::responder::{ResponderClosed, ResponseSink};

/// Pieces of an answer that wait for the caller to read.
const QUEUED_PIECES: usize = 16;

/// The responder still owes a part of the answer.
const OPEN: u8 = 0;
/// The responder ended a complete answer.
const COMPLETE: u8 = 1;
/// The responder broke the answer off.
const ABORTED: u8 = 2;
/// The caller left first.
const GONE: u8 = 3;

/// How far one answer has come. Leaves `OPEN` exactly once.
#[derive(Debug, Default)]
struct Progress(AtomicU8);

impl Progress {
    fn end(&self, to: u8) -> bool {
        self.0
            .compare_exchange(OPEN, to, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    fn is_complete(&self) -> bool {
        self.0.load(Ordering::SeqCst) == COMPLETE
    }
}

/// Status and headers of an answer.
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    /// The whole body of a refusal; `None` if the body arrives in pieces.
    pub(crate) whole: Option<Vec<u8>>,
}

/// The sending half, used by a [`Responder`](crate::Responder).
pub(crate) struct HttpSink {
    id: RequestId,
    head: Option<oneshot::Sender<Head>>,
    pieces: mpsc::Sender<Bytes>,
    progress: Arc<Progress>,
}

/// The receiving half, held by the connection. Dropping it before the end of the answer
/// reports that the caller has gone.
pub(crate) struct PendingAnswer {
    /// Stands before the receivers, because fields are dropped in this order. A responder
    /// that finds its channel closed may end the answer as aborted before the notice.
    pub(crate) guard: CallerGuard,
    pub(crate) head: oneshot::Receiver<Head>,
    pub(crate) pieces: mpsc::Receiver<Bytes>,
}

/// Makes both halves.
pub(crate) fn channel(
    id: RequestId,
    intake: Arc<dyn RequestHandler>,
    reservation: Reservation,
) -> (HttpSink, PendingAnswer) {
    let (head_sender, head) = oneshot::channel();
    let (piece_sender, pieces) = mpsc::channel(QUEUED_PIECES);
    let progress = Arc::new(Progress::default());
    let sink = HttpSink {
        id,
        head: Some(head_sender),
        pieces: piece_sender,
        progress: Arc::clone(&progress),
    };
    let guard = CallerGuard {
        id,
        intake,
        progress,
        _reservation: reservation,
    };
    (
        sink,
        PendingAnswer {
            guard,
            head,
            pieces,
        },
    )
}

impl ResponseSink for HttpSink {
    fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed> {
        let head = Head {
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
        self.pieces
            .blocking_send(Bytes::copy_from_slice(bytes))
            .map_err(|_| ResponderClosed)
    }

    fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed> {
        if bytes.is_empty() {
            return Ok(true);
        }
        match self.pieces.try_send(Bytes::copy_from_slice(bytes)) {
            Ok(()) => Ok(true),
            Err(TrySendError::Full(_)) => Ok(false),
            Err(TrySendError::Closed(_)) => Err(ResponderClosed),
        }
    }

    fn close(self: Box<Self>) {
        self.progress.end(COMPLETE);
    }

    fn abort(self: Box<Self>) {
        self.progress.end(ABORTED);
    }

    fn refuse(mut self: Box<Self>, refusal: &Refusal) {
        let Some(sender) = self.head.take() else {
            self.progress.end(ABORTED);
            return;
        };
        self.progress.end(COMPLETE);
        let _ = sender.send(Head {
            status: refusal.reason.status(),
            headers: error_form::headers(refusal),
            whole: Some(error_form::body(refusal, Some(self.id))),
        });
    }
}

impl Drop for HttpSink {
    fn drop(&mut self) {
        self.progress.end(ABORTED);
    }
}

/// Reports once that the caller has gone, unless the answer ended before.
pub(crate) struct CallerGuard {
    id: RequestId,
    intake: Arc<dyn RequestHandler>,
    progress: Arc<Progress>,
    /// The memory of the request body, returned when the answer has been taken.
    _reservation: Reservation,
}

impl CallerGuard {
    /// Whether the responder ended a complete answer.
    pub(crate) fn is_complete(&self) -> bool {
        self.progress.is_complete()
    }

    /// The request that is answered.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.progress.end(GONE) {
            self.intake.caller_gone(self.id);
        }
    }
}
