//! All facts that one instance holds, indexed for readers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::fact::{
    ChargeView, LedgerRecord, ProgramKey, Reservation, Settlement, TurnRecord,
    turn_digest,
};

/// How long charges of a program are kept after the last one, in milliseconds. Programs may
/// come back within the retention time of their turns, of which operators set at most
/// minutes.
const CHARGES_KEEP_MS: u64 = 600_000;

/// How long grants of customers' rates are remembered, in milliseconds: longer than any
/// window in which rates are agreed.
const GRANTS_KEEP_MS: u64 = 30_000;

#[derive(Debug)]
struct Charge {
    tokens: u32,
    is_settled: bool,
    turn: String,
}

#[derive(Debug, Default)]
struct Account {
    charges: BTreeMap<u64, Charge>,
    touched_ms: u64,
}

#[derive(Debug)]
struct StoredTurn {
    record: TurnRecord,
    /// Place in the order in which turns were added. Unique.
    sequence: u64,
    expires_ms: u64,
}

/// A conversation as far as one book holds it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chain {
    /// Newest turn first.
    pub turns: Vec<TurnRecord>,
}

/// Facts of one instance, merged.
#[derive(Debug, Default)]
pub struct LedgerState {
    accounts: HashMap<ProgramKey, Account>,
    turns: HashMap<String, StoredTurn>,
    /// Turns by the order in which they were added. Has one entry for each of `turns`.
    order: BTreeMap<u64, String>,
    next_sequence: u64,
    /// Newest version of the group for which the facts were complete.
    complete_version: Option<u64>,
    /// Time, customer and number of own grants, oldest first.
    grants: VecDeque<(u64, String, u32)>,
}

impl LedgerState {
    /// Merges a fact. Returns whether it told anything new.
    pub fn merge(&mut self, now_ms: u64, fact: &LedgerRecord) -> bool {
        match fact {
            LedgerRecord::Reserved(reservation) => self.reserve(now_ms, reservation),
            LedgerRecord::Settled(settlement) => self.settle(now_ms, settlement),
            LedgerRecord::Turn(record) => self.add_turn(now_ms, record),
            LedgerRecord::Granted {
                at_ms,
                customer,
                count,
            } => {
                self.grants.push_back((*at_ms, customer.clone(), *count));
                self.forget_grants(*at_ms);
                true
            }
            LedgerRecord::Complete { group_version } => {
                let is_new = self.complete_version < Some(*group_version);
                self.complete_version = self.complete_version.max(Some(*group_version));
                is_new
            }
        }
    }

    /// Own grants of customers' rates, by the clock since the last start.
    pub fn grants(&self) -> impl Iterator<Item = (u64, &str, u32)> {
        let grants = self.grants.iter();
        grants.map(|(at_ms, customer, count)| (*at_ms, customer.as_str(), *count))
    }

    fn forget_grants(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms + GRANTS_KEEP_MS < now_ms;
        while self
            .grants
            .front()
            .is_some_and(|(at_ms, ..)| is_old(*at_ms))
        {
            self.grants.pop_front();
        }
    }

    /// The owner of the book starts. How long it was away is not known, and its clock may have
    /// begun anew, so its last grant counts as if it had been at the start.
    pub fn restart(&mut self, started_ms: u64) {
        let Some(last_ms) = self.grants.back().map(|(at_ms, ..)| *at_ms) else {
            return;
        };
        for (at_ms, ..) in &mut self.grants {
            let age_ms = last_ms.saturating_sub(*at_ms);
            *at_ms = started_ms.saturating_sub(age_ms);
        }
    }

    /// Newest version of the group for which the facts were complete.
    pub fn complete_version(&self) -> Option<u64> {
        self.complete_version
    }

    fn account(&mut self, now_ms: u64, program: &ProgramKey) -> &mut Account {
        let account = self.accounts.entry(program.clone()).or_default();
        account.touched_ms = account.touched_ms.max(now_ms);
        account
    }

    fn reserve(&mut self, now_ms: u64, reservation: &Reservation) -> bool {
        let account = self.account(now_ms, &reservation.program);
        let digest = turn_digest(&reservation.turn);
        let is_new = !account.charges.contains_key(&digest);
        account.charges.entry(digest).or_insert_with(|| Charge {
            tokens: reservation.max_turn_tokens,
            is_settled: false,
            turn: reservation.turn.clone(),
        });
        is_new
    }

    /// A settlement replaces the reservation of its turn, also if it arrives first. Of two
    /// settlements of a turn the larger one counts.
    fn settle(&mut self, now_ms: u64, settlement: &Settlement) -> bool {
        let account = self.account(now_ms, &settlement.program);
        let digest = turn_digest(&settlement.turn);
        let charge = account.charges.entry(digest).or_insert_with(|| Charge {
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
        let expires_ms = now_ms.saturating_add(record.keep_ms);
        if let Some(stored) = self.turns.get_mut(&record.turn) {
            stored.expires_ms = stored.expires_ms.max(expires_ms);
            return false;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order.insert(sequence, record.turn.clone());
        self.turns.insert(
            record.turn.clone(),
            StoredTurn {
                record: record.clone(),
                sequence,
                expires_ms,
            },
        );
        self.touch_ancestors(now_ms, record.previous.clone());
        true
    }

    /// A turn is kept together with the turns before it.
    fn touch_ancestors(&mut self, now_ms: u64, previous: Option<String>) {
        let mut next = previous;
        while let Some(stored) = next.and_then(|turn| self.turns.get_mut(&turn)) {
            let expires_ms = now_ms.saturating_add(stored.record.keep_ms);
            stored.expires_ms = stored.expires_ms.max(expires_ms);
            next = stored.record.previous.clone();
        }
    }

    /// Charges of a program, in no particular order.
    pub fn charges(&self, program: &ProgramKey) -> Vec<ChargeView> {
        let Some(account) = self.accounts.get(program) else {
            return Vec::new();
        };
        let views = account.charges.iter();
        views
            .map(|(digest, charge)| ChargeView {
                turn: *digest,
                tokens: charge.tokens,
                is_settled: charge.is_settled,
            })
            .collect()
    }

    /// The turn and up to `max_chain_turns` - 1 of those before it, as far as this book holds them
    /// without a gap.
    pub fn chain(&mut self, now_ms: u64, turn: &str, max_chain_turns: u32) -> Chain {
        self.touch_ancestors(now_ms, Some(turn.to_string()));
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

    /// Facts about budgets, then turns in the order in which they were added, from a cursor
    /// on. Returns the facts and the cursor of the next part, or none at the end. A part
    /// ends after `part_bytes` of content, but holds at least one turn.
    pub fn part(
        &self,
        cursor: u64,
        part_bytes: usize,
    ) -> (Vec<LedgerRecord>, Option<u64>) {
        if cursor == 0 {
            return (self.budget_facts(), Some(1));
        }
        let mut facts = Vec::new();
        let mut size_bytes = 0;
        for (sequence, turn) in self.order.range(cursor - 1..) {
            if size_bytes >= part_bytes {
                return (facts, Some(sequence + 1));
            }
            let record = &self.turns[turn].record;
            size_bytes += record.input.len() + record.output.len();
            facts.push(LedgerRecord::Turn(record.clone()));
        }
        (facts, None)
    }

    fn budget_facts(&self) -> Vec<LedgerRecord> {
        let accounts = self.accounts.iter();
        accounts
            .flat_map(|(program, account)| {
                let charges = account.charges.values();
                charges.map(|charge| charge_fact(program, charge))
            })
            .collect()
    }

    /// Every fact, for a compacted copy of the log.
    pub fn facts(&self) -> Vec<LedgerRecord> {
        let turns = self.order.values();
        let turns = turns.map(|turn| LedgerRecord::Turn(self.turns[turn].record.clone()));
        let complete = self.complete_version.into_iter();
        let complete =
            complete.map(|group_version| LedgerRecord::Complete { group_version });
        let mut facts = self.budget_facts();
        let grants =
            self.grants()
                .map(|(at_ms, customer, count)| LedgerRecord::Granted {
                    at_ms,
                    customer: customer.to_string(),
                    count,
                });
        facts.extend(turns);
        facts.extend(grants);
        facts.extend(complete);
        facts
    }

    /// Forgets what has outlived its retention time.
    pub fn expire(&mut self, now_ms: u64) {
        let order = &mut self.order;
        self.turns.retain(|_, stored| {
            let is_kept = stored.expires_ms > now_ms;
            if !is_kept {
                order.remove(&stored.sequence);
            }
            is_kept
        });
        self.accounts
            .retain(|_, account| account.touched_ms + CHARGES_KEEP_MS > now_ms);
    }

    /// Tokens that turns of a program which have ended used, as far as this book knows. Never
    /// more than what a quorum tallies.
    pub fn used_tokens(&self, program: &ProgramKey) -> u64 {
        let account = self.accounts.get(program);
        let charges = account.into_iter().flat_map(|one| one.charges.values());
        charges
            .filter(|charge| charge.is_settled)
            .map(|charge| u64::from(charge.tokens))
            .sum()
    }

    /// Whether a turn of the program was reserved.
    pub fn has_begun(&self, program: &ProgramKey) -> bool {
        self.accounts.contains_key(program)
    }
}

fn charge_fact(program: &ProgramKey, charge: &Charge) -> LedgerRecord {
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
