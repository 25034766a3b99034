//! Which instance serves a program.

use jayreel_membership::{Liveness, Membership};
use jayreel_model::Incarnation;
use jayreel_programs::{
    Decision, OwnerLiveness, OwnerLookup, OwnerStatus, OwnershipView,
};

use jayreel_programs::ownership::decide;

use crate::fleet::Fleet;

/// Membership at one moment.
struct Facts<'a> {
    membership: &'a Membership,
    now_ms: u64,
}

impl OwnerLookup for Facts<'_> {
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

impl Fleet {
    /// Where the calls of a program are served that `owner` opened.
    pub(crate) fn owner_of(
        &self,
        now_ms: u64,
        owner: &Incarnation,
        was_forwarded: bool,
    ) -> Decision {
        let facts = Facts {
            membership: &self.membership,
            now_ms,
        };
        let view = OwnershipView {
            own: &self.settings.own,
            takeovers: &self.takeovers,
            owners: &facts,
            takeover_delay_ms: self.settings.takeover_delay_ms,
        };
        decide(view, owner, was_forwarded)
    }
}
