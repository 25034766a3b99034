//! The table of programs that one incarnation serves.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::{Incarnation, Profile, Refusal, RefusalReason, RequestId};

use crate::account::Account;
use crate::admission::{EndReason, EndedProgram, ProgramEffects};
use crate::grants::{BudgetRecord, MAX_RECORD_BYTES};
use crate::program::{Program, ProgramId};
use crate::token::{CacheTag, ProgramToken};

/// Settings of [`Programs`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ProgramsConfig {
    /// The incarnation of this process.
    pub own: Incarnation,
    /// Percentage of a budget that may be spent before a grant is recorded in the store.
    pub first_tranche_percent: u8,
    /// Validity of a program token, in seconds. Spending of programs taken over from
    /// predecessors is also remembered for this long.
    pub token_lifetime_s: u64,
}

/// The budget account of a root program and the programs that draw on it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AccountEntry {
    pub(crate) account: Account,
    pub(crate) members: BTreeSet<ProgramId>,
    pub(crate) last_activity_ms: u64,
}

/// The programs that this incarnation opened or took over from predecessors.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Programs {
    pub(crate) config: ProgramsConfig,
    pub(crate) programs: BTreeMap<ProgramId, Program>,
    pub(crate) by_tag: BTreeMap<CacheTag, ProgramId>,
    pub(crate) calls: BTreeMap<RequestId, ProgramId>,
    /// Budget accounts by the tag of their root program. If this incarnation opened the
    /// root, the account is dropped with its last member. Otherwise it stays until no
    /// token for it can be valid.
    pub(crate) accounts: BTreeMap<CacheTag, AccountEntry>,
    /// Programs of predecessors that ended here, with the time of their end. They must
    /// not be adopted again, because their idempotency keys are gone.
    pub(crate) ended_adopted: BTreeMap<CacheTag, u64>,
    /// The last budget records of the incarnations that this one succeeds. `None` if an
    /// incarnation wrote none.
    pub(crate) predecessors: BTreeMap<Incarnation, Option<BudgetRecord>>,
    pub(crate) next_program: u64,
    pub(crate) next_sequence: u64,
    /// Upper bound of the encoded size of the next [`BudgetRecord`], in bytes.
    pub(crate) record_bytes: usize,
    pub(crate) grant_write_pending: bool,
    /// Set once the programs were exported or a successor was recorded. No call is
    /// admitted any more.
    pub(crate) stopped: bool,
}

impl Programs {
    /// Creates an empty table.
    pub fn new(config: ProgramsConfig) -> Programs {
        Programs {
            config,
            programs: BTreeMap::new(),
            by_tag: BTreeMap::new(),
            calls: BTreeMap::new(),
            accounts: BTreeMap::new(),
            ended_adopted: BTreeMap::new(),
            predecessors: BTreeMap::new(),
            next_program: 1,
            next_sequence: 1,
            record_bytes: BudgetRecord::FIXED_BYTES,
            grant_write_pending: false,
            stopped: false,
        }
    }

    /// Finds the program of a verified token and applies the current profile. A program
    /// of a predecessor is adopted on its first call here.
    ///
    /// # Errors
    ///
    /// `not_found` if the program has ended; `owner_unavailable` if it belongs to an
    /// incarnation that this one does not succeed; `overloaded` if there are too many
    /// programs; `not_ready` once another instance is taking over. Always `ran: no`.
    pub fn resolve(
        &mut self,
        now_ms: u64,
        token: &ProgramToken,
        profile: &Profile,
    ) -> Result<ProgramId, Refusal> {
        self.check_serving()?;
        let id = match self.by_tag.get(&token.cache_tag()) {
            Some(id) => *id,
            None => self.adopt_program(now_ms, token)?,
        };
        if let Some(program) = self.programs.get_mut(&id) {
            program.apply_profile(profile);
        }
        Ok(id)
    }

    /// Closes a program and its sub-agents. Waiting calls are refused. A program with a
    /// running call ends with that call, and is reported in the effects of
    /// [`Programs::finish`] or [`Programs::fail`].
    pub fn close(&mut self, now_ms: u64, program: ProgramId) -> ProgramEffects {
        let mut effects = ProgramEffects::default();
        for id in self.with_descendants(program) {
            self.close_one(now_ms, id, EndReason::Closed, &mut effects);
        }
        effects
    }

    /// Ends programs that had no call for their idle timeout. Calls of sub-agents count
    /// as activity of their ancestors.
    pub fn expire(&mut self, now_ms: u64) -> ProgramEffects {
        let idle: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, program)| program.is_idle(now_ms))
            .map(|(id, _)| *id)
            .collect();
        let mut effects = ProgramEffects::default();
        for id in idle {
            self.end(now_ms, id, EndReason::Idle, &mut effects);
        }
        self.forget_adopted(now_ms);
        effects
    }

    /// The token of a live program.
    pub fn token(&self, program: ProgramId) -> Option<&ProgramToken> {
        self.programs.get(&program).map(|program| &program.token)
    }

    /// The turn of the next call of a program, as sent in the `Jayreel-Turn` header.
    /// `None` if the program has ended or its turn is unknown after a takeover.
    pub fn next_turn(&self, program: ProgramId) -> Option<u32> {
        self.programs.get(&program).and_then(Program::expected_turn)
    }

    /// Service that the root program and all its sub-agents have received, in thousandths
    /// of a prompt token (see [`crate::Usage::service_mtokens`]). 0 for a program that
    /// has ended.
    pub fn attained_service_mtokens(&self, program: ProgramId) -> u64 {
        self.account_of(program)
            .map_or(0, |entry| entry.account.service_mtokens)
    }

    /// The budget account that a program draws on. `None` if the program has ended.
    pub fn account(&self, program: ProgramId) -> Option<&Account> {
        self.account_of(program).map(|entry| &entry.account)
    }

    /// Whether a program with this cache tag is live here. After a takeover without a
    /// handover, a program counts as live only from its first call here, so the cache of
    /// a program that pauses in between may be released and has to be recomputed.
    pub fn owns_cache_tag(&self, tag: &CacheTag) -> bool {
        self.by_tag.contains_key(tag)
    }

    /// Number of live programs, sub-agents included.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether there is no live program.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    pub(crate) fn check_serving(&self) -> Result<(), Refusal> {
        match self.stopped {
            true => Err(Refusal::not_run(
                RefusalReason::NotReady,
                "another instance is responsible for the programs of this one",
            )),
            false => Ok(()),
        }
    }

    fn account_of(&self, program: ProgramId) -> Option<&AccountEntry> {
        let program = self.programs.get(&program)?;
        self.accounts.get(&program.token.root)
    }

    /// Adds the account of the token's root program unless it exists. Refuses it if the
    /// budget record could then exceed [`MAX_RECORD_BYTES`].
    pub(crate) fn add_account(
        &mut self,
        now_ms: u64,
        token: &ProgramToken,
        account: impl FnOnce() -> Account,
    ) -> Result<(), Refusal> {
        if self.accounts.contains_key(&token.root) {
            return Ok(());
        }
        let bytes = BudgetRecord::entry_bytes(&self.config.own, &token.root);
        if self.record_bytes + bytes > MAX_RECORD_BYTES {
            return Err(Refusal::not_run(
                RefusalReason::Overloaded,
                "the instance holds too many programs",
            ));
        }
        self.record_bytes += bytes;
        let entry = AccountEntry {
            account: account(),
            members: BTreeSet::new(),
            last_activity_ms: now_ms,
        };
        self.accounts.insert(token.root.clone(), entry);
        Ok(())
    }

    pub(crate) fn insert(&mut self, program: Program) -> ProgramId {
        let id = ProgramId(self.next_program);
        self.next_program += 1;
        self.by_tag.insert(program.cache_tag(), id);
        if let Some(entry) = self.accounts.get_mut(&program.token.root) {
            entry.members.insert(id);
        }
        self.programs.insert(id, program);
        id
    }
}

pub(crate) fn ended_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, "the program has ended")
}

pub(crate) fn ended(id: ProgramId, program: &Program, reason: EndReason) -> EndedProgram {
    EndedProgram {
        program: id,
        cache_tag: program.cache_tag(),
        reason,
    }
}
