//! The status of [`FleetState`] that operators can query.

use serde::Serialize;

use jayreel_membership::Liveness;

use crate::fleet::FleetState;

/// How one instance sees the fleet. Its fields are written out as JSON for operators.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// Incarnation of the process that reports.
    pub incarnation: String,
    /// Availability zone that the instance runs in.
    pub availability_zone: String,
    /// Revision of the configuration in force, 0 if there is none yet.
    pub config_revision: u64,
    /// Time since the store last confirmed the configuration in force, directly or through
    /// a peer. `None` if it never did.
    pub store_contact_age_ms: Option<u64>,
    /// Home weight of this instance by the store's record, in parts per million.
    pub home_weight_ppm: u32,
    /// The part of the home weight that is in force. Weight that came from a holder that is
    /// gone is in force one loan term later than it is in the record.
    pub home_in_force_ppm: u32,
    /// Whether another process has taken over all programs of this one. This process then
    /// stops.
    pub superseded: bool,
    /// Number of live programs, sub-agents included.
    pub programs: usize,
    /// All known peers, sorted by name.
    pub peers: Vec<PeerStatus>,
}

/// How this instance sees one peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// The newest known process of the peer.
    pub incarnation: String,
    /// `alive`, `dead`, `leaving` or `suspect`.
    pub liveness: &'static str,
    /// Revision of the peer's configuration, as it last reported.
    pub config_revision: u64,
}

impl FleetState {
    /// The status that operators can query.
    pub fn status(&mut self, now_ms: u64) -> FleetStatus {
        let peers = self.membership.peers(now_ms);
        FleetStatus {
            incarnation: self.settings.own.to_string(),
            availability_zone: self.settings.availability_zone.clone(),
            config_revision: self.configuration.as_ref().map_or(0, |c| c.revision),
            store_contact_age_ms: self.contact_age_ms(now_ms),
            home_weight_ppm: self.quota.home_weight_ppm(now_ms),
            home_in_force_ppm: self.home_in_force_ppm(now_ms),
            superseded: self.superseded,
            programs: self.programs.len(),
            peers: peers
                .into_iter()
                .map(|(incarnation, liveness, config_revision)| PeerStatus {
                    incarnation: incarnation.to_string(),
                    liveness: liveness_name(liveness),
                    config_revision,
                })
                .collect(),
        }
    }
}

fn liveness_name(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Alive => "alive",
        Liveness::Dead => "dead",
        Liveness::Leaving => "leaving",
        Liveness::Suspect => "suspect",
    }
}
