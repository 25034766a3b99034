//! The state of an instance with a disk: one reducer over all events.

use std::collections::VecDeque;

use bytes::Bytes;
use jayreel_ledger::{
    Answer, Ask, Book, CatchUp, Fact, Freshness as Shared, Group, Member, QuotaWant,
    RateLimit, RateShare, Reply, Request, encode_frame,
};
use slotmap::new_key_type;

use crate::freshness::Freshness;

new_key_type! {
    /// A connection of another instance.
    pub struct ConnectionKey;
}

/// Size of a part of a copy of all facts, in bytes.
const PART_BYTES: usize = 512 << 10;

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
        facts: Vec<Fact>,
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

/// Whether the instance may answer for the group.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Standing {
    /// It is no member.
    Spare,
    /// It is a member, but lacks facts.
    CatchingUp(CatchUp),
    /// It is a member.
    Voting,
}

/// An instance with a disk.
#[derive(Debug)]
pub struct Node {
    name: String,
    is_first_start: bool,
    book: Book,
    group: Group,
    standing: Standing,
    rates: RateShare,
    started_ms: u64,
    /// Until this time rates are divided by more than the present number of members: one
    /// that left may have granted its part in the window.
    larger_parts: Option<(u64, usize)>,
    freshness: Freshness,
    configuration: Bytes,
    /// Store revision of `configuration`. 0 without one.
    configuration_revision: u64,
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
    ///
    /// `quota_window_ms` is the window in which customers' rates are agreed.
    pub fn new(
        name: &str,
        is_first_start: bool,
        now_ms: u64,
        quota_window_ms: u64,
        facts: &[Fact],
    ) -> Node {
        let mut book = Book::default();
        for fact in facts {
            book.merge(now_ms, fact);
        }
        book.restart(now_ms);
        let mut rates = RateShare::new(now_ms, quota_window_ms);
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
            standing: Standing::Spare,
            rates,
            started_ms: now_ms,
            larger_parts: None,
            freshness: Freshness::default(),
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

    /// Whether the instance votes.
    pub fn is_voting(&self) -> bool {
        self.standing == Standing::Voting
    }

    /// Whether the instance has voted in any version, as its disk tells.
    pub fn has_voted(&self) -> bool {
        self.book.complete_version().is_some()
    }

    /// Members whose facts must be copied before the instance votes.
    pub fn copy_sources(&self) -> Vec<Member> {
        match &self.standing {
            Standing::CatchingUp(progress) => progress.missing(),
            Standing::Spare | Standing::Voting => Vec::new(),
        }
    }

    /// All facts in parts, for another instance.
    pub fn part(&self, cursor: u64) -> (Vec<Fact>, Option<u64>) {
        self.book.part(cursor, PART_BYTES)
    }

    /// All facts, for a compacted log.
    pub fn facts(&self) -> Vec<Fact> {
        self.book.facts()
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
            Event::Tick => {
                self.book.expire(now_ms);
                Vec::new()
            }
        }
    }

    fn answer(
        &mut self,
        now_ms: u64,
        to: ConnectionKey,
        request: Request,
    ) -> Vec<Effect> {
        let Request {
            id,
            group_version,
            ask,
        } = request;
        let reply = |answer| Reply { id, answer };
        if let Some(answer) = self.refusal(group_version, &ask) {
            return vec![Effect::Reply {
                connection: to,
                reply: reply(answer),
            }];
        }
        match ask {
            Ask::Reserve(reservation) => {
                let program = reservation.program.clone();
                let fact = Fact::Reserved(reservation);
                let is_new = self.book.merge(now_ms, &fact);
                let answer = match self.is_voting() {
                    true => Answer::Charges(self.book.charges(&program)),
                    false => Answer::NotVoting,
                };
                self.append_and_reply(is_new, &[fact], to, reply(answer))
            }
            Ask::Settle(settlement) => {
                let fact = Fact::Settled(settlement);
                self.merge_and_reply(now_ms, &[fact], to, reply(Answer::Done))
            }
            Ask::KeepTurn(record) => {
                let fact = Fact::Turn(record);
                self.merge_and_reply(now_ms, &[fact], to, reply(Answer::Done))
            }
            Ask::KeepFacts(facts) => {
                let facts: Vec<Fact> =
                    facts.into_iter().filter(Fact::is_shared).collect();
                self.merge_and_reply(now_ms, &facts, to, reply(Answer::Done))
            }
            Ask::Adopt(group) => {
                let mut effects = self.learn_group(now_ms, group);
                effects.push(Effect::Reply {
                    connection: to,
                    reply: reply(Answer::Done),
                });
                effects
            }
            Ask::TakeQuota {
                configuration_version,
                wants,
            } if self.is_voting() => {
                let (answer, facts) = self.grant(now_ms, configuration_version, &wants);
                for fact in &facts {
                    self.book.merge(now_ms, fact);
                }
                let mut effects = vec![Effect::Reply {
                    connection: to,
                    reply: reply(answer),
                }];
                if !facts.is_empty() {
                    effects.extend(self.append(&facts));
                }
                effects
            }
            ask => vec![Effect::Reply {
                connection: to,
                reply: reply(self.look_up(now_ms, ask)),
            }],
        }
    }

    /// Why a question that needs the group cannot be answered.
    fn refusal(&self, group_version: u64, ask: &Ask) -> Option<Answer> {
        let needs_group = matches!(
            ask,
            Ask::Reserve(_)
                | Ask::Charges(_)
                | Ask::KeepTurn(_)
                | Ask::Chain { .. }
                | Ask::TakeQuota { .. }
                | Ask::CopyPart { .. }
        );
        match needs_group {
            false => None,
            true if group_version < self.group.version => {
                Some(Answer::Closed(self.group.clone()))
            }
            true if group_version > self.group.version => Some(Answer::Unavailable),
            true if matches!(ask, Ask::CopyPart { .. }) => None,
            true if self.standing == Standing::Spare => Some(Answer::NotVoting),
            true => None,
        }
    }

    /// Answers a question that changes nothing on disk.
    fn look_up(&mut self, now_ms: u64, ask: Ask) -> Answer {
        match ask {
            Ask::Charges(program) if self.is_voting() => {
                Answer::Charges(self.book.charges(&program))
            }
            Ask::Chain { turn } => {
                let chain = self.book.chain(now_ms, &turn);
                match chain.turns.is_empty() && !self.is_voting() {
                    true => Answer::NotVoting,
                    false => Answer::Chain(chain.turns),
                }
            }
            Ask::CopyPart { cursor } => {
                let (facts, next) = self.part(cursor);
                Answer::Part {
                    facts,
                    next,
                    is_complete: self.is_voting() || self.was_complete(),
                }
            }
            Ask::Status => Answer::Status {
                is_voting: self.is_voting(),
                group_version: self.group.version,
            },
            Ask::Configuration { known_revision } => {
                self.share_configuration(now_ms, known_revision)
            }
            _ => Answer::NotVoting,
        }
    }

    /// A member that left still holds all facts of the group before.
    fn was_complete(&self) -> bool {
        let version = self.book.complete_version();
        version.is_some_and(|version| version + 1 >= self.group.version)
    }

    fn grant(
        &mut self,
        now_ms: u64,
        version: u64,
        wants: &[QuotaWant],
    ) -> (Answer, Vec<Fact>) {
        let parts = match self.larger_parts {
            Some((until_ms, parts)) if now_ms < until_ms => parts,
            _ => self.group.members.len(),
        };
        let mut granted = Vec::new();
        let mut facts = Vec::new();
        for want in wants {
            let customer = &want.customer;
            self.rates.learn(now_ms, version, customer, want.limit);
            let count =
                self.rates
                    .take(now_ms, customer, want.requests, parts, want.quota_use);
            granted.push(count);
            if count > 0 {
                facts.push(Fact::Granted {
                    at_ms: now_ms,
                    customer: customer.clone(),
                    count,
                });
            }
        }
        (Answer::Quota(granted), facts)
    }

    fn share_configuration(&self, now_ms: u64, known_revision: u64) -> Answer {
        match self.freshness.age_ms(now_ms) {
            Some(age_ms) => Answer::Configuration(Shared {
                revision: self.configuration_revision,
                age_ms,
                content: (self.configuration_revision > known_revision)
                    .then(|| self.configuration.clone()),
            }),
            None => Answer::Unavailable,
        }
    }

    fn merge_and_reply(
        &mut self,
        now_ms: u64,
        facts: &[Fact],
        to: ConnectionKey,
        reply: Reply,
    ) -> Vec<Effect> {
        let news: Vec<Fact> = facts
            .iter()
            .filter(|fact| self.book.merge(now_ms, fact))
            .cloned()
            .collect();
        self.append_and_reply(!news.is_empty(), &news, to, reply)
    }

    /// Replies once the facts are on disk. Facts that were known may still be on their way
    /// there, so the reply waits for the last append in any case.
    fn append_and_reply(
        &mut self,
        is_new: bool,
        facts: &[Fact],
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

    fn append(&mut self, facts: &[Fact]) -> Option<Effect> {
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
            .all(|fact| matches!(fact, Fact::Granted { .. }));
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

    fn learn_group(&mut self, now_ms: u64, group: Group) -> Vec<Effect> {
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

    /// A member that was complete in the version before stays complete: what others wrote
    /// since has a quorum without it.
    fn standing_in(&self, group: &Group) -> Standing {
        let was_member = group.previous.iter().any(|member| member.name == self.name);
        let complete = self.book.complete_version();
        let is_founder = group.previous.is_empty() && self.is_first_start;
        match group.contains(&self.name) {
            false => Standing::Spare,
            true if is_founder || complete == Some(group.version) => Standing::Voting,
            true if was_member && complete == Some(group.version - 1) => Standing::Voting,
            true => Standing::CatchingUp(CatchUp::plan(group, &self.name)),
        }
    }

    fn take_copy(
        &mut self,
        now_ms: u64,
        source: &str,
        facts: &[Fact],
        is_last: bool,
    ) -> Vec<Effect> {
        let copied = facts.iter().filter(|fact| fact.is_shared());
        let news: Vec<Fact> = copied
            .filter(|fact| self.book.merge(now_ms, fact))
            .cloned()
            .collect();
        let mut effects: Vec<Effect> = match news.is_empty() {
            true => Vec::new(),
            false => self.append(&news).into_iter().collect(),
        };
        if let (Standing::CatchingUp(progress), true) = (&mut self.standing, is_last) {
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
        if matches!(&self.standing, Standing::CatchingUp(progress) if progress.is_complete())
        {
            self.standing = Standing::Voting;
            let mut previous = self.group.previous.iter();
            let was_member = previous.any(|member| member.name == self.name);
            let since_ms = if was_member { self.started_ms } else { now_ms };
            self.rates.block_since(since_ms);
        }
        let group_version = self.group.version;
        let fact = Fact::Complete { group_version };
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
                    self.rates.learn(now_ms, facts.version, &customer, limit);
                }
            }
            _ => {}
        }
        if revision == self.configuration_revision {
            self.freshness.prove(read_began_ms);
        }
    }
}
