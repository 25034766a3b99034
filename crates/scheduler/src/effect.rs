//! Effects: the outputs of the scheduler, carried out by the I/O layer.

use jayreel_model::{ClassOfService, Incarnation, Refusal, RequestId};

/// One output of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Abort a running call. Its slot is freed when `CallFinished` or `CallFailed` follows.
    Cancel {
        /// The call to abort.
        request_id: RequestId,
    },
    /// Send a call to an endpoint.
    Dispatch(Dispatch),
    /// No call is left after [`Event::DrainStarted`](crate::Event::DrainStarted). Calls
    /// that arrive later are still accepted; the effect is repeated after the last of them.
    DrainComplete,
    /// Forward a call to the instance that owns its program.
    Forward {
        /// The call to forward.
        request_id: RequestId,
        /// The process that owns the program.
        to: Incarnation,
    },
    /// A root program with calls at this instance has ended. Informational, for metrics.
    ProgramEnded {
        /// Name of the customer.
        customer: String,
        /// Scheduling class of the program's profile.
        class: ClassOfService,
        /// Time from the first call of the program or its sub-agents at this instance to
        /// the end, in milliseconds.
        lasted_ms: u64,
    },
    /// Send a health probe to an endpoint. `ProbeFinished` reports the result.
    Probe {
        /// Name of the endpoint.
        endpoint: String,
        /// IP address and port of the endpoint.
        address: String,
    },
    /// Respond to a call without sending it to an endpoint.
    Reply {
        /// The call to respond to.
        request_id: RequestId,
        /// Content of the response.
        reply: Reply,
    },
    /// Respond to a call with an error.
    Refuse {
        /// The call to respond to.
        request_id: RequestId,
        /// Reason, and whether an endpoint may have processed the call.
        refusal: Refusal,
    },
    /// Request that an engine release the cache of a program. `CacheReleased` reports the
    /// result. Repeated until the engine confirms.
    ReleaseCache {
        /// Name of the endpoint.
        endpoint: String,
        /// Cache tag of the program.
        cache_tag: String,
    },
}

/// A call to send to an endpoint, with the parameters of the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The call to send.
    pub request_id: RequestId,
    /// Name of the endpoint.
    pub endpoint: String,
    /// IP address and port of the endpoint.
    pub address: String,
    /// Time of the scheduling decision, in milliseconds of the monotonic clock. If the
    /// call cannot be sent within the dispatch deadline after this time, it must be
    /// reported as failed without having run.
    pub decided_at_ms: u64,
    /// Maximum number of tokens to generate. `None` for plain services.
    pub max_tokens: Option<u64>,
    /// Scheduling class of the call's profile.
    pub class: ClassOfService,
    /// Whether the call is idempotent, so that it may be sent again after it may have run.
    pub repeatable: bool,
    /// Priority of the call at the engine. Lower values run first.
    pub priority: i32,
    /// Cache tag of the call's program. `None` for calls without program.
    pub cache_tag: Option<String>,
    /// Headers to add to the response to the caller.
    pub response_headers: Vec<(String, String)>,
}

/// Response to an operation on a program, which needs no endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The program was closed.
    ProgramClosed,
    /// The program was opened.
    ProgramOpened {
        /// Token that the caller sends in `Jayreel-Program`.
        token: String,
        /// Incarnation that the caller sends in `Jayreel-Epoch`.
        epoch: String,
        /// Budget of the program in tokens.
        budget_tokens: u64,
    },
}
