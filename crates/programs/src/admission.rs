//! The vocabulary of admitting calls to programs.

use jayreel_model::{Incarnation, Refusal, RequestId};

use crate::program::ProgramId;
use crate::token::CacheTag;

/// What admission needs to know of a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CallParams {
    /// The call.
    pub request_id: RequestId,
    /// Whether the call may run twice without harm. True for model calls.
    pub repeatable: bool,
    /// `Jayreel-Turn`, if given.
    pub turn: Option<u32>,
    /// `Jayreel-Epoch`, if given.
    pub epoch: Option<Incarnation>,
    /// `Idempotency-Key`, if given.
    pub idempotency_key: Option<String>,
    /// Upper bound of the prompt's tokens. 0 for plain services.
    pub prompt_bound_tokens: u64,
    /// The most tokens to generate, already limited by the profile. 0 for plain services.
    pub max_tokens: u64,
}

/// The answer to a call that asks to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call may run now.
    Run {
        /// The most tokens to generate: what was asked for or what the budget leaves.
        max_tokens: u64,
        /// The turn of the call within its program.
        turn: u32,
    },
    /// An earlier call of the program has not ended. A later [`ProgramEffects`] answers.
    Wait,
    /// The program's recorded grant is too small. A later [`ProgramEffects`] answers, after
    /// [`Programs::next_budget_record`](crate::Programs::next_budget_record) was written.
    NeedsGrant,
    /// The call may not run.
    Refuse(Refusal),
}

/// A later answer to a call that was told to wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeferredAdmission {
    /// The call.
    pub request_id: RequestId,
    /// Never [`Admission::Wait`].
    pub admission: Admission,
}

/// Why engines may drop the cache of a program.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndReason {
    /// The budget is used up. The program still exists and refuses model calls.
    BudgetExhausted,
    /// The caller closed the program or an ancestor.
    Closed,
    /// There was no call within the idle time.
    Idle,
}

/// A program whose cache is to be released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedProgram {
    /// The program.
    pub program: ProgramId,
    /// Its tag at engines.
    pub cache_tag: CacheTag,
    /// Why.
    pub reason: EndReason,
}

/// What a change brought about for other calls and programs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[must_use]
pub struct ProgramEffects {
    /// Answers to waiting calls.
    pub resolved: Vec<DeferredAdmission>,
    /// Programs that ended.
    pub ended: Vec<EndedProgram>,
}

/// Tokens that a finished call used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// All prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}

impl Usage {
    /// Tokens charged to the budget.
    pub fn charged_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.generated_tokens)
    }

    /// Service received, in thousandths of a prompt token: prompt 1, cached prompt 0.1,
    /// generated 4. The same weights as the fair share.
    pub fn service_mtokens(self) -> u64 {
        let fresh = self.prompt_tokens.saturating_sub(self.cached_tokens);
        fresh
            .saturating_mul(1_000)
            .saturating_add(self.cached_tokens.saturating_mul(100))
            .saturating_add(self.generated_tokens.saturating_mul(4_000))
    }
}
