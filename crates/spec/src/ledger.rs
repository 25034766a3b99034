//! Model of the budget ledger, which a group of instances keeps on their disks.
//!
//! A turn is admitted once a quorum of the group has recorded its reservation. The model
//! covers concurrent turns, lost responses, lost disks, a member lost for good and one change of
//! the group. The code under test is that of `jayreel-ledger`: `BudgetCheck` admits turns, `Group`
//! and `MembershipState` determine which instances vote, and `Group` when it may change.

use std::collections::BTreeSet;
use std::sync::LazyLock;

use jayreel_ledger::{
    BudgetCheck, ChargeView, Decision, Group, Member, MembershipState, Phase,
    VoteHistory, turn_digest,
};

use crate::quota_search::Model;

/// Number of instances: up to three initial members, and a spare that may join.
const INSTANCES: usize = 4;

/// Tokens that each turn reserves.
const TURN_TOKENS: u32 = 1;

/// A protocol rule to break, to show that the search reaches the states that need it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// The charges are not read a second time when another turn is pending.
    NoReread,
    /// A member that lost its disk votes before it has copied the charges of the others.
    VoteWithoutCopy,
    /// A member accepts a request for an older version of the group than the one it knows.
    OldVersionAccepted,
    /// A member that lost its disk may read the first version of the group although the
    /// store has the second.
    StaleGroup,
    /// A member that lost its disk copies charges while a turn that it responded to before the
    /// loss is still being decided.
    NoCopyDelay,
}

/// A change of the group.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum GroupChange {
    /// The spare takes the place of the first member.
    Replace,
    /// The first member leaves, and two are left.
    Leave,
    /// The spare joins a group of two.
    JoinPair,
    /// The spare takes the place of the first of two members.
    ReplaceInPair,
}

/// Bounds of a search.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Scope {
    /// Number of concurrent turns. Each is decided by its own coordinator.
    pub turns: u8,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// How many times an instance may lose its disk.
    pub disk_losses: u8,
    /// Whether the responses of members may be lost.
    pub responses_may_be_lost: bool,
    /// How the group changes, if it does.
    pub change: Option<GroupChange>,
    /// Whether the first member may be lost for good.
    pub member_may_be_lost: bool,
    /// Whether a state from which no order of messages leads to a voting quorum is a violation.
    /// The losses must be within the tolerance of the group.
    pub requires_progress: bool,
    /// The rule to break, if any.
    pub fault: Option<Fault>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Instance {
    /// Turns whose reservations are on this disk.
    charged_turns: BTreeSet<u8>,
    /// Newest version of the group that the instance knows.
    version: u64,
    /// What the disk shows about its votes.
    votes: VoteHistory,
    membership: MembershipState,
    /// Lost for good.
    is_lost: bool,
}

/// Progress of the decision on a turn.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Progress {
    Reserving,
    Rereading,
    Admitted,
    Refused,
}

/// Decides one turn: collects the responses of a quorum and checks them against the budget.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Coordinator {
    progress: Progress,
    /// Version of the group that the requests are sent to.
    version: u64,
    /// Members that responded in this phase.
    responded: BTreeSet<usize>,
    /// Turns with a reservation in one of the responses so far.
    reported_turns: BTreeSet<u8>,
}

/// State of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    scope: Scope,
    /// Version of the group in the platform's store.
    version: u64,
    instances: Vec<Instance>,
    coordinators: Vec<Coordinator>,
    disk_losses_left: u8,
}

/// A transition of the model.
#[derive(Clone, Debug)]
pub enum Event {
    /// A member processes a turn's request, and its response arrives or is lost.
    RequestFromMember {
        /// The turn to decide.
        turn: u8,
        /// The member that receives the request.
        at: usize,
        /// Whether the response is lost.
        is_lost: bool,
    },
    /// The decision on a turn starts again in the newest group, after a timeout or because
    /// the group has changed.
    Restart(u8),
    /// The second version of the group is written to the platform's store.
    ChangeGroup,
    /// The first member is lost for good.
    LoseMember,
    /// An instance reads the group from the store.
    ReadGroup(usize),
    /// A member copies the charges of another one.
    Copy {
        /// The member that lacks charges.
        to: usize,
        /// The member from which it copies.
        from: usize,
    },
    /// An instance loses its disk, starts again and reads the group from the store.
    LoseDisk {
        /// The instance that loses its disk.
        at: usize,
        /// Whether it reads the first version of the group although there is a second one.
        /// Occurs only with [`Fault::StaleGroup`].
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

/// The initial version of the group.
static FIRST: LazyLock<Group> = LazyLock::new(|| {
    let members: Vec<Member> = (0..INSTANCES - 1).map(member).collect();
    Group::first(&members, 1)
});

/// The version in which the spare has replaced the first member.
static REPLACED: LazyLock<Group> =
    LazyLock::new(|| FIRST.replace(Some(&name(0)), Some(member(INSTANCES - 1))));

/// The version in which the first member has left.
static REDUCED: LazyLock<Group> = LazyLock::new(|| FIRST.replace(Some(&name(0)), None));

/// The initial version of a group of two.
static PAIR: LazyLock<Group> = LazyLock::new(|| Group {
    version: 1,
    ..FIRST.replace(Some(&name(2)), None).settle()
});

/// The version in which the spare has joined the group of two.
static JOINED_PAIR: LazyLock<Group> =
    LazyLock::new(|| PAIR.replace(None, Some(member(INSTANCES - 1))));

/// The version in which the spare has replaced the first of the two members.
static REPLACED_IN_PAIR: LazyLock<Group> =
    LazyLock::new(|| PAIR.replace(Some(&name(0)), Some(member(INSTANCES - 1))));

/// Digests of the turn identifiers, by the number of the turn.
static DIGESTS: LazyLock<Vec<u64>> = LazyLock::new(|| {
    (0..4)
        .map(|turn: u8| turn_digest(&turn.to_string()))
        .collect()
});

impl Scope {
    fn group(&self, version: u64) -> &'static Group {
        match self.change {
            Some(GroupChange::Replace) if version > 1 => &REPLACED,
            Some(GroupChange::Leave) if version > 1 => &REDUCED,
            Some(GroupChange::JoinPair) if version > 1 => &JOINED_PAIR,
            Some(GroupChange::ReplaceInPair) if version > 1 => &REPLACED_IN_PAIR,
            Some(GroupChange::JoinPair | GroupChange::ReplaceInPair) => &PAIR,
            _ => &FIRST,
        }
    }
}

impl World {
    /// The initial state: voting members, a spare, and turns without reservations.
    pub fn new(scope: Scope) -> World {
        let first = scope.group(1);
        let instance = |index: usize| Instance {
            charged_turns: BTreeSet::new(),
            version: 1,
            votes: VoteHistory {
                complete_version: first.contains(&name(index)).then_some(1),
                recorded_from: Some(1),
            },
            membership: match first.contains(&name(index)) {
                true => MembershipState::Voting,
                false => MembershipState::Spare,
            },
            is_lost: false,
        };
        let coordinator = Coordinator {
            progress: Progress::Reserving,
            version: 1,
            responded: BTreeSet::new(),
            reported_turns: BTreeSet::new(),
        };
        World {
            scope,
            instances: (0..INSTANCES).map(instance).collect(),
            coordinators: vec![coordinator; usize::from(scope.turns)],
            version: 1,
            disk_losses_left: scope.disk_losses,
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.scope.fault == Some(fault)
    }

    fn request_from_member(&mut self, turn: u8, at: usize, is_lost: bool) {
        let accepts_old_version = self.has(Fault::OldVersionAccepted);
        let coordinator = &mut self.coordinators[usize::from(turn)];
        let instance = &mut self.instances[at];
        let is_known = match accepts_old_version {
            true => coordinator.version <= instance.version,
            false => coordinator.version == instance.version,
        };
        if !is_known
            || (instance.membership == MembershipState::Spare && !accepts_old_version)
            || instance.is_lost
        {
            return;
        }
        if coordinator.progress == Progress::Reserving {
            instance.charged_turns.insert(turn);
        }
        let votes = instance.membership == MembershipState::Voting || accepts_old_version;
        if !votes || is_lost {
            return;
        }
        coordinator.reported_turns.extend(&instance.charged_turns);
        coordinator.responded.insert(at);
        if coordinator.responded.len() >= self.scope.group(coordinator.version).quorum() {
            self.decide(turn);
        }
    }

    fn decide(&mut self, turn: u8) {
        let skips_reread = self.has(Fault::NoReread);
        let budget_tokens = self.scope.budget_tokens;
        let coordinator = &mut self.coordinators[usize::from(turn)];
        let mut budget_check = BudgetCheck::new(&turn.to_string());
        let charges: Vec<ChargeView> = coordinator
            .reported_turns
            .iter()
            .map(|other| ChargeView {
                turn: DIGESTS[usize::from(*other)],
                tokens: TURN_TOKENS,
                is_settled: false,
            })
            .collect();
        budget_check.add(&charges);
        let phase = match coordinator.progress {
            Progress::Reserving if !skips_reread => Phase::Reserved,
            _ => Phase::Reread,
        };
        coordinator.progress =
            match budget_check.decide(phase, budget_tokens, TURN_TOKENS) {
                Decision::Admit => Progress::Admitted,
                Decision::Exhausted => Progress::Refused,
                Decision::Reread => {
                    coordinator.responded.clear();
                    Progress::Rereading
                }
            };
    }

    fn learn_group(&mut self, at: usize, version: u64) {
        let votes_at_once = self.has(Fault::VoteWithoutCopy);
        let instance = &mut self.instances[at];
        if version <= instance.version || instance.is_lost {
            return;
        }
        instance.version = version;
        let learned = MembershipState::for_new_group(
            self.scope.group(version),
            &name(at),
            instance.votes,
        );
        instance.membership = match learned {
            MembershipState::CatchingUp(_) if votes_at_once => MembershipState::Voting,
            membership => membership,
        };
        if instance.membership == MembershipState::Voting {
            instance.votes.complete_version = Some(version);
        }
    }

    fn copy(&mut self, to: usize, from: usize) {
        let version = self.instances[to].version;
        self.learn_group(from, version);
        let source = self.instances[from].clone();
        if source.version > version {
            self.learn_group(to, source.version);
            return;
        }
        let complete_version = source.votes.complete_version;
        let is_complete =
            complete_version.is_some_and(|complete| complete + 1 >= source.version);
        if !is_complete || source.is_lost {
            return;
        }
        let instance = &mut self.instances[to];
        instance.charged_turns.extend(&source.charged_turns);
        if let MembershipState::CatchingUp(progress) = &mut instance.membership {
            progress.mark_copied(&name(from));
            if progress.is_complete() {
                instance.membership = MembershipState::Voting;
                instance.votes.complete_version = Some(version);
            }
        }
    }

    fn lose_disk(&mut self, at: usize, is_stale: bool) {
        self.disk_losses_left -= 1;
        let read = if is_stale { 1 } else { self.version };
        let instance = &mut self.instances[at];
        instance.charged_turns.clear();
        instance.votes = VoteHistory {
            complete_version: None,
            recorded_from: Some(read + 1),
        };
        instance.version = 0;
        self.learn_group(at, read);
    }

    /// Number of members of the newest group that vote in it.
    fn voting(&self) -> usize {
        let members = self.scope.group(self.version).members.iter().map(index);
        let instances = members.map(|at| &self.instances[at]);
        let voting = instances.filter(|instance| {
            instance.membership == MembershipState::Voting
                && instance.version == self.version
                && !instance.is_lost
        });
        voting.count()
    }

    /// Whether the group may change now.
    fn may_change_group(&self) -> bool {
        self.scope.change.is_some()
            && self.version == 1
            && self.voting() >= self.scope.group(1).quorum_to_change()
    }

    /// Whether a quorum of the newest group votes once all instances have read the group and copied
    /// whatever they can, and the group has changed. These steps never prevent each other, so their
    /// order does not matter.
    fn leads_to_quorum(&self) -> bool {
        let mut world = self.clone();
        loop {
            let before = world.clone();
            if world.may_change_group() {
                world.version = 2;
            }
            for at in 0..INSTANCES {
                world.learn_group(at, world.version);
                let missing = match &world.instances[at].membership {
                    MembershipState::CatchingUp(progress) => progress.missing(),
                    MembershipState::Spare | MembershipState::Voting => Vec::new(),
                };
                for source in missing.iter().map(index) {
                    world.copy(at, source);
                }
            }
            if world == before {
                break;
            }
        }
        world.voting() >= self.scope.group(world.version).quorum()
    }

    /// Whether a member may copy charges: only after all turns that it responded to before are
    /// decided or were restarted.
    fn may_copy_charges(&self, at: usize) -> bool {
        let mut coordinators = self.coordinators.iter();
        let has_no_pending_responses = !coordinators.any(|coordinator| {
            coordinator.is_undecided() && coordinator.responded.contains(&at)
        });
        has_no_pending_responses || self.has(Fault::NoCopyDelay)
    }
}

impl Coordinator {
    fn is_undecided(&self) -> bool {
        matches!(self.progress, Progress::Reserving | Progress::Rereading)
    }
}

impl Model for World {
    type Event = Event;

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (turn, coordinator) in self.coordinators.iter().enumerate() {
            let turn = u8::try_from(turn).unwrap_or(u8::MAX);
            if !coordinator.is_undecided() {
                continue;
            }
            for at in self
                .scope
                .group(coordinator.version)
                .members
                .iter()
                .map(index)
            {
                if coordinator.responded.contains(&at) {
                    continue;
                }
                let request_from_member =
                    |is_lost| Event::RequestFromMember { turn, at, is_lost };
                events.push(request_from_member(false));
                if self.scope.responses_may_be_lost {
                    events.push(request_from_member(true));
                }
            }
            if coordinator.version < self.version || !coordinator.responded.is_empty() {
                events.push(Event::Restart(turn));
            }
        }
        if self.may_change_group() {
            events.push(Event::ChangeGroup);
        }
        if self.scope.member_may_be_lost && !self.instances[0].is_lost {
            events.push(Event::LoseMember);
        }
        for (at, instance) in self.instances.iter().enumerate() {
            if instance.version < self.version {
                events.push(Event::ReadGroup(at));
            }
            if let (MembershipState::CatchingUp(progress), true) =
                (&instance.membership, self.may_copy_charges(at))
            {
                let sources = progress.missing();
                let copy = |from| Event::Copy { to: at, from };
                events.extend(sources.iter().map(index).map(copy));
            }
            if self.disk_losses_left > 0 && instance.votes.complete_version.is_some() {
                events.push(Event::LoseDisk {
                    at,
                    is_stale: false,
                });
                if self.version > 1 && self.has(Fault::StaleGroup) {
                    events.push(Event::LoseDisk { at, is_stale: true });
                }
            }
        }
        events
    }

    fn apply(&self, event: &Event) -> World {
        let mut next = self.clone();
        match event {
            Event::RequestFromMember { turn, at, is_lost } => {
                next.request_from_member(*turn, *at, *is_lost)
            }
            Event::Restart(turn) => {
                next.coordinators[usize::from(*turn)] = Coordinator {
                    progress: Progress::Reserving,
                    version: next.version,
                    responded: BTreeSet::new(),
                    reported_turns: BTreeSet::new(),
                };
            }
            Event::ChangeGroup => next.version = 2,
            Event::LoseMember => next.instances[0].is_lost = true,
            Event::ReadGroup(at) => next.learn_group(*at, next.version),
            Event::Copy { to, from } => next.copy(*to, *from),
            Event::LoseDisk { at, is_stale } => next.lose_disk(*at, *is_stale),
        }
        next
    }

    fn violation(&self) -> Option<String> {
        if self.scope.requires_progress && !self.leads_to_quorum() {
            return Some("no order of messages leads to a voting quorum".to_string());
        }
        let admitted = self.coordinators.iter();
        let admitted = admitted
            .filter(|d| d.progress == Progress::Admitted)
            .count();
        let tokens = u64::try_from(admitted).unwrap_or(u64::MAX) * u64::from(TURN_TOKENS);
        let budget_tokens = self.scope.budget_tokens;
        (tokens > budget_tokens)
            .then(|| format!("{tokens} tokens admitted of a budget of {budget_tokens}"))
    }
}
