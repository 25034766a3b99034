//! Budget grants and the record of them in the store.
//!
//! A grant is the number of tokens that a program may have spent when its incarnation
//! crashes; a successor charges it. The fleet crate writes a [`BudgetRecord`] under
//! [`budget_key`] in a transaction with two conditions:
//!
//! - The key has the revision that this incarnation last read or wrote, so that a delayed
//!   older write cannot replace a newer one.
//! - [`takeover_key`](crate::ownership::takeover_key) of this incarnation does not exist.
//!   A successor reads the budget record after it created the takeover record, so it
//!   reads the last one.

use std::collections::BTreeMap;

use jayreel_model::{Incarnation, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

use crate::account::Account;
use crate::admission::{Admission, DeferredAdmission, ProgramEffects};
use crate::program::{Program, ProgramId};
use crate::programs::{Programs, ended_refusal};
use crate::token::{CacheTag, ProgramToken};

/// Maximum encoded size of a [`BudgetRecord`], in bytes. The store accepts values up to 1
/// MB.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// Upper bound of the encoded size of a grant: brackets, commas and two numbers of up to
/// 20 digits.
const MAX_ENTRY_BYTES: usize = 44;

/// Quotes, colon, brackets and comma around the grants of one owner in `adopted`.
const OWNER_OVERHEAD_BYTES: usize = 8;

/// The store key of an incarnation's [`BudgetRecord`].
pub fn budget_key(incarnation: &Incarnation) -> String {
    format!("budgets/{incarnation}")
}

/// The sequence number of a root program within its owner, and its grant in tokens.
pub type Grant = (u64, u64);

/// All grants of one incarnation, stored as JSON under [`budget_key`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRecord {
    /// The incarnation that made the grants.
    pub incarnation: Incarnation,
    /// Set on a planned stop. The grants are then the exact spending, and a successor
    /// need not charge the first tranche.
    pub is_final: bool,
    /// Programs with this sequence number or a higher one were opened after the record
    /// was made.
    pub next_sequence: u64,
    /// The live root programs that the incarnation opened. A program that is absent and
    /// has a sequence number below `next_sequence` has ended.
    pub live: Vec<Grant>,
    /// Root programs taken over from predecessors, by owner.
    pub adopted: BTreeMap<Incarnation, Vec<Grant>>,
}

impl BudgetRecord {
    /// Upper bound of the encoded size without grants, in bytes.
    pub(crate) const FIXED_BYTES: usize = 4_096;

    /// Upper bound of the encoded size of the grant for `root` in a record of `own`, in
    /// bytes.
    pub(crate) fn entry_bytes(own: &Incarnation, root: &CacheTag) -> usize {
        if root.owner == *own {
            return MAX_ENTRY_BYTES;
        }
        // JSON escapes a character of a name with up to 6 bytes.
        MAX_ENTRY_BYTES + OWNER_OVERHEAD_BYTES + 6 * root.owner.to_string().len()
    }

    /// Encodes the record for the store. At most [`MAX_RECORD_BYTES`] long.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a budget record is plain data")
    }

    /// Decodes a value from the store.
    ///
    /// # Errors
    ///
    /// The value is not JSON or has unknown, missing or malformed fields.
    pub fn decode(value: &[u8]) -> Result<BudgetRecord, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// The tokens that a program may have spent at the incarnation that opened it. `None`
    /// if the program ended there.
    fn own_charge(&self, token: &ProgramToken) -> Option<u64> {
        let sequence = token.root.sequence;
        let grant = find_grant(&self.live, sequence);
        match grant {
            Some(tokens) if self.is_final => Some(tokens),
            Some(tokens) => Some(tokens.max(token.first_tranche_tokens)),
            None if sequence < self.next_sequence => None,
            None => Some(token.first_tranche_tokens),
        }
    }

    /// The tokens that the incarnation may have spent on a program of a predecessor.
    fn adopted_charge(&self, root: &CacheTag) -> u64 {
        let grants = self.adopted.get(&root.owner);
        grants
            .and_then(|grants| find_grant(grants, root.sequence))
            .unwrap_or(0)
    }
}

fn find_grant(grants: &[Grant], sequence: u64) -> Option<u64> {
    let grant = grants.iter().find(|grant| grant.0 == sequence);
    grant.map(|grant| grant.1)
}

impl Programs {
    /// Returns the budget record to write if any program needs a larger grant. Returns
    /// `None` while a write is pending: until [`Programs::budget_record_written`] or
    /// [`Programs::budget_record_failed`] was called for it.
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

    /// Applies the grants of a record that is known to be stored, either from the
    /// response to the write or by reading it back. Returns the decisions about calls
    /// that waited for it.
    pub fn budget_record_written(&mut self, record: &BudgetRecord) -> ProgramEffects {
        self.grant_write_pending = false;
        let own = self.config.own.clone();
        let live = record.live.iter().map(|grant| (own.clone(), *grant));
        let adopted = record.adopted.iter().flat_map(|(owner, grants)| {
            grants.iter().map(|grant| (owner.clone(), *grant))
        });
        let mut effects = ProgramEffects::default();
        for (owner, (sequence, granted_tokens)) in live.chain(adopted) {
            let root = CacheTag { owner, sequence };
            if let Some(entry) = self.accounts.get_mut(&root) {
                entry.account.grant(granted_tokens);
                self.retry_account(&root, &mut effects);
            }
        }
        effects
    }

    /// Handles a record whose write is not known to have succeeded. Refuses the calls
    /// that waited for it.
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
        let mut effects = ProgramEffects::default();
        for id in waiting {
            self.refuse_first(id, &mut effects);
            self.start_next(id, &mut effects);
        }
        effects
    }

    /// Adds a predecessor with its last budget record, `None` if it wrote none. The
    /// record must be read after the takeover record that names this incarnation was
    /// created. The predecessors of a predecessor must be adopted as well.
    pub fn adopt(&mut self, predecessor: Incarnation, record: Option<BudgetRecord>) {
        self.predecessors.entry(predecessor).or_insert(record);
    }

    /// Adds the program of a predecessor on its first call here, charging the tokens that
    /// the predecessors may have spent.
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

    fn refuse_first(&mut self, id: ProgramId, effects: &mut ProgramEffects) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        let Some(call) = program.drop_first() else {
            return;
        };
        self.calls.remove(&call.params.request_id);
        effects.resolved.push(DeferredAdmission {
            request_id: call.params.request_id,
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
