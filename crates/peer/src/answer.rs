//! The two ends of a forwarded answer.

use jayreel_model::Refusal;
use tokio::sync::mpsc;

use crate::error::{PeerFailure, PeerFailureKind, ResponseClosed};

/// Parts that may wait between two threads. More would only hide a slow receiver.
pub(crate) const ANSWER_WINDOW: usize = 4;

/// Largest piece of a body in one part, in bytes.
pub(crate) const MAX_CHUNK_BYTES: usize = 256 * 1_024;

/// Status and headers of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
}

/// A part of an answer. An answer is a head, chunks and `Complete`; or `Refused`; and it
/// may end in `Failed` at any point.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// A piece of the body.
    Chunk(Vec<u8>),
    /// The answer is complete.
    Complete,
    /// The call was refused. Ends the answer.
    Refused(Refusal),
    /// The call or its answer failed. Ends the answer.
    Failed(PeerFailure),
}

impl ResponsePart {
    fn is_last(&self) -> bool {
        !matches!(self, ResponsePart::Head(_) | ResponsePart::Chunk(_))
    }
}

/// The answer to a call that this instance forwarded. Dropping it cancels the call.
#[derive(Debug)]
pub struct ForwardedResponse {
    parts: mpsc::Receiver<ResponsePart>,
    is_over: bool,
}

impl ForwardedResponse {
    pub(crate) fn new(parts: mpsc::Receiver<ResponsePart>) -> ForwardedResponse {
        ForwardedResponse {
            parts,
            is_over: false,
        }
    }

    /// Waits for the next part. Returns `None` after the last one. Must not be called on an
    /// asynchronous runtime's thread.
    pub fn next_part(&mut self) -> Option<ResponsePart> {
        if self.is_over {
            return None;
        }
        let part = self.parts.blocking_recv().unwrap_or_else(closed_part);
        self.is_over = part.is_last();
        Some(part)
    }

    /// Cancels the call.
    pub fn close(self) {}
}

/// The network was closed, at a time when the call may have been sent.
fn closed_part() -> ResponsePart {
    let message = "the peer network was closed";
    ResponsePart::Failed(PeerFailure::after(PeerFailureKind::Closed, message))
}

/// Sends the answer to a call that a peer forwarded here. Dropping it without
/// [`ResponseSender::close`] or [`ResponseSender::refuse`] breaks the answer off.
#[derive(Debug)]
pub struct ResponseSender {
    parts: mpsc::Sender<ResponsePart>,
}

impl ResponseSender {
    pub(crate) fn new(parts: mpsc::Sender<ResponsePart>) -> ResponseSender {
        ResponseSender { parts }
    }

    /// Sends status and headers. Blocks while the receiver is slow.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the answer is no longer wanted.
    pub fn head(&mut self, head: ResponseHead) -> Result<(), ResponseClosed> {
        self.part(ResponsePart::Head(head))
    }

    /// Sends a piece of the body. Blocks while the receiver is slow.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the answer is no longer wanted.
    pub fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponseClosed> {
        bytes
            .chunks(MAX_CHUNK_BYTES)
            .try_for_each(|piece| self.part(ResponsePart::Chunk(piece.to_vec())))
    }

    /// Whether the answer is no longer wanted.
    pub fn is_cancelled(&self) -> bool {
        self.parts.is_closed()
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the answer is no longer wanted.
    pub fn close(mut self) -> Result<(), ResponseClosed> {
        self.part(ResponsePart::Complete)
    }

    /// Refuses the call. No head may have been sent.
    ///
    /// # Errors
    ///
    /// [`ResponseClosed`] if the answer is no longer wanted.
    pub fn refuse(mut self, refusal: Refusal) -> Result<(), ResponseClosed> {
        self.part(ResponsePart::Refused(refusal))
    }

    fn part(&mut self, part: ResponsePart) -> Result<(), ResponseClosed> {
        self.parts.blocking_send(part).map_err(|_| ResponseClosed)
    }
}
