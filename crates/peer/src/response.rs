//! Both ends of the response to a forwarded call: [`ForwardedResponse`] on the forwarding
//! instance reads it, [`ResponseSender`] on the serving instance writes it.

use jayreel_model::Refusal;
use tokio::sync::mpsc;

use crate::error::{PeerFailure, PeerFailureKind, ResponseClosed};

/// Maximum number of parts queued between the network thread and the thread that reads or writes
/// the response. A longer queue would only delay the backpressure of a slow reader.
pub(crate) const MAX_QUEUED_PARTS: usize = 4;

/// Maximum number of body bytes in one part. Larger chunks are split.
pub(crate) const MAX_CHUNK_BYTES: usize = 256 * 1_024;

/// Status and headers of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Names and values, in the order of the response.
    pub headers: Vec<(String, String)>,
}

/// A part of a response. A response is either `Head`, any number of `Chunk`s and `Complete`,
/// or only `Refused`. `Failed` can end it at any point.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponsePart {
    /// Status and headers, before any chunk.
    Head(ResponseHead),
    /// A piece of the body.
    Chunk(Vec<u8>),
    /// Ends a response that arrived in full.
    Complete,
    /// The serving instance refused the call. Ends the response.
    Refused(Refusal),
    /// The call failed or the response is incomplete. Ends the response.
    Failed(PeerFailure),
}

impl ResponsePart {
    fn is_last(&self) -> bool {
        !matches!(self, ResponsePart::Head(_) | ResponsePart::Chunk(_))
    }
}

/// The response to a call that this instance forwarded. Dropping it cancels the call.
#[derive(Debug)]
pub struct ForwardedResponse {
    parts: mpsc::Receiver<ResponsePart>,
    is_finished: bool,
}

impl ForwardedResponse {
    pub(crate) fn new(parts: mpsc::Receiver<ResponsePart>) -> ForwardedResponse {
        ForwardedResponse {
            parts,
            is_finished: false,
        }
    }

    /// Blocks until the next part arrives. Returns `None` after the last one.
    ///
    /// # Panics
    ///
    /// If called on a thread of an async runtime.
    pub fn next_part(&mut self) -> Option<ResponsePart> {
        if self.is_finished {
            return None;
        }
        let part = self.parts.blocking_recv().unwrap_or_else(network_closed);
        self.is_finished = part.is_last();
        Some(part)
    }

    /// Cancels the call, as dropping the response does.
    pub fn close(self) {}
}

/// The last part if the network thread ended without sending one. The call may have been
/// sent by then.
fn network_closed() -> ResponsePart {
    let message = "the peer network was closed";
    ResponsePart::Failed(PeerFailure::possibly_reached(
        PeerFailureKind::Closed,
        message,
    ))
}

/// Sends the response to a call that a peer forwarded here. If it is dropped without
/// [`ResponseSender::close`] or [`ResponseSender::refuse`], the peer sees a failure of kind
/// [`PeerFailureKind::Broken`].
#[derive(Debug)]
pub struct ResponseSender {
    parts: mpsc::Sender<ResponsePart>,
}

impl ResponseSender {
    pub(crate) fn new(parts: mpsc::Sender<ResponsePart>) -> ResponseSender {
        ResponseSender { parts }
    }

    /// Sends status and headers. Blocks while the queue is full.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the call was cancelled or the peer disconnected.
    pub fn head(&mut self, head: ResponseHead) -> Result<(), ResponseClosed> {
        self.send(ResponsePart::Head(head))
    }

    /// Sends a piece of the body. Blocks while the queue is full.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the call was cancelled or the peer disconnected.
    pub fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponseClosed> {
        bytes
            .chunks(MAX_CHUNK_BYTES)
            .try_for_each(|piece| self.send(ResponsePart::Chunk(piece.to_vec())))
    }

    /// Whether the call was cancelled or the peer disconnected.
    pub fn is_cancelled(&self) -> bool {
        self.parts.is_closed()
    }

    /// Ends the response as complete.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the call was cancelled or the peer disconnected.
    pub fn close(mut self) -> Result<(), ResponseClosed> {
        self.send(ResponsePart::Complete)
    }

    /// Ends the response with a refusal. Only allowed before the head.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the call was cancelled or the peer disconnected.
    pub fn refuse(mut self, refusal: Refusal) -> Result<(), ResponseClosed> {
        self.send(ResponsePart::Refused(refusal))
    }

    fn send(&mut self, part: ResponsePart) -> Result<(), ResponseClosed> {
        self.parts.blocking_send(part).map_err(|_| ResponseClosed)
    }
}
