//! The state of a storage instance. It changes only by events, which a single reducer handles
//! without I/O: [`Node::apply`] returns the effects for the caller to carry out.

use std::collections::VecDeque;

use bytes::Bytes;
use jayreel_ledger::{
    Group, LedgerRecord, LedgerState, Member, MembershipState, RateLimit, RateShare,
    RateTolerance, Reply, Request, encode_frame, turn_digest,
};
use slotmap::new_key_type;

use crate::endpoint_view::{EndpointRead, EndpointView};
use crate::freshness::Freshness;
use crate::presence::PresenceTracker;

new_key_type! {
    /// A connection from another instance.
    pub struct ConnectionKey;
}

/// The parts of a configuration that a storage instance uses.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationUpdate {
    /// The configuration in the encoding of the store, for other instances.
    pub stored: Bytes,
    /// Version number that the operator assigned.
    pub version: u64,
    /// Customer names and their rate limits.
    pub limits: Vec<(String, RateLimit)>,
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived from another instance.
    RequestReceived {
        /// Where to send the reply.
        connection: ConnectionKey,
        /// The request.
        request: Request,
    },
    /// All appends up to a number are on disk.
    Synced {
        /// Number of the last append on disk.
        through: u64,
    },
    /// A version of the group was read from the store or received from another instance.
    GroupReceived(Group),
    /// One part of a member's records was copied.
    RecordsCopied {
        /// Name of the member.
        source: String,
        /// The records of the part.
        records: Vec<LedgerRecord>,
        /// Whether this was the last part, from a member that held all records of its group.
        is_last: bool,
    },
    /// The configuration was read from the store or from the first member.
    ConfigurationRead {
        /// When the read from the store began, in milliseconds.
        read_began_ms: u64,
        /// Store revision of the configuration.
        revision: u64,
        /// `None` if the revision was known already.
        content: Option<ConfigurationUpdate>,
    },
    /// Endpoints were read from the store.
    EndpointsRead(EndpointRead),
    /// Sent periodically to remove expired records.
    Tick,
}

/// Output of the reducer, carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append frames to the log.
    Append {
        /// Consecutive number of the append, starting at 1.
        number: u64,
        /// Whether to sync at once. Other appends are synced together with the next one that
        /// must be; until then a kill of the process does not lose them, but a power failure
        /// may.
        must_sync: bool,
        /// Encoded records.
        frames: Vec<u8>,
    },
    /// Send a reply.
    Reply {
        /// The connection that the request came from.
        connection: ConnectionKey,
        /// The reply.
        reply: Reply,
    },
}

/// The state of a storage instance.
#[derive(Debug)]
pub struct Node {
    name: String,
    /// Whether the whole system starts for the first time and the log was empty.
    is_first_start: bool,
    pub(super) state: LedgerState,
    /// The newest group known. Version 0 without members until one is received.
    pub(super) group: Group,
    /// Role of this instance in `group`.
    pub(super) membership: MembershipState,
    /// This instance's share of customers' request rates.
    pub(super) rates: RateShare,
    started_ms: u64,
    /// Set when the group becomes smaller: until this time, in milliseconds, rates are divided
    /// by the previous number of members, because the member that left may have granted its
    /// share in the current window.
    pub(super) previous_shares: Option<(u64, usize)>,
    /// When a read last confirmed that `configuration` is the newest.
    pub(super) freshness: Freshness,
    /// Endpoints in the store, which entry instances request.
    pub(super) endpoints: EndpointView,
    /// Entry instances of this instance's availability zone.
    pub(super) presence: PresenceTracker,
    /// The configuration in the encoding of the store. Empty without one.
    pub(super) configuration: Bytes,
    /// Store revision of `configuration`. 0 without one.
    pub(super) configuration_revision: u64,
    /// Number of the last append.
    last_append: u64,
    /// Number of the last append that must be synced. At most `last_append`.
    last_sync_required: u64,
    /// Number of the last append that is on disk. At most `last_append`.
    last_synced: u64,
    /// Replies to send once the append of this number is on disk, in the order of the appends.
    pending_replies: VecDeque<(u64, ConnectionKey, Reply)>,
}

impl Node {
    /// Creates the state of an instance that starts with the records of its log.
    /// `is_first_start` says that the whole system starts for the first time, so that an empty
    /// log does not mean a lost disk.
    pub fn new(
        name: &str,
        is_first_start: bool,
        now_ms: u64,
        tolerance: RateTolerance,
        records: &[LedgerRecord],
    ) -> Node {
        let mut state = LedgerState::default();
        for record in records {
            state.merge(now_ms, record);
        }
        state.restart(now_ms);
        let mut rates = RateShare::new(now_ms, tolerance);
        for (at_ms, customer, count) in state.grants() {
            rates.restore(at_ms, customer, count);
        }
        if records.is_empty() && !is_first_start {
            rates.block_since(now_ms);
        }
        Node {
            name: name.to_string(),
            is_first_start: is_first_start && records.is_empty(),
            state,
            group: Group::default(),
            membership: MembershipState::Spare,
            rates,
            started_ms: now_ms,
            previous_shares: None,
            freshness: Freshness::default(),
            endpoints: EndpointView::new(turn_digest(&format!("{name}/{now_ms}"))),
            presence: PresenceTracker::default(),
            configuration: Bytes::new(),
            configuration_revision: 0,
            last_append: 0,
            last_sync_required: 0,
            last_synced: 0,
            pending_replies: VecDeque::new(),
        }
    }

    /// The newest group known. Version 0 without members until one is received.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Store revision of the newest configuration known. 0 without one.
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_revision
    }

    /// Whether the instance is a member of the newest group known.
    pub fn is_member(&self) -> bool {
        self.group.contains(&self.name)
    }

    /// Whether the instance is a member that holds all records of its group.
    pub fn is_voting(&self) -> bool {
        self.membership == MembershipState::Voting
    }

    /// Whether the log shows that the instance has voted in any version of the group.
    pub fn has_voted(&self) -> bool {
        self.state.complete_version().is_some()
    }

    /// Members whose records are still to be copied. Empty unless the instance is catching up.
    pub fn copy_sources(&self) -> Vec<Member> {
        match &self.membership {
            MembershipState::CatchingUp(progress) => progress.missing(),
            MembershipState::Spare | MembershipState::Voting => Vec::new(),
        }
    }

    /// All records, for a compacted log.
    pub fn records(&self) -> Vec<LedgerRecord> {
        self.state.records()
    }

    /// Applies an event, and returns the effects in the order in which to carry them out.
    pub fn apply(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestReceived {
                connection,
                request,
            } => self.handle_request(now_ms, connection, request),
            Event::Synced { through } => self.release_replies(through),
            Event::GroupReceived(group) => self.adopt_group(now_ms, group),
            Event::RecordsCopied {
                source,
                records,
                is_last,
            } => self.merge_copied(now_ms, &source, &records, is_last),
            Event::ConfigurationRead {
                read_began_ms,
                revision,
                content,
            } => {
                self.apply_configuration(now_ms, read_began_ms, revision, content);
                Vec::new()
            }
            Event::EndpointsRead(read) => {
                self.endpoints.apply_read(now_ms, read);
                Vec::new()
            }
            Event::Tick => {
                self.state.expire(now_ms);
                Vec::new()
            }
        }
    }

    /// Writes records if they are new, and replies once they are on disk. The reply waits for
    /// the last append that must be synced even if the records are not new, because their
    /// earlier write may not have been synced yet.
    pub(super) fn append_and_reply(
        &mut self,
        is_new: bool,
        records: &[LedgerRecord],
        to: ConnectionKey,
        reply: Reply,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if is_new {
            effects.extend(self.append(records));
        }
        self.pending_replies
            .push_back((self.last_sync_required, to, reply));
        effects.extend(self.release_replies(self.last_synced));
        effects
    }

    /// Encodes records for the log. Returns `None` if one cannot be encoded.
    pub(super) fn append(&mut self, records: &[LedgerRecord]) -> Option<Effect> {
        let mut frames = Vec::new();
        for record in records {
            if let Err(error) = encode_frame(record, &mut frames) {
                log::error!("event=fact_unwritable reason={error:?}");
                return None;
            }
        }
        // Grants alone are not worth a sync: a power failure costs more than the grants of the
        // last few milliseconds.
        let must_sync = !records
            .iter()
            .all(|record| matches!(record, LedgerRecord::Granted { .. }));
        self.last_append += 1;
        if must_sync {
            self.last_sync_required = self.last_append;
        }
        Some(Effect::Append {
            number: self.last_append,
            must_sync,
            frames,
        })
    }

    /// Sends the replies that waited for appends up to `through`, which are on disk.
    fn release_replies(&mut self, through: u64) -> Vec<Effect> {
        self.last_synced = self.last_synced.max(through);
        let mut effects = Vec::new();
        while self
            .pending_replies
            .front()
            .is_some_and(|(number, ..)| *number <= through)
        {
            let Some((_, connection, reply)) = self.pending_replies.pop_front() else {
                break;
            };
            effects.push(Effect::Reply { connection, reply });
        }
        effects
    }

    /// Switches to a group if it is newer than the one known.
    pub(super) fn adopt_group(&mut self, now_ms: u64, group: Group) -> Vec<Effect> {
        if group.version <= self.group.version {
            return Vec::new();
        }
        if group.members.len() < self.group.members.len() {
            let until_ms = now_ms + self.rates.window_ms();
            self.previous_shares = Some((until_ms, self.group.members.len()));
        }
        let membership = self.membership_in(&group);
        log::info!(
            "event=group_learned version={} members={} standing={membership:?}",
            group.version,
            group.members.len()
        );
        self.group = group;
        self.membership = membership;
        self.vote_if_complete(now_ms)
    }

    /// Role of this instance in a new group. A founding member votes at once, because there
    /// were no records before the first group.
    fn membership_in(&self, group: &Group) -> MembershipState {
        let is_founder = group.previous.is_empty() && self.is_first_start;
        let complete_version = self.state.complete_version();
        match MembershipState::for_new_group(group, &self.name, complete_version) {
            MembershipState::CatchingUp(_) if is_founder => MembershipState::Voting,
            membership => membership,
        }
    }

    /// Merges and writes a part of another member's records. Starts to vote if it was the last
    /// part that was missing.
    fn merge_copied(
        &mut self,
        now_ms: u64,
        source: &str,
        records: &[LedgerRecord],
        is_last: bool,
    ) -> Vec<Effect> {
        let shared = records.iter().filter(|record| record.is_shared());
        let new_records: Vec<LedgerRecord> = shared
            .filter(|record| self.state.merge(now_ms, record))
            .cloned()
            .collect();
        let mut effects: Vec<Effect> = match new_records.is_empty() {
            true => Vec::new(),
            false => self.append(&new_records).into_iter().collect(),
        };
        if let (MembershipState::CatchingUp(progress), true) =
            (&mut self.membership, is_last)
        {
            progress.mark_copied(source);
        }
        effects.extend(self.vote_if_complete(now_ms));
        effects
    }

    /// Starts to vote once no records are missing, and writes that to the log.
    ///
    /// What the instance granted before it lost its disk is unknown, and so is what the member
    /// granted whose place it took. It grants nothing until those grants have left the window:
    /// the former end with its start, the latter may have gone on until now.
    fn vote_if_complete(&mut self, now_ms: u64) -> Vec<Effect> {
        if matches!(&self.membership, MembershipState::CatchingUp(progress) if progress.is_complete())
        {
            self.membership = MembershipState::Voting;
            let mut previous = self.group.previous.iter();
            let was_member = previous.any(|member| member.name == self.name);
            let since_ms = if was_member { self.started_ms } else { now_ms };
            self.rates.block_since(since_ms);
        }
        let group_version = self.group.version;
        let record = LedgerRecord::Complete { group_version };
        if !self.is_voting() || self.state.complete_version() >= Some(group_version) {
            return Vec::new();
        }
        log::info!("event=voting group_version={group_version}");
        self.state.merge(now_ms, &record);
        self.append(&[record]).into_iter().collect()
    }

    /// Takes over the result of a read if its configuration is newer. If the revision read is
    /// then the known one, the read confirms that it was the newest when the read began.
    fn apply_configuration(
        &mut self,
        now_ms: u64,
        read_began_ms: u64,
        revision: u64,
        content: Option<ConfigurationUpdate>,
    ) {
        match content {
            Some(update) if revision > self.configuration_revision => {
                self.configuration_revision = revision;
                self.configuration = update.stored;
                for (customer, limit) in update.limits {
                    self.rates
                        .set_limit(now_ms, update.version, &customer, limit);
                }
            }
            _ => {}
        }
        if revision == self.configuration_revision {
            self.freshness.confirm(read_began_ms);
        }
    }
}
