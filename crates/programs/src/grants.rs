//! Budget grants as recorded in the store.
//!
//! The shell writes a [`BudgetRecord`] under [`budget_key`] in one transaction with two
//! conditions: the revision of the value that it last read or wrote, so that an older
//! write that is still under way cannot replace a newer one; and that
//! [`takeover_key`](crate::ownership::takeover_key) of the own incarnation does not exist,
//! so that a successor that reads the record after creating its takeover record has read
//! the last one.

use std::collections::BTreeMap;

use jayreel_model::{Incarnation, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

use crate::account::Account;
use crate::admission::{Admission, DeferredAdmission, ProgramEffects};
use crate::program::{Program, ProgramId};
use crate::programs::{Programs, ended_refusal};
use crate::token::{CacheTag, ProgramToken};

/// Largest encoded [`BudgetRecord`] in bytes. The store holds values up to 1 MB.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// Brackets, commas and two numbers of up to 20 digits.
const ENTRY_BYTES: usize = 44;

/// Quotes, colon, brackets and comma around the entries of one owner.
const OWNER_BYTES: usize = 8;

/// The store key of the grants of an incarnation.
pub fn budget_key(incarnation: &Incarnation) -> String {
    format!("budgets/{incarnation}")
}

/// Sequence number of a root program and its grant in tokens.
pub type Grant = (u64, u64);

/// All grants of one incarnation: the value of one store key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRecord {
    /// The incarnation whose grants these are.
    pub incarnation: Incarnation,
    /// Set on a planned stop: the grants are the exact spending, and a successor need not
    /// charge the first tranche.
    pub is_final: bool,
    /// Programs with this number or a higher one were opened after the record was made.
    pub next_sequence: u64,
    /// The live root programs of the incarnation. A lower number that is absent ended.
    pub live: Vec<Grant>,
    /// Root programs of predecessors, by owner.
    pub adopted: BTreeMap<Incarnation, Vec<Grant>>,
}

impl BudgetRecord {
    /// Upper bound of the encoded size without grants.
    pub(crate) const FIXED_BYTES: usize = 4_096;

    /// Upper bound of the encoded size of one grant in a record of `own`.
    pub(crate) fn entry_bytes(own: &Incarnation, root: &CacheTag) -> usize {
        if root.owner == *own {
            return ENTRY_BYTES;
        }
        // A character of a name takes up to 6 bytes in JSON.
        ENTRY_BYTES + OWNER_BYTES + 6 * root.owner.to_string().len()
    }

    /// The value for the store, at most [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a budget record is plain data")
    }

    /// Reads the value of the store.
    ///
    /// # Errors
    ///
    /// Any error of JSON or of its form.
    pub fn decode(value: &[u8]) -> Result<BudgetRecord, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// What a program opened by the incarnation may have spent. `None` if it ended.
    fn own_charge(&self, token: &ProgramToken) -> Option<u64> {
        let sequence = token.root.sequence;
        let grant = find(&self.live, sequence);
        match grant {
            Some(tokens) if self.is_final => Some(tokens),
            Some(tokens) => Some(tokens.max(token.first_tranche_tokens)),
            None if sequence < self.next_sequence => None,
            None => Some(token.first_tranche_tokens),
        }
    }

    /// What the incarnation may have spent on a program of a predecessor.
    fn adopted_charge(&self, root: &CacheTag) -> u64 {
        let grants = self.adopted.get(&root.owner);
        grants
            .and_then(|grants| find(grants, root.sequence))
            .unwrap_or(0)
    }
}

fn find(grants: &[Grant], sequence: u64) -> Option<u64> {
    let grant = grants.iter().find(|grant| grant.0 == sequence);
    grant.map(|grant| grant.1)
}

impl Programs {
    /// The record to write next, if any program needs a larger grant. Returns `None` until
    /// the last one was answered by [`Programs::budget_record_written`] or
    /// [`Programs::budget_record_failed`].
    pub fn next_budget_record(&mut self) -> Option<BudgetRecord> {
        let is_needed = self
            .accounts
            .values()
            .any(|entry| entry.account.wants_grant());
        if self.grant_write_pending || self.stopped || !is_needed {
            return None;
        }
        self.grant_write_pending = true;
        Some(self.budget_record(false, Account::next_grant_tokens))
    }

    /// Takes note of a record that the store confirmed, either in the answer to the write
    /// or by reading it back. Calls that waited for it may run.
    pub fn budget_record_written(&mut self, record: &BudgetRecord) -> ProgramEffects {
        self.grant_write_pending = false;
        let own = self.config.own.clone();
        let live = record.live.iter().map(|grant| (own.clone(), *grant));
        let adopted = record.adopted.iter().flat_map(|(owner, grants)| {
            grants.iter().map(|grant| (owner.clone(), *grant))
        });
        let mut transition = ProgramEffects::default();
        for (owner, (sequence, granted_tokens)) in live.chain(adopted) {
            let root = CacheTag { owner, sequence };
            if let Some(entry) = self.accounts.get_mut(&root) {
                entry.account.grant(granted_tokens);
                self.retry_account(&root, &mut transition);
            }
        }
        transition
    }

    /// Takes note that no record was confirmed. The calls that waited for it are refused.
    pub fn budget_record_failed(&mut self) -> ProgramEffects {
        self.grant_write_pending = false;
        for entry in self.accounts.values_mut() {
            entry.account.wanted_tokens = entry.account.granted_tokens;
        }
        let waiting: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, program)| program.needs_grant)
            .map(|(id, _)| *id)
            .collect();
        let mut transition = ProgramEffects::default();
        for id in waiting {
            self.refuse_first(id, &mut transition);
            self.start_next(id, &mut transition);
        }
        transition
    }

    /// Takes note of the last record of a predecessor, `None` if it wrote none. It must be
    /// read after the takeover record that names this incarnation was created. All
    /// predecessors of a predecessor must be adopted as well.
    pub fn adopt(&mut self, predecessor: Incarnation, record: Option<BudgetRecord>) {
        self.predecessors.entry(predecessor).or_insert(record);
    }

    /// Takes over the program of a predecessor on its first call.
    pub(crate) fn adopt_program(
        &mut self,
        now_ms: u64,
        token: &ProgramToken,
    ) -> Result<ProgramId, Refusal> {
        let is_own =
            token.owner == self.config.own || token.root.owner == self.config.own;
        if is_own || self.ended_adopted.contains_key(&token.cache_tag()) {
            return Err(ended_refusal());
        }
        if !self.predecessors.contains_key(&token.owner) {
            return Err(not_owner());
        }
        let charged_tokens = self.charged_tokens(token)?;
        self.add_account(now_ms, token, || {
            let tranche_tokens = token.first_tranche_tokens;
            Account::charged(token.budget_tokens, tranche_tokens, charged_tokens)
        })?;
        let own = self.config.own.clone();
        let mut program = Program::new(token.clone(), None, own, now_ms);
        program.next_turn = None;
        Ok(self.insert(program))
    }

    fn charged_tokens(&self, token: &ProgramToken) -> Result<u64, Refusal> {
        let own_charge = match self.predecessors.get(&token.root.owner) {
            Some(Some(record)) => record.own_charge(token).ok_or_else(ended_refusal)?,
            Some(None) => token.first_tranche_tokens,
            None => return Err(not_owner()),
        };
        let records = self.predecessors.values().flatten();
        let adopted_charge = records
            .map(|record| record.adopted_charge(&token.root))
            .max();
        Ok(own_charge.max(adopted_charge.unwrap_or(0)))
    }

    pub(crate) fn budget_record(
        &self,
        is_final: bool,
        grant_tokens: impl Fn(&Account) -> u64,
    ) -> BudgetRecord {
        let mut record = BudgetRecord {
            incarnation: self.config.own.clone(),
            is_final,
            next_sequence: self.next_sequence,
            live: Vec::new(),
            adopted: BTreeMap::new(),
        };
        for (root, entry) in &self.accounts {
            let grant = (root.sequence, grant_tokens(&entry.account));
            if root.owner == record.incarnation {
                record.live.push(grant);
            } else {
                record
                    .adopted
                    .entry(root.owner.clone())
                    .or_default()
                    .push(grant);
            }
        }
        record
    }

    fn refuse_first(&mut self, id: ProgramId, transition: &mut ProgramEffects) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        let Some(call) = program.drop_first() else {
            return;
        };
        self.calls.remove(&call.facts.request_id);
        transition.resolved.push(DeferredAdmission {
            request_id: call.facts.request_id,
            admission: Admission::Refuse(Refusal::not_run(
                RefusalReason::StoreUnavailable,
                "the next part of the budget cannot be recorded",
            )),
        });
    }
}

fn not_owner() -> Refusal {
    Refusal::not_run(
        RefusalReason::OwnerUnavailable,
        "this instance does not own the program",
    )
}
