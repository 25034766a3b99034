//! The heartbeat message that instances exchange every second.

use jayreel_model::Incarnation;
use serde::{Deserialize, Serialize};

/// The state of an instance, sent to its peers and as the response to a peer's heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub availability_zone: String,
    /// Revision of the configuration that the sender uses.
    pub config_revision: u64,
    /// Time since the last contact with the store that the configuration is based on.
    /// `None` if there was none.
    pub store_contact_age_ms: Option<u64>,
    /// Whether the sender takes new work.
    pub state: InstanceState,
    /// Number of running calls.
    pub running_calls: u32,
    /// Number of calls in the queues of endpoint groups, up to about 50 ms old.
    pub waiting_calls: u32,
    /// Address at which the sender accepts connections of peers. With it a receiver can
    /// answer that has not read the sender's registration yet.
    pub peer_address: String,
}

/// Whether an instance takes new work, by its own statement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Has announced a planned stop.
    Leaving,
    /// Takes new work.
    Serving,
    /// Has no valid configuration yet.
    Starting,
}
