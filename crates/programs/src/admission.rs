//! Types for the admission of calls to programs.

use jayreel_model::{Incarnation, Refusal, RequestId};

use crate::program::ProgramId;
use crate::token::CacheTag;

/// The properties of a call that decide about its admission.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CallParams {
    /// Identifies the call in [`Programs::finish`](crate::Programs::finish),
    /// [`Programs::fail`](crate::Programs::fail) and [`DeferredAdmission`].
    pub request_id: RequestId,
    /// Whether the call may run twice without harm. True for model calls.
    pub repeatable: bool,
    /// Value of the `Jayreel-Turn` header, if present.
    pub turn: Option<u32>,
    /// Value of the `Jayreel-Epoch` header, if present: the incarnation that, as far as the
    /// caller knows, serves the calls of the program.
    pub epoch: Option<Incarnation>,
    /// Value of the `Idempotency-Key` header, if present.
    pub idempotency_key: Option<String>,
    /// Upper bound of the number of prompt tokens. 0 for plain services.
    pub prompt_bound_tokens: u64,
    /// Maximum number of tokens to generate, already limited by the profile. 0 for plain
    /// services.
    pub max_tokens: u64,
}

/// Whether a call may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call may run now.
    Run {
        /// Maximum number of tokens to generate: the requested number, or less if the
        /// budget leaves less.
        max_tokens: u64,
        /// The turn of the call within its program.
        turn: u32,
    },
    /// An earlier call of the program has not ended. A later [`ProgramEffects`] holds the
    /// decision.
    Wait,
    /// The program's recorded budget grant is too small. A later [`ProgramEffects`] holds
    /// the decision, once the record of
    /// [`Programs::next_budget_record`](crate::Programs::next_budget_record) was written
    /// or its write failed.
    NeedsGrant,
    /// The call may not run.
    Refuse(Refusal),
}

/// The later decision about a call whose admission was [`Admission::Wait`] or
/// [`Admission::NeedsGrant`] before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeferredAdmission {
    /// The call that the decision is about.
    pub request_id: RequestId,
    /// Never [`Admission::Wait`]. A call that was waiting may get
    /// [`Admission::NeedsGrant`].
    pub admission: Admission,
}

/// Why a program's cache at the engines is to be released.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndReason {
    /// The budget is used up. The program still exists and refuses model calls.
    BudgetExhausted,
    /// The caller closed the program or an ancestor.
    Closed,
    /// There was no call within the profile's idle timeout.
    Idle,
}

/// A program whose cache at the engines is to be released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedProgram {
    /// Its id in this process.
    pub program: ProgramId,
    /// The tag under which engines hold its cache.
    pub cache_tag: CacheTag,
    /// Why it is released.
    pub reason: EndReason,
}

/// Consequences of an operation that the caller must carry out: decisions about other
/// calls and releases of caches.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[must_use]
pub struct ProgramEffects {
    /// Decisions about calls that were waiting.
    pub resolved: Vec<DeferredAdmission>,
    /// Programs whose cache is to be released: those that ended or used up their budget.
    pub ended: Vec<EndedProgram>,
}

/// Numbers of tokens that a finished call used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// All prompt tokens, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub generated_tokens: u64,
}

impl Usage {
    /// Tokens charged to the budget: prompt, cached or not, plus generated.
    pub fn charged_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.generated_tokens)
    }

    /// Service received, in thousandths of a prompt token. An uncached prompt token
    /// counts as 1, a cached one as 0.1 and a generated one as 4. The fair share uses the
    /// same weights.
    pub fn service_mtokens(self) -> u64 {
        let fresh = self.prompt_tokens.saturating_sub(self.cached_tokens);
        fresh
            .saturating_mul(1_000)
            .saturating_add(self.cached_tokens.saturating_mul(100))
            .saturating_add(self.generated_tokens.saturating_mul(4_000))
    }
}
