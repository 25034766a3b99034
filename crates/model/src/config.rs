//! Configuration that operators can change without restarting any instance.
//!
//! Each customer, key, profile, endpoint and route is a separate record in the store. A
//! [`Configuration`] is an instance's in-memory copy of all records.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::KeyHash;

/// Snapshot of all configuration records at one store revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Store revision of the latest change in this snapshot. An instance ignores a
    /// snapshot whose revision is lower than that of the one it uses.
    pub revision: u64,
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
    /// Customer keys by their hash. Withdrawn keys keep their record.
    pub keys: BTreeMap<KeyHash, CustomerKey>,
    /// Profiles by name. Retired profiles keep their record.
    pub profiles: BTreeMap<String, Profile>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Store revision of each endpoint record, by endpoint name. Sent with orders to
    /// engines as the fencing number. Absent for records that were read before this field
    /// existed.
    pub endpoint_revisions: BTreeMap<String, u64>,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
}

/// Rate limit and fair-share weight of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Rate limit over all instances together, in thousandths of a request per second.
    pub rate_mreq_per_s: u64,
    /// Burst size over all instances together, in thousandths of a request.
    pub burst_mreq: u64,
    /// Share of endpoint capacity relative to the weights of other customers. At least 1.
    #[serde(default = "default_one")]
    pub weight: u32,
}

/// An API key of a customer. Only the hash of the key is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerKey {
    /// Name of the customer that the key belongs to.
    pub customer: String,
    /// Whether the key was withdrawn. Calls with it are rejected. Never reset to false.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Scheduling class of the programs of a profile, most urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ClassOfService {
    /// A user is waiting for the answer.
    Interactive,
    /// For programs without special urgency.
    #[default]
    Standard,
    /// Background work that no user is waiting for.
    Batch,
}

/// Scheduling class and limits for the programs that are opened under the profile.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// Scheduling class of the programs.
    pub class: ClassOfService,
    /// Token budget of a program if the caller requests none, and the largest budget that
    /// a caller may request.
    pub budget_tokens: u64,
    /// Maximum number of calls in one program.
    pub max_turns: u32,
    /// Maximum number of tokens that one call may generate.
    pub max_call_tokens: u64,
    /// A program is closed after this time without a call.
    pub idle_timeout_ms: u64,
    /// Maximum time that a call may wait to be dispatched before it is refused.
    pub max_wait_ms: u64,
    /// Models that programs may use. Empty allows all models.
    pub models: Vec<String>,
    /// Whether the profile is retired. No new program can be opened under a retired
    /// profile; programs that are already open keep it.
    pub retired: bool,
}

impl Default for Profile {
    fn default() -> Profile {
        Profile {
            class: ClassOfService::Standard,
            budget_tokens: 2_000_000,
            max_turns: 170,
            max_call_tokens: 4_096,
            idle_timeout_ms: 900_000,
            max_wait_ms: 30_000,
            models: Vec::new(),
            retired: false,
        }
    }
}

/// Protocol of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine that serves the chat completions API.
    ModelEngine,
    /// An HTTP service that receives requests by path, see [`Route`].
    PlainService,
}

/// Administrative state of an endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Receives new calls.
    #[default]
    Active,
    /// Finishes its running calls and receives no new ones.
    Draining,
    /// Out of service. The record stays until an operator deletes it.
    Removed,
}

/// A back end: one model engine or one replica of a plain HTTP service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Protocol of the endpoint.
    pub kind: EndpointKind,
    /// Name of the endpoint group. Calls of one group share a queue. A plain service's
    /// calls go to any endpoint of its group, a model's to one that serves the model.
    pub group: String,
    /// Availability zone in which the endpoint runs.
    pub availability_zone: String,
    /// IP address and port.
    pub address: String,
    /// Names of the models that the endpoint serves. Empty for plain services.
    #[serde(default)]
    pub models: Vec<String>,
    /// Required version of each model. A model without an entry may have any version.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, String>,
    /// Base model of each adapter that the endpoint serves, by adapter name. Calls use
    /// the adapter's name in place of a model name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub adapters: BTreeMap<String, String>,
    /// Number of calls that the endpoint runs concurrently. At least 1.
    #[serde(default = "default_one")]
    pub slots: u32,
    /// Whether the engine rejects orders whose fencing number is lower than one it has
    /// already seen.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Administrative state, set by operators.
    #[serde(default)]
    pub state: EndpointState,
}

impl Endpoint {
    /// Whether the endpoint is configured to serve calls for this model or adapter name.
    pub fn serves_model(&self, name: &str) -> bool {
        self.models.iter().any(|model| model == name) || self.adapters.contains_key(name)
    }
}

/// Maps a path prefix to a group of plain services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Starts with `/`. Matches whole path segments only: `/file` does not match `/filed`.
    pub path_prefix: String,
    /// Name of the endpoint group that serves the requests.
    pub group: String,
    /// Whether requests are idempotent, so that a request may be retried even if an
    /// endpoint may have processed it already.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether requests are accepted without a customer key.
    #[serde(default)]
    pub open: bool,
}

fn default_one() -> u32 {
    1
}
