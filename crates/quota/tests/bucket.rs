//! Token buckets and home weight of a single instance.

mod support;

use std::collections::BTreeMap;

use jayreel_quota::{Quota, QuotaSettings, Take};
use support::{WARM_MS, contracts, drain, key, tokens_mreq, warm, weight_ppm};
use test_case::test_case;

/// Default loan term, dispatch deadline and clock margin: the delay of a home weight
/// increase.
const LENT_MS: u64 = 6_500;
/// Default dispatch deadline and clock margin: the longest time that a call occupies
/// capacity.
const HOLD_MS: u64 = 1_500;

/// Guards against a restart of an instance giving the customer a second burst.
#[test]
fn buckets_start_empty() {
    let mut quota = Quota::new(QuotaSettings::new("a.1"));
    quota.set_home_weight(0, 1_000_000, u64::MAX);
    quota.expire(WARM_MS);
    quota.set_customers(WARM_MS, &contracts(1_000, 5_000));
    assert_eq!(drain(&mut quota, WARM_MS), 0);
    assert_eq!(drain(&mut quota, WARM_MS + 2_000), 2);
}

/// Guards against rounding errors that add up over many small steps.
#[test_case(1; "each millisecond")]
#[test_case(7; "in steps of 7 ms")]
#[test_case(70_000; "at once")]
fn accrual_is_exact(step_ms: u64) {
    let mut quota = warm("a", 333_333, 7, 3_000_000);
    drain(&mut quota, WARM_MS);
    let rest_mreq = tokens_mreq(&mut quota, WARM_MS);
    let mut now_ms = WARM_MS;
    while now_ms < WARM_MS + 70_000 {
        now_ms += step_ms;
        quota.expire(now_ms);
    }
    // 7 mreq/s × 0.333333 × 70 s = 163.33 mreq.
    let gained_mreq = tokens_mreq(&mut quota, now_ms) - rest_mreq;
    assert!((163..=164).contains(&gained_mreq), "{gained_mreq}");
}

/// Guards against the use of additional weight while an earlier holder's loan of it may
/// still run.
#[test]
fn an_increase_takes_effect_after_the_longest_loan() {
    let mut quota = warm("a", 100_000, 1_000, 10_000);
    quota.set_home_weight(WARM_MS, 300_000, u64::MAX);
    assert_eq!(weight_ppm(&mut quota, WARM_MS + LENT_MS - 1), 100_000);
    assert_eq!(weight_ppm(&mut quota, WARM_MS + LENT_MS), 300_000);
}

/// Guards against a reduction that takes effect only after the smaller weight was
/// written, when another instance may already use the difference.
#[test]
fn a_decrease_takes_effect_at_once_and_cancels_pending_increases() {
    let mut quota = warm("a", 300_000, 1_000, 10_000);
    quota.set_home_weight(WARM_MS, 500_000, u64::MAX);
    quota.set_home_weight(WARM_MS + 1, 200_000, u64::MAX);
    assert_eq!(weight_ppm(&mut quota, WARM_MS + 1), 200_000);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS + 1), 2_000);
    assert_eq!(weight_ppm(&mut quota, WARM_MS + LENT_MS + 1), 200_000);
}

/// Guards against settled weight taking effect late, and against weight that is not
/// settled taking effect at once or replacing an increase that is still pending.
#[test]
fn the_settled_part_of_an_increase_takes_effect_at_once() {
    let mut quota = Quota::new(QuotaSettings::new("a.1"));
    quota.set_customers(0, &contracts(1_000, 10_000));
    quota.set_settled_home_weight(0, 300_000, 100_000, u64::MAX);
    assert_eq!(weight_ppm(&mut quota, 0), 100_000);
    quota.set_settled_home_weight(1_000, 400_000, 200_000, u64::MAX);
    assert_eq!(weight_ppm(&mut quota, 1_000), 200_000);
    assert_eq!(weight_ppm(&mut quota, LENT_MS - 1), 200_000);
    assert_eq!(weight_ppm(&mut quota, LENT_MS), 300_000);
    assert_eq!(weight_ppm(&mut quota, LENT_MS + 999), 300_000);
    assert_eq!(weight_ppm(&mut quota, LENT_MS + 1_000), 400_000);
    quota.set_settled_home_weight(WARM_MS, 250_000, 250_000, u64::MAX);
    assert_eq!(weight_ppm(&mut quota, WARM_MS), 250_000);
}

/// Guards against the use of a weight that another instance may have reclaimed.
#[test]
fn the_weight_ends_with_its_validity_and_a_renewal_does_not_restore_it() {
    let mut quota = Quota::new(QuotaSettings::new("a.1"));
    quota.set_customers(0, &contracts(1_000, 10_000));
    quota.set_home_weight(0, 500_000, 20_000);
    assert!(quota.renew_home(10_000, 30_000));
    assert_eq!(weight_ppm(&mut quota, 29_999), 500_000);
    assert_eq!(weight_ppm(&mut quota, 30_000), 0);
    assert_eq!(drain(&mut quota, 30_000), 0);
    assert!(
        !quota.renew_home(30_000, 60_000),
        "the lapse must be reported"
    );
    assert!(quota.renew_home(30_001, 60_001), "it is reported once");
    assert_eq!(quota.home_weight_ppm(30_001), 0);
    assert_eq!(weight_ppm(&mut quota, 40_000), 0);
}

/// Guards against a call that is sent late being followed by a bucket that was refilled
/// before, which would exceed the burst.
#[test]
fn a_taken_call_occupies_capacity_until_it_is_sent() {
    let mut quota = warm("a", 1_000_000, 10_000, 1_000);
    let key = key(&quota);
    assert_eq!(quota.take(WARM_MS, key), Take::Taken);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS + 500), 0);
    quota.sent(WARM_MS + 500, key, WARM_MS);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS + 550), 500);
}

/// Guards against capacity that stays occupied by a call whose outcome is never reported.
#[test]
fn occupied_capacity_is_free_after_the_dispatch_deadline_and_margin() {
    let mut quota = warm("a", 1_000_000, 10_000, 1_000);
    let key = key(&quota);
    assert_eq!(quota.take(WARM_MS, key), Take::Taken);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS + HOLD_MS), 0);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS + HOLD_MS + 100), 1_000);
}

/// Guards against the loss of the token of a call that is not sent.
#[test]
fn a_token_that_is_given_back_is_available_again() {
    let mut quota = warm("a", 1_000_000, 1_000, 2_000);
    let key = key(&quota);
    assert_eq!(quota.take(WARM_MS, key), Take::Taken);
    quota.give_back(WARM_MS, key, WARM_MS);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS), 2_000);
}

/// Guards against a token that is given back after its hold expired: it would end the
/// hold of a newer call, or add a token that has accrued again since.
#[test]
fn a_token_given_back_late_is_lost() {
    let mut quota = warm("a", 1_000_000, 1_000, 2_000);
    let key = key(&quota);
    assert_eq!(quota.take(WARM_MS, key), Take::Taken);
    let later_ms = WARM_MS + 10_000;
    assert_eq!(drain(&mut quota, later_ms), 2);
    quota.give_back(later_ms, key, WARM_MS);
    assert_eq!(tokens_mreq(&mut quota, later_ms), 0);
    assert_eq!(quota.take(later_ms + 1_000, key), Take::Taken);
    quota.give_back(later_ms + 1_000, key, WARM_MS);
    assert_eq!(tokens_mreq(&mut quota, later_ms + 2_000), 1_000);
}

/// Guards against reporting a wait time when no wait suffices.
#[test_case(1_000_000, 500, 10_000, Some(2_000); "rate decides")]
#[test_case(50_000, 500, 10_000, None; "capacity below one call")]
#[test_case(1_000_000, 0, 10_000, None; "no rate")]
fn the_wait_time_is_reported(
    weight_ppm: u32,
    rate: u64,
    burst: u64,
    wait_ms: Option<u64>,
) {
    let mut quota = warm("a", weight_ppm, rate, burst);
    drain(&mut quota, WARM_MS);
    let key = key(&quota);
    assert_eq!(quota.take(WARM_MS, key), Take::Short { wait_ms });
}

/// Guards against calls of a customer that was removed, also if they use its old key.
#[test]
fn a_removed_customer_gets_nothing() {
    let mut quota = warm("a", 1_000_000, 1_000, 2_000);
    let key = key(&quota);
    quota.set_customers(WARM_MS, &BTreeMap::new());
    assert_eq!(quota.quota_key("c"), None);
    assert_eq!(quota.take(WARM_MS, key), Take::Short { wait_ms: None });
}

/// Guards against a bucket that keeps more tokens than a lowered contract allows.
#[test]
fn a_lowered_contract_takes_effect_at_once() {
    let mut quota = warm("a", 500_000, 1_000, 20_000);
    quota.set_customers(WARM_MS, &contracts(500, 4_000));
    assert_eq!(tokens_mreq(&mut quota, WARM_MS), 2_000);
    drain(&mut quota, WARM_MS);
    assert_eq!(tokens_mreq(&mut quota, WARM_MS + 2_000), 500);
}
