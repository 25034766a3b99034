//! The decision which instance serves the calls of a program.

use jayreel_membership::{Liveness, Membership};
use jayreel_model::Incarnation;
use jayreel_programs::{
    Decision, OwnerLiveness, OwnerLookup, OwnerStatus, OwnershipView,
};

use jayreel_programs::ownership::decide;

use crate::fleet::FleetState;

/// What is known of the peers at one time, in the form that `decide` needs.
struct MembershipSnapshot<'a> {
    membership: &'a Membership,
    now_ms: u64,
}

impl OwnerLookup for MembershipSnapshot<'_> {
    fn owner(&self, incarnation: &Incarnation) -> OwnerStatus {
        let liveness = match self.membership.liveness(self.now_ms, incarnation) {
            Liveness::Alive => OwnerLiveness::Alive,
            Liveness::Dead => OwnerLiveness::Dead,
            Liveness::Leaving => OwnerLiveness::Leaving,
            Liveness::Suspect => OwnerLiveness::Suspect,
        };
        let registrations = self.membership.registrations();
        OwnerStatus {
            liveness,
            registration_absent_ms: registrations.absent_ms(self.now_ms, incarnation),
        }
    }
}

impl FleetState {
    /// Where a call is served whose program was opened by `owner`: here, at another
    /// instance, or after a takeover. A forwarded call is not forwarded again.
    pub(crate) fn ownership_decision(
        &self,
        now_ms: u64,
        owner: &Incarnation,
        was_forwarded: bool,
    ) -> Decision {
        let owners = MembershipSnapshot {
            membership: &self.membership,
            now_ms,
        };
        let view = OwnershipView {
            own: &self.settings.own,
            takeovers: &self.takeovers,
            owners: &owners,
            takeover_delay_ms: self.settings.takeover_delay_ms,
        };
        decide(view, owner, was_forwarded)
    }
}
