//! What callers' requests and endpoints' answers say in their headers.

use hyper::HeaderMap;
use hyper::http::request::Parts;

/// Tokens reserved for a turn that does not tell how many it generates at most.
const DEFAULT_MOST_TOKENS: u32 = 4_096;

/// A request's head, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Identifier of this attempt of the caller.
    pub request_id: String,
    /// Host that the caller names, without a port.
    pub host: String,
    /// How long the caller will wait, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The customer's key.
    pub key: Option<String>,
    /// The caller has the events up to this one.
    pub last_event_id: Option<u64>,
    /// Most tokens that the request generates.
    pub most_tokens: Option<u32>,
    /// The program of the request, if it belongs to one.
    pub program: Option<ProgramCall>,
    /// The turn that this one continues.
    pub previous_turn: Option<String>,
}

impl CallHead {
    /// Tokens to reserve for the request.
    pub fn reserved_tokens(&self) -> u32 {
        self.most_tokens.unwrap_or(DEFAULT_MOST_TOKENS)
    }
}

/// The program to which a request belongs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramCall {
    /// The caller's identifier of the program.
    pub id: String,
    /// Time left until the program should be finished, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: Option<u64>,
}

/// A request that does not follow the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadRequest {
    /// It has no identifier, or none that can be forwarded.
    NoRequestId,
    /// It names no host.
    NoHost,
    /// A header has a value that cannot be read.
    Unreadable(&'static str),
}

/// What an entry instance tells an endpoint in place of the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointHeaders<'a> {
    /// Identifier of the endpoint. Any other that listens there rejects the request.
    pub endpoint_id: &'a str,
    /// Customer that holds the caller's key.
    pub customer: Option<&'a str>,
    /// Time left, in milliseconds.
    pub time_left_ms: u64,
    /// 0 to 9, where 0 is the most urgent. Only for model engines.
    pub priority: Option<u8>,
    /// Event after which the answer goes on.
    pub last_event_id: Option<u64>,
}

/// Requests at an endpoint as it tells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointReply {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// The endpoint has not run the request and never will.
    pub has_not_run: bool,
    /// It carries the endpoint's signature, which successes need.
    pub is_signed: bool,
    /// Its body is encoded, so it is not what the endpoint made.
    pub is_encoded: bool,
    /// Load after this request.
    pub load: Option<Load>,
}

/// Headers of callers and endpoints.
pub trait CallProtocol {
    /// Decodes a caller's head.
    ///
    /// # Errors
    ///
    /// If the request does not follow the protocol.
    fn decode_call(&self, parts: &Parts) -> Result<CallHead, BadRequest>;

    /// Headers for an endpoint: the caller's own without those that concern its connection
    /// or belong to the system, and the system's.
    fn endpoint_headers(
        &self,
        call: &HeaderMap,
        added: &EndpointHeaders<'_>,
    ) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn decode_reply(&self, headers: &HeaderMap) -> EndpointReply;

    /// Headers for the caller: the endpoint's without those that concern its connection.
    fn caller_headers(&self, reply: &HeaderMap) -> HeaderMap;
}
