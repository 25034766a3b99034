//! Random sequences of calls, ends of calls, budget record writes and closes at a root
//! program with two sub-agents. Checks after each step that at most one call of a program
//! runs, that no idempotency key runs twice, that every answer goes to a waiting call,
//! and that no tokens are spent beyond the budget or the recorded grant.

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

/// The state as callers and the store see it.
#[derive(Default)]
struct Observer {
    running: BTreeMap<RequestId, Running>,
    waiting: BTreeMap<RequestId, CallParams>,
    keys: BTreeMap<(ProgramId, String), u32>,
    /// The root program's grant in the last confirmed budget record.
    recorded_tokens: u64,
    next_call: u64,
}

impl Observer {
    fn answer(
        &mut self,
        program: ProgramId,
        params: CallParams,
        answer: Admission,
    ) -> Result<(), TestCaseError> {
        let id = params.request_id;
        match answer {
            Admission::Wait | Admission::NeedsGrant => {
                self.waiting.insert(id, params);
            }
            Admission::Refuse(refusal) => {
                prop_assert!(refusal.ran == Ran::No || params.idempotency_key.is_some())
            }
            Admission::Run { max_tokens, .. } => {
                let others = self.running.values().filter(|call| call.program == program);
                prop_assert_eq!(others.count(), 0, "two calls of one program run");
                let reserved_tokens = params.prompt_bound_tokens + max_tokens;
                let key = params.idempotency_key;
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

    fn apply_effects(
        &mut self,
        programs: &[ProgramId],
        owners: &BTreeMap<RequestId, usize>,
        effects: ProgramEffects,
    ) -> Result<(), TestCaseError> {
        for resolved in effects.resolved {
            let params = self.waiting.remove(&resolved.request_id);
            prop_assert!(params.is_some(), "an answer to a call that was not waiting");
            let program = programs[owners[&resolved.request_id]];
            self.answer(program, params.expect("checked"), resolved.admission)?;
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
    let mut observer = Observer::default();
    let mut owners = BTreeMap::new();
    for step in steps {
        apply(&mut programs, &ids, &mut observer, &mut owners, step)?;
        let account = programs.account(root).expect("the root is never closed");
        let used_tokens = account.spent_tokens + account.reserved_tokens;
        prop_assert!(used_tokens <= BUDGET_TOKENS, "the budget is exceeded");
        let allowed_tokens = observer.recorded_tokens.max(BUDGET_TOKENS / 4);
        prop_assert!(
            used_tokens <= allowed_tokens,
            "spent beyond the recorded grant"
        );
    }
    Ok(())
}

/// Applies a step to the programs and the observer. Calls are numbered with the running
/// ones first.
fn apply(
    programs: &mut Programs,
    ids: &[ProgramId; 3],
    observer: &mut Observer,
    owners: &mut BTreeMap<RequestId, usize>,
    step: Step,
) -> Result<(), TestCaseError> {
    let nth_call = |observer: &Observer, call: usize| {
        let running = observer
            .running
            .iter()
            .map(|(id, call)| (*id, Some(call.reserved_tokens)));
        let waiting = observer.waiting.keys().map(|id| (*id, None));
        let calls: Vec<_> = running.chain(waiting).collect();
        calls.get(call).copied()
    };
    let effects = match step {
        Step::Admit {
            program,
            prompt_tokens,
            max_tokens,
            key,
        } => {
            observer.next_call += 1;
            let mut params = model_call(observer.next_call, prompt_tokens, max_tokens);
            params.repeatable = key.is_none();
            params.idempotency_key = key.map(|key| format!("k{key}"));
            owners.insert(params.request_id, program);
            let answer = programs.admit(0, ids[program], params.clone());
            return observer.answer(ids[program], params, answer);
        }
        Step::Finish {
            call,
            tokens,
            is_known,
        } => match nth_call(observer, call) {
            Some((id, Some(reserved_tokens))) => {
                observer.running.remove(&id);
                let used = usage(tokens.min(reserved_tokens)).filter(|_| is_known);
                programs.finish(0, id, used)
            }
            _ => ProgramEffects::default(),
        },
        Step::Fail { call, ran } => match nth_call(observer, call) {
            Some((id, Some(_))) => {
                let call = observer.running.remove(&id).expect("it runs");
                if let (Ran::No, Some(key)) = (ran, call.key) {
                    observer.keys.remove(&(call.program, key));
                }
                programs.fail(0, id, ran)
            }
            Some((id, None)) => {
                observer.waiting.remove(&id);
                programs.fail(0, id, ran)
            }
            None => ProgramEffects::default(),
        },
        Step::Write { is_confirmed } => match programs.next_budget_record() {
            Some(record) if is_confirmed => {
                observer.recorded_tokens = record.live[0].1;
                programs.budget_record_written(&record)
            }
            Some(_) => programs.budget_record_failed(),
            None => ProgramEffects::default(),
        },
        Step::Close { program } => programs.close(0, ids[program]),
    };
    observer.apply_effects(ids, owners, effects)
}

#[test]
fn the_invariants_hold_for_any_order_of_events() {
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
