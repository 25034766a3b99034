//! Reads of turns from the disk: for responses to other instances and for cleaning.

use jayreel_ledger::{
    CatchUp, CopyCursor, FrameLocation, MemberResponse, MembershipState, Reply,
    TurnDigest, TurnRecord,
};
use slotmap::new_key_type;

use super::node::{ConnectionKey, Effect, Node};

/// Largest response with turns, in bytes of their frames. It exceeds this by less than one turn.
pub(crate) const MAX_RESPONSE_BYTES: u64 = 512 << 10;

new_key_type! {
    /// A read from the disk that has not ended.
    pub struct ReadKey;
}

/// What turns are read for.
#[derive(Debug)]
pub(super) enum ReadPurpose {
    /// A response to [`jayreel_ledger::MemberRequest::Chain`].
    Chain { to: ConnectionKey, id: u64 },
    /// A response to [`jayreel_ledger::MemberRequest::CopyTurns`].
    Copy {
        to: ConnectionKey,
        id: u64,
        covered: u32,
    },
    /// The turns move to the newest segment.
    Clean { segment: u32 },
}

/// A read that has not ended.
#[derive(Debug)]
pub(super) struct PendingRead {
    purpose: ReadPurpose,
    /// All turns to read, with their positions when the read began.
    turns: Vec<(TurnDigest, FrameLocation)>,
    /// The turns that were in the cache. As many entries as in `turns`.
    cached: Vec<Option<TurnRecord>>,
    /// Bytes of the frames that are read from the disk.
    disk_bytes: usize,
}

impl PendingRead {
    /// Whether the turns are read to be moved.
    pub(super) fn is_cleaning(&self) -> bool {
        matches!(self.purpose, ReadPurpose::Clean { .. })
    }
}

impl Node {
    /// Responds with a turn and those before it, from the cache if all of them are there. `limits`
    /// are the largest number of turns and of bytes of their frames.
    pub(super) fn send_chain(
        &mut self,
        now_ms: u64,
        to: ConnectionKey,
        id: u64,
        turn: &str,
        limits: (u32, u64),
    ) -> Vec<Effect> {
        let (max_turns, max_bytes) = limits;
        let enough_bytes = MAX_RESPONSE_BYTES.min(max_bytes);
        let mut chain = self.state.chain(now_ms, turn, max_turns, enough_bytes);
        let frame_bytes =
            |(_, location): &(TurnDigest, FrameLocation)| u64::from(location.frame_bytes);
        let mut size_bytes: u64 = chain.iter().map(frame_bytes).sum();
        if let Some(oldest) = chain.pop_if(|_| size_bytes > max_bytes) {
            size_bytes -= frame_bytes(&oldest);
            if chain.is_empty() {
                let frame_bytes = frame_bytes(&oldest);
                let response = MemberResponse::TurnTooLarge { frame_bytes };
                return vec![reply(to, id, response)];
            }
        }
        debug_assert!(size_bytes <= max_bytes);
        match chain.is_empty() {
            true if !self.is_voting() => vec![reply(to, id, MemberResponse::NotVoting)],
            true => vec![reply(to, id, MemberResponse::Chain(Vec::new()))],
            false => self.read_turns(now_ms, chain, ReadPurpose::Chain { to, id }),
        }
    }

    /// Responds with as many of the turns as fit into a response. Those that this instance does
    /// not hold count as covered.
    pub(super) fn send_copies(
        &mut self,
        now_ms: u64,
        to: ConnectionKey,
        id: u64,
        requested: &[TurnDigest],
    ) -> Vec<Effect> {
        let (turns, covered) = self.next_locations(requested);
        let covered = u32::try_from(covered).unwrap_or(u32::MAX);
        self.read_turns(now_ms, turns, ReadPurpose::Copy { to, id, covered })
    }

    /// Positions of the first turns that fit into a message, and how many of `requested` these
    /// cover: at least one. Turns that this instance does not hold are covered.
    pub fn next_locations(
        &self,
        requested: &[TurnDigest],
    ) -> (Vec<(TurnDigest, FrameLocation)>, usize) {
        let mut turns = Vec::new();
        let mut covered = 0;
        let mut size_bytes = 0;
        for turn in requested {
            if size_bytes >= MAX_RESPONSE_BYTES {
                break;
            }
            covered += 1;
            let location = self.state.location(*turn);
            size_bytes += location.map_or(0, |location| location.frame_bytes.into());
            turns.extend(location.map(|location| (*turn, location)));
        }
        (turns, covered)
    }

    /// Reads the turns that are not in the cache. Rejects requests while too much is being read.
    pub(super) fn read_turns(
        &mut self,
        now_ms: u64,
        turns: Vec<(TurnDigest, FrameLocation)>,
        purpose: ReadPurpose,
    ) -> Vec<Effect> {
        let cached = turns.iter().map(|(turn, _)| self.cache.get(*turn));
        let cached: Vec<Option<TurnRecord>> = cached
            .map(|turn| turn.map(|turn| TurnRecord::clone(&turn)))
            .collect();
        let missing: Vec<FrameLocation> = turns
            .iter()
            .zip(&cached)
            .filter(|(_, cached)| cached.is_none())
            .map(|((_, location), _)| *location)
            .collect();
        let disk_bytes = missing.iter().map(|location| location.frame_bytes as usize);
        let read = PendingRead {
            disk_bytes: disk_bytes.sum(),
            purpose,
            turns,
            cached,
        };
        if missing.is_empty() {
            return self.finish_read(now_ms, read, Vec::new());
        }
        let read_bytes = self.read_bytes + read.disk_bytes;
        // A single read is always possible, however large its turn is.
        let is_over = self.read_bytes > 0 && read_bytes > self.log.limits().read_bytes;
        let used_bytes = self.read_bytes as u64;
        if self.log.read_gate.rejects(now_ms, is_over, used_bytes) {
            return match read.purpose {
                ReadPurpose::Chain { to, id } | ReadPurpose::Copy { to, id, .. } => {
                    vec![reply(to, id, MemberResponse::Unavailable)]
                }
                ReadPurpose::Clean { .. } => Vec::new(),
            };
        }
        self.read_bytes = read_bytes;
        let key = self.reads.insert(read);
        vec![Effect::Read {
            key,
            locations: missing,
        }]
    }

    /// Handles the turns that were read. `None` stands for a damaged one.
    pub(super) fn turns_read(
        &mut self,
        now_ms: u64,
        key: ReadKey,
        turns: Vec<Option<TurnRecord>>,
    ) -> Vec<Effect> {
        let Some(read) = self.reads.remove(key) else {
            return Vec::new();
        };
        self.read_bytes -= read.disk_bytes;
        self.finish_read(now_ms, read, turns)
    }

    /// Uses the turns of a read: those from the cache, and `from_disk` in the order of the
    /// others.
    fn finish_read(
        &mut self,
        now_ms: u64,
        read: PendingRead,
        from_disk: Vec<Option<TurnRecord>>,
    ) -> Vec<Effect> {
        let mut from_disk = from_disk.into_iter();
        let mut found = Vec::new();
        let mut damaged = Vec::new();
        for ((turn, location), cached) in read.turns.iter().zip(read.cached) {
            let record = cached.or_else(|| from_disk.next().flatten());
            let is_damaged = record.is_none();
            found.extend(record);
            damaged.extend(is_damaged.then_some((*turn, *location)));
        }
        let mut effects = Vec::new();
        if !damaged.is_empty() {
            self.lose_turns(&damaged);
        }
        match read.purpose {
            ReadPurpose::Chain { to, id } | ReadPurpose::Copy { to, id, .. }
                if !damaged.is_empty() =>
            {
                effects.push(reply(to, id, MemberResponse::Unavailable));
            }
            ReadPurpose::Chain { to, id } => {
                found
                    .iter()
                    .for_each(|turn| self.cache.insert(turn.clone()));
                effects.push(reply(to, id, MemberResponse::Chain(found)));
            }
            ReadPurpose::Copy { to, id, covered } => {
                let turns = found;
                effects.push(reply(to, id, MemberResponse::Turns { turns, covered }));
            }
            ReadPurpose::Clean { segment } => {
                effects.extend(self.move_turns(now_ms, segment, found));
            }
        }
        effects
    }

    /// Removes turns whose frames are damaged. The instance then lacks records that it has
    /// confirmed, so it copies all records again before it votes.
    fn lose_turns(&mut self, damaged: &[(TurnDigest, FrameLocation)]) {
        for (turn, location) in damaged {
            if self.state.location(*turn) == Some(*location) {
                self.state.remove_turn(*turn);
            }
        }
        self.state.mark_incomplete();
        if self.is_voting() {
            self.membership =
                MembershipState::CatchingUp(CatchUp::plan(&self.group, &self.name, true));
        }
        log::error!(
            "event=records_lost turns={} group_version={}",
            damaged.len(),
            self.group.version
        );
    }

    /// Returns one part of the charges and of the digests of the turns.
    pub(super) fn share_part(&self, cursor: &CopyCursor) -> MemberResponse {
        let part = self.state.copy_part(cursor);
        MemberResponse::Part {
            start: self.start,
            charges: part.charges,
            turns: part.turns,
            next: part.next,
            is_complete: self.is_voting() || self.was_complete_recently(),
        }
    }
}

fn reply(connection: ConnectionKey, id: u64, body: MemberResponse) -> Effect {
    let reply = Reply { id, body };
    Effect::Reply { connection, reply }
}
