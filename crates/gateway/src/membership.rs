//! Who should belong to the group of instances with disks.
//!
//! Spare instances propose themselves: in the place of a member that is to be emptied or has
//! been silent for long, or where the group has room. A member that is to be emptied leaves
//! by itself only if no spare takes its place. Each proposal is a conditional write of the
//! group's record, so of two only one succeeds.

use std::collections::HashMap;

use jayreel_ledger::{Group, Member};

/// Name of the record that holds the group.
pub(crate) const GROUP_RECORD: &str = "group";

/// Names of the records of instances with disks begin with this.
pub(crate) const MEMBER_RECORD_PREFIX: &str = "storage/";

/// A turn is decided within this time, in milliseconds, or not at all.
pub(crate) const DECISION_TIMEOUT_MS: u64 = 1_000;

/// An instance that lacks facts copies none for this time after its start, in milliseconds:
/// turns that it answered before its disk was lost are decided by then.
pub(crate) const COPY_DELAY_MS: u64 = DECISION_TIMEOUT_MS + 500;

/// A member that has been silent for this long is replaced if a spare is there, in
/// milliseconds. Restarts and short outages are over by then, and replacing one costs a copy
/// of all data.
const SILENT_MS: u64 = 4_000;

/// A member that is to be emptied waits this long for a spare, in milliseconds.
const SPARE_WAIT_MS: u64 = 2_500;

/// A change of the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Proposal {
    /// The instance joins, in the place of a member or of nobody.
    Join {
        /// The member that leaves.
        leaving: Option<String>,
    },
    /// The instance leaves, and nobody takes its place.
    Leave,
}

/// What an instance knows about the others.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    silent_since_ms: HashMap<String, u64>,
    retiring_since_ms: Option<u64>,
}

impl Watcher {
    /// A member answered, or did not.
    pub(crate) fn note(&mut self, now_ms: u64, name: &str, has_answered: bool) {
        match has_answered {
            true => {
                self.silent_since_ms.remove(name);
            }
            false => {
                let since_ms = self.silent_since_ms.entry(name.to_string());
                since_ms.or_insert(now_ms);
            }
        }
    }

    /// The change that this instance should propose.
    ///
    /// `voting` is the number of members that vote; without a quorum of them the group must
    /// not change, since the next one copies its facts from a quorum.
    pub(crate) fn propose(
        &mut self,
        now_ms: u64,
        group: &Group,
        me: &Member,
        retiring: &[String],
        voting: usize,
    ) -> Option<Proposal> {
        let is_retiring = retiring.contains(&me.name);
        let is_member = group.contains(&me.name);
        match is_retiring && is_member {
            true => {
                self.retiring_since_ms.get_or_insert(now_ms);
            }
            false => self.retiring_since_ms = None,
        }
        if voting < group.quorum() {
            return None;
        }
        match (is_member, is_retiring) {
            (false, false) => self.joining(now_ms, group, retiring),
            (true, true) => {
                let since_ms = self.retiring_since_ms.unwrap_or(now_ms);
                let has_waited = now_ms >= since_ms + SPARE_WAIT_MS;
                (has_waited && group.members.len() > 1).then_some(Proposal::Leave)
            }
            _ => None,
        }
    }

    fn joining(
        &self,
        now_ms: u64,
        group: &Group,
        retiring: &[String],
    ) -> Option<Proposal> {
        let mut members = group.members.iter();
        let leaving = members
            .clone()
            .find(|member| retiring.contains(&member.name))
            .or_else(|| members.find(|member| self.is_silent(now_ms, &member.name)));
        match leaving {
            Some(member) => Some(Proposal::Join {
                leaving: Some(member.name.clone()),
            }),
            None if group.has_room() => Some(Proposal::Join { leaving: None }),
            None => None,
        }
    }

    fn is_silent(&self, now_ms: u64, name: &str) -> bool {
        let since_ms = self.silent_since_ms.get(name);
        since_ms.is_some_and(|since_ms| since_ms + SILENT_MS <= now_ms)
    }
}
