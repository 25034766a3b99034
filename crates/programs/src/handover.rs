//! Transfers all programs to a successor on a planned stop.
//!
//! The fleet crate writes [`Handover::record`] and the takeover record in one
//! transaction, then sends the handover to the successor. If that message is lost, the
//! successor adopts the programs as after a crash, but with their exact spending.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::Incarnation;
use serde::{Deserialize, Serialize};

use crate::account::Account;
use crate::grants::BudgetRecord;
use crate::idempotency::{KeyDigest, KeyState};
use crate::program::Program;
use crate::programs::Programs;
use crate::token::{CacheTag, ProgramToken};

/// The state of one program in a handover. It has no running or waiting calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramRecord {
    /// The content of the program's token.
    pub token: ProgramToken,
    /// The program that opened a sub-agent. `None` for a root program.
    pub parent: Option<CacheTag>,
    /// Turn limit from the profile.
    pub max_turns: u32,
    /// Idle timeout from the profile.
    pub idle_timeout_ms: u64,
    /// Turn of the next call, if known.
    pub next_turn: Option<u32>,
    /// Digests of idempotency keys with the outcome of their calls.
    pub keys: Vec<(KeyDigest, KeyState)>,
    /// Incarnations all of whose calls to the program are reflected in this record.
    pub known_epochs: BTreeSet<Incarnation>,
}

/// The state of one budget account in a handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountRecord {
    /// The tag of the root program.
    pub root: CacheTag,
    /// The whole budget in tokens.
    pub budget_tokens: u64,
    /// The smallest step by which a grant grows, in tokens.
    pub tranche_tokens: u64,
    /// The exact number of tokens used.
    pub spent_tokens: u64,
    /// Service received, in thousandths of a prompt token.
    pub service_mtokens: u64,
}

/// All programs of an incarnation that is stopping.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The final budget record of the incarnation.
    pub record: BudgetRecord,
    /// The budget accounts that the programs draw on.
    pub accounts: Vec<AccountRecord>,
    /// The programs, each parent before its sub-agents.
    pub programs: Vec<ProgramRecord>,
}

impl Handover {
    /// Splits the handover into messages of at most `max_programs` programs that can be
    /// imported independently and in any order. There is always at least one, and each
    /// carries the budget record.
    pub fn into_parts(self, max_programs: usize) -> Vec<Handover> {
        let Handover {
            record,
            accounts,
            programs,
        } = self;
        let accounts: BTreeMap<&CacheTag, &AccountRecord> = accounts
            .iter()
            .map(|account| (&account.root, account))
            .collect();
        let part = |programs: &[ProgramRecord]| {
            let roots: BTreeSet<&CacheTag> =
                programs.iter().map(|program| &program.token.root).collect();
            let used = roots.iter().filter_map(|root| accounts.get(root).copied());
            Handover {
                record: record.clone(),
                accounts: used.cloned().collect(),
                programs: programs.to_vec(),
            }
        };
        match programs.is_empty() {
            true => vec![part(&[])],
            false => programs.chunks(max_programs.max(1)).map(part).collect(),
        }
    }
}

impl Programs {
    /// Exports all programs and stops serving them. Returns `None` while a call runs or
    /// waits, or if the programs were already exported or superseded.
    pub fn export(&mut self) -> Option<Handover> {
        if self.stopped || !self.calls.is_empty() {
            return None;
        }
        self.stopped = true;
        let accounts = self.accounts.iter();
        Some(Handover {
            record: self.budget_record(true, |account| account.spent_tokens),
            accounts: accounts
                .map(|(root, entry)| account_record(root, &entry.account))
                .collect(),
            programs: self
                .programs
                .values()
                .map(|program| self.program_record(program))
                .collect(),
        })
    }

    /// Resumes serving after [`Programs::export`]. Call it only if the takeover record is
    /// known not to have been written.
    pub fn resume(&mut self) {
        self.stopped = false;
    }

    /// Imports the programs of a handover that names this incarnation as successor. A
    /// handover may arrive late or twice, so programs and budgets that are already known
    /// keep their state, which is newer.
    pub fn import(&mut self, now_ms: u64, handover: Handover) {
        let predecessor = handover.record.incarnation.clone();
        self.adopt(predecessor, Some(handover.record));
        let accounts: BTreeMap<&CacheTag, &AccountRecord> = handover
            .accounts
            .iter()
            .map(|account| (&account.root, account))
            .collect();
        for program in handover.programs {
            let tag = program.token.cache_tag();
            let is_known =
                self.by_tag.contains_key(&tag) || self.ended_adopted.contains_key(&tag);
            let account = accounts.get(&program.token.root);
            if let (false, Some(account)) = (is_known, account) {
                self.import_program(now_ms, program, account);
            }
        }
    }

    fn program_record(&self, program: &Program) -> ProgramRecord {
        let parent = program.parent.and_then(|id| self.programs.get(&id));
        ProgramRecord {
            token: program.token.clone(),
            parent: parent.map(Program::cache_tag),
            max_turns: program.max_turns,
            idle_timeout_ms: program.idle_timeout_ms,
            next_turn: program.next_turn,
            keys: program
                .keys
                .iter()
                .map(|(key, state)| (*key, *state))
                .collect(),
            known_epochs: program.known_epochs.clone(),
        }
    }

    fn import_program(
        &mut self,
        now_ms: u64,
        record: ProgramRecord,
        account: &AccountRecord,
    ) {
        let added = self.add_account(now_ms, &record.token, || restore_account(account));
        if added.is_err() {
            // There are too many programs. This one is adopted on its first call instead,
            // if there is room then.
            return;
        }
        let parent = record.parent.and_then(|tag| self.by_tag.get(&tag).copied());
        let own = self.config.own.clone();
        let mut program = Program::new(record.token, parent, own, now_ms);
        program.next_turn = record.next_turn;
        program.keys = record.keys.into_iter().collect();
        program.known_epochs.extend(record.known_epochs);
        program.max_turns = record.max_turns;
        program.idle_timeout_ms = record.idle_timeout_ms;
        self.insert(program);
    }
}

fn account_record(root: &CacheTag, account: &Account) -> AccountRecord {
    AccountRecord {
        root: root.clone(),
        budget_tokens: account.budget_tokens,
        tranche_tokens: account.tranche_tokens,
        spent_tokens: account.spent_tokens,
        service_mtokens: account.service_mtokens,
    }
}

fn restore_account(record: &AccountRecord) -> Account {
    let AccountRecord {
        budget_tokens,
        tranche_tokens,
        spent_tokens,
        ..
    } = *record;
    Account {
        service_mtokens: record.service_mtokens,
        ..Account::charged(budget_tokens, tranche_tokens, spent_tokens)
    }
}
