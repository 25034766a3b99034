//! Events: the inputs of the scheduler.

use std::collections::BTreeSet;
use std::sync::Arc;

use jayreel_model::{Configuration, KeyHash, Ran, RefusalReason, RequestId};
use serde::{Deserialize, Serialize};

/// One input of the scheduler.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A call arrived from a caller, or was forwarded by another instance.
    CallArrived(Box<CallArrived>),
    /// The first byte of the call is about to be written to the endpoint. From now on the
    /// endpoint may process the call.
    CallSent {
        /// The call that is being sent.
        request_id: RequestId,
    },
    /// The first part of the endpoint's response arrived. The call cannot be retried any
    /// more.
    FirstToken {
        /// The call that is being responded to.
        request_id: RequestId,
    },
    /// The endpoint has completed the call.
    CallFinished {
        /// The call that ended.
        request_id: RequestId,
        /// Token counts. `None` if the endpoint reported none.
        usage: Option<TokenUsage>,
    },
    /// The call failed at the endpoint or on the way to it.
    CallFailed {
        /// The call that failed.
        request_id: RequestId,
        /// Whether the endpoint may have processed the call.
        ran: Ran,
        /// Reason code. Only endpoint failures and timeouts are retried.
        reason: RefusalReason,
        /// Human-readable explanation for the caller and the log.
        message: String,
    },
    /// The caller closed its connection before the response was complete.
    CallerGone {
        /// The call to cancel.
        request_id: RequestId,
    },
    /// An engine responded to an [`Effect::ReleaseCache`](crate::Effect::ReleaseCache).
    CacheReleased {
        /// Name of the endpoint.
        endpoint: String,
        /// Cache tag from the request.
        cache_tag: String,
        /// Whether the engine has released the cache. If not, the request is sent again.
        released: bool,
    },
    /// A configuration was read. Ignored if its revision is lower than the current one.
    ConfigurationChanged(Arc<Configuration>),
    /// A planned shutdown of the instance begins. Calls are still accepted;
    /// [`Effect::DrainComplete`](crate::Effect::DrainComplete) tells when none is left.
    DrainStarted,
    /// The platform announced which endpoints are about to be shut down. They receive no
    /// new calls.
    EndpointsLeaving {
        /// Names of all such endpoints. Replaces the previous list.
        names: BTreeSet<String>,
    },
    /// The set of live instances changed. Endpoint slots are divided among them.
    FleetChanged {
        /// Number of live instances, including this one.
        live_instances: u32,
        /// Index of this instance in the sorted names of the live instances.
        position: u32,
    },
    /// A peer reported that a key was withdrawn. Arrives before the configuration that
    /// contains the withdrawal.
    KeyWithdrawn {
        /// Hash of the withdrawn key.
        key: KeyHash,
    },
    /// An endpoint reported its load.
    LoadReported {
        /// Name of the endpoint.
        endpoint: String,
        /// Load as measured by the endpoint.
        report: LoadReport,
    },
    /// An engine reported its loaded models.
    ModelsReported {
        /// Name of the endpoint.
        endpoint: String,
        /// Names of the models and adapters that are ready for calls.
        loaded: BTreeSet<String>,
    },
    /// A health probe succeeded or failed.
    ProbeFinished {
        /// Name of the endpoint.
        endpoint: String,
        /// Whether the endpoint responded that it is ready for calls.
        healthy: bool,
    },
    /// The state of [`ProgramAdmission`](crate::program_admission::ProgramAdmission) or
    /// [`QuotaAdmission`](crate::quota_admission::QuotaAdmission) changed outside of an
    /// event. Applies their new decisions without the timeout scans of [`Event::Tick`].
    AdmissionChanged,
    /// The store was reached by this instance, or by a peer that reported it. If no such
    /// event arrives for the offline grace period, all keys are refused.
    StoreContact {
        /// Time since the store was reached, in milliseconds.
        age_ms: u64,
    },
    /// Drives timeouts, probes and retries. Sent at least every 100 ms.
    Tick,
}

/// Metadata of an arriving call. The request body stays outside the scheduler.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallArrived {
    /// Identifies the call in all later events and effects.
    pub request_id: RequestId,
    /// Hash of the customer key. `None` if the caller sent none.
    pub key: Option<KeyHash>,
    /// Name of the profile from the request header. `None` selects the default profile.
    pub profile: Option<String>,
    /// Token of the program that the call belongs to. `None` for a call without program.
    pub program: Option<String>,
    /// Token of the parent program, if the call opens the program of a sub-agent.
    pub parent: Option<String>,
    /// Turn number within the program, if the caller sent one.
    pub turn: Option<u32>,
    /// Incarnation that the caller got in `Jayreel-Epoch`, if it sent it back.
    pub epoch: Option<String>,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Whether another instance forwarded the call here. A forwarded call is not forwarded
    /// again.
    pub was_forwarded: bool,
    /// The requested operation.
    pub operation: CallOperation,
}

/// The operation that a call requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOperation {
    /// A chat completion.
    Chat {
        /// Name of the model or adapter.
        model: String,
        /// Maximum number of tokens to generate, if the caller set it.
        max_tokens: Option<u64>,
        /// Upper bound of the number of prompt tokens: the prompt's length in bytes, since
        /// a token is at least one byte, plus the tokens of the chat template.
        prompt_bound_tokens: u64,
        /// Hashes of increasingly long prefixes of the message list, shortest first.
        prefix_hashes: Vec<u64>,
    },
    /// Closes a program.
    CloseProgram {
        /// Token of the program.
        token: String,
    },
    /// Opens a program.
    OpenProgram {
        /// Requested token budget. `None` for the budget of the profile.
        budget_tokens: Option<u64>,
    },
    /// A request to a plain service.
    Service {
        /// URL path without the query.
        path: String,
    },
}

/// Token counts of a completed call, as reported by its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Prompt tokens, including cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens that were read from the engine's prefix cache.
    pub cached_tokens: u64,
    /// Tokens of the response.
    pub generated_tokens: u64,
}

/// Load of an endpoint, measured by the endpoint itself. Covers the calls of all instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of calls that the endpoint is running.
    pub running: u32,
    /// Number of calls that wait in the endpoint's own queue.
    pub waiting: u32,
    /// Time between the measurement and the arrival of the report, in milliseconds.
    pub age_ms: u64,
}
