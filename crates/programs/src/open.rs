//! Opening programs and sub-agents.

use jayreel_model::{Profile, Refusal, RefusalReason};

use crate::account::{Account, first_tranche_tokens};
use crate::program::{Program, ProgramId};
use crate::programs::{Programs, ended_refusal};
use crate::token::{CacheTag, ProgramToken};

/// Maximum number of open programs that may draw on one budget: the root program and its
/// sub-agents.
pub const MAX_PROGRAMS_PER_ACCOUNT: usize = 1_000;

/// The parameters of [`Programs::open`].
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest<'a> {
    /// Name of the authenticated customer.
    pub customer: &'a str,
    /// Name of the profile, as stored in the token.
    pub profile_name: &'a str,
    /// The current profile of that name, which limits the budget and the turns.
    pub profile: &'a Profile,
    /// The budget that the caller asks for, in tokens. `None` uses the profile's budget.
    /// Must be `None` for a sub-agent.
    pub budget_tokens: Option<u64>,
    /// The program that opens a sub-agent, from [`Programs::resolve`]. `None` for a root
    /// program.
    pub parent: Option<ProgramId>,
    /// Wall-clock time in seconds since the Unix epoch. Used only for the token's expiry.
    pub now_unix_s: u64,
}

/// The result of [`Programs::open`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenedProgram {
    /// The program's id in this process.
    pub program: ProgramId,
    /// The program's token, not yet signed.
    pub token: ProgramToken,
}

impl Programs {
    /// Opens a root program, or a sub-agent that draws on the budget of its root program.
    ///
    /// # Errors
    ///
    /// `not_allowed` for a retired profile, a budget above that of the profile or a
    /// parent of another customer; `invalid_request` for a budget of 0 or a budget for a
    /// sub-agent; `not_found` if the parent has ended; `overloaded` if there are too many
    /// programs; `not_ready` once another instance is taking over. Always `ran: no`.
    pub fn open(
        &mut self,
        now_ms: u64,
        request: OpenRequest<'_>,
    ) -> Result<OpenedProgram, Refusal> {
        self.check_serving()?;
        check_profile(&request)?;
        let token = match request.parent {
            Some(parent) => self.child_token(parent, &request)?,
            None => self.root_token(&request)?,
        };
        self.add_account(now_ms, &token, || {
            Account::opened(token.budget_tokens, token.first_tranche_tokens)
        })?;
        self.next_sequence += 1;
        let own = self.config.own.clone();
        let mut program = Program::new(token.clone(), request.parent, own, now_ms);
        program.apply_profile(request.profile);
        let id = self.insert(program);
        self.touch(now_ms, id);
        Ok(OpenedProgram { program: id, token })
    }

    fn root_token(&self, request: &OpenRequest<'_>) -> Result<ProgramToken, Refusal> {
        let max_tokens = request.profile.budget_tokens;
        let budget_tokens = request.budget_tokens.unwrap_or(max_tokens);
        if budget_tokens == 0 {
            return Err(Refusal::not_run(
                RefusalReason::InvalidRequest,
                "the budget must be at least one token",
            ));
        }
        if budget_tokens > max_tokens {
            return Err(Refusal::not_run(
                RefusalReason::NotAllowed,
                format!("the profile allows a budget of {max_tokens} tokens"),
            ));
        }
        let percent = self.config.first_tranche_percent;
        let first_tranche_tokens = first_tranche_tokens(budget_tokens, percent);
        let root = self.next_tag();
        Ok(self.new_token(request, budget_tokens, first_tranche_tokens, root))
    }

    fn child_token(
        &self,
        parent: ProgramId,
        request: &OpenRequest<'_>,
    ) -> Result<ProgramToken, Refusal> {
        let parent = self
            .programs
            .get(&parent)
            .filter(|parent| !parent.closing)
            .ok_or_else(ended_refusal)?;
        if parent.token.customer != request.customer {
            return Err(Refusal::not_run(
                RefusalReason::NotAllowed,
                "the parent program belongs to another customer",
            ));
        }
        if request.budget_tokens.is_some() {
            return Err(Refusal::not_run(
                RefusalReason::InvalidRequest,
                "a sub-agent uses the budget of its root program",
            ));
        }
        let root = parent.token.root.clone();
        let members = self
            .accounts
            .get(&root)
            .map_or(0, |entry| entry.members.len());
        if members >= MAX_PROGRAMS_PER_ACCOUNT {
            return Err(Refusal::not_run(
                RefusalReason::Overloaded,
                "the root program has too many sub-agents",
            ));
        }
        let budget_tokens = parent.token.budget_tokens;
        let first_tranche_tokens = parent.token.first_tranche_tokens;
        Ok(self.new_token(request, budget_tokens, first_tranche_tokens, root))
    }

    fn new_token(
        &self,
        request: &OpenRequest<'_>,
        budget_tokens: u64,
        first_tranche_tokens: u64,
        root: CacheTag,
    ) -> ProgramToken {
        let lifetime_s = self.config.token_lifetime_s;
        ProgramToken {
            customer: request.customer.to_string(),
            profile: request.profile_name.to_string(),
            budget_tokens,
            first_tranche_tokens,
            owner: self.config.own.clone(),
            sequence: self.next_sequence,
            root,
            expires_at_unix_s: request.now_unix_s.saturating_add(lifetime_s),
        }
    }

    fn next_tag(&self) -> CacheTag {
        CacheTag {
            owner: self.config.own.clone(),
            sequence: self.next_sequence,
        }
    }
}

fn check_profile(request: &OpenRequest<'_>) -> Result<(), Refusal> {
    match request.profile.retired {
        true => Err(Refusal::not_run(
            RefusalReason::NotAllowed,
            "the profile is retired",
        )),
        false => Ok(()),
    }
}
