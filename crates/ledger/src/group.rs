//! Membership of the group of storage instances, and what a member must copy before it votes.
//!
//! Members decide budgets by quorum and hold the copies of finished turns.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Largest version of a group, so that versions after it can be computed.
const MAX_VERSION: u64 = u64::MAX / 2;

/// Largest number of members of a group.
const MAX_MEMBERS: usize = 1_000;

/// A storage instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// The availability zone that the instance runs in.
    pub availability_zone: String,
    /// Address at which other instances reach it.
    pub address: SocketAddr,
}

/// One version of the group's membership. Each change creates a new version, which is written
/// to the platform's store on condition that the previous one is still the newest.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Group {
    /// 1 for the first group, and one more with each change. 0 if no group is known.
    pub version: u64,
    /// Members of this version, without duplicates.
    pub members: Vec<Member>,
    /// Members of the newest settled version before this one. Empty in the first one.
    ///
    /// Any read quorum of them that were complete in the version before this one hold all earlier
    /// records together.
    pub previous: Vec<Member>,
    /// Number of disks that may be lost at the same time without a loss of records. Set by
    /// the instance that creates the first group.
    pub tolerated_losses: usize,
}

impl Group {
    /// Creates version 1 from the available instances. Picks `2 * tolerated_losses + 1` of
    /// them, spread evenly over availability zones so that the loss of one zone leaves a
    /// majority.
    pub fn first(candidates: &[Member], tolerated_losses: usize) -> Group {
        let mut candidates = candidates.to_vec();
        candidates.sort();
        let mut members: Vec<Member> = Vec::new();
        while members.len() < full_size(tolerated_losses) && !candidates.is_empty() {
            let members_in_zone = |zone: &str| {
                let zones = members.iter().map(|member| &member.availability_zone);
                zones.filter(|other| *other == zone).count()
            };
            let best = candidates.iter().enumerate().min_by_key(|(index, member)| {
                (members_in_zone(&member.availability_zone), *index)
            });
            let Some((index, _)) = best else { break };
            members.push(candidates.remove(index));
        }
        Group {
            version: 1,
            members,
            previous: Vec::new(),
            tolerated_losses,
        }
    }

    /// Returns the next version, without the member named `leaving` and with `joining` added.
    pub fn replace(&self, leaving: Option<&str>, joining: Option<Member>) -> Group {
        let remaining = self.members.iter();
        let remaining = remaining.filter(|member| Some(member.name.as_str()) != leaving);
        Group {
            version: self.version + 1,
            members: remaining.cloned().chain(joining).collect(),
            previous: match self.is_settled() {
                true => self.members.clone(),
                false => self.previous.clone(),
            },
            tolerated_losses: self.tolerated_losses,
        }
    }

    /// Returns the next version, with the same members: the one that left without a replacement has
    /// handed over its records.
    pub fn settle(&self) -> Group {
        Group {
            version: self.version + 1,
            previous: self.members.clone(),
            ..self.clone()
        }
    }

    /// Whether the members hold all records together. False from the time when a member leaves
    /// without a replacement until it has handed over its records.
    pub fn is_settled(&self) -> bool {
        self.members.len() >= self.previous.len()
    }

    /// Whether the values are in the range that instances write: further versions can follow, and
    /// there are members without duplicates.
    pub fn is_valid(&self) -> bool {
        let names: BTreeSet<&String> =
            self.members.iter().map(|member| &member.name).collect();
        (1..=MAX_VERSION).contains(&self.version)
            && (1..=MAX_MEMBERS).contains(&self.members.len())
            && names.len() == self.members.len()
            && self.previous.len() <= MAX_MEMBERS
            && self.tolerated_losses <= MAX_MEMBERS
    }

    /// Whether an instance is a member of this version.
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }

    /// Whether the group has fewer members than it needs to survive the tolerated losses.
    pub fn has_room(&self) -> bool {
        self.members.len() < full_size(self.tolerated_losses)
    }

    /// Number of members whose responses make a decision. It is a majority, so that any two
    /// quorums share a member.
    pub fn quorum(&self) -> usize {
        quorum(self.members.len())
    }

    /// Number of members that must vote for the group to change: those of the next version copy
    /// their records, so they must hold all of them together.
    ///
    /// Until a member that left has handed over its records, some have a copy on only one of those
    /// that stay.
    pub fn quorum_to_change(&self) -> usize {
        match self.is_settled() {
            true => read_quorum(self.members.len(), self.tolerated_losses),
            false => self.quorum(),
        }
    }

    /// Number of copies that a finished turn needs to survive the tolerated losses, and to be
    /// on at least one member of any quorum that a reader contacts.
    pub fn copies(&self) -> usize {
        copies(self.members.len(), self.tolerated_losses)
    }
}

impl Group {
    /// Number of members that must lack a turn to prove that it was never stored, or has expired.
    ///
    /// In a group of full size so many that the others are fewer than the copies of a turn. In a
    /// smaller one all of them: members left without a replacement, and until they have handed
    /// their records over, a turn may have a single copy among those that stay.
    pub fn misses_to_prove_absence(&self) -> usize {
        match self.has_room() {
            true => self.members.len(),
            false => self.members.len() + 1 - self.copies(),
        }
    }
}

fn full_size(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

fn quorum(members: usize) -> usize {
    members / 2 + 1
}

/// See [`Group::copies`].
fn copies(members: usize, tolerated_losses: usize) -> usize {
    let copies_for_readers = (members + 1).saturating_sub(quorum(members));
    let copies_for_losses = tolerated_losses + 1;
    copies_for_readers.max(copies_for_losses).min(members)
}

/// Number of members that hold all records together: at least one of them belongs to any quorum, and
/// one has a copy of any turn. In a group of two a single member does.
fn read_quorum(members: usize, tolerated_losses: usize) -> usize {
    let holders = quorum(members).min(copies(members, tolerated_losses));
    (members + 1).saturating_sub(holders)
}

/// Role of an instance in the newest group that it knows.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum MembershipState {
    /// Not a member. It may take the place of one that fails.
    Spare,
    /// A member that does not hold all records yet and must not vote.
    CatchingUp(CatchUp),
    /// A member that holds all records and votes.
    Voting,
}

impl MembershipState {
    /// Returns the state of the instance `name`, whose votes so far are `votes`, in a group that
    /// it has just received.
    ///
    /// A member that was complete in the previous version is complete in this one too: what
    /// others have written since is held by a quorum without it.
    pub fn for_new_group(
        group: &Group,
        name: &str,
        votes: VoteHistory,
    ) -> MembershipState {
        let complete_version = votes.complete_version;
        let was_member = group.previous.iter().any(|member| member.name == name);
        match group.contains(name) {
            false => MembershipState::Spare,
            true if complete_version == Some(group.version) => MembershipState::Voting,
            true if was_member && complete_version == Some(group.version - 1) => {
                MembershipState::Voting
            }
            true => MembershipState::CatchingUp(CatchUp::plan(
                group,
                name,
                votes.may_have_voted(group.version),
            )),
        }
    }
}

/// What an instance knows about its own votes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct VoteHistory {
    /// Newest version of the group for which it held all records, and so could vote.
    pub complete_version: Option<u64>,
    /// All its votes in this version and later ones are recorded on its disk: the disk was last
    /// lost, if ever, before this version existed. `None` if that is unknown.
    pub recorded_from: Option<u64>,
}

impl VoteHistory {
    /// Whether the instance may have voted in a version of the group, although its disk does not
    /// show it.
    pub fn may_have_voted(&self, version: u64) -> bool {
        let is_recorded = self.recorded_from.is_some_and(|from| from <= version);
        !is_recorded || self.complete_version >= Some(version)
    }
}

/// Tracks what a member whose disk lacks records must copy before it votes.
///
/// If it may have voted in this version before its disk was lost, it copies all records of a
/// quorum of the other members. A member that has not voted in this version, or was not a member
/// of the previous one, copies those of a read quorum of the previous version. So does any member
/// while the group is not settled. Any such quorum holds a copy of every earlier record.
///
/// A member that has just joined thus waits for no other one that catches up, so that two of them
/// never wait for each other.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CatchUp {
    sources: Vec<Member>,
    requirements: Vec<CopyRequirement>,
    copied: BTreeSet<String>,
}

/// At least `needed` of the instances `names` must be copied.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct CopyRequirement {
    names: BTreeSet<String>,
    needed: usize,
}

impl CopyRequirement {
    /// Requires `needed` of `members`, not counting the instance `name`, or all of the others if
    /// these are fewer.
    fn new(members: &[Member], name: &str, needed: usize) -> CopyRequirement {
        let others = members.iter().filter(|member| member.name != name);
        let names: BTreeSet<String> = others.map(|member| member.name.clone()).collect();
        let needed = needed.min(names.len());
        CopyRequirement { names, needed }
    }
}

impl CatchUp {
    /// Plans the copies that the instance `name` needs. `may_have_voted` says whether it may have
    /// voted in this version of the group.
    pub fn plan(group: &Group, name: &str, may_have_voted: bool) -> CatchUp {
        let was_member = group.previous.iter().any(|member| member.name == name);
        let mut requirements = Vec::new();
        if may_have_voted {
            let needed = group.quorum();
            requirements.push(CopyRequirement::new(&group.members, name, needed));
        }
        if !may_have_voted || !was_member || !group.is_settled() {
            let needed = read_quorum(group.previous.len(), group.tolerated_losses);
            requirements.push(CopyRequirement::new(&group.previous, name, needed));
        }
        let mut sources: Vec<Member> = Vec::new();
        for member in group.members.iter().chain(&group.previous) {
            let is_known = sources.iter().any(|source| source.name == member.name);
            if member.name != name && !is_known {
                sources.push(member.clone());
            }
        }
        CatchUp {
            sources,
            requirements,
            copied: BTreeSet::new(),
        }
    }

    /// Instances whose records have not been copied yet, present members first.
    pub fn missing(&self) -> Vec<Member> {
        let sources = self.sources.iter();
        sources
            .filter(|member| !self.copied.contains(&member.name))
            .cloned()
            .collect()
    }

    /// Records that all records of an instance have been copied. That instance must have held
    /// all records of its group itself.
    pub fn mark_copied(&mut self, source: &str) {
        self.copied.insert(source.to_string());
    }

    /// Whether enough instances have been copied for this one to vote.
    pub fn is_complete(&self) -> bool {
        let mut requirements = self.requirements.iter();
        requirements.all(|requirement| {
            let copied = requirement.names.intersection(&self.copied);
            copied.count() >= requirement.needed
        })
    }
}
