//! All programs of one incarnation.

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
    /// This process.
    pub own: Incarnation,
    /// Part of the budget that needs no record in the store.
    pub first_tranche_percent: u8,
    /// Validity of a program token. Also how long spending for programs of predecessors
    /// is remembered.
    pub token_lifetime_s: u64,
}

/// The budget of a root program and the programs that draw on it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AccountEntry {
    pub(crate) account: Account,
    pub(crate) members: BTreeSet<ProgramId>,
    pub(crate) last_activity_ms: u64,
}

/// All programs of one incarnation, with those taken over from others.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Programs {
    pub(crate) config: ProgramsConfig,
    pub(crate) programs: BTreeMap<ProgramId, Program>,
    pub(crate) by_tag: BTreeMap<CacheTag, ProgramId>,
    pub(crate) calls: BTreeMap<RequestId, ProgramId>,
    /// By root. Own accounts are dropped with their last member; those of predecessors
    /// stay until no token for them can be valid.
    pub(crate) accounts: BTreeMap<CacheTag, AccountEntry>,
    /// Programs of predecessors that ended here, with the time. They must not return
    /// without their idempotency keys.
    pub(crate) ended_adopted: BTreeMap<CacheTag, u64>,
    /// Grants of the incarnations that this one succeeds. `None`: none were recorded.
    pub(crate) predecessors: BTreeMap<Incarnation, Option<BudgetRecord>>,
    pub(crate) next_program: u64,
    pub(crate) next_sequence: u64,
    /// Upper bound of the encoded size of the next [`BudgetRecord`].
    pub(crate) record_bytes: usize,
    pub(crate) grant_write_pending: bool,
    /// Set when another incarnation is responsible for all programs.
    pub(crate) stopped: bool,
}

impl Programs {
    /// A process without programs.
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

    /// Finds the program of a verified token and applies the current profile. A program of
    /// a predecessor is taken over on its first call.
    ///
    /// # Errors
    ///
    /// `not_found` if the program has ended; `owner_unavailable` if it belongs to an
    /// incarnation that this one does not succeed; `overloaded` if there are too many
    /// programs; `not_ready` after a handover or takeover. Always `ran: no`.
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

    /// Closes a program and its sub-agents. Waiting calls are refused; a running call ends
    /// first, and its program is reported as ended by that transition.
    pub fn close(&mut self, now_ms: u64, program: ProgramId) -> ProgramEffects {
        let mut transition = ProgramEffects::default();
        for id in self.with_descendants(program) {
            self.close_one(now_ms, id, EndReason::Closed, &mut transition);
        }
        transition
    }

    /// Ends programs without a call for their idle time. A program with an active
    /// sub-agent is not idle.
    pub fn expire(&mut self, now_ms: u64) -> ProgramEffects {
        let idle: Vec<ProgramId> = self
            .programs
            .iter()
            .filter(|(_, program)| program.is_idle(now_ms))
            .map(|(id, _)| *id)
            .collect();
        let mut transition = ProgramEffects::default();
        for id in idle {
            self.end(now_ms, id, EndReason::Idle, &mut transition);
        }
        self.forget_adopted(now_ms);
        transition
    }

    /// The token of a live program.
    pub fn token(&self, program: ProgramId) -> Option<&ProgramToken> {
        self.programs.get(&program).map(|program| &program.token)
    }

    /// The turn that the next call of a program gets, for `Jayreel-Turn`.
    pub fn next_turn(&self, program: ProgramId) -> Option<u32> {
        self.programs.get(&program).and_then(Program::expected_turn)
    }

    /// Service that the root program and all its sub-agents received, in thousandths of a
    /// prompt token. 0 for a program that has ended.
    pub fn attained_service_mtokens(&self, program: ProgramId) -> u64 {
        self.account_of(program)
            .map_or(0, |entry| entry.account.service_mtokens)
    }

    /// The account that a program draws on.
    pub fn account(&self, program: ProgramId) -> Option<&Account> {
        self.account_of(program).map(|entry| &entry.account)
    }

    /// Whether a program with this cache tag is live here. After a takeover a program counts
    /// from its first call here on, so the cache of one that pauses meanwhile may be released
    /// and computed again.
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

    /// Adds the account of the token's root unless it exists.
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
