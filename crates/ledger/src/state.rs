//! The merged records of one storage instance, indexed for readers.
//!
//! The inputs and outputs of turns are not held in memory: the index has the position of each
//! turn's frame in the log.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::group::VoteHistory;
use crate::log::{FrameLocation, LogEntry};
use crate::message::TurnRenewal;
use crate::record::{
    ChargeView, LedgerRecord, ProgramKey, Reservation, Settlement, TurnDigest,
    TurnRecord, turn_digest,
};

/// How long the charges of a program are kept after the last change to them, in milliseconds.
/// A program may resume within the retention time of its turns, which operators set to
/// minutes at most.
const CHARGE_RETENTION_MS: u64 = 600_000;

/// How long grants of customers' rates are kept, in milliseconds. Must be longer than any
/// window over which a rate limit is agreed.
const GRANT_RETENTION_MS: u64 = 30_000;

/// Number of charges in one part of a copy, beyond which it ends with the current program.
const CHARGES_PER_PART: usize = 2_000;

/// Number of turns in one part of a copy.
const TURNS_PER_PART: usize = 4_000;

/// The charge of one turn.
#[derive(Debug)]
struct Charge {
    /// Tokens used if the turn is settled, otherwise tokens reserved.
    tokens: u32,
    is_settled: bool,
    /// Request identifier of the turn.
    turn: String,
    /// Position of the newest record of the charge.
    location: FrameLocation,
}

/// The charges of one program.
#[derive(Debug, Default)]
struct ProgramCharges {
    /// Charges by the digest of their turns.
    by_turn: BTreeMap<u64, Charge>,
    /// When a reservation or settlement last arrived.
    updated_ms: u64,
}

/// A turn in the index.
#[derive(Clone, Copy, Debug)]
struct StoredTurn {
    previous: Option<TurnDigest>,
    location: FrameLocation,
    retention_ms: u64,
    /// Insertion number of the turn. Unique.
    sequence: u64,
    /// When the turn is removed, in milliseconds, unless it is used before.
    expires_ms: u64,
}

/// A grant that this instance made.
#[derive(Debug)]
struct Grant {
    at_ms: u64,
    customer: String,
    count: u32,
    /// The segment that holds its record.
    segment: u32,
}

/// A position in a copy of all shared records. The charges come first, then the turns in the
/// order in which they were added.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CopyCursor {
    /// The programs after this one, or all of them.
    Charges {
        /// The last program of the part before.
        after: Option<ProgramKey>,
    },
    /// The turns from this insertion number on.
    Turns {
        /// Insertion number at the instance that is copied. It has no meaning after a restart.
        from_sequence: u64,
    },
}

impl CopyCursor {
    /// The start of a copy.
    pub const START: CopyCursor = CopyCursor::Charges { after: None };
}

/// One part of a copy: records of charges, and digests of turns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyPart {
    /// The charges of some programs.
    pub charges: Vec<LedgerRecord>,
    /// Digests of some turns.
    pub turns: Vec<TurnDigest>,
    /// Cursor of the next part. `None` after the last one.
    pub next: Option<CopyCursor>,
}

/// All records that one instance holds, merged.
#[derive(Debug, Default)]
pub struct LedgerState {
    programs: BTreeMap<ProgramKey, ProgramCharges>,
    turns: HashMap<TurnDigest, StoredTurn>,
    /// Keys of `turns` by insertion number.
    turns_by_sequence: BTreeMap<u64, TurnDigest>,
    next_sequence: u64,
    /// What is known about the votes of the instance.
    votes: VoteHistory,
    /// Grants that this instance made, oldest first.
    grants: VecDeque<Grant>,
    /// Bytes of the frames of `programs` and `turns` in each segment. Segments without such
    /// frames have no entry.
    live_bytes: BTreeMap<u32, u64>,
}

impl LedgerState {
    /// Merges a record, whose retention time starts at `now_ms`. Returns whether it contained
    /// anything new, so that it must be written to the log. If it was, its position must be
    /// set with [`LedgerState::locate`].
    pub fn merge(&mut self, now_ms: u64, record: &LedgerRecord) -> bool {
        match record {
            LedgerRecord::Reserved(reservation) => self.reserve(now_ms, reservation),
            LedgerRecord::Settled(settlement) => self.settle(now_ms, settlement),
            LedgerRecord::Turn(turn) => self.add_turn(now_ms, turn),
            LedgerRecord::Granted {
                at_ms,
                customer,
                count,
            } => {
                self.grants.push_back(Grant {
                    at_ms: *at_ms,
                    customer: customer.clone(),
                    count: *count,
                    segment: 0,
                });
                self.remove_old_grants(*at_ms);
                true
            }
            LedgerRecord::Complete { group_version } => {
                let known = &mut self.votes.complete_version;
                let is_new = *known < Some(*group_version);
                *known = (*known).max(Some(*group_version));
                is_new
            }
            LedgerRecord::VotesRecorded { from_version } => {
                let known = &mut self.votes.recorded_from;
                let is_new = *known < Some(*from_version);
                *known = (*known).max(Some(*from_version));
                is_new
            }
        }
    }

    /// Sets the position of the newest record of a charge, turn or grant.
    pub fn locate(&mut self, record: &LedgerRecord, location: FrameLocation) {
        let known = match record {
            LedgerRecord::Reserved(Reservation { program, turn, .. })
            | LedgerRecord::Settled(Settlement { program, turn, .. }) => {
                let charges = self.programs.get_mut(program);
                let charge =
                    charges.and_then(|all| all.by_turn.get_mut(&turn_digest(turn)));
                charge.map(|charge| &mut charge.location)
            }
            LedgerRecord::Turn(turn) => {
                let stored = self.turns.get_mut(&TurnDigest::of(&turn.turn));
                stored.map(|stored| &mut stored.location)
            }
            LedgerRecord::Granted { .. } => {
                let last = self.grants.back_mut();
                last.into_iter()
                    .for_each(|grant| grant.segment = location.segment);
                None
            }
            LedgerRecord::Complete { .. } | LedgerRecord::VotesRecorded { .. } => None,
        };
        let Some(known) = known else { return };
        let old = std::mem::replace(known, location);
        self.remove_live_bytes(old);
        *self.live_bytes.entry(location.segment).or_default() +=
            u64::from(location.frame_bytes);
    }

    fn remove_live_bytes(&mut self, location: FrameLocation) {
        let Some(bytes) = self.live_bytes.get_mut(&location.segment) else {
            return;
        };
        *bytes = bytes.saturating_sub(u64::from(location.frame_bytes));
        if *bytes == 0 {
            self.live_bytes.remove(&location.segment);
        }
    }

    /// Notes that the grants whose records are in one segment were written to another.
    pub fn move_grants(&mut self, from_segment: u32, to_segment: u32) {
        let grants = self.grants.iter_mut();
        grants
            .filter(|grant| grant.segment == from_segment)
            .for_each(|grant| grant.segment = to_segment);
    }

    /// Bytes of the frames in a segment that are needed.
    pub fn live_bytes(&self, segment: u32) -> u64 {
        self.live_bytes.get(&segment).copied().unwrap_or(0)
    }

    /// Bytes of all frames that are needed.
    pub fn total_live_bytes(&self) -> u64 {
        self.live_bytes.values().sum()
    }

    /// Number of turns.
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Merges an entry that was read from the log. A later entry for the same turn or charge
    /// takes the place of the earlier one.
    pub fn recover(&mut self, now_ms: u64, entry: LogEntry, location: FrameLocation) {
        let record = match entry {
            LogEntry::Reserved(reservation) => LedgerRecord::Reserved(reservation),
            LogEntry::Settled(settlement) => LedgerRecord::Settled(settlement),
            LogEntry::Turn(head) => LedgerRecord::Turn(TurnRecord {
                turn: head.turn,
                customer: head.customer,
                previous: head.previous,
                input: Bytes::new(),
                output: Bytes::new(),
                retention_ms: head.retention_ms,
            }),
            LogEntry::Granted {
                at_ms,
                customer,
                count,
            } => LedgerRecord::Granted {
                at_ms,
                customer,
                count,
            },
            LogEntry::Complete { group_version } => {
                LedgerRecord::Complete { group_version }
            }
            LogEntry::VotesRecorded { from_version } => {
                LedgerRecord::VotesRecorded { from_version }
            }
        };
        let is_new = self.merge(now_ms, &record);
        // A reservation in the log after the settlement of the turn is a copy from another
        // member, and does not replace it.
        if is_new || !matches!(record, LedgerRecord::Reserved(_)) {
            self.locate(&record, location);
        }
    }

    /// The grants that this instance made: time, customer and number of requests, oldest
    /// first. After [`LedgerState::restart`] the times refer to the clock of the new start.
    pub fn grants(&self) -> impl Iterator<Item = (u64, &str, u32)> {
        let grants = self.grants.iter();
        grants.map(|grant| (grant.at_ms, grant.customer.as_str(), grant.count))
    }

    fn remove_old_grants(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms + GRANT_RETENTION_MS < now_ms;
        while self.grants.front().is_some_and(|grant| is_old(grant.at_ms)) {
            self.grants.pop_front();
        }
    }

    /// Shifts the times of grants after a restart of the instance, so that the last grant
    /// counts as made at the start. How long the instance was down is unknown, and its clock
    /// may have been reset.
    pub fn restart(&mut self, started_ms: u64) {
        let Some(last_ms) = self.grants.back().map(|grant| grant.at_ms) else {
            return;
        };
        for grant in &mut self.grants {
            let age_ms = last_ms.saturating_sub(grant.at_ms);
            grant.at_ms = started_ms.saturating_sub(age_ms);
        }
    }

    /// Newest version of the group for which the records were complete. `None` if the
    /// instance has never voted, according to its disk.
    pub fn complete_version(&self) -> Option<u64> {
        self.votes.complete_version
    }

    /// What is known about the votes of the instance.
    pub fn votes(&self) -> VoteHistory {
        self.votes
    }

    /// Forgets that the records were ever complete, because some were found to be damaged. Votes
    /// may be among them.
    pub fn mark_incomplete(&mut self) {
        self.votes = VoteHistory::default();
    }

    fn program_charges(
        &mut self,
        now_ms: u64,
        program: &ProgramKey,
    ) -> &mut ProgramCharges {
        let charges = self.programs.entry(program.clone()).or_default();
        charges.updated_ms = charges.updated_ms.max(now_ms);
        charges
    }

    fn reserve(&mut self, now_ms: u64, reservation: &Reservation) -> bool {
        let charges = self.program_charges(now_ms, &reservation.program);
        let digest = turn_digest(&reservation.turn);
        let is_new = !charges.by_turn.contains_key(&digest);
        charges.by_turn.entry(digest).or_insert_with(|| Charge {
            tokens: reservation.max_turn_tokens,
            is_settled: false,
            turn: reservation.turn.clone(),
            location: FrameLocation::default(),
        });
        is_new
    }

    /// Replaces the reservation of a turn by its usage, even if the reservation arrives later.
    /// Of two settlements of a turn the larger one counts.
    fn settle(&mut self, now_ms: u64, settlement: &Settlement) -> bool {
        let charges = self.program_charges(now_ms, &settlement.program);
        let digest = turn_digest(&settlement.turn);
        let charge = charges.by_turn.entry(digest).or_insert_with(|| Charge {
            tokens: 0,
            is_settled: false,
            turn: settlement.turn.clone(),
            location: FrameLocation::default(),
        });
        let is_new = !charge.is_settled || charge.tokens < settlement.used_tokens;
        charge.tokens = match charge.is_settled {
            true => charge.tokens.max(settlement.used_tokens),
            false => settlement.used_tokens,
        };
        charge.is_settled = true;
        is_new
    }

    fn add_turn(&mut self, now_ms: u64, record: &TurnRecord) -> bool {
        let digest = TurnDigest::of(&record.turn);
        let expires_ms = now_ms.saturating_add(record.retention_ms);
        if let Some(stored) = self.turns.get_mut(&digest) {
            stored.expires_ms = stored.expires_ms.max(expires_ms);
            return false;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.turns_by_sequence.insert(sequence, digest);
        let previous = record.previous.as_deref().map(TurnDigest::of);
        self.turns.insert(
            digest,
            StoredTurn {
                previous,
                location: FrameLocation::default(),
                retention_ms: record.retention_ms,
                sequence,
                expires_ms,
            },
        );
        self.extend_retention(now_ms, previous);
        true
    }

    /// Restarts the retention time of a turn and of the turns that it continues, up to the first
    /// one that this instance does not hold. The others are kept by [`LedgerState::renew_turn`].
    fn extend_retention(&mut self, now_ms: u64, turn: Option<TurnDigest>) {
        let mut next = turn;
        while let Some(stored) = next.and_then(|turn| self.turns.get_mut(&turn)) {
            let expires_ms = now_ms.saturating_add(stored.retention_ms);
            stored.expires_ms = stored.expires_ms.max(expires_ms);
            next = stored.previous;
        }
    }

    /// Restarts the retention time of a turn. Does nothing if this instance does not hold it.
    pub fn renew_turn(&mut self, now_ms: u64, renewal: &TurnRenewal) {
        if let Some(stored) = self.turns.get_mut(&renewal.turn) {
            let retention_ms = stored.retention_ms.max(renewal.retention_ms);
            stored.expires_ms =
                stored.expires_ms.max(now_ms.saturating_add(retention_ms));
        }
    }

    /// Charges of all turns of a program, in no particular order. Empty if the program is
    /// unknown.
    pub fn charges(&self, program: &ProgramKey) -> Vec<ChargeView> {
        let Some(charges) = self.programs.get(program) else {
            return Vec::new();
        };
        let by_turn = charges.by_turn.iter();
        by_turn
            .map(|(digest, charge)| ChargeView {
                turn: *digest,
                tokens: charge.tokens,
                is_settled: charge.is_settled,
            })
            .collect()
    }

    /// Returns the positions of a turn and of up to `max_turns` - 1 of those that it continues,
    /// newest first, ending at the first one that this instance does not hold, or once their
    /// frames reach `max_bytes`. Extends the retention of the chain as far as this instance
    /// holds it without a gap.
    pub fn chain(
        &mut self,
        now_ms: u64,
        turn: &str,
        max_turns: u32,
        max_bytes: u64,
    ) -> Vec<(TurnDigest, FrameLocation)> {
        let digest = TurnDigest::of(turn);
        self.extend_retention(now_ms, Some(digest));
        let mut chain = Vec::new();
        let mut size_bytes = 0;
        let mut next = Some(digest);
        for _ in 0..max_turns {
            let found = next.and_then(|turn| Some((turn, self.turns.get(&turn)?)));
            let Some((turn, stored)) = found.filter(|_| size_bytes < max_bytes) else {
                break;
            };
            chain.push((turn, stored.location));
            size_bytes += u64::from(stored.location.frame_bytes);
            next = stored.previous;
        }
        chain
    }

    /// Position of a turn's frame. `None` if this instance does not hold the turn.
    pub fn location(&self, turn: TurnDigest) -> Option<FrameLocation> {
        self.turns.get(&turn).map(|stored| stored.location)
    }

    /// Removes a turn whose frame is damaged.
    pub fn remove_turn(&mut self, turn: TurnDigest) {
        if let Some(stored) = self.turns.remove(&turn) {
            self.turns_by_sequence.remove(&stored.sequence);
            self.remove_live_bytes(stored.location);
        }
    }

    /// Returns one part of a copy of all shared records. Its size is bounded, but for the
    /// charges of a single program.
    pub fn copy_part(&self, cursor: &CopyCursor) -> CopyPart {
        match cursor {
            CopyCursor::Charges { after } => self.charges_part(after.as_ref()),
            CopyCursor::Turns { from_sequence } => self.turns_part(*from_sequence),
        }
    }

    fn charges_part(&self, after: Option<&ProgramKey>) -> CopyPart {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut charges = Vec::new();
        let mut next = CopyCursor::Turns { from_sequence: 0 };
        for (program, of_program) in self.programs.range((from, Bound::Unbounded)) {
            let records = of_program.by_turn.values();
            charges.extend(records.map(|charge| charge_record(program, charge)));
            if charges.len() >= CHARGES_PER_PART {
                next = CopyCursor::Charges {
                    after: Some(program.clone()),
                };
                break;
            }
        }
        CopyPart {
            charges,
            turns: Vec::new(),
            next: Some(next),
        }
    }

    fn turns_part(&self, from_sequence: u64) -> CopyPart {
        let mut turns = self.turns_by_sequence.range(from_sequence..);
        let part: Vec<TurnDigest> = turns
            .by_ref()
            .take(TURNS_PER_PART)
            .map(|(_, turn)| *turn)
            .collect();
        let next = turns.next().map(|(sequence, _)| CopyCursor::Turns {
            from_sequence: *sequence,
        });
        CopyPart {
            charges: Vec::new(),
            turns: part,
            next,
        }
    }

    /// Up to `max_turns` turns whose frames are in a segment.
    pub fn turns_in(
        &self,
        segment: u32,
        max_turns: usize,
    ) -> Vec<(TurnDigest, FrameLocation)> {
        let turns = self.turns_by_sequence.values();
        turns
            .filter_map(|turn| Some((*turn, self.location(*turn)?)))
            .filter(|(_, location)| location.segment == segment)
            .take(max_turns)
            .collect()
    }

    /// The records other than turns whose newest frames are in a segment. Includes what is known
    /// about the votes of the instance, wherever the records of that are.
    pub fn small_records_in(&self, segment: u32) -> Vec<LedgerRecord> {
        let is_here = |charge: &&Charge| charge.location.segment == segment;
        let charges = self.programs.iter().flat_map(|(program, charges)| {
            let here = charges.by_turn.values().filter(is_here);
            here.map(|charge| charge_record(program, charge))
        });
        let grants = self.grants.iter().filter(|grant| grant.segment == segment);
        let grants = grants.map(|grant| LedgerRecord::Granted {
            at_ms: grant.at_ms,
            customer: grant.customer.clone(),
            count: grant.count,
        });
        let complete = self.votes.complete_version.into_iter();
        let complete =
            complete.map(|group_version| LedgerRecord::Complete { group_version });
        let recorded = self.votes.recorded_from.into_iter();
        let recorded =
            recorded.map(|from_version| LedgerRecord::VotesRecorded { from_version });
        let votes = complete.chain(recorded);
        charges.chain(grants).chain(votes).collect()
    }

    /// Removes turns and charges whose retention time has passed.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self.turns.iter();
        let expired = expired.filter(|(_, stored)| stored.expires_ms <= now_ms);
        let expired: Vec<TurnDigest> = expired.map(|(turn, _)| *turn).collect();
        expired.into_iter().for_each(|turn| self.remove_turn(turn));
        let is_old =
            |charges: &ProgramCharges| charges.updated_ms + CHARGE_RETENTION_MS <= now_ms;
        let old = self.programs.extract_if(.., |_, charges| is_old(charges));
        let old: Vec<ProgramCharges> = old.map(|(_, charges)| charges).collect();
        for charge in old.iter().flat_map(|charges| charges.by_turn.values()) {
            self.remove_live_bytes(charge.location);
        }
    }

    /// Tokens that the ended turns of a program used, as far as this instance knows. Never
    /// more than the sum over the charges of a quorum.
    pub fn used_tokens(&self, program: &ProgramKey) -> u64 {
        let charges = self.programs.get(program).into_iter();
        let charges = charges.flat_map(|charges| charges.by_turn.values());
        charges
            .filter(|charge| charge.is_settled)
            .map(|charge| u64::from(charge.tokens))
            .sum()
    }

    /// Whether the program has started: a turn of it was reserved or settled.
    pub fn has_started(&self, program: &ProgramKey) -> bool {
        self.programs.contains_key(program)
    }
}

fn charge_record(program: &ProgramKey, charge: &Charge) -> LedgerRecord {
    match charge.is_settled {
        true => LedgerRecord::Settled(Settlement {
            program: program.clone(),
            turn: charge.turn.clone(),
            used_tokens: charge.tokens,
        }),
        false => LedgerRecord::Reserved(Reservation {
            program: program.clone(),
            turn: charge.turn.clone(),
            max_turn_tokens: charge.tokens,
        }),
    }
}
