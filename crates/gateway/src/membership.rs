//! Decides when the membership of the group should change.
//!
//! Storage instances that are not members are spares. A spare proposes itself as a
//! replacement for a member that is being retired or has not responded for a long time, or as
//! an additional member if the group has room. A member that is being retired leaves on its
//! own only if no spare replaces it. Each proposal is a conditional write of the group record,
//! so only one of two concurrent proposals succeeds.

use std::collections::HashMap;

use jayreel_ledger::{Group, Member};

/// Name of the internal record that holds the group.
pub(crate) const GROUP_RECORD: &str = "group";

/// Prefix of the internal records in which storage instances register.
pub(crate) const MEMBER_RECORD_PREFIX: &str = "storage/";

/// Time limit for the decision of a turn, in milliseconds. A turn that is not decided by then
/// never will be.
pub(crate) const DECISION_TIMEOUT_MS: u64 = 1_000;

/// Time after its start before an instance that lacks records begins to copy them from other
/// members, in milliseconds. Turns that it voted on before it lost its disk are decided by
/// then.
pub(crate) const COPY_DELAY_MS: u64 = DECISION_TIMEOUT_MS + 500;

/// Time without a response after which a spare replaces a member, in milliseconds. Restarts and
/// short outages end sooner, and a replacement costs a copy of all data. A member that is only cut
/// off goes on to grant rate-limit tokens for about as long.
const REPLACE_AFTER_MS: u64 = 4_000;

/// Time that a member being retired waits for a spare before it leaves without replacement, in
/// milliseconds.
const SPARE_WAIT_MS: u64 = 2_500;

/// Time for which a group that is not settled stays as it is, in milliseconds, so that the member
/// that left can hand over its records. Longer than that takes with full disks; the member may
/// also fail meanwhile.
const SETTLE_WAIT_MS: u64 = 20_000;

/// A change of the group that an instance proposes for itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Proposal {
    /// The instance joins, as a replacement or as an additional member.
    Join {
        /// Name of the member to replace, if any.
        leaving: Option<String>,
    },
    /// The instance leaves without a replacement.
    Leave,
}

/// A version of the group that is not settled.
#[derive(Clone, Copy, Debug)]
struct UnsettledGroup {
    version: u64,
    /// When this instance first saw it.
    since_ms: u64,
}

/// What one instance observed about the members, as the basis for its proposals.
#[derive(Debug, Default)]
pub struct MemberMonitor {
    /// When a member's consecutive requests without a response began, by its name. No entry for
    /// members that responded last time.
    silent_since_ms: HashMap<String, u64>,
    /// Since when this instance is a member that is being retired.
    retiring_since_ms: Option<u64>,
    /// The newest version of the group, if that is not settled.
    unsettled: Option<UnsettledGroup>,
}

impl MemberMonitor {
    /// Records whether a member responded to a status request.
    pub fn record_status(&mut self, now_ms: u64, name: &str, has_responded: bool) {
        match has_responded {
            true => {
                self.silent_since_ms.remove(name);
            }
            false => {
                let since_ms = self.silent_since_ms.entry(name.to_string());
                since_ms.or_insert(now_ms);
            }
        }
    }

    /// The change that the instance `own_member` should propose now, if any. `retiring` holds the
    /// names of the instances being retired.
    ///
    /// `voting` is the number of members that vote. The group must not change if they are fewer than
    /// [`Group::quorum_to_change`].
    pub fn propose(
        &mut self,
        now_ms: u64,
        group: &Group,
        own_member: &Member,
        retiring: &[String],
        voting: usize,
    ) -> Option<Proposal> {
        let is_retiring = retiring.contains(&own_member.name);
        let is_member = group.contains(&own_member.name);
        match is_retiring && is_member {
            true => {
                self.retiring_since_ms.get_or_insert(now_ms);
            }
            false => self.retiring_since_ms = None,
        }
        if voting < group.quorum_to_change() || self.waits_until_settled(now_ms, group) {
            return None;
        }
        match (is_member, is_retiring) {
            (false, false) => self.propose_join(now_ms, group, retiring, voting),
            (true, true) => {
                let since_ms = self.retiring_since_ms.unwrap_or(now_ms);
                let has_waited = now_ms >= since_ms + SPARE_WAIT_MS;
                (has_waited && group.members.len() > 1).then_some(Proposal::Leave)
            }
            _ => None,
        }
    }

    /// Whether the group must not change yet, because a member that left may not have handed over
    /// its records.
    fn waits_until_settled(&mut self, now_ms: u64, group: &Group) -> bool {
        let version = group.version;
        let seen = self.unsettled.filter(|known| known.version == version);
        self.unsettled = match group.is_settled() {
            true => None,
            false => seen.or(Some(UnsettledGroup {
                version,
                since_ms: now_ms,
            })),
        };
        self.unsettled
            .is_some_and(|known| now_ms < known.since_ms + SETTLE_WAIT_MS)
    }

    /// The proposal of a spare. A member being retired is replaced before a silent one.
    ///
    /// In a group without a quorum the spare takes the place of a silent member rather than joining
    /// beside it: the next version must not need a member that may be lost for good.
    fn propose_join(
        &self,
        now_ms: u64,
        group: &Group,
        retiring: &[String],
        voting: usize,
    ) -> Option<Proposal> {
        let mut members = group.members.iter();
        let leaving = members
            .clone()
            .find(|member| retiring.contains(&member.name))
            .or_else(|| members.find(|member| self.is_silent(now_ms, &member.name)));
        let may_be_lost =
            |member: &Member| self.silent_since_ms.contains_key(&member.name);
        let waits_for_silent =
            voting < group.quorum() && group.members.iter().any(may_be_lost);
        match leaving {
            Some(member) => Some(Proposal::Join {
                leaving: Some(member.name.clone()),
            }),
            None if group.has_room() && !waits_for_silent => {
                Some(Proposal::Join { leaving: None })
            }
            None => None,
        }
    }

    /// Whether a member has sent no response for [`REPLACE_AFTER_MS`].
    fn is_silent(&self, now_ms: u64, name: &str) -> bool {
        let since_ms = self.silent_since_ms.get(name);
        since_ms.is_some_and(|since_ms| since_ms + REPLACE_AFTER_MS <= now_ms)
    }
}
