//! Sends the response of a request to its caller.

use jayreel_model::Refusal;

/// The response can no longer be sent, because the caller disconnected or stopped reading.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponderClosed;

/// The transport of one response. The server implements it for its connections; other crates
/// can implement it for requests that arrive by other means.
pub trait ResponseSink: Send {
    /// See [`Responder::head`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller disconnected.
    fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed>;
    /// See [`Responder::chunk`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller disconnected or stopped reading.
    fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed>;
    /// See [`Responder::try_chunk`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller disconnected or stopped reading.
    fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed>;
    /// See [`Responder::close`].
    fn close(self: Box<Self>);
    /// See [`Responder::abort`].
    fn abort(self: Box<Self>);
    /// See [`Responder::refuse`].
    fn refuse(self: Box<Self>, refusal: &Refusal);
}

/// Sends one response. Dropping it before the response is complete closes the connection.
pub struct Responder {
    sink: Box<dyn ResponseSink>,
}

impl Responder {
    /// Creates a responder that sends through `sink`.
    pub fn new(sink: Box<dyn ResponseSink>) -> Responder {
        Responder { sink }
    }

    /// Sends status and headers, which must come first and only once. Does not block.
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller disconnected.
    pub fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed> {
        self.sink.head(status, headers)
    }

    /// Sends a chunk of the body. Blocks while the caller reads slowly. Panics in an async
    /// task and in [`RequestHandler::submit`](crate::RequestHandler::submit); use
    /// [`Responder::try_chunk`] there.
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller disconnected or stopped reading.
    pub fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed> {
        self.sink.chunk(bytes)
    }

    /// Sends a chunk of the body if the queue has room, and returns whether it had. Does not
    /// block, so async tasks can call it.
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller disconnected or stopped reading.
    pub fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed> {
        self.sink.try_chunk(bytes)
    }

    /// Marks the response as complete. Does not block.
    pub fn close(self) {
        self.sink.close();
    }

    /// Ends a response that cannot be completed. The connection is reset, so that the caller
    /// can detect that the response is incomplete. Does not block.
    pub fn abort(self) {
        self.sink.abort();
    }

    /// Sends a refusal as a JSON error. Must not be called after [`Responder::head`]; the
    /// server then aborts the response instead. Does not block.
    pub fn refuse(self, refusal: &Refusal) {
        self.sink.refuse(refusal);
    }
}
