//! The instances that vote on budgets and keep turns.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An instance with a disk.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where it answers.
    pub address: SocketAddr,
}

/// One membership. Each change makes a new version, written to the platform's store under
/// the condition that the version before is still the newest.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Group {
    /// Grows with each change.
    pub version: u64,
    /// Members of this version, each once.
    pub members: Vec<Member>,
    /// Members of the version before. Empty in the first one.
    pub previous: Vec<Member>,
    /// How many disks may be lost at once.
    pub tolerated_losses: usize,
}

impl Group {
    /// The first group, of some of the instances that are there. One member more than twice
    /// the tolerated losses suffices; availability zones take turns, so that the loss of one
    /// leaves a majority.
    pub fn first(candidates: &[Member], tolerated_losses: usize) -> Group {
        let mut candidates = candidates.to_vec();
        candidates.sort();
        let mut members: Vec<Member> = Vec::new();
        while members.len() < full_size(tolerated_losses) && !candidates.is_empty() {
            let in_zone = |zone: &str| {
                let zones = members.iter().map(|member| &member.availability_zone);
                zones.filter(|other| *other == zone).count()
            };
            let best = candidates.iter().enumerate().min_by_key(|(index, member)| {
                (in_zone(&member.availability_zone), *index)
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

    /// The next version, with `leaving` replaced, or left out if nobody joins.
    pub fn replace(&self, leaving: Option<&str>, joining: Option<Member>) -> Group {
        let staying = self.members.iter();
        let staying = staying.filter(|member| Some(member.name.as_str()) != leaving);
        Group {
            version: self.version + 1,
            members: staying.cloned().chain(joining).collect(),
            previous: self.members.clone(),
            tolerated_losses: self.tolerated_losses,
        }
    }

    /// Whether the instance of this name is a member.
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }

    /// Whether another member would make the group safer.
    pub fn has_room(&self) -> bool {
        self.members.len() < full_size(self.tolerated_losses)
    }

    /// Answers that make a decision: any two quorums share a member.
    pub fn quorum(&self) -> usize {
        quorum(self.members.len())
    }

    /// Copies that a finished turn needs: it outlives the tolerated losses, and a reader
    /// that asks a quorum meets one.
    pub fn copies(&self) -> usize {
        let readable = self.members.len() + 1 - self.quorum();
        let durable = self.tolerated_losses + 1;
        readable.max(durable).min(self.members.len())
    }
}

fn full_size(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

fn quorum(members: usize) -> usize {
    members / 2 + 1
}

/// Whether an instance may answer for a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum MembershipState {
    /// It is no member.
    Spare,
    /// It is a member, but lacks facts.
    CatchingUp(CatchUp),
    /// It is a member.
    Voting,
}

impl MembershipState {
    /// The standing of the instance `name` when it learns a group. `complete_version` is the
    /// newest version for which its facts were complete.
    ///
    /// A member that was complete in the version before stays complete: what others wrote
    /// since has a quorum without it.
    pub fn for_new_group(
        group: &Group,
        name: &str,
        complete_version: Option<u64>,
    ) -> MembershipState {
        let was_member = group.previous.iter().any(|member| member.name == name);
        match group.contains(name) {
            false => MembershipState::Spare,
            true if complete_version == Some(group.version) => MembershipState::Voting,
            true if was_member && complete_version == Some(group.version - 1) => {
                MembershipState::Voting
            }
            true => MembershipState::CatchingUp(CatchUp::plan(group, name)),
        }
    }
}

/// The progress of a member that does not hold all facts yet: its disk is new.
///
/// It copies the facts of a quorum of the other members, since it may have voted in this
/// version before its disk was lost. If it was no member of the version before, it also
/// copies those of a quorum of that one. Each earlier fact has a copy in any such quorum.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CatchUp {
    sources: Vec<Member>,
    requirements: Vec<Requirement>,
    copied: BTreeSet<String>,
}

/// So many of these instances must be copied.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Requirement {
    names: BTreeSet<String>,
    needed: usize,
}

impl Requirement {
    fn of(members: &[Member], name: &str) -> Requirement {
        let others = members.iter().filter(|member| member.name != name);
        let names: BTreeSet<String> = others.map(|member| member.name.clone()).collect();
        let needed = quorum(members.len()).min(names.len());
        Requirement { names, needed }
    }
}

impl CatchUp {
    /// Plans the copies for the instance `name`.
    pub fn plan(group: &Group, name: &str) -> CatchUp {
        let was_member = group.previous.iter().any(|member| member.name == name);
        let mut requirements = vec![Requirement::of(&group.members, name)];
        if !was_member {
            requirements.push(Requirement::of(&group.previous, name));
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

    /// Instances to copy from that have not been copied yet.
    pub fn missing(&self) -> Vec<Member> {
        let sources = self.sources.iter();
        sources
            .filter(|member| !self.copied.contains(&member.name))
            .cloned()
            .collect()
    }

    /// All facts of an instance that itself held everything are copied.
    pub fn record(&mut self, source: &str) {
        self.copied.insert(source.to_string());
    }

    /// Whether the instance may vote.
    pub fn is_complete(&self) -> bool {
        let mut requirements = self.requirements.iter();
        requirements.all(|requirement| {
            let copied = requirement.names.intersection(&self.copied);
            copied.count() >= requirement.needed
        })
    }
}
