//! Backoff of store calls during a store outage.

use jayreel_gateway::Backoff;

/// Number of calls made in an outage by an instance that checks every 200 ms whether it may call.
/// Every call fails.
fn calls_in_outage(backoff: &mut Backoff, outage_ms: u64) -> usize {
    let checks = (0..outage_ms).step_by(200);
    checks
        .filter(|now_ms| {
            let may_call = backoff.is_over(*now_ms);
            if may_call {
                backoff.fail(*now_ms);
            }
            may_call
        })
        .count()
}

/// Guards against a retry storm. Without backoff, 52 instances that each retried two calls every
/// 200 ms made 2,900 of one day's 5,200 store calls in an outage of 5.6 s.
#[test]
fn instance_calls_store_rarely_during_an_outage() {
    let calls = calls_in_outage(&mut Backoff::default(), 5_600);
    assert!((4..=8).contains(&calls), "{calls} calls");
}

#[test]
fn success_resets_the_pause() {
    let mut backoff = Backoff::default();
    calls_in_outage(&mut backoff, 5_600);
    backoff.succeed();
    assert!(backoff.is_over(5_600));
    backoff.fail(5_600);
    assert!(!backoff.is_over(5_700));
    assert!(
        backoff.is_over(5_800),
        "the pause is back at its initial length"
    );
}
