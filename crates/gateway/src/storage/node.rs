//! The state of an instance with a disk: one reducer over all events.

use std::collections::VecDeque;

use bytes::Bytes;
use jayreel_ledger::{
    Group, LedgerRecord, LedgerState, Member, MembershipState, RateLimit, RateShare,
    RateTolerance, Reply, Request, encode_frame, turn_digest,
};
use slotmap::new_key_type;

use crate::endpoint_view::{EndpointRead, EndpointView};
use crate::freshness::Freshness;
use crate::presence::PresenceBook;

new_key_type! {
    /// A connection of another instance.
    pub struct ConnectionKey;
}

/// What an instance with a disk uses of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationFacts {
    /// The configuration as the store holds it.
    pub stored: Bytes,
    /// Version that the operator gave it.
    pub version: u64,
    /// Limits by customer.
    pub limits: Vec<(String, RateLimit)>,
}

/// What happens to the instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another instance asks.
    Asked {
        /// Its connection.
        connection: ConnectionKey,
        /// The question.
        request: Request,
    },
    /// Everything appended up to this number is on disk.
    Synced {
        /// Number of the last append.
        through: u64,
    },
    /// The group was read, or another instance told it.
    GroupLearned(Group),
    /// A part of a member's facts was copied.
    Copied {
        /// Name of the member.
        source: String,
        /// Its facts.
        facts: Vec<LedgerRecord>,
        /// It was the last part, and the member itself held all facts of its group.
        is_last: bool,
    },
    /// The configuration was read from the store.
    Configured {
        /// Time at which the read began.
        read_began_ms: u64,
        /// Its store revision.
        revision: u64,
        /// Set if it is new.
        content: Option<ConfigurationFacts>,
    },
    /// The store told about endpoints.
    EndpointsRead(EndpointRead),
    /// Time has passed.
    Tick,
}

/// What the instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write frames to the disk.
    Append {
        /// Number of the append.
        number: u64,
        /// Whether they must be synced now. Others are synced with the next that must, so a
        /// kill does not lose them, but a loss of power may.
        is_synced: bool,
        /// The frames.
        frames: Vec<u8>,
    },
    /// Send a reply.
    Reply {
        /// To this connection.
        connection: ConnectionKey,
        /// The reply.
        reply: Reply,
    },
}

/// An instance with a disk.
#[derive(Debug)]
pub struct Node {
    name: String,
    is_first_start: bool,
    pub(super) book: LedgerState,
    pub(super) group: Group,
    pub(super) standing: MembershipState,
    pub(super) rates: RateShare,
    started_ms: u64,
    /// Until this time rates are divided by more than the present number of members: one
    /// that left may have granted its part in the window.
    pub(super) larger_parts: Option<(u64, usize)>,
    pub(super) freshness: Freshness,
    pub(super) endpoints: EndpointView,
    pub(super) presence: PresenceBook,
    pub(super) configuration: Bytes,
    /// Store revision of `configuration`. 0 without one.
    pub(super) configuration_revision: u64,
    appended: u64,
    /// Number of the last append that must be synced. At most `appended`.
    must_sync: u64,
    /// Number of the last append that is on disk. At most `appended`.
    synced: u64,
    /// Replies that wait until an append is on disk, in the order of the appends.
    unsynced: VecDeque<(u64, ConnectionKey, Reply)>,
}

impl Node {
    /// An instance with the facts from its disk.
    pub fn new(
        name: &str,
        is_first_start: bool,
        now_ms: u64,
        tolerance: RateTolerance,
        facts: &[LedgerRecord],
    ) -> Node {
        let mut book = LedgerState::default();
        for fact in facts {
            book.merge(now_ms, fact);
        }
        book.restart(now_ms);
        let mut rates = RateShare::new(now_ms, tolerance);
        for (at_ms, customer, count) in book.grants() {
            rates.restore(at_ms, customer, count);
        }
        if facts.is_empty() && !is_first_start {
            rates.block_since(now_ms);
        }
        Node {
            name: name.to_string(),
            is_first_start: is_first_start && facts.is_empty(),
            book,
            group: Group::default(),
            standing: MembershipState::Spare,
            rates,
            started_ms: now_ms,
            larger_parts: None,
            freshness: Freshness::default(),
            endpoints: EndpointView::new(turn_digest(&format!("{name}/{now_ms}"))),
            presence: PresenceBook::default(),
            configuration: Bytes::new(),
            configuration_revision: 0,
            appended: 0,
            must_sync: 0,
            synced: 0,
            unsynced: VecDeque::new(),
        }
    }

    /// The newest group known.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Revision of the configuration known. 0 without one.
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_revision
    }

    /// Whether the instance is a member of the newest group known.
    pub fn is_member(&self) -> bool {
        self.group.contains(&self.name)
    }

    /// Whether the instance votes.
    pub fn is_voting(&self) -> bool {
        self.standing == MembershipState::Voting
    }

    /// Whether the instance has voted in any version, as its disk tells.
    pub fn has_voted(&self) -> bool {
        self.book.complete_version().is_some()
    }

    /// Members whose facts must be copied before the instance votes.
    pub fn copy_sources(&self) -> Vec<Member> {
        match &self.standing {
            MembershipState::CatchingUp(progress) => progress.missing(),
            MembershipState::Spare | MembershipState::Voting => Vec::new(),
        }
    }

    /// All facts, for a compacted log.
    pub fn facts(&self) -> Vec<LedgerRecord> {
        self.book.records()
    }

    /// Applies an event.
    pub fn apply(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        match event {
            Event::Asked {
                connection,
                request,
            } => self.answer(now_ms, connection, request),
            Event::Synced { through } => self.release(through),
            Event::GroupLearned(group) => self.learn_group(now_ms, group),
            Event::Copied {
                source,
                facts,
                is_last,
            } => self.take_copy(now_ms, &source, &facts, is_last),
            Event::Configured {
                read_began_ms,
                revision,
                content,
            } => {
                self.configure(now_ms, read_began_ms, revision, content);
                Vec::new()
            }
            Event::EndpointsRead(read) => {
                self.endpoints.take_read(now_ms, read);
                Vec::new()
            }
            Event::Tick => {
                self.book.expire(now_ms);
                Vec::new()
            }
        }
    }

    /// Replies once the facts are on disk. Facts that were known may still be on their way
    /// there, so the reply waits for the last append in any case.
    pub(super) fn append_and_reply(
        &mut self,
        is_new: bool,
        facts: &[LedgerRecord],
        to: ConnectionKey,
        reply: Reply,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if is_new {
            effects.extend(self.append(facts));
        }
        self.unsynced.push_back((self.must_sync, to, reply));
        effects.extend(self.release(self.synced));
        effects
    }

    pub(super) fn append(&mut self, facts: &[LedgerRecord]) -> Option<Effect> {
        let mut frames = Vec::new();
        for fact in facts {
            if let Err(error) = encode_frame(fact, &mut frames) {
                log::error!("event=fact_unwritable reason={error:?}");
                return None;
            }
        }
        // A loss of power costs more than the grants of the last few milliseconds.
        let is_synced = !facts
            .iter()
            .all(|fact| matches!(fact, LedgerRecord::Granted { .. }));
        self.appended += 1;
        if is_synced {
            self.must_sync = self.appended;
        }
        Some(Effect::Append {
            number: self.appended,
            is_synced,
            frames,
        })
    }

    fn release(&mut self, through: u64) -> Vec<Effect> {
        self.synced = self.synced.max(through);
        let mut effects = Vec::new();
        while self
            .unsynced
            .front()
            .is_some_and(|(number, ..)| *number <= through)
        {
            let Some((_, connection, reply)) = self.unsynced.pop_front() else {
                break;
            };
            effects.push(Effect::Reply { connection, reply });
        }
        effects
    }

    pub(super) fn learn_group(&mut self, now_ms: u64, group: Group) -> Vec<Effect> {
        if group.version <= self.group.version {
            return Vec::new();
        }
        if group.members.len() < self.group.members.len() {
            let until_ms = now_ms + self.rates.window_ms();
            self.larger_parts = Some((until_ms, self.group.members.len()));
        }
        let standing = self.standing_in(&group);
        log::info!(
            "event=group_learned version={} members={} standing={standing:?}",
            group.version,
            group.members.len()
        );
        self.group = group;
        self.standing = standing;
        self.complete_if_done(now_ms)
    }

    /// A founder lacks nothing: there were no facts before it.
    fn standing_in(&self, group: &Group) -> MembershipState {
        let is_founder = group.previous.is_empty() && self.is_first_start;
        let complete = self.book.complete_version();
        match MembershipState::for_new_group(group, &self.name, complete) {
            MembershipState::CatchingUp(_) if is_founder => MembershipState::Voting,
            standing => standing,
        }
    }

    fn take_copy(
        &mut self,
        now_ms: u64,
        source: &str,
        facts: &[LedgerRecord],
        is_last: bool,
    ) -> Vec<Effect> {
        let copied = facts.iter().filter(|fact| fact.is_shared());
        let news: Vec<LedgerRecord> = copied
            .filter(|fact| self.book.merge(now_ms, fact))
            .cloned()
            .collect();
        let mut effects: Vec<Effect> = match news.is_empty() {
            true => Vec::new(),
            false => self.append(&news).into_iter().collect(),
        };
        if let (MembershipState::CatchingUp(progress), true) =
            (&mut self.standing, is_last)
        {
            progress.record(source);
        }
        effects.extend(self.complete_if_done(now_ms));
        effects
    }

    /// Starts to vote once nothing is missing, and notes that on disk.
    ///
    /// A member that took the place of another grants nothing until what that one may have
    /// granted has left the window.
    fn complete_if_done(&mut self, now_ms: u64) -> Vec<Effect> {
        if matches!(&self.standing, MembershipState::CatchingUp(progress) if progress.is_complete())
        {
            self.standing = MembershipState::Voting;
            let mut previous = self.group.previous.iter();
            let was_member = previous.any(|member| member.name == self.name);
            let since_ms = if was_member { self.started_ms } else { now_ms };
            self.rates.block_since(since_ms);
        }
        let group_version = self.group.version;
        let fact = LedgerRecord::Complete { group_version };
        if !self.is_voting() || self.book.complete_version() >= Some(group_version) {
            return Vec::new();
        }
        log::info!("event=voting group_version={group_version}");
        self.book.merge(now_ms, &fact);
        self.append(&[fact]).into_iter().collect()
    }

    fn configure(
        &mut self,
        now_ms: u64,
        read_began_ms: u64,
        revision: u64,
        content: Option<ConfigurationFacts>,
    ) {
        match content {
            Some(facts) if revision > self.configuration_revision => {
                self.configuration_revision = revision;
                self.configuration = facts.stored;
                for (customer, limit) in facts.limits {
                    self.rates
                        .set_limit(now_ms, facts.version, &customer, limit);
                }
            }
            _ => {}
        }
        if revision == self.configuration_revision {
            self.freshness.prove(read_began_ms);
        }
    }
}
