//! The state of a storage instance. It changes only by events, which a single reducer handles
//! without I/O: [`Node::apply`] returns the effects for the caller to carry out.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use jayreel_ledger::{
    ColdTolerance, CopyPart, CrashSuspects, EndpointLimits, FrameLocation, Group,
    LedgerRecord, LedgerState, Member, MembershipState, RateLimit, RateShare,
    RateTolerance, Reply, Request, TurnDigest, TurnRecord, encode_frame, turn_digest,
};
use slotmap::{SlotMap, new_key_type};

use super::log_state::{LogState, StorageLimits};
use super::reads::{PendingRead, ReadKey};
use super::recovery::RecoveredLog;
use crate::directory::Evacuations;
use crate::endpoint_view::{EndpointRead, EndpointView};
use crate::evacuation_view::EvacuationView;
use crate::freshness::Freshness;
use crate::presence::PresenceTracker;
use crate::turn_cache::TurnCache;

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
    /// Rates of cold endpoints by service, in requests per second.
    pub cold_rates: HashMap<String, f64>,
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
    /// This version of the group was the newest one at some time since the start of the instance.
    NewestGroupRead(Group),
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
    /// The turns of an [`Effect::Read`] were read, in the same order. `None` for a damaged one.
    TurnsRead {
        /// The read.
        key: ReadKey,
        /// The turns.
        turns: Vec<Option<TurnRecord>>,
    },
    /// The evacuated zones were read from the store or from the first member.
    EvacuationsRead {
        /// When the read from the store began, in milliseconds.
        read_began_ms: u64,
        /// The zones.
        evacuations: Evacuations,
    },
    /// Endpoints were read from the store.
    EndpointsRead(EndpointRead),
    /// Sent periodically to remove expired records and to free disk space.
    Tick,
}

/// Output of the reducer, carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append frames to the log.
    Append {
        /// Consecutive number of the append, starting at 1.
        number: u64,
        /// The segment to whose end the frames belong.
        segment: u32,
        /// Whether to sync at once. Other appends are synced together with the next one that
        /// must be; until then a kill of the process does not lose them, but a power failure
        /// may.
        must_sync: bool,
        /// Encoded records.
        frames: Vec<u8>,
    },
    /// Read turns from the log, after all appends before.
    Read {
        /// Identifies the read in [`Event::TurnsRead`].
        key: ReadKey,
        /// Positions of the turns.
        locations: Vec<FrameLocation>,
    },
    /// Remove a segment, once all appends before are on disk.
    DropSegment {
        /// Number of the segment.
        segment: u32,
    },
    /// Send a reply.
    Reply {
        /// The connection that the request came from.
        connection: ConnectionKey,
        /// The reply.
        reply: Reply,
    },
}

/// What a storage instance is told at its start.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Name of the instance.
    pub name: String,
    /// The whole system starts for the first time, so that an empty log does not mean a lost
    /// disk.
    pub is_first_start: bool,
    /// Tolerance of customers' rate limits.
    pub tolerance: RateTolerance,
    /// How far the rates of cold endpoints may be exceeded.
    pub cold_tolerance: ColdTolerance,
    /// Space for records on disk and in memory.
    pub limits: StorageLimits,
}

/// Space that records use, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StorageUsage {
    /// Number of turns.
    pub turns: u64,
    /// Bytes of all segments.
    pub log_bytes: u64,
    /// Bytes of the frames that are needed.
    pub live_bytes: u64,
    /// Bytes of the turns in the cache.
    pub cache_bytes: u64,
    /// Bytes of the appends that are not on disk yet.
    pub queued_bytes: u64,
    /// Bytes of the turns that are being read from the disk.
    pub read_bytes: u64,
    /// Requests that were rejected because the disk was full.
    pub rejected_disk_full: u64,
    /// Requests that were rejected because too many frames were not on disk yet.
    pub rejected_queue_full: u64,
    /// Requests that were rejected because too many turns were being read.
    pub rejected_reads_full: u64,
}

/// The state of a storage instance.
#[derive(Debug)]
pub struct Node {
    pub(super) name: String,
    /// Whether the whole system starts for the first time and the log was empty.
    is_first_start: bool,
    pub(super) state: LedgerState,
    /// The segments that hold the records of `state`.
    pub(super) log: LogState,
    /// The turns that were stored or read last.
    pub(super) cache: TurnCache,
    /// Reads from the disk that have not ended.
    pub(super) reads: SlotMap<ReadKey, PendingRead>,
    /// Bytes of the frames in `reads`.
    pub(super) read_bytes: usize,
    /// Identifies this start of the instance to others, for cursors.
    pub(super) start: u64,
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
    /// The evacuated availability zones.
    pub(super) evacuations: EvacuationView,
    /// Endpoints in the store, which entry instances request.
    pub(super) endpoints: EndpointView,
    /// This instance's share of the rates that endpoints accept.
    pub(super) endpoint_limits: EndpointLimits,
    /// Rates of cold endpoints by service, in requests per second.
    pub(super) cold_rates: HashMap<String, f64>,
    /// Requests that may crash endpoints.
    pub(super) crash_suspects: CrashSuspects,
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
    pub fn new(options: NodeOptions, now_ms: u64, recovered: RecoveredLog) -> Node {
        let NodeOptions {
            name,
            is_first_start,
            tolerance,
            cold_tolerance,
            limits,
        } = options;
        let mut state = recovered.state;
        state.restart(now_ms);
        let mut rates = RateShare::new(now_ms, tolerance);
        for (at_ms, customer, count) in state.grants() {
            rates.restore(at_ms, customer, count);
        }
        let is_empty = recovered.records == 0;
        if recovered.is_damaged {
            state.mark_incomplete();
        }
        if is_empty && !is_first_start || recovered.is_damaged {
            rates.block_since(now_ms);
        }
        if is_empty && is_first_start {
            let record = LedgerRecord::VotesRecorded { from_version: 1 };
            state.merge(now_ms, &record);
        }
        let start = turn_digest(&format!("{name}/{now_ms}"));
        Node {
            is_first_start: is_first_start && is_empty,
            state,
            log: LogState::new(limits, recovered.written_bytes),
            cache: TurnCache::new(limits.cache_bytes),
            reads: SlotMap::with_key(),
            read_bytes: 0,
            start,
            group: Group::default(),
            membership: MembershipState::Spare,
            rates,
            started_ms: now_ms,
            previous_shares: None,
            freshness: Freshness::default(),
            evacuations: EvacuationView::default(),
            endpoints: EndpointView::new(start),
            endpoint_limits: EndpointLimits::new(cold_tolerance),
            cold_rates: HashMap::new(),
            crash_suspects: CrashSuspects::new(start),
            presence: PresenceTracker::default(),
            configuration: Bytes::new(),
            configuration_revision: 0,
            last_append: 0,
            last_sync_required: 0,
            last_synced: 0,
            pending_replies: VecDeque::new(),
            name,
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

    /// The evacuated availability zones.
    pub fn evacuations(&self) -> &EvacuationView {
        &self.evacuations
    }

    /// The limits of endpoints that were reported.
    pub fn endpoint_limits(&self) -> &EndpointLimits {
        &self.endpoint_limits
    }

    /// The requests that may crash endpoints.
    pub fn crash_suspects(&self) -> &CrashSuspects {
        &self.crash_suspects
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

    /// Whether the log shows all votes of the instance in the versions of the group from some one
    /// on.
    pub fn has_recorded_votes(&self) -> bool {
        self.state.votes().recorded_from.is_some()
    }

    /// Members whose records are still to be copied. Empty unless the instance is catching up.
    pub fn copy_sources(&self) -> Vec<Member> {
        match &self.membership {
            MembershipState::CatchingUp(progress) => progress.missing(),
            MembershipState::Spare | MembershipState::Voting => Vec::new(),
        }
    }

    /// Applies an event, and returns the effects in the order in which to carry them out.
    pub fn apply(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        match event {
            Event::RequestReceived {
                connection,
                request,
            } => self.handle_request(now_ms, connection, request),
            Event::Synced { through } => {
                self.log.record_synced(through);
                self.release_replies(through)
            }
            Event::TurnsRead { key, turns } => self.turns_read(now_ms, key, turns),
            Event::GroupReceived(group) => self.adopt_group(now_ms, group),
            Event::NewestGroupRead(group) => self.read_newest_group(now_ms, group),
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
            Event::EvacuationsRead {
                read_began_ms,
                evacuations,
            } => {
                self.apply_evacuations(read_began_ms, evacuations);
                Vec::new()
            }
            Event::EndpointsRead(read) => {
                self.endpoints.apply_read(now_ms, read);
                self.register_cold(now_ms);
                Vec::new()
            }
            Event::Tick => {
                self.state.expire(now_ms);
                self.endpoint_limits.expire(now_ms);
                self.crash_suspects.expire(now_ms);
                self.clean(now_ms)
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

    /// Encodes records for the log and notes their positions. Returns `None` if there are none,
    /// or one cannot be encoded.
    pub(super) fn append(&mut self, records: &[LedgerRecord]) -> Option<Effect> {
        if records.is_empty() {
            return None;
        }
        let (segment, start) = self.log.next_position();
        let mut frames = Vec::new();
        let mut locations = Vec::with_capacity(records.len());
        for record in records {
            let offset = frames.len();
            if let Err(error) = encode_frame(record, &mut frames) {
                log::error!("event=fact_unwritable reason={error:?}");
                return None;
            }
            locations.push(FrameLocation {
                segment,
                offset: start + u32::try_from(offset).unwrap_or(u32::MAX),
                frame_bytes: u32::try_from(frames.len() - offset).unwrap_or(u32::MAX),
            });
        }
        for (record, location) in records.iter().zip(locations) {
            self.state.locate(record, location);
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
        self.log
            .record_append(self.last_append, segment, frames.len());
        Some(Effect::Append {
            number: self.last_append,
            segment,
            must_sync,
            frames,
        })
    }

    /// Space that the records use.
    pub fn usage(&self) -> StorageUsage {
        StorageUsage {
            turns: self.state.turn_count() as u64,
            log_bytes: self.log.total_bytes(),
            live_bytes: self.state.total_live_bytes(),
            cache_bytes: self.cache.size_bytes() as u64,
            queued_bytes: self.log.queued_bytes() as u64,
            read_bytes: self.read_bytes as u64,
            rejected_disk_full: self.log.disk_gate.rejected,
            rejected_queue_full: self.log.queue_gate.rejected,
            rejected_reads_full: self.log.read_gate.rejected,
        }
    }

    /// Number of the last append that must be synced.
    pub fn last_sync_required(&self) -> u64 {
        self.last_sync_required
    }

    /// Number of the last append that is on disk.
    pub fn last_synced(&self) -> u64 {
        self.last_synced
    }

    /// The turns among these that this instance does not hold.
    pub fn missing_turns(&self, turns: Vec<TurnDigest>) -> Vec<TurnDigest> {
        let missing = turns.into_iter();
        missing
            .filter(|turn| self.state.location(*turn).is_none())
            .collect()
    }

    /// Position of a turn in the log.
    pub fn location(&self, turn: TurnDigest) -> Option<FrameLocation> {
        self.state.location(turn)
    }

    /// Returns one part of a copy of all shared records.
    pub fn copy_part(&self, cursor: &jayreel_ledger::CopyCursor) -> CopyPart {
        self.state.copy_part(cursor)
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

    /// Switches to the newest group. If the disk may have been lost, it has been before later
    /// versions existed, so it shows all votes in them.
    fn read_newest_group(&mut self, now_ms: u64, group: Group) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.has_recorded_votes() && group.is_valid() {
            let from_version = group.version + 1;
            let record = LedgerRecord::VotesRecorded { from_version };
            self.state.merge(now_ms, &record);
            effects.extend(self.append(&[record]));
        }
        effects.extend(self.adopt_group(now_ms, group));
        effects
    }

    /// Switches to a group if it is newer than the one known.
    pub(super) fn adopt_group(&mut self, now_ms: u64, group: Group) -> Vec<Effect> {
        if group.version <= self.group.version || !group.is_valid() {
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
        let votes = self.state.votes();
        match MembershipState::for_new_group(group, &self.name, votes) {
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
        let mut effects: Vec<Effect> = self.append(&new_records).into_iter().collect();
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
    fn apply_evacuations(&mut self, read_began_ms: u64, read: Evacuations) {
        let endpoints = &self.endpoints;
        let is_in_use = |zone: &str| endpoints.has_zone(zone);
        if self.evacuations.apply(read_began_ms, read, is_in_use) {
            log::info!(
                "event=evacuations count={} ignored={}",
                self.evacuations.zones().len(),
                self.evacuations.ignored(),
            );
        }
    }

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
                self.cold_rates = update.cold_rates;
                self.register_cold(now_ms);
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
