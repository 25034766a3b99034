//! Fixtures shared by the tests of programs.
#![allow(dead_code)]

use jayreel_model::{Incarnation, Profile, Ran, RefusalReason, RequestId};
use jayreel_programs::{
    Admission, CallParams, OpenRequest, OpenedProgram, ProgramId, ProgramToken, Programs,
    ProgramsConfig, Usage,
};

/// Budget of the test profile. The first tranche is a quarter of it.
pub const BUDGET_TOKENS: u64 = 1_000;
/// Validity of program tokens.
pub const LIFETIME_S: u64 = 3_600;

pub fn incarnation(text: &str) -> Incarnation {
    text.parse().expect("an incarnation")
}

pub fn process(own: &str) -> Programs {
    Programs::new(ProgramsConfig {
        own: incarnation(own),
        first_tranche_percent: 25,
        token_lifetime_s: LIFETIME_S,
    })
}

pub fn profile() -> Profile {
    Profile {
        budget_tokens: BUDGET_TOKENS,
        max_turns: 8,
        ..Profile::default()
    }
}

pub fn request<'a>(
    profile: &'a Profile,
    parent: Option<ProgramId>,
    budget_tokens: Option<u64>,
) -> OpenRequest<'a> {
    OpenRequest {
        customer: "acme",
        profile_name: "default",
        profile,
        budget_tokens,
        parent,
        now_unix_s: 0,
    }
}

pub fn open(programs: &mut Programs, parent: Option<ProgramId>) -> OpenedProgram {
    let profile = profile();
    programs
        .open(0, request(&profile, parent, None))
        .expect("opened")
}

pub fn resolve(programs: &mut Programs, token: &ProgramToken) -> ProgramId {
    programs.resolve(0, token, &profile()).expect("resolved")
}

/// A repeatable call that uses no tokens.
pub fn call(number: u64) -> CallParams {
    CallParams {
        request_id: RequestId(number),
        repeatable: true,
        turn: None,
        epoch: None,
        idempotency_key: None,
        prompt_bound_tokens: 0,
        max_tokens: 0,
    }
}

pub fn model_call(number: u64, prompt_tokens: u64, max_tokens: u64) -> CallParams {
    CallParams {
        prompt_bound_tokens: prompt_tokens,
        max_tokens,
        ..call(number)
    }
}

/// A non-repeatable call with an idempotency key.
pub fn action(number: u64, key: &str) -> CallParams {
    let idempotency_key = Some(key.to_string());
    CallParams {
        repeatable: false,
        idempotency_key,
        ..call(number)
    }
}

pub fn runs(admission: &Admission) -> bool {
    matches!(admission, Admission::Run { .. })
}

/// The reason of a refusal, and whether the call ran.
pub fn refusal(admission: Admission) -> (RefusalReason, Ran) {
    match admission {
        Admission::Refuse(refusal) => (refusal.reason, refusal.ran),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// A known usage of this many uncached prompt tokens.
pub fn usage(tokens: u64) -> Option<Usage> {
    Some(Usage {
        prompt_tokens: tokens,
        ..Usage::default()
    })
}

/// Records all grants that are needed, as if every write succeeded, and returns the
/// answers to the calls that waited for them.
pub fn record_grants(programs: &mut Programs) -> Vec<(RequestId, Admission)> {
    let mut resolved = Vec::new();
    while let Some(record) = programs.next_budget_record() {
        let effects = programs.budget_record_written(&record);
        let answers = effects.resolved.into_iter();
        resolved.extend(answers.map(|answer| (answer.request_id, answer.admission)));
    }
    resolved
}
