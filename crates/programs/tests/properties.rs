//! Guards the invariants of a program under any order of calls, answers and store faults.

mod support;

use std::collections::BTreeMap;

use jayreel_model::{Ran, RequestId};
use jayreel_programs::{Admission, CallParams, ProgramEffects, ProgramId, Programs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{BUDGET_TOKENS, model_call, open, process, usage};

#[derive(Clone, Debug)]
enum Step {
    Admit {
        program: usize,
        prompt_tokens: u64,
        max_tokens: u64,
        key: Option<u8>,
    },
    Finish {
        call: usize,
        tokens: u64,
        is_known: bool,
    },
    Fail {
        call: usize,
        ran: Ran,
    },
    Write {
        is_confirmed: bool,
    },
    Close {
        program: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let ran = prop_oneof![Just(Ran::No), Just(Ran::Unknown), Just(Ran::Yes)];
    prop_oneof![
        4 => (0..3usize, 0..300u64, 0..300u64, prop::option::of(0..4u8)).prop_map(
            |(program, prompt_tokens, max_tokens, key)| Step::Admit {
                program,
                prompt_tokens,
                max_tokens,
                key
            }
        ),
        3 => (0..6usize, 0..600u64, any::<bool>())
            .prop_map(|(call, tokens, is_known)| Step::Finish { call, tokens, is_known }),
        1 => (0..6usize, ran).prop_map(|(call, ran)| Step::Fail { call, ran }),
        2 => any::<bool>().prop_map(|is_confirmed| Step::Write { is_confirmed }),
        1 => (1..3usize).prop_map(|program| Step::Close { program }),
    ]
}

struct Running {
    program: ProgramId,
    reserved_tokens: u64,
    key: Option<String>,
}

/// What a caller and the store see.
#[derive(Default)]
struct Observer {
    running: BTreeMap<RequestId, Running>,
    waiting: BTreeMap<RequestId, CallParams>,
    keys: BTreeMap<(ProgramId, String), u32>,
    recorded_tokens: u64,
    next_call: u64,
}

impl Observer {
    fn answer(
        &mut self,
        program: ProgramId,
        facts: CallParams,
        answer: Admission,
    ) -> Result<(), TestCaseError> {
        let id = facts.request_id;
        match answer {
            Admission::Wait | Admission::NeedsGrant => {
                self.waiting.insert(id, facts);
            }
            Admission::Refuse(refusal) => {
                prop_assert!(refusal.ran == Ran::No || facts.idempotency_key.is_some())
            }
            Admission::Run { max_tokens, .. } => {
                let others = self.running.values().filter(|one| one.program == program);
                prop_assert_eq!(others.count(), 0, "two calls of one program run");
                let reserved_tokens = facts.prompt_bound_tokens + max_tokens;
                let key = facts.idempotency_key;
                let call = Running {
                    program,
                    reserved_tokens,
                    key: key.clone(),
                };
                self.running.insert(id, call);
                if let Some(key) = key {
                    let runs = self.keys.entry((program, key)).or_default();
                    *runs += 1;
                    prop_assert_eq!(*runs, 1, "a key ran twice");
                }
            }
        }
        Ok(())
    }

    fn transition(
        &mut self,
        programs: &[ProgramId],
        owners: &BTreeMap<RequestId, usize>,
        transition: ProgramEffects,
    ) -> Result<(), TestCaseError> {
        for resolved in transition.resolved {
            let facts = self.waiting.remove(&resolved.request_id);
            prop_assert!(facts.is_some(), "an answer to a call that does not wait");
            let program = programs[owners[&resolved.request_id]];
            self.answer(program, facts.expect("checked"), resolved.admission)?;
        }
        Ok(())
    }
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut programs = process("a.1");
    let root = open(&mut programs, None).program;
    let ids = [
        root,
        open(&mut programs, Some(root)).program,
        open(&mut programs, Some(root)).program,
    ];
    let mut seen = Observer::default();
    let mut owners = BTreeMap::new();
    for step in steps {
        apply(&mut programs, &ids, &mut seen, &mut owners, step)?;
        let account = programs.account(root).expect("the root is never closed");
        let used_tokens = account.spent_tokens + account.reserved_tokens;
        prop_assert!(used_tokens <= BUDGET_TOKENS, "the budget is exceeded");
        let allowed_tokens = seen.recorded_tokens.max(BUDGET_TOKENS / 4);
        prop_assert!(
            used_tokens <= allowed_tokens,
            "spent before it was recorded"
        );
    }
    Ok(())
}

fn apply(
    programs: &mut Programs,
    ids: &[ProgramId; 3],
    seen: &mut Observer,
    owners: &mut BTreeMap<RequestId, usize>,
    step: Step,
) -> Result<(), TestCaseError> {
    let nth = |seen: &Observer, call: usize| {
        let all = seen
            .running
            .iter()
            .map(|(id, one)| (*id, Some(one.reserved_tokens)));
        let waiting = seen.waiting.keys().map(|id| (*id, None));
        let calls: Vec<_> = all.chain(waiting).collect();
        calls.get(call).copied()
    };
    let transition = match step {
        Step::Admit {
            program,
            prompt_tokens,
            max_tokens,
            key,
        } => {
            seen.next_call += 1;
            let mut facts = model_call(seen.next_call, prompt_tokens, max_tokens);
            facts.repeatable = key.is_none();
            facts.idempotency_key = key.map(|key| format!("k{key}"));
            owners.insert(facts.request_id, program);
            let answer = programs.admit(0, ids[program], facts.clone());
            return seen.answer(ids[program], facts, answer);
        }
        Step::Finish {
            call,
            tokens,
            is_known,
        } => match nth(seen, call) {
            Some((id, Some(reserved_tokens))) => {
                seen.running.remove(&id);
                let used = usage(tokens.min(reserved_tokens)).filter(|_| is_known);
                programs.finish(0, id, used)
            }
            _ => ProgramEffects::default(),
        },
        Step::Fail { call, ran } => match nth(seen, call) {
            Some((id, Some(_))) => {
                let call = seen.running.remove(&id).expect("it runs");
                if let (Ran::No, Some(key)) = (ran, call.key) {
                    seen.keys.remove(&(call.program, key));
                }
                programs.fail(0, id, ran)
            }
            Some((id, None)) => {
                seen.waiting.remove(&id);
                programs.fail(0, id, ran)
            }
            None => ProgramEffects::default(),
        },
        Step::Write { is_confirmed } => match programs.next_budget_record() {
            Some(record) if is_confirmed => {
                seen.recorded_tokens = record.live[0].1;
                programs.budget_record_written(&record)
            }
            Some(_) => programs.budget_record_failed(),
            None => ProgramEffects::default(),
        },
        Step::Close { program } => programs.close(0, ids[program]),
    };
    seen.transition(ids, owners, transition)
}

#[test]
fn the_invariants_hold_in_any_order_of_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&prop::collection::vec(step(), 1..60), run)
        .expect("no counterexample");
}
