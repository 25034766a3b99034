//! The interface between the HTTP server and the code that schedules the requests.

use jayreel_model::RequestId;

use crate::responder::Responder;

/// The operation that method and path of a caller's request select.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// `POST /v1/chat/completions`.
    ChatCompletion(ChatParams),
    /// `POST /v1/programs`.
    OpenProgram {
        /// The token budget in the body. `None` if the body has none.
        budget_tokens: Option<u64>,
    },
    /// `DELETE /v1/programs/TOKEN`.
    CloseProgram {
        /// The program token in the path. Only its syntax has been checked.
        token: String,
    },
    /// `GET /v1/models`.
    ListModels,
    /// Any other path, which belongs to a plain service if a configured route matches.
    Service,
}

/// The parameters of a chat completion that scheduling needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChatParams {
    /// The field `model`.
    pub model: String,
    /// The field `stream`. False if it is absent.
    pub stream: bool,
    /// Maximum number of tokens to generate: `max_completion_tokens`, or else `max_tokens`.
    pub max_tokens: Option<u64>,
    /// Upper bound of the prompt's length in tokens. Counts the bytes of the texts and
    /// schemas and an allowance for the engine's chat template.
    pub prompt_bound_tokens: u64,
    /// The [`history`](crate::history) hash after each message, shortest prefix first. Used
    /// for cache affinity.
    pub prefix_hashes: Vec<u64>,
}

/// The request headers that jayreel interprets. Only their syntax has been checked.
///
/// `Debug` is deliberately not implemented, so that the key cannot end up in a log line.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct CallHeaders {
    /// The customer key from `Authorization: Bearer`. Removed from forwarded headers; paths
    /// that contain it are refused.
    pub key: Option<String>,
    /// `Jayreel-Profile`: name of the profile.
    pub profile: Option<String>,
    /// `Jayreel-Program`: token of the program that the call belongs to.
    pub program: Option<String>,
    /// `Jayreel-Parent`: token of the parent, when a sub-agent's program is opened.
    pub parent: Option<String>,
    /// `Jayreel-Turn`: number of the call within its program.
    pub turn: Option<u32>,
    /// `Jayreel-Epoch`: an incarnation of an instance.
    pub epoch: Option<String>,
    /// `Jayreel-History`: a history hash.
    pub history: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
}

/// A complete and syntactically valid request. Its key has not been checked.
pub struct IncomingRequest {
    /// Unique within the process. Sent to the caller as `Jayreel-Request`.
    pub id: RequestId,
    /// The HTTP method, such as `POST`.
    pub method: String,
    /// Path and query. Has no dot segments, plain or encoded.
    pub path: String,
    /// The operation that method and path select.
    pub operation: Operation,
    /// The headers that jayreel interprets.
    pub headers: CallHeaders,
    /// The end-to-end headers to forward to the endpoint. Contains no credentials.
    pub passed_headers: Vec<(String, String)>,
    /// The body as the caller sent it. Empty for requests without one.
    pub body: Vec<u8>,
    /// Sends the response to the caller.
    pub responder: Responder,
}

/// Receives requests from the server. The methods run on the thread of all connections, so
/// they must not block.
pub trait RequestHandler: Send + Sync {
    /// Takes ownership of a request. The response is sent through its responder, possibly
    /// later and from another thread.
    fn submit(&self, request: IncomingRequest);
    /// Called once if the caller disconnects before the response is complete.
    fn caller_gone(&self, id: RequestId);
    /// Whether the instance accepts new requests. Determines the status of `/readyz`.
    fn ready(&self) -> bool;
}
