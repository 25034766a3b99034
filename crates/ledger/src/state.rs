//! The merged records of one storage instance, indexed for readers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::record::{
    ChargeView, LedgerRecord, ProgramKey, Reservation, Settlement, TurnRecord,
    turn_digest,
};

/// How long the charges of a program are kept after the last change to them, in milliseconds.
/// A program may resume within the retention time of its turns, which operators set to
/// minutes at most.
const CHARGE_RETENTION_MS: u64 = 600_000;

/// How long grants of customers' rates are kept, in milliseconds. Must be longer than any
/// window over which a rate limit is agreed.
const GRANT_RETENTION_MS: u64 = 30_000;

/// The charge of one turn.
#[derive(Debug)]
struct Charge {
    /// Tokens used if the turn is settled, otherwise tokens reserved.
    tokens: u32,
    is_settled: bool,
    /// Request identifier of the turn.
    turn: String,
}

/// The charges of one program.
#[derive(Debug, Default)]
struct ProgramCharges {
    /// Charges by the digest of their turns.
    by_turn: BTreeMap<u64, Charge>,
    /// When a reservation or settlement last arrived.
    updated_ms: u64,
}

#[derive(Debug)]
struct StoredTurn {
    record: TurnRecord,
    /// Insertion number of the turn. Unique.
    sequence: u64,
    /// When the turn is removed, in milliseconds, unless it is used before.
    expires_ms: u64,
}

/// The turns of one conversation that an instance holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chain {
    /// Newest turn first.
    pub turns: Vec<TurnRecord>,
}

/// All records that one instance holds, merged.
#[derive(Debug, Default)]
pub struct LedgerState {
    programs: HashMap<ProgramKey, ProgramCharges>,
    /// Turns by request identifier.
    turns: HashMap<String, StoredTurn>,
    /// Request identifiers of all `turns` by insertion number.
    turns_by_sequence: BTreeMap<u64, String>,
    next_sequence: u64,
    /// Newest version of the group for which the records were complete.
    complete_version: Option<u64>,
    /// Time in milliseconds, customer and number of requests of each grant that this instance
    /// made, oldest first.
    grants: VecDeque<(u64, String, u32)>,
}

impl LedgerState {
    /// Merges a record, whose retention time starts at `now_ms`. Returns whether it contained
    /// anything new, so that it must be written to the log.
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
                self.grants.push_back((*at_ms, customer.clone(), *count));
                self.remove_old_grants(*at_ms);
                true
            }
            LedgerRecord::Complete { group_version } => {
                let is_new = self.complete_version < Some(*group_version);
                self.complete_version = self.complete_version.max(Some(*group_version));
                is_new
            }
        }
    }

    /// The grants that this instance made: time, customer and number of requests, oldest
    /// first. After [`LedgerState::restart`] the times refer to the clock of the new start.
    pub fn grants(&self) -> impl Iterator<Item = (u64, &str, u32)> {
        let grants = self.grants.iter();
        grants.map(|(at_ms, customer, count)| (*at_ms, customer.as_str(), *count))
    }

    fn remove_old_grants(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms + GRANT_RETENTION_MS < now_ms;
        while self
            .grants
            .front()
            .is_some_and(|(at_ms, ..)| is_old(*at_ms))
        {
            self.grants.pop_front();
        }
    }

    /// Shifts the times of grants after a restart of the instance, so that the last grant
    /// counts as made at the start. How long the instance was down is unknown, and its clock
    /// may have been reset.
    pub fn restart(&mut self, started_ms: u64) {
        let Some(last_ms) = self.grants.back().map(|(at_ms, ..)| *at_ms) else {
            return;
        };
        for (at_ms, ..) in &mut self.grants {
            let age_ms = last_ms.saturating_sub(*at_ms);
            *at_ms = started_ms.saturating_sub(age_ms);
        }
    }

    /// Newest version of the group for which the records were complete. `None` if the
    /// instance has never voted, according to its disk.
    pub fn complete_version(&self) -> Option<u64> {
        self.complete_version
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
        let expires_ms = now_ms.saturating_add(record.retention_ms);
        if let Some(stored) = self.turns.get_mut(&record.turn) {
            stored.expires_ms = stored.expires_ms.max(expires_ms);
            return false;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.turns_by_sequence.insert(sequence, record.turn.clone());
        self.turns.insert(
            record.turn.clone(),
            StoredTurn {
                record: record.clone(),
                sequence,
                expires_ms,
            },
        );
        self.extend_retention(now_ms, record.previous.clone());
        true
    }

    /// Restarts the retention time of a turn and of the turns that it continues, so that they
    /// are kept together.
    fn extend_retention(&mut self, now_ms: u64, turn: Option<String>) {
        let mut next = turn;
        while let Some(stored) = next.and_then(|turn| self.turns.get_mut(&turn)) {
            let expires_ms = now_ms.saturating_add(stored.record.retention_ms);
            stored.expires_ms = stored.expires_ms.max(expires_ms);
            next = stored.record.previous.clone();
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

    /// Returns a turn and up to `max_chain_turns` - 1 of those that it continues, ending at the
    /// first one that this instance does not hold. Extends the retention of the whole chain.
    pub fn chain(&mut self, now_ms: u64, turn: &str, max_chain_turns: u32) -> Chain {
        self.extend_retention(now_ms, Some(turn.to_string()));
        let mut chain = Chain::default();
        let mut next = Some(turn.to_string());
        for _ in 0..max_chain_turns {
            let Some(stored) = next.and_then(|turn| self.turns.get(&turn)) else {
                break;
            };
            chain.turns.push(stored.record.clone());
            next = stored.record.previous.clone();
        }
        chain
    }

    /// Returns one part of the shared records and the cursor of the next part, or `None` after
    /// the last one. Cursor 0 gives all charges; the following parts give the turns in the
    /// order in which they were added. A part of turns ends once their inputs and outputs
    /// reach `part_bytes`, so it exceeds that size by less than one turn.
    pub fn copy_part(
        &self,
        cursor: u64,
        part_bytes: usize,
    ) -> (Vec<LedgerRecord>, Option<u64>) {
        if cursor == 0 {
            return (self.charge_records(), Some(1));
        }
        let mut records = Vec::new();
        let mut size_bytes = 0;
        for (sequence, turn) in self.turns_by_sequence.range(cursor - 1..) {
            if size_bytes >= part_bytes {
                return (records, Some(sequence + 1));
            }
            let record = &self.turns[turn].record;
            size_bytes += record.input.len() + record.output.len();
            records.push(LedgerRecord::Turn(record.clone()));
        }
        (records, None)
    }

    fn charge_records(&self) -> Vec<LedgerRecord> {
        let programs = self.programs.iter();
        programs
            .flat_map(|(program, charges)| {
                let charges = charges.by_turn.values();
                charges.map(|charge| charge_record(program, charge))
            })
            .collect()
    }

    /// All records, including those that are not shared, for a compacted copy of the log.
    pub fn records(&self) -> Vec<LedgerRecord> {
        let turns = self.turns_by_sequence.values();
        let turns = turns.map(|turn| LedgerRecord::Turn(self.turns[turn].record.clone()));
        let complete = self.complete_version.into_iter();
        let complete =
            complete.map(|group_version| LedgerRecord::Complete { group_version });
        let mut records = self.charge_records();
        let grants =
            self.grants()
                .map(|(at_ms, customer, count)| LedgerRecord::Granted {
                    at_ms,
                    customer: customer.to_string(),
                    count,
                });
        records.extend(turns);
        records.extend(grants);
        records.extend(complete);
        records
    }

    /// Removes turns and charges whose retention time has passed.
    pub fn expire(&mut self, now_ms: u64) {
        let turns_by_sequence = &mut self.turns_by_sequence;
        self.turns.retain(|_, stored| {
            let is_kept = stored.expires_ms > now_ms;
            if !is_kept {
                turns_by_sequence.remove(&stored.sequence);
            }
            is_kept
        });
        self.programs
            .retain(|_, charges| charges.updated_ms + CHARGE_RETENTION_MS > now_ms);
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
