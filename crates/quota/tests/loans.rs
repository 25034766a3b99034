//! Loans between two instances.

mod support;

use std::collections::BTreeMap;

use jayreel_quota::{LoanGrant, LoanRequest, LoanReturn, Quota, Take};
use support::{WARM_MS, contracts, drain, key, tokens_mreq, warm, weight_ppm};

/// Default loan term.
const LOAN_TERM_MS: u64 = 5_000;
/// Default loan term, dispatch deadline and clock margin: the time for which a lender
/// does not use what it lent.
const LENT_MS: u64 = 6_500;

/// A borrower without tokens and an idle lender, each with half of the contract.
fn borrower_and_lender() -> (Quota, Quota) {
    let mut borrower = warm("a", 500_000, 10_000, 40_000);
    drain(&mut borrower, WARM_MS);
    (borrower, warm("b", 500_000, 10_000, 40_000))
}

/// Tries to take a call, which must fail, and returns the resulting loan request.
fn request_loan(borrower: &mut Quota, now_ms: u64) -> LoanRequest {
    let key = key(borrower);
    assert!(matches!(borrower.take(now_ms, key), Take::Short { .. }));
    borrower.loan_request(now_ms, key).expect("short")
}

fn borrow(borrower: &mut Quota, lender: &mut Quota, now_ms: u64) -> LoanGrant {
    let request = request_loan(borrower, now_ms);
    let grant = lender.lend(now_ms, &request);
    assert!(borrower.receive(now_ms, grant.clone()));
    grant
}

/// Guards against shares that stay idle while the customer's calls wait at another
/// instance.
#[test]
fn an_idle_lender_lends_almost_everything() {
    let (mut borrower, mut lender) = borrower_and_lender();
    borrow(&mut borrower, &mut lender, WARM_MS);
    assert_eq!(weight_ppm(&mut borrower, WARM_MS), 975_000);
    assert_eq!(weight_ppm(&mut lender, WARM_MS), 25_000);
    assert_eq!(tokens_mreq(&mut borrower, WARM_MS), 19_000);
    assert_eq!(tokens_mreq(&mut lender, WARM_MS), 1_000);
}

/// Guards against a lender that lends what its own calls need.
#[test]
fn a_lender_keeps_its_demand_and_a_reserve() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let lender_key = key(&lender);
    for _ in 0..2 {
        assert_eq!(lender.take(WARM_MS, lender_key), Take::Taken);
        lender.sent(WARM_MS, lender_key, WARM_MS);
    }
    borrow(&mut borrower, &mut lender, WARM_MS);
    // 2 of 10 requests per second, plus a quarter.
    assert_eq!(weight_ppm(&mut lender, WARM_MS), 250_000);
}

/// Guards against weight that moves back and forth between equally busy instances.
#[test]
fn equally_busy_instances_lend_nothing() {
    let (mut borrower, mut lender) = borrower_and_lender();
    drain(&mut lender, WARM_MS);
    let request = request_loan(&mut borrower, WARM_MS);
    assert_eq!(lender.lend(WARM_MS, &request).weight_ppm, 0);
}

/// Guards against a busy instance that keeps most of the contract while another one is
/// busy too.
#[test]
fn two_busy_instances_share_evenly() {
    let mut borrower = warm("a", 200_000, 10_000, 40_000);
    let mut lender = warm("b", 800_000, 10_000, 40_000);
    drain(&mut borrower, WARM_MS);
    drain(&mut lender, WARM_MS);
    for step in 0..6 {
        let now_ms = WARM_MS + step * 20;
        drain(&mut lender, now_ms);
        drain(&mut borrower, now_ms);
        let request = request_loan(&mut borrower, now_ms);
        borrower.receive(now_ms, lender.lend(now_ms, &request));
    }
    let lender_ppm = weight_ppm(&mut lender, WARM_MS + 120);
    assert!((470_000..=530_000).contains(&lender_ppm), "{lender_ppm}");
}

/// Guards against a borrower that uses a loan after the lender uses it again.
#[test]
fn the_borrower_stops_using_a_loan_before_the_lender_resumes() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let request = request_loan(&mut borrower, WARM_MS);
    let granted_ms = WARM_MS + 300;
    let grant = lender.lend(granted_ms, &request);
    assert!(borrower.receive(WARM_MS + 600, grant));
    assert_eq!(
        weight_ppm(&mut borrower, WARM_MS + LOAN_TERM_MS - 1),
        975_000
    );
    assert_eq!(weight_ppm(&mut borrower, WARM_MS + LOAN_TERM_MS), 500_000);
    assert_eq!(weight_ppm(&mut lender, granted_ms + LENT_MS - 1), 25_000);
    assert_eq!(weight_ppm(&mut lender, granted_ms + LENT_MS), 500_000);
}

/// Guards against a paused borrower that accrues tokens for a loan after its end.
#[test]
fn a_paused_borrower_accrues_tokens_of_a_loan_only_until_its_end() {
    let mut borrower = warm("a", 500_000, 1_000, 40_000);
    let mut lender = warm("b", 500_000, 1_000, 40_000);
    drain(&mut borrower, WARM_MS);
    borrow(&mut borrower, &mut lender, WARM_MS);
    let share_ppm = u64::from(weight_ppm(&mut borrower, WARM_MS));
    drain(&mut borrower, WARM_MS);
    let expected_mreq = share_ppm * LOAN_TERM_MS / 1_000_000 + 2_500;
    assert_eq!(tokens_mreq(&mut borrower, WARM_MS + 10_000), expected_mreq);
}

/// Guards against tokens that exist at both instances after a loan.
#[test]
fn a_lender_regains_no_tokens() {
    let (mut borrower, mut lender) = borrower_and_lender();
    borrow(&mut borrower, &mut lender, WARM_MS);
    drain(&mut lender, WARM_MS);
    // Its reserve accrues 0.25 requests per second until then.
    assert_eq!(tokens_mreq(&mut lender, WARM_MS + LENT_MS), 1_000);
}

/// Guards against the use of a grant that arrives twice, after the loan's end, or at a
/// process that did not ask for it.
#[test]
fn duplicate_late_and_foreign_grants_are_ignored() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let grant = borrow(&mut borrower, &mut lender, WARM_MS);
    assert!(!borrower.receive(WARM_MS, grant.clone()), "duplicate");
    let mut restarted = warm("a", 500_000, 10_000, 40_000);
    assert!(
        !restarted.receive(WARM_MS, grant),
        "not asked for by this process"
    );
    drain(&mut borrower, WARM_MS + 20);
    let request = request_loan(&mut borrower, WARM_MS + 20);
    let late = LoanGrant {
        weight_ppm: 1,
        ..lender.lend(WARM_MS + 20, &request)
    };
    assert!(!borrower.receive(WARM_MS + 20 + LOAN_TERM_MS, late), "late");
}

/// Guards against a second loan for a request that arrives twice.
#[test]
fn a_duplicate_request_gets_the_same_loan() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let request = request_loan(&mut borrower, WARM_MS);
    let grant = lender.lend(WARM_MS, &request);
    assert_eq!(lender.lend(WARM_MS + 10, &request), grant);
    assert_eq!(weight_ppm(&mut lender, WARM_MS + 10), 25_000);
}

/// Guards against a flood of requests to peers that have nothing to lend.
#[test]
fn loan_requests_back_off_up_to_two_seconds() {
    let mut borrower = warm("a", 0, 10_000, 40_000);
    let key = key(&borrower);
    let mut sent_ms = Vec::new();
    for now_ms in WARM_MS..WARM_MS + 30_000 {
        borrower.take(now_ms, key);
        if borrower.loan_request(now_ms, key).is_some() {
            sent_ms.push(now_ms);
        }
    }
    assert_eq!(sent_ms[1] - sent_ms[0], 20);
    let last = sent_ms.len() - 1;
    assert_eq!(sent_ms[last] - sent_ms[last - 1], 2_000);
    let longest_ms = sent_ms.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert_eq!(longest_ms, Some(2_000));
}

/// Guards against requests while the instance's own share suffices.
#[test]
fn no_loan_is_requested_while_tokens_suffice() {
    let mut quota = warm("a", 500_000, 10_000, 40_000);
    let key = key(&quota);
    assert_eq!(quota.loan_request(WARM_MS, key), None);
    assert_eq!(quota.take(WARM_MS, key), Take::Taken);
    assert_eq!(quota.loan_request(WARM_MS, key), None);
}

/// Guards against writing a smaller home weight while loans or unsent calls exceed it.
#[test]
fn a_reduced_weight_may_not_be_written_while_more_is_lent() {
    let (mut borrower, mut lender) = borrower_and_lender();
    borrow(&mut borrower, &mut lender, WARM_MS);
    lender.set_home_weight(WARM_MS, 300_000, u64::MAX);
    assert!(!lender.is_within_home_weight(WARM_MS + LENT_MS - 1));
    assert!(lender.is_within_home_weight(WARM_MS + LENT_MS));
    let lender_key = key(&lender);
    let now_ms = WARM_MS + 100_000;
    assert_eq!(lender.take(now_ms, lender_key), Take::Taken);
    lender.set_home_weight(now_ms, 0, u64::MAX);
    assert!(
        !lender.is_within_home_weight(now_ms),
        "the call may still be sent"
    );
    lender.sent(now_ms, lender_key, now_ms);
    assert!(lender.is_within_home_weight(now_ms));
}

/// Guards against borrowed weight that stays unused after a planned stop, and against a
/// return that takes effect twice.
#[test]
fn a_planned_stop_returns_loans_once() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let grant = borrow(&mut borrower, &mut lender, WARM_MS);
    let returned = borrower.return_loans(WARM_MS + 10);
    assert_eq!(returned.len(), 1);
    assert_eq!(returned[0].id, grant.id);
    assert!(!borrower.has_loans(WARM_MS + 10));
    assert_eq!(weight_ppm(&mut borrower, WARM_MS + 10), 500_000);
    assert!(lender.accept_return(WARM_MS + 20, &returned[0]));
    assert!(
        !lender.accept_return(WARM_MS + 20, &returned[0]),
        "duplicate"
    );
    assert_eq!(weight_ppm(&mut lender, WARM_MS + 20), 500_000);
    let key = key(&borrower);
    drain(&mut borrower, WARM_MS + 20);
    assert_eq!(borrower.loan_request(WARM_MS + 40, key), None, "stopping");
}

/// Guards against the return of a loan while a call that was admitted with it may still
/// be sent.
#[test]
fn a_loan_is_kept_while_an_unsent_call_needs_it() {
    let mut borrower = warm("a", 0, 10_000, 40_000);
    let mut lender = warm("b", 1_000_000, 10_000, 40_000);
    borrow(&mut borrower, &mut lender, WARM_MS);
    let key = key(&borrower);
    assert_eq!(borrower.take(WARM_MS, key), Take::Taken);
    assert_eq!(borrower.return_loans(WARM_MS), Vec::new());
    borrower.sent(WARM_MS, key, WARM_MS);
    assert_eq!(borrower.return_loans(WARM_MS).len(), 1);
}

/// Guards against a lender that uses lent weight after the customer was removed and added
/// again.
#[test]
fn loans_outlive_the_removal_of_a_customer() {
    let (mut borrower, mut lender) = borrower_and_lender();
    borrow(&mut borrower, &mut lender, WARM_MS);
    lender.set_customers(WARM_MS, &BTreeMap::new());
    lender.set_customers(WARM_MS + 1, &contracts(10_000, 40_000));
    assert_eq!(weight_ppm(&mut lender, WARM_MS + 1), 25_000);
}

/// Regression test: tokens that the lender had counted under a larger contract exceeded
/// the lowered contract of the borrower.
#[test]
fn tokens_of_a_grant_are_limited_to_the_borrowers_contract() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let request = request_loan(&mut borrower, WARM_MS);
    let grant = lender.lend(WARM_MS, &request);
    assert_eq!(grant.tokens_mreq, 19_000);
    borrower.set_customers(WARM_MS, &contracts(10_000, 4_000));
    assert!(borrower.receive(WARM_MS, grant));
    assert_eq!(tokens_mreq(&mut borrower, WARM_MS), 1_900);
}

/// Guards against format changes that a peer of another version would misread without an
/// error.
#[test]
fn the_message_format_is_stable() {
    let (mut borrower, mut lender) = borrower_and_lender();
    let request = request_loan(&mut borrower, WARM_MS);
    let grant = lender.lend(WARM_MS, &request);
    let text = serde_json::to_string(&grant).expect("serializes");
    let expected = concat!(
        r#"{"id":{"borrower":"a.1","sequence":0},"customer":"c","lender":"b.1","#,
        r#""weight_ppm":475000,"tokens_mreq":19000}"#,
    );
    assert_eq!(text, expected);
    assert_eq!(
        serde_json::from_str::<LoanGrant>(&text).expect("parses"),
        grant
    );
    assert!(
        serde_json::from_str::<LoanReturn>(&text).is_err(),
        "unknown field"
    );
}
