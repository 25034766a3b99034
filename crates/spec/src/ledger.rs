//! Budgets kept by a group of instances with disks: reservations by a quorum, lost disks and
//! a change of the group.
//!
//! The decisions are the product's: `BudgetCheck` decides turns, `Group` and `MembershipState` who votes.

use std::collections::BTreeSet;
use std::sync::LazyLock;

use jayreel_ledger::{
    BudgetCheck, ChargeView, Decision, Group, Member, MembershipState, Phase, turn_digest,
};

use crate::quota_search::Model;

/// Instances: three members and one that joins.
const INSTANCES: usize = 4;

/// Tokens of each turn.
const TURN_TOKENS: u32 = 1;

/// A rule that is left out, to show that the search reaches the cases that need it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// Charges are not read again when another turn is pending.
    NoReread,
    /// A member whose disk was lost votes without copying.
    NoCopy,
    /// A member goes on answering for a version that it knows to be closed.
    OldVersionAnswered,
    /// A member whose disk was lost takes an older version of the group for the newest.
    StaleGroup,
    /// A member whose disk was lost copies while a turn that it answered before is still
    /// being decided.
    NoCopyDelay,
}

/// What a search covers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Scope {
    /// Turns of the program. Each is decided by an instance of its own.
    pub turns: u8,
    /// Tokens that the program may use.
    pub budget_tokens: u64,
    /// Disks that are lost.
    pub wipes: u8,
    /// Whether answers of members may be lost.
    pub has_losses: bool,
    /// Whether an instance joins in the place of another.
    pub has_change: bool,
    /// The rule that is left out.
    pub fault: Option<Fault>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Instance {
    facts: BTreeSet<u8>,
    version: u64,
    /// Newest version for which the facts were complete.
    complete: Option<u64>,
    standing: MembershipState,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Progress {
    Reserving,
    Rereading,
    Admitted,
    Refused,
}

/// The instance that decides a turn.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Decider {
    progress: Progress,
    version: u64,
    answered: BTreeSet<usize>,
    seen: BTreeSet<u8>,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    scope: Scope,
    /// Version of the group in the platform's store.
    version: u64,
    instances: Vec<Instance>,
    deciders: Vec<Decider>,
    wipes_left: u8,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum Event {
    /// The question of a turn reaches a member, and the answer arrives or is lost.
    Ask {
        /// The turn.
        turn: u8,
        /// The member.
        at: usize,
        /// Whether the answer is lost.
        is_lost: bool,
    },
    /// The time for deciding a turn is over, or its instance learns the newest group. It
    /// begins anew.
    Restart(u8),
    /// The group changes in the store.
    Change,
    /// An instance learns the group in the store.
    Learn(usize),
    /// A member copies the facts of another.
    Copy {
        /// The member that lacks facts.
        to: usize,
        /// The other.
        from: usize,
    },
    /// A disk is lost. The instance starts again and reads the group, or an older one.
    Wipe {
        /// The instance.
        at: usize,
        /// Whether it reads the first version.
        is_stale: bool,
    },
}

fn name(index: usize) -> String {
    format!("m{index}")
}

fn member(index: usize) -> Member {
    Member {
        name: name(index),
        availability_zone: name(index),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

fn index(member: &Member) -> usize {
    (0..INSTANCES)
        .find(|index| name(*index) == member.name)
        .unwrap_or(INSTANCES)
}

/// The two versions of the group.
static GROUPS: LazyLock<[Group; 2]> = LazyLock::new(|| {
    let members: Vec<Member> = (0..INSTANCES - 1).map(member).collect();
    let first = Group::first(&members, 1);
    let joining = member(INSTANCES - 1);
    let second = first.replace(Some(&name(0)), Some(joining));
    [first, second]
});

/// Digests of the turns' identifiers.
static DIGESTS: LazyLock<Vec<u64>> = LazyLock::new(|| {
    (0..4)
        .map(|turn: u8| turn_digest(&turn.to_string()))
        .collect()
});

fn group(version: u64) -> &'static Group {
    &GROUPS[usize::from(version > 1)]
}

impl World {
    /// Three members that vote, a spare, and turns that are about to be reserved.
    pub fn new(scope: Scope) -> World {
        let instance = |index: usize| Instance {
            facts: BTreeSet::new(),
            version: 1,
            complete: group(1).contains(&name(index)).then_some(1),
            standing: match group(1).contains(&name(index)) {
                true => MembershipState::Voting,
                false => MembershipState::Spare,
            },
        };
        let decider = Decider {
            progress: Progress::Reserving,
            version: 1,
            answered: BTreeSet::new(),
            seen: BTreeSet::new(),
        };
        World {
            scope,
            instances: (0..INSTANCES).map(instance).collect(),
            deciders: vec![decider; usize::from(scope.turns)],
            version: 1,
            wipes_left: scope.wipes,
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.scope.fault == Some(fault)
    }

    fn ask(&mut self, turn: u8, at: usize, is_lost: bool) {
        let answers_old = self.has(Fault::OldVersionAnswered);
        let decider = &mut self.deciders[usize::from(turn)];
        let instance = &mut self.instances[at];
        let is_known = match answers_old {
            true => decider.version <= instance.version,
            false => decider.version == instance.version,
        };
        if !is_known || (instance.standing == MembershipState::Spare && !answers_old) {
            return;
        }
        if decider.progress == Progress::Reserving {
            instance.facts.insert(turn);
        }
        let votes = instance.standing == MembershipState::Voting || answers_old;
        if !votes || is_lost {
            return;
        }
        decider.seen.extend(&instance.facts);
        decider.answered.insert(at);
        if decider.answered.len() >= group(decider.version).quorum() {
            self.decide(turn);
        }
    }

    fn decide(&mut self, turn: u8) {
        let skips_reread = self.has(Fault::NoReread);
        let budget_tokens = self.scope.budget_tokens;
        let decider = &mut self.deciders[usize::from(turn)];
        let mut tally = BudgetCheck::new(&turn.to_string());
        let charges: Vec<ChargeView> = decider
            .seen
            .iter()
            .map(|seen| ChargeView {
                turn: DIGESTS[usize::from(*seen)],
                tokens: TURN_TOKENS,
                is_settled: false,
            })
            .collect();
        tally.add(&charges);
        let phase = match decider.progress {
            Progress::Reserving if !skips_reread => Phase::Reserved,
            _ => Phase::Reread,
        };
        decider.progress = match tally.decide(phase, budget_tokens, TURN_TOKENS) {
            Decision::Admit => Progress::Admitted,
            Decision::Exhausted => Progress::Refused,
            Decision::Reread => {
                decider.answered.clear();
                Progress::Rereading
            }
        };
    }

    fn learn(&mut self, at: usize, version: u64) {
        let votes_at_once = self.has(Fault::NoCopy);
        let instance = &mut self.instances[at];
        if version <= instance.version {
            return;
        }
        instance.version = version;
        let learned =
            MembershipState::for_new_group(group(version), &name(at), instance.complete);
        instance.standing = match learned {
            MembershipState::CatchingUp(_) if votes_at_once => MembershipState::Voting,
            standing => standing,
        };
        if instance.standing == MembershipState::Voting {
            instance.complete = Some(version);
        }
    }

    fn copy(&mut self, to: usize, from: usize) {
        let version = self.instances[to].version;
        self.learn(from, version);
        let source = self.instances[from].clone();
        if source.version > version {
            self.learn(to, source.version);
            return;
        }
        let complete = source.complete;
        if complete.is_none_or(|complete| complete + 1 < source.version) {
            return;
        }
        let instance = &mut self.instances[to];
        instance.facts.extend(&source.facts);
        if let MembershipState::CatchingUp(progress) = &mut instance.standing {
            progress.mark_copied(&name(from));
            if progress.is_complete() {
                instance.standing = MembershipState::Voting;
                instance.complete = Some(version);
            }
        }
    }

    fn wipe(&mut self, at: usize, is_stale: bool) {
        self.wipes_left -= 1;
        let read = if is_stale { 1 } else { self.version };
        let instance = &mut self.instances[at];
        instance.facts.clear();
        instance.complete = None;
        instance.version = 0;
        self.learn(at, read);
    }

    /// Members copy only after all turns that they answered before are decided or given up.
    fn may_copy(&self, at: usize) -> bool {
        let mut deciders = self.deciders.iter();
        let is_free =
            !deciders.any(|decider| decider.is_open() && decider.answered.contains(&at));
        is_free || self.has(Fault::NoCopyDelay)
    }
}

impl Decider {
    fn is_open(&self) -> bool {
        matches!(self.progress, Progress::Reserving | Progress::Rereading)
    }
}

impl Model for World {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (turn, decider) in self.deciders.iter().enumerate() {
            let turn = u8::try_from(turn).unwrap_or(u8::MAX);
            if !decider.is_open() {
                continue;
            }
            for at in group(decider.version).members.iter().map(index) {
                if decider.answered.contains(&at) {
                    continue;
                }
                let ask = |is_lost| Event::Ask { turn, at, is_lost };
                events.push(ask(false));
                if self.scope.has_losses {
                    events.push(ask(true));
                }
            }
            if decider.version < self.version || !decider.answered.is_empty() {
                events.push(Event::Restart(turn));
            }
        }
        if self.scope.has_change && self.version == 1 {
            events.push(Event::Change);
        }
        for (at, instance) in self.instances.iter().enumerate() {
            if instance.version < self.version {
                events.push(Event::Learn(at));
            }
            if let (MembershipState::CatchingUp(progress), true) =
                (&instance.standing, self.may_copy(at))
            {
                let sources = progress.missing();
                let copy = |from| Event::Copy { to: at, from };
                events.extend(sources.iter().map(index).map(copy));
            }
            if self.wipes_left > 0 && instance.complete.is_some() {
                events.push(Event::Wipe {
                    at,
                    is_stale: false,
                });
                if self.version > 1 && self.has(Fault::StaleGroup) {
                    events.push(Event::Wipe { at, is_stale: true });
                }
            }
        }
        events
    }

    fn apply(&self, event: &Event) -> World {
        let mut next = self.clone();
        match event {
            Event::Ask { turn, at, is_lost } => next.ask(*turn, *at, *is_lost),
            Event::Restart(turn) => {
                next.deciders[usize::from(*turn)] = Decider {
                    progress: Progress::Reserving,
                    version: next.version,
                    answered: BTreeSet::new(),
                    seen: BTreeSet::new(),
                };
            }
            Event::Change => next.version = 2,
            Event::Learn(at) => next.learn(*at, next.version),
            Event::Copy { to, from } => next.copy(*to, *from),
            Event::Wipe { at, is_stale } => next.wipe(*at, *is_stale),
        }
        next
    }

    fn violation(&self) -> Option<String> {
        let admitted = self.deciders.iter();
        let admitted = admitted
            .filter(|d| d.progress == Progress::Admitted)
            .count();
        let tokens = u64::try_from(admitted).unwrap_or(u64::MAX) * u64::from(TURN_TOKENS);
        let budget_tokens = self.scope.budget_tokens;
        (tokens > budget_tokens)
            .then(|| format!("{tokens} tokens admitted of a budget of {budget_tokens}"))
    }
}
