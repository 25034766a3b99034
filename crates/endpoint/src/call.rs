//! The interface for calls to endpoints: request, response, failure and cancellation.

use jayreel_model::{Ran, RefusalReason};

/// A request to an endpoint. Never contains a caller's API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRequest {
    /// IP address and port of the endpoint.
    pub address: String,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to forward. The caller of this crate has removed hop-by-hop headers and
    /// credentials.
    pub headers: Vec<(String, String)>,
    /// The complete body. May be empty.
    pub body: Vec<u8>,
    /// Whether running the request twice does no harm. Only such a request may use a pooled
    /// connection, which the endpoint may be closing while the request is sent.
    pub repeatable: bool,
    /// Timeout for establishing a new connection. 0 counts as 1.
    pub connect_timeout_ms: u64,
    /// Timeout of each read and write, so for the first byte of the response and for every
    /// pause between bytes. 0 counts as 1.
    pub progress_timeout_ms: u64,
}

/// Status and headers of an endpoint's response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers. Hop-by-hop headers and those that `Connection` lists are removed.
    pub headers: Vec<(String, String)>,
}

/// Token counts that a model engine reports for a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// All prompt tokens, including cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine served from its prefix cache. At most `prompt_tokens`.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}

/// Error of a call that did not complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallFailure {
    /// Whether the request may have run.
    pub ran: Ran,
    /// The reason to report to the caller.
    pub reason: RefusalReason,
    /// Description of the error, for logs and for the caller if the call is refused.
    pub message: String,
}

/// Receives the events of a call as they happen, on the thread that runs the call.
pub trait CallObserver {
    /// The connection is open and the first byte of the request is about to be written.
    fn sent(&mut self);
    /// Status and headers arrived. Returning false cancels the call.
    fn head(&mut self, head: &ResponseHead) -> bool;
    /// A piece of the body arrived. Pieces need not match the chunks that the endpoint sent.
    /// Returning false cancels the call.
    fn chunk(&mut self, bytes: &[u8]) -> bool;
}

/// Cancels a call from another thread.
pub trait CancelHandle: Send + Sync {
    /// Closes the call's connection, which ends the call. Has no effect on a finished call.
    fn cancel(&self);
}

/// Sends requests to endpoints.
pub trait EndpointClient: Send + Sync {
    /// Sends a request and blocks until its response ends. Before anything is sent,
    /// `register` receives a handle that cancels the call.
    ///
    /// # Errors
    ///
    /// A [`CallFailure`], which says whether the request may have run. The observer may have
    /// received part of the response by then.
    fn call(
        &self,
        request: &CallRequest,
        register: &mut dyn FnMut(Box<dyn CancelHandle>),
        observer: &mut dyn CallObserver,
    ) -> Result<(), CallFailure>;
}
