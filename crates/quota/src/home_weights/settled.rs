//! Tracks which part of a home weight may be used at once.
//!
//! An instance writes a smaller weight only when none of the difference is lent or about
//! to be sent, so released weight is not in use anywhere. Weight that a new process
//! adopts from an earlier one of its instance, or that was taken from a holder that is
//! gone, may still be lent. It becomes settled once it has taken effect at its new
//! holder.

use crate::home_weights::{HomeRecord, HomeView};

impl HomeRecord {
    /// The part of the unassigned weight that may be used at once, for a record with this
    /// modification revision. All of it if there is no record yet (revision 0), because
    /// nobody has held it.
    fn immediately_usable_ppm(&self, revision: u64) -> u32 {
        match revision {
            0 => self.unassigned_ppm(),
            _ => self.released_ppm.min(self.unassigned_ppm()),
        }
    }
}

impl HomeView<'_> {
    /// The part of this process's entry that no earlier holder can still have lent.
    pub(super) fn settled_ppm(&self) -> u32 {
        self.own_entry().map_or(0, |entry| entry.settled_ppm)
    }

    /// The values of `settled_ppm` of this process's entry and `released_ppm` of the
    /// record for a write that sets the entry to `weight_ppm`. Weight that a new process
    /// adopted counts as neither, even if it is passed on before it took effect, because
    /// an earlier holder may still have lent it.
    pub(super) fn settled_after(&self, weight_ppm: u32) -> (u32, u32) {
        let before_ppm = self.record.weight_ppm(self.own_name());
        let usable_ppm = self.record.immediately_usable_ppm(self.revision);
        let taken_ppm = weight_ppm.saturating_sub(before_ppm).min(usable_ppm);
        let given_ppm = self.settled_ppm().saturating_sub(weight_ppm);
        let kept_ppm = self.settled_ppm().max(self.in_force_ppm);
        let settled_ppm = kept_ppm.min(before_ppm).min(weight_ppm) + taken_ppm;
        (settled_ppm, usable_ppm - taken_ppm + given_ppm)
    }
}
