//! Interface to the HTTP headers that callers and endpoints exchange with an entry instance.
//!
//! Header names and formats depend on the platform, which implements [`CallProtocol`].

use hyper::HeaderMap;
use hyper::http::request::Parts;

/// Number of tokens reserved for a turn whose request has no upper bound of generated tokens.
const DEFAULT_RESERVED_TOKENS: u32 = 4_096;

/// The decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Identifier that the caller gave to this attempt.
    pub request_id: String,
    /// Host that the request names, without a port.
    pub host: String,
    /// How long the caller will wait for the response, in milliseconds. None if it set no limit.
    pub deadline_ms: Option<u64>,
    /// API key of the customer, if the request has one.
    pub key: Option<String>,
    /// Last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Number of tokens of the prompt, if the request names it.
    pub prompt_tokens: Option<u32>,
    /// Upper bound of the tokens that the request generates, if it sets one.
    pub max_tokens: Option<u32>,
    /// The program of the request, if it belongs to one.
    pub program: Option<ProgramCall>,
    /// Identifier of the turn that this one continues, if any.
    pub previous_turn: Option<String>,
    /// The object that the request is about, if it names one. The same for all requests on the
    /// same object.
    pub object: Option<String>,
}

impl CallHead {
    /// Number of tokens to reserve for the request.
    pub fn reserved_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_RESERVED_TOKENS)
    }

    /// Number of tokens that the request takes in the memory of an engine at most, as far as it
    /// names them.
    pub fn memory_tokens(&self) -> u32 {
        let generated_tokens = self.max_tokens.unwrap_or(0);
        self.prompt_tokens
            .unwrap_or(0)
            .saturating_add(generated_tokens)
    }
}

/// What a request says about the program to which it belongs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramCall {
    /// The caller's identifier of the program.
    pub id: String,
    /// Time left until the program's deadline, in milliseconds. None without a deadline.
    pub time_left_ms: Option<u64>,
    /// Upper bound of the tokens that all turns of the program together may generate.
    pub budget_tokens: Option<u64>,
}

/// Why a request is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadRequest {
    /// It has no request identifier, or one that can't be forwarded.
    NoRequestId,
    /// It names no host.
    NoHost,
    /// The value of the header with this name can't be decoded.
    Unreadable(&'static str),
}

/// Values that an entry instance sends to an endpoint in addition to the caller's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointHeaders<'a> {
    /// Identifier of the intended endpoint. Another endpoint at the same address rejects the
    /// request.
    pub endpoint_id: &'a str,
    /// Name of the customer that owns the caller's key, if the request needed one.
    pub customer: Option<&'a str>,
    /// Time left for the request, in milliseconds.
    pub time_left_ms: u64,
    /// Scheduling priority for model engines, from 0 (most urgent) to 9. None for other
    /// services.
    pub priority: Option<u8>,
    /// Event after which the endpoint continues a stream, if the stream is resumed.
    pub last_event_id: Option<u64>,
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
}

/// The decoded head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointResponseHead {
    /// Identifier of the request to which it responds, if it names one.
    pub request_id: Option<String>,
    /// The endpoint guarantees that it has not run the request and never will.
    pub has_not_run: bool,
    /// It has the endpoint's signature. A successful response without one is not accepted.
    pub is_signed: bool,
    /// Its body has a content encoding, so it is not the one that the endpoint produced.
    pub is_encoded: bool,
    /// Load of the endpoint, including this request.
    pub load: Option<Load>,
    /// How long work currently takes on the endpoint's machine, where 1 is the usual time. `None`
    /// if it does not report it.
    pub work_factor: Option<f64>,
    /// The endpoint is about to stop and must get no new requests.
    pub is_leaving: bool,
    /// Requests per second that the endpoint accepts from all instances together. None if it sets
    /// no limit.
    pub limit_per_s: Option<f64>,
    /// How much longer the endpoint is cold, in milliseconds. None if it does not say.
    pub cold_left_ms: Option<u64>,
}

/// Decodes and builds the headers of callers and endpoints on one platform.
pub trait CallProtocol {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// If the request is malformed.
    fn decode_call(&self, parts: &Parts) -> Result<CallHead, BadRequest>;

    /// Builds the request headers for an endpoint. They consist of the caller's headers, without
    /// the connection-specific ones and those reserved for the system, and of `added`.
    fn endpoint_headers(
        &self,
        call: &HeaderMap,
        added: &EndpointHeaders<'_>,
    ) -> HeaderMap;

    /// Decodes the head of an endpoint's response.
    fn decode_response_head(&self, headers: &HeaderMap) -> EndpointResponseHead;

    /// Builds the response headers for the caller from the endpoint's, without the
    /// connection-specific ones.
    fn caller_headers(&self, response: &HeaderMap) -> HeaderMap;
}
