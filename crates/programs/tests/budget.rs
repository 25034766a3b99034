//! Budgets and their records. Guards against programs that use more than their budget: on
//! their own, with sub-agents, or after a takeover.

mod support;

use jayreel_model::{Ran, RefusalReason, RequestId};
use jayreel_programs::grants::MAX_RECORD_BYTES;
use jayreel_programs::{Admission, BudgetRecord, EndReason, ProgramToken, Programs};
use support::{
    BUDGET_TOKENS, call, incarnation, model_call, open, process, profile, record_grants,
    refusal, request, resolve, runs, usage,
};
use test_case::test_case;

/// A process with one program whose whole budget was granted.
fn granted() -> (Programs, jayreel_programs::ProgramId) {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert_eq!(
        programs.admit(0, id, model_call(0, 900, 100)),
        Admission::NeedsGrant
    );
    assert_eq!(record_grants(&mut programs).len(), 1);
    let _ = programs.fail(0, RequestId(0), Ran::No);
    (programs, id)
}

#[test]
fn generated_tokens_are_limited_to_the_remaining_budget() {
    let (mut programs, id) = granted();
    assert!(runs(&programs.admit(0, id, model_call(1, 600, 100))));
    let _ = programs.finish(0, RequestId(1), usage(600));
    let answer = programs.admit(0, id, model_call(2, 300, 500));
    assert_eq!(
        answer,
        Admission::Run {
            max_tokens: 100,
            turn: 1
        }
    );
}

#[test_case(None, 700; "usage unknown")]
#[test_case(usage(50), 50; "usage known")]
fn a_finished_call_is_settled(usage: Option<jayreel_programs::Usage>, spent_tokens: u64) {
    let (mut programs, id) = granted();
    assert!(runs(&programs.admit(0, id, model_call(1, 600, 100))));
    let _ = programs.finish(0, RequestId(1), usage);
    let account = programs.account(id).expect("live");
    assert_eq!(
        (account.spent_tokens, account.reserved_tokens),
        (spent_tokens, 0)
    );
}

#[test_case(Ran::No, 0)]
#[test_case(Ran::Unknown, 700)]
#[test_case(Ran::Yes, 700)]
fn a_failed_call_is_charged_unless_it_did_not_run(ran: Ran, spent_tokens: u64) {
    let (mut programs, id) = granted();
    assert!(runs(&programs.admit(0, id, model_call(1, 600, 100))));
    let _ = programs.fail(0, RequestId(1), ran);
    let account = programs.account(id).expect("live");
    assert_eq!(
        (account.spent_tokens, account.reserved_tokens),
        (spent_tokens, 0)
    );
}

#[test]
fn an_exhausted_budget_releases_the_cache_once_and_refuses_model_calls() {
    let (mut programs, id) = granted();
    assert!(runs(&programs.admit(0, id, model_call(1, 900, 100))));
    let effects = programs.finish(0, RequestId(1), usage(1_000));
    assert_eq!(effects.ended[0].reason, EndReason::BudgetExhausted);
    let answer = programs.admit(0, id, model_call(2, 1, 1));
    assert_eq!(refusal(answer), (RefusalReason::BudgetExhausted, Ran::No));
    assert!(
        runs(&programs.admit(0, id, call(3))),
        "a service call needs no tokens"
    );
    assert!(programs.finish(0, RequestId(3), None).ended.is_empty());
}

#[test]
fn sub_agents_draw_on_the_root() {
    let (mut programs, root) = granted();
    let child = open(&mut programs, Some(root)).program;
    assert!(runs(&programs.admit(0, child, model_call(1, 600, 100))));
    let answer = programs.admit(0, root, model_call(2, 300, 1));
    assert_eq!(refusal(answer), (RefusalReason::BudgetExhausted, Ran::No));
    let _ = programs.finish(0, RequestId(1), usage(600));
    assert_eq!(programs.attained_service_mtokens(root), 600_000);
    assert_eq!(programs.account(root), programs.account(child));
}

#[test]
fn calls_beyond_the_turn_limit_are_refused() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    for number in 0..8 {
        assert!(runs(&programs.admit(0, id, call(number))));
        let _ = programs.finish(0, RequestId(number), None);
    }
    let answer = programs.admit(0, id, call(8));
    assert_eq!(refusal(answer), (RefusalReason::BudgetExhausted, Ran::No));
}

#[test_case(Some(0), RefusalReason::InvalidRequest)]
#[test_case(Some(BUDGET_TOKENS + 1), RefusalReason::NotAllowed)]
fn a_wrong_budget_is_refused(budget_tokens: Option<u64>, reason: RefusalReason) {
    let profile = profile();
    let opened = process("a.1").open(0, request(&profile, None, budget_tokens));
    assert_eq!(opened.expect_err("refused").reason, reason);
}

#[test]
fn a_call_beyond_the_first_tranche_waits_for_the_record() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert_eq!(
        programs.admit(0, id, model_call(1, 250, 1)),
        Admission::NeedsGrant
    );
    assert_eq!(programs.admit(0, id, call(2)), Admission::Wait);
    let record = programs.next_budget_record().expect("a grant is needed");
    assert_eq!(record.live, [(1, 500)]);
    assert_eq!(programs.next_budget_record(), None, "one write at a time");
    let read_back = BudgetRecord::decode(&record.encode()).expect("a record");
    let effects = programs.budget_record_written(&read_back);
    assert_eq!(effects.resolved.len(), 1);
    assert!(runs(&effects.resolved[0].admission));
}

#[test]
fn without_the_store_a_call_beyond_the_grant_is_refused() {
    let mut programs = process("a.1");
    let id = open(&mut programs, None).program;
    assert_eq!(
        programs.admit(0, id, model_call(1, 250, 1)),
        Admission::NeedsGrant
    );
    assert_eq!(programs.admit(0, id, call(2)), Admission::Wait);
    assert!(programs.next_budget_record().is_some());
    let mut resolved = programs.budget_record_failed().resolved;
    assert!(
        runs(&resolved.remove(1).admission),
        "the next call needs no tokens"
    );
    let answer = resolved.remove(0).admission;
    assert_eq!(refusal(answer), (RefusalReason::StoreUnavailable, Ran::No));
}

/// The tokens that a successor of `a.1` counts as spent, given the budget record of
/// `a.1`.
fn successor_charges(token: &ProgramToken, record: Option<BudgetRecord>) -> u64 {
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), record);
    let id = resolve(&mut successor, token);
    successor.account(id).expect("live").spent_tokens
}

#[test]
fn a_successor_charges_the_first_tranche_or_the_recorded_grant() {
    let mut owner = process("a.1");
    let opened = open(&mut owner, None);
    assert_eq!(successor_charges(&opened.token, None), 250);
    assert_eq!(
        owner.admit(0, opened.program, model_call(1, 550, 1)),
        Admission::NeedsGrant
    );
    let record = owner.next_budget_record().expect("a grant is needed");
    let later = open(&mut owner, None).token;
    assert_eq!(successor_charges(&opened.token, Some(record.clone())), 551);
    assert_eq!(successor_charges(&later, Some(record)), 250);
}

#[test]
fn a_successor_spends_nothing_before_its_own_grant_is_recorded() {
    let token = open(&mut process("a.1"), None).token;
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), None);
    let id = resolve(&mut successor, &token);
    let answer = successor.admit(0, id, model_call(1, 1, 1));
    assert_eq!(answer, Admission::NeedsGrant);
    let record = successor.next_budget_record().expect("a grant is needed");
    let mut second = process("c.1");
    second.adopt(incarnation("a.1"), None);
    second.adopt(incarnation("b.1"), Some(record));
    let id = resolve(&mut second, &token);
    assert_eq!(second.account(id).expect("live").spent_tokens, 500);
}

#[test]
fn a_closed_program_is_not_adopted_by_a_successor() {
    let mut owner = process("a.1");
    let closed = open(&mut owner, None);
    let live = open(&mut owner, None);
    let _ = owner.close(0, closed.program);
    assert_eq!(
        owner.admit(0, live.program, model_call(1, 250, 1)),
        Admission::NeedsGrant
    );
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), owner.next_budget_record());
    let refused = successor.resolve(0, &closed.token, &profile());
    assert_eq!(
        refused.expect_err("refused").reason,
        RefusalReason::NotFound
    );
}

#[test]
fn only_a_successor_adopts_a_program() {
    let token = open(&mut process("a.1"), None).token;
    let refused = process("b.1").resolve(0, &token, &profile());
    assert_eq!(
        refused.expect_err("refused").reason,
        RefusalReason::OwnerUnavailable
    );
}

#[test]
fn the_budget_record_of_a_full_instance_fits_into_one_store_value() {
    let name = format!("{}.{}", "n".repeat(40), u64::MAX);
    let mut programs = process(&name);
    let profile = profile();
    let refused = (0..100_000)
        .find_map(|_| programs.open(0, request(&profile, None, None)).err())
        .expect("the number of programs is bounded");
    assert_eq!(refused.reason, RefusalReason::Overloaded);
    let id = jayreel_programs::ProgramId(1);
    assert_eq!(
        programs.admit(0, id, model_call(1, 250, 1)),
        Admission::NeedsGrant
    );
    let record = programs.next_budget_record().expect("a grant is needed");
    assert!(record.live.len() > 1_000);
    assert!(record.encode().len() <= MAX_RECORD_BYTES);
}

#[test]
fn tokens_left_by_a_finished_call_start_a_call_that_waited_for_a_grant() {
    let mut programs = process("a.1");
    let root = open(&mut programs, None).program;
    let child = open(&mut programs, Some(root)).program;
    assert!(runs(&programs.admit(0, root, model_call(1, 190, 10))));
    let waiting = programs.admit(0, child, model_call(2, 90, 10));
    assert_eq!(waiting, Admission::NeedsGrant);
    let effects = programs.finish(0, RequestId(1), usage(10));
    assert_eq!(effects.resolved[0].request_id, RequestId(2));
    assert!(runs(&effects.resolved[0].admission));
}

#[test]
fn adopting_a_sub_agent_of_a_successor_needs_the_records_of_both_incarnations() {
    let token = open(&mut process("a.1"), None).token;
    let mut successor = process("b.1");
    successor.adopt(incarnation("a.1"), None);
    let root = resolve(&mut successor, &token);
    let child = open(&mut successor, Some(root)).token;
    assert_eq!(child.root, token.cache_tag());
    for known in ["a.1", "b.1"] {
        let mut second = process("c.1");
        second.adopt(incarnation(known), None);
        let refused = second.resolve(0, &child, &profile());
        assert_eq!(
            refused.expect_err("refused").reason,
            RefusalReason::OwnerUnavailable
        );
    }
}
