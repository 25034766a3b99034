//! The way back to the caller.

use jayreel_model::Refusal;

/// The caller has gone away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponderClosed;

/// Where the answer to one request goes. The server implements it for its connections;
/// others may implement it for requests that reach the instance on another way.
pub trait ResponseSink: Send {
    /// See [`Responder::head`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller has gone away.
    fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed>;
    /// See [`Responder::chunk`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller has gone away or stopped reading.
    fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed>;
    /// See [`Responder::try_chunk`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller has gone away or stopped reading.
    fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed>;
    /// See [`Responder::close`].
    fn close(self: Box<Self>);
    /// See [`Responder::abort`].
    fn abort(self: Box<Self>);
    /// See [`Responder::refuse`].
    fn refuse(self: Box<Self>, refusal: &Refusal);
}

/// Sends one answer. Dropping it without an answer closes the connection.
pub struct Responder {
    sink: Box<dyn ResponseSink>,
}

impl Responder {
    /// A responder that sends to `sink`.
    pub fn new(sink: Box<dyn ResponseSink>) -> Responder {
        Responder { sink }
    }

    /// Sends status and headers. Does not block.
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller has gone away.
    pub fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed> {
        self.sink.head(status, headers)
    }

    /// Sends a piece of the body. Blocks while the caller reads slowly, so it must not be
    /// called from [`RequestHandler::submit`](crate::RequestHandler::submit) or an async task, where it
    /// panics; see [`Responder::try_chunk`].
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller has gone away or stopped reading.
    pub fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed> {
        self.sink.chunk(bytes)
    }

    /// Sends a piece of the body if there is room for it, and returns whether there was.
    /// Does not block, so async tasks may call it.
    ///
    /// # Errors
    ///
    /// [`ResponderClosed`] if the caller has gone away or stopped reading.
    pub fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed> {
        self.sink.try_chunk(bytes)
    }

    /// Ends a complete answer. Does not block.
    pub fn close(self) {
        self.sink.close();
    }

    /// Breaks off an answer that has begun, so that the caller sees it is incomplete.
    /// Does not block.
    pub fn abort(self) {
        self.sink.abort();
    }

    /// Answers with a refusal in the JSON error form. No head may have been sent.
    /// Does not block.
    pub fn refuse(self, refusal: &Refusal) {
        self.sink.refuse(refusal);
    }
}
