//! Questions of an entry instance to the group of instances with disks.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::rc::Rc;

use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use jayreel_ledger::{
    BudgetCheck, Decision, EndpointCursor, Group, Member, MemberRequest, MemberResponse,
    Phase, QuotaRequest, Reservation, Settlement, SharedConfiguration, SharedEndpoints,
    TurnRecord, ZonePresence,
};
use jayreel_membership::rank;

use crate::clock::{now_ms, pause};
use crate::contact::GroupContact;
use crate::link::{LinkError, MemberClient};
use crate::membership::DECISION_TIMEOUT_MS;

/// Time for an answer, in milliseconds: several syncs of a disk, and the way there.
const ASK_TIMEOUT_MS: u64 = 250;

/// A reservation that failed sooner than this, in milliseconds, is tried once more: its
/// connections were broken, or the group has changed.
const QUICK_FAILURE_MS: u64 = 100;

/// Members are probed if no quorum has answered for this long, in milliseconds, so that an
/// instance without traffic stays ready.
const PROBE_SILENCE_MS: u64 = 150;

/// Time for an answer that needs no disk, in milliseconds.
const QUICK_TIMEOUT_MS: u64 = 120;

/// After this time without enough copies of a turn further members are asked, in
/// milliseconds: a few syncs.
const COPY_HEDGE_MS: u64 = 50;

/// A finished turn that has not enough copies after this time is given up, in milliseconds.
const COPY_TIMEOUT_MS: u64 = 1_200;

/// Pause before a finished turn is offered again to members that did not take it, in
/// milliseconds.
const COPY_RETRY_MS: u64 = 50;

/// How many members are asked for endpoints before the store is: one more than the nearest.
const SHARING_MEMBERS: usize = 2;

/// The group did not answer in a way that decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoQuorum;

/// A decision that took too long may rest on the answer of a member that has lost its disk
/// since and votes again without knowing it.
fn in_time(began_ms: u64, decision: Decision) -> Result<Decision, NoQuorum> {
    match now_ms() < began_ms + DECISION_TIMEOUT_MS {
        true => Ok(decision),
        false => Err(NoQuorum),
    }
}

/// Whether a turn exists.
#[derive(Debug)]
pub enum ChainLookup {
    /// Newest turn first, perhaps not to the beginning.
    Turns(Vec<TurnRecord>),
    /// No member can have it.
    Missing,
}

/// Connections to the members.
pub struct Members {
    availability_zone: String,
    group: RefCell<Rc<Group>>,
    links: Box<dyn MemberClient>,
    contact: RefCell<GroupContact>,
    /// A member knows a newer group than this instance.
    is_behind: Cell<bool>,
}

impl Members {
    /// The members as an instance of this availability zone sees them, before it knows a
    /// group.
    pub fn new(availability_zone: &str, links: Box<dyn MemberClient>) -> Members {
        Members {
            availability_zone: availability_zone.to_string(),
            group: RefCell::default(),
            links,
            contact: RefCell::default(),
            is_behind: Cell::new(false),
        }
    }

    /// The newest group known.
    pub fn group(&self) -> Rc<Group> {
        Rc::clone(&self.group.borrow())
    }

    /// Learns a group. Older ones are ignored. Members hear of it, so that they close the
    /// versions before.
    pub fn adopt(self: &Rc<Self>, group: Group) {
        if group.version <= self.group().version {
            return;
        }
        log::info!(
            "event=group_adopted version={} members={}",
            group.version,
            group.members.len()
        );
        *self.group.borrow_mut() = Rc::new(group);
        self.is_behind.set(false);
        for member in &self.group().members {
            self.tell_group(member);
        }
    }

    /// Whether a quorum answers, and no member has told of a newer group.
    pub fn is_group_current(&self, now_ms: u64) -> bool {
        self.group().version > 0
            && self.contact().has_quorum(now_ms)
            && !self.is_behind.get()
    }

    /// Tells a member the newest group.
    fn tell_group(self: &Rc<Self>, member: &Member) {
        let group = self.group();
        let ask = MemberRequest::AdoptGroup(Group::clone(&group));
        drop(self.spawn_ask(group.version, member, ask, QUICK_TIMEOUT_MS));
    }

    /// Members, those of the own availability zone first. The order of the others depends
    /// on the key, so that load spreads.
    pub fn nearest_first(&self, key: &str) -> Vec<Member> {
        let mut members = self.group().members.clone();
        members.sort_by_cached_key(|member| {
            let is_remote = member.availability_zone != self.availability_zone;
            (is_remote, Reverse(rank(&member.name, key)))
        });
        members
    }

    /// Asks a member in one version of the group. Answers of different versions must not be
    /// counted together: a quorum of one need not share a member with a quorum of the other.
    async fn ask(
        &self,
        group_version: u64,
        member: &Member,
        ask: MemberRequest,
        timeout_ms: u64,
    ) -> Result<MemberResponse, LinkError> {
        let answer = self.links.ask(member, group_version, ask, timeout_ms).await;
        if answer.is_ok() {
            self.contact.borrow_mut().note_member(now_ms());
        }
        answer
    }

    /// The contact with the group at present.
    pub fn contact(&self) -> GroupContact {
        *self.contact.borrow()
    }

    /// The store answered this instance.
    pub(crate) fn note_store(&self) {
        self.contact.borrow_mut().note_store(now_ms());
    }

    /// When a caller may come back that needs the group, in milliseconds.
    pub fn retry_ms(&self) -> u64 {
        let group = self.group();
        let mut members = group.members.iter();
        let has_near_member =
            members.any(|member| member.availability_zone == self.availability_zone);
        self.contact().retry_ms(now_ms(), has_near_member)
    }

    /// Asks all members whether they vote, if no quorum has answered lately.
    pub async fn probe(self: &Rc<Self>) {
        let silence_ms = self.contact().silence_ms(now_ms());
        if silence_ms.is_some_and(|silence_ms| silence_ms < PROBE_SILENCE_MS) {
            return;
        }
        let group = self.group();
        let version = group.version;
        let mut answers: FuturesUnordered<_> = group
            .members
            .iter()
            .map(|member| {
                let asked =
                    self.ask(version, member, MemberRequest::Status, QUICK_TIMEOUT_MS);
                asked.map(move |answer| (member, answer))
            })
            .collect();
        let mut voting = 0;
        while let Some((member, answer)) = answers.next().await {
            match answer {
                Ok(MemberResponse::Status { group_version, .. })
                    if group_version < group.version =>
                {
                    self.tell_group(member);
                }
                Ok(MemberResponse::Status {
                    is_voting,
                    group_version,
                }) => {
                    if group_version > group.version {
                        self.is_behind.set(true);
                    }
                    voting += usize::from(is_voting);
                }
                _ => {}
            }
            if voting >= group.quorum() {
                self.contact.borrow_mut().note_quorum(now_ms());
                return;
            }
        }
    }

    /// Asks all members and collects charges until a quorum has answered.
    async fn charges(
        self: &Rc<Self>,
        ask: &MemberRequest,
        timeout_ms: u64,
        tally: &mut BudgetCheck,
    ) -> Result<(), NoQuorum> {
        let group = self.group();
        let answers: FuturesUnordered<_> = group
            .members
            .iter()
            .map(|member| self.spawn_ask(group.version, member, ask.clone(), timeout_ms))
            .collect();
        let mut answers = answers;
        let mut count = 0;
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(Ok(MemberResponse::Charges(charges))) => {
                    tally.add(&charges);
                    count += 1;
                }
                Ok(Ok(MemberResponse::GroupSuperseded(newer))) => {
                    self.adopt(newer);
                    return Err(NoQuorum);
                }
                _ => {}
            }
            if count >= group.quorum() {
                self.contact.borrow_mut().note_quorum(now_ms());
                return Ok(());
            }
        }
        Err(NoQuorum)
    }

    /// Asks in a task of its own: the question is completed also if nobody waits any more.
    fn spawn_ask(
        self: &Rc<Self>,
        group_version: u64,
        member: &Member,
        ask: MemberRequest,
        timeout_ms: u64,
    ) -> tokio::task::JoinHandle<Result<MemberResponse, LinkError>> {
        let (members, member) = (Rc::clone(self), member.clone());
        tokio::task::spawn_local(async move {
            members.ask(group_version, &member, ask, timeout_ms).await
        })
    }

    /// Reserves tokens for a turn. If the answer is not `Admit`, or there is none, the
    /// caller must settle the turn with 0 tokens.
    pub async fn reserve(
        self: &Rc<Self>,
        reservation: &Reservation,
        budget_tokens: u64,
    ) -> Result<Decision, NoQuorum> {
        let began_ms = now_ms();
        let result = self.reserve_once(reservation, budget_tokens).await;
        match result.is_err() && now_ms() < began_ms + QUICK_FAILURE_MS {
            true => self.reserve_once(reservation, budget_tokens).await,
            false => result,
        }
    }

    async fn reserve_once(
        self: &Rc<Self>,
        reservation: &Reservation,
        budget_tokens: u64,
    ) -> Result<Decision, NoQuorum> {
        let began_ms = now_ms();
        let mut tally = BudgetCheck::new(&reservation.turn);
        let ask = MemberRequest::Reserve(reservation.clone());
        let version = self.group().version;
        self.charges(&ask, ASK_TIMEOUT_MS, &mut tally).await?;
        let max_turn_tokens = reservation.max_turn_tokens;
        let decision = tally.decide(Phase::Reserved, budget_tokens, max_turn_tokens);
        if decision != Decision::Reread {
            return in_time(began_ms, decision);
        }
        let ask = MemberRequest::Charges(reservation.program.clone());
        self.charges(&ask, QUICK_TIMEOUT_MS, &mut tally).await?;
        match self.group().version == version {
            true => {
                let decision =
                    tally.decide(Phase::Reread, budget_tokens, max_turn_tokens);
                in_time(began_ms, decision)
            }
            false => Err(NoQuorum),
        }
    }

    /// Tells what a turn used in the end. If it gets lost the reservation stays, which
    /// charges more than was used, never less.
    pub fn settle(self: &Rc<Self>, settlement: &Settlement) {
        let group = self.group();
        for member in &group.members {
            let ask = MemberRequest::Settle(settlement.clone());
            drop(self.spawn_ask(group.version, member, ask, ASK_TIMEOUT_MS));
        }
    }

    /// Keeps a finished turn. Returns once enough members have it on disk. Repeating it
    /// does no harm, so it is tried again while the group changes or members are away.
    pub async fn keep_turn(self: &Rc<Self>, record: &TurnRecord) -> Result<(), NoQuorum> {
        let until_ms = now_ms() + COPY_TIMEOUT_MS;
        loop {
            let version = self.group().version;
            let kept = self.keep_once(record).await;
            if kept.is_ok() || now_ms() >= until_ms {
                return kept;
            }
            if self.group().version == version {
                pause(COPY_RETRY_MS).await;
            }
        }
    }

    async fn keep_once(self: &Rc<Self>, record: &TurnRecord) -> Result<(), NoQuorum> {
        let group = self.group();
        let key = record.previous.as_deref().unwrap_or(&record.turn);
        let mut candidates = self.nearest_first(key).into_iter();
        let copies = group.copies().max(1);
        let ask_next = |member: Member| {
            let ask = MemberRequest::StoreTurn(record.clone());
            self.spawn_ask(group.version, &member, ask, COPY_TIMEOUT_MS)
        };
        let mut pending = FuturesUnordered::new();
        pending.extend(candidates.by_ref().take(copies).map(&ask_next));
        let hedge = pause(COPY_HEDGE_MS);
        tokio::pin!(hedge);
        let mut is_hedged = false;
        let mut kept = 0;
        while kept < copies {
            tokio::select! {
                answer = pending.next() => match answer {
                    Some(Ok(Ok(MemberResponse::Done))) => kept += 1,
                    Some(Ok(Ok(MemberResponse::GroupSuperseded(newer)))) => {
                        self.adopt(newer);
                        return Err(NoQuorum);
                    }
                    Some(_) => pending.extend(candidates.next().map(&ask_next)),
                    None => return Err(NoQuorum),
                },
                () = &mut hedge, if !is_hedged => {
                    is_hedged = true;
                    pending.extend(candidates.by_ref().map(&ask_next));
                }
            }
        }
        Ok(())
    }

    /// Finds a turn and up to `max_chain_turns` - 1 of those before it. Tried again if the group has
    /// changed meanwhile.
    pub async fn chain(
        self: &Rc<Self>,
        turn: &str,
        max_chain_turns: u32,
    ) -> Result<ChainLookup, NoQuorum> {
        let version = self.group().version;
        match self.chain_once(turn, max_chain_turns).await {
            Err(NoQuorum) if self.group().version > version => {
                self.chain_once(turn, max_chain_turns).await
            }
            result => result,
        }
    }

    async fn chain_once(
        self: &Rc<Self>,
        turn: &str,
        max_chain_turns: u32,
    ) -> Result<ChainLookup, NoQuorum> {
        let group = self.group();
        let mut candidates = self.nearest_first(turn).into_iter();
        let ask_next = |member: Member| {
            let ask = MemberRequest::Chain {
                turn: turn.to_string(),
                max_chain_turns,
            };
            self.spawn_ask(group.version, &member, ask, ASK_TIMEOUT_MS)
        };
        let mut pending = FuturesUnordered::new();
        pending.extend(candidates.next().map(&ask_next));
        let hedge = pause(COPY_HEDGE_MS);
        tokio::pin!(hedge);
        let mut is_hedged = false;
        let mut without = 0;
        let readable = group.members.len() + 1 - group.copies().min(group.members.len());
        loop {
            tokio::select! {
                answer = pending.next() => match answer {
                    Some(Ok(Ok(MemberResponse::Chain(turns)))) if !turns.is_empty() => {
                        return Ok(ChainLookup::Turns(turns));
                    }
                    Some(Ok(Ok(MemberResponse::GroupSuperseded(newer)))) => {
                        self.adopt(newer);
                        return Err(NoQuorum);
                    }
                    Some(answer) => {
                        without += usize::from(matches!(answer, Ok(Ok(MemberResponse::Chain(_)))));
                        if without >= readable && !group.members.is_empty() {
                            return Ok(ChainLookup::Missing);
                        }
                        // One at a time: each that holds the turn sends all of its content.
                        pending.extend(candidates.next().map(&ask_next));
                    }
                    None => return Err(NoQuorum),
                },
                () = &mut hedge, if !is_hedged => {
                    is_hedged = true;
                    pending.extend(candidates.by_ref().map(&ask_next));
                }
            }
        }
    }

    /// Takes tokens of customers' rates from one member.
    pub async fn take_quota(
        self: &Rc<Self>,
        member: &Member,
        configuration_version: u64,
        wants: Vec<QuotaRequest>,
    ) -> Option<Vec<u32>> {
        let ask = MemberRequest::TakeQuota {
            configuration_version,
            wants,
        };
        let group_version = self.group().version;
        match self.ask(group_version, member, ask, QUICK_TIMEOUT_MS).await {
            Ok(MemberResponse::Quota(granted)) => Some(granted),
            Ok(MemberResponse::GroupSuperseded(newer)) => {
                self.adopt(newer);
                None
            }
            _ => None,
        }
    }

    /// The configuration and its freshness from the nearest member.
    pub async fn nearest_configuration(
        &self,
        known_revision: u64,
    ) -> Option<SharedConfiguration> {
        let member = self.nearest_first("configuration").into_iter().next()?;
        self.configuration_of(&member, known_revision).await
    }

    /// The configuration and its freshness from all members.
    pub async fn configuration(&self, known_revision: u64) -> Vec<SharedConfiguration> {
        let mut found = Vec::new();
        for member in self.nearest_first("configuration") {
            found.extend(self.configuration_of(&member, known_revision).await);
        }
        found
    }

    async fn configuration_of(
        &self,
        member: &Member,
        known_revision: u64,
    ) -> Option<SharedConfiguration> {
        let version = self.group().version;
        let ask = MemberRequest::Configuration { known_revision };
        match self.ask(version, member, ask, QUICK_TIMEOUT_MS).await {
            Ok(MemberResponse::Configuration(found)) => Some(found),
            _ => None,
        }
    }

    /// Tells the first member of the own availability zone that this instance is there. Returns
    /// how many entry instances of the zone are, or none if no member of the zone answers.
    pub async fn zone_presence(&self, instance: &str) -> Option<ZonePresence> {
        let member = self.nearest_first("presence").into_iter().next();
        let member =
            member.filter(|one| one.availability_zone == self.availability_zone)?;
        let ask = MemberRequest::Presence {
            instance: instance.to_string(),
        };
        let version = self.group().version;
        match self.ask(version, &member, ask, QUICK_TIMEOUT_MS).await {
            Ok(MemberResponse::Presence(presence)) => Some(presence),
            _ => None,
        }
    }

    /// Changes of endpoints from one of the nearest members.
    pub async fn endpoints(&self, known: EndpointCursor) -> Option<SharedEndpoints> {
        let nearest = self
            .nearest_first("endpoints")
            .into_iter()
            .take(SHARING_MEMBERS);
        for member in nearest {
            let version = self.group().version;
            let asked = self.ask(
                version,
                &member,
                MemberRequest::Endpoints { known },
                QUICK_TIMEOUT_MS,
            );
            if let Ok(MemberResponse::Endpoints(endpoints)) = asked.await {
                return Some(endpoints);
            }
        }
        None
    }
}
