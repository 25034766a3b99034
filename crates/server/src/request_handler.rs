//! Requests as they leave the HTTP layer.

use jayreel_model::RequestId;

use crate::responder::Responder;

/// What the caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// `POST /v1/chat/completions`.
    ChatCompletion(ChatParams),
    /// `POST /v1/programs`.
    OpenProgram {
        /// Budget named in the body, in tokens.
        budget_tokens: Option<u64>,
    },
    /// `DELETE /v1/programs/TOKEN`.
    CloseProgram {
        /// The program token.
        token: String,
    },
    /// `GET /v1/models`.
    ListModels,
    /// Any other path: a plain service, if a route matches.
    Service,
}

/// What scheduling needs to know of a chat completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChatParams {
    /// The model named in the body.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The most tokens to generate, if the body names it.
    pub max_tokens: Option<u64>,
    /// Upper bound of the prompt's tokens: the bytes of the message texts.
    pub prompt_bound_tokens: u64,
    /// Hashes of growing prefixes of the messages, for affinity. Shortest first.
    pub prefix_hashes: Vec<u64>,
}

/// Headers with a meaning to jayreel. Their form is checked, their meaning is not.
///
/// There is no `Debug`, so that the key cannot reach a log line by accident.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct CallHeaders {
    /// The key from `Authorization: Bearer`. Kept out of all other places.
    pub key: Option<String>,
    /// `Jayreel-Profile`.
    pub profile: Option<String>,
    /// `Jayreel-Program`.
    pub program: Option<String>,
    /// `Jayreel-Parent`.
    pub parent: Option<String>,
    /// `Jayreel-Turn`.
    pub turn: Option<u32>,
    /// `Jayreel-Epoch`.
    pub epoch: Option<String>,
    /// `Jayreel-History`.
    pub history: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
}

/// A request whose head and body are complete and well-formed.
pub struct IncomingRequest {
    /// Unique within the process.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// What the caller asks for.
    pub operation: Operation,
    /// Headers with a meaning to jayreel.
    pub headers: CallHeaders,
    /// Other end-to-end headers, to be passed on. Holds no credentials.
    pub passed_headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub responder: Responder,
}

/// Receives requests from the server. Must not block.
pub trait RequestHandler: Send + Sync {
    /// Takes a request over. The answer goes to its responder.
    fn submit(&self, request: IncomingRequest);
    /// The caller of a request went away before the answer was complete.
    fn caller_gone(&self, id: RequestId);
    /// Whether the instance takes new work (`/readyz`).
    fn ready(&self) -> bool;
}
