//! What happens to an instance.

use std::collections::BTreeSet;
use std::sync::Arc;

use jayreel_model::{Configuration, KeyHash, Ran, RefusalReason, RequestId};
use serde::{Deserialize, Serialize};

/// One input of the reducer.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A call arrived from a caller, or from another instance.
    CallArrived(Box<CallArrived>),
    /// The dispatching thread is about to write the first byte of the call.
    CallSent {
        /// The call.
        request_id: RequestId,
    },
    /// The first piece of the answer arrived.
    FirstToken {
        /// The call.
        request_id: RequestId,
    },
    /// The call is complete.
    CallFinished {
        /// The call.
        request_id: RequestId,
        /// Tokens as reported by the endpoint, if it did.
        usage: Option<TokenUsage>,
    },
    /// The call failed.
    CallFailed {
        /// The call.
        request_id: RequestId,
        /// Whether the endpoint may have run it.
        ran: Ran,
        /// The reason.
        reason: RefusalReason,
        /// Text for the caller and the log.
        message: String,
    },
    /// The caller went away before the answer was complete.
    CallerGone {
        /// The call.
        request_id: RequestId,
    },
    /// An engine answered an order to release cache.
    CacheReleased {
        /// Name of the endpoint.
        endpoint: String,
        /// The cache tag of the order.
        cache_tag: String,
        /// Whether the cache is gone. Otherwise the order is repeated.
        released: bool,
    },
    /// A newer configuration was read. Older ones are ignored.
    ConfigurationChanged(Arc<Configuration>),
    /// The instance begins a planned stop.
    DrainStarted,
    /// The platform's list of leaving endpoints changed.
    EndpointsLeaving {
        /// Names of all leaving endpoints.
        names: BTreeSet<String>,
    },
    /// The number of live instances changed.
    FleetChanged {
        /// Live instances, this one included.
        live_instances: u32,
        /// Position of this instance among the sorted names of the live ones, from 0.
        position: u32,
    },
    /// A key was withdrawn, as told by a peer before the configuration arrives.
    KeyWithdrawn {
        /// The key.
        key: KeyHash,
    },
    /// An endpoint reported its load.
    LoadReported {
        /// Name of the endpoint.
        endpoint: String,
        /// The report.
        report: LoadReport,
    },
    /// An engine reported what it has loaded.
    ModelsReported {
        /// Name of the endpoint.
        endpoint: String,
        /// Names of the models and adapters that are loaded.
        loaded: BTreeSet<String>,
    },
    /// The answer to a probe, or its failure.
    ProbeFinished {
        /// Name of the endpoint.
        endpoint: String,
        /// Whether the endpoint answered and is ready for work.
        healthy: bool,
    },
    /// The program step or the quota step learned something by itself. Takes up their
    /// decisions, without the searches of [`Event::Tick`].
    AdmissionChanged,
    /// The store was reached, by this instance or by a peer that told so. Without this
    /// event all keys are refused after the offline grace period.
    StoreContact {
        /// Age of the contact.
        age_ms: u64,
    },
    /// Time passed. Sent at least every 100 ms.
    Tick,
}

/// Facts about a call. The body stays outside the reducer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallArrived {
    /// The call.
    pub request_id: RequestId,
    /// Hash of the caller's key.
    pub key: Option<KeyHash>,
    /// Name of the profile, from the caller's header.
    pub profile: Option<String>,
    /// Program token.
    pub program: Option<String>,
    /// Token of the parent program, for a sub-agent.
    pub parent: Option<String>,
    /// The turn that the caller names.
    pub turn: Option<u32>,
    /// The incarnation that the caller names.
    pub epoch: Option<String>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether another instance forwarded the call here. It is not forwarded again.
    pub was_forwarded: bool,
    /// What is asked for.
    pub operation: CallOperation,
}

/// What a call asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOperation {
    /// A chat completion.
    Chat {
        /// The model.
        model: String,
        /// The most tokens to generate, if named.
        max_tokens: Option<u64>,
        /// Upper bound of the prompt's tokens.
        prompt_bound_tokens: u64,
        /// Hashes of growing prefixes of the messages, shortest first.
        prefix_hashes: Vec<u64>,
    },
    /// Closing a program.
    CloseProgram {
        /// The program token.
        token: String,
    },
    /// Opening a program.
    OpenProgram {
        /// Budget that the caller names, in tokens.
        budget_tokens: Option<u64>,
    },
    /// A request to a plain service.
    Service {
        /// The path without query.
        path: String,
    },
}

/// Tokens used by a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// All prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}

/// The load of an endpoint as it reports it, some time after the fact.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls running at the endpoint.
    pub running: u32,
    /// Calls waiting at the endpoint.
    pub waiting: u32,
    /// Age of the figures when they arrived.
    pub age_ms: u64,
}
