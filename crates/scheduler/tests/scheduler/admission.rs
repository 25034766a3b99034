//! Program admission and quota admission of calls.

use std::sync::{Arc, Mutex};

use jayreel_model::{Configuration, Ran, RefusalReason};
use jayreel_scheduler::event::CallArrived;
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};
use jayreel_scheduler::{Effect, PolicySettings};
use test_case::test_case;

use crate::harness::{
    Harness, chat, configuration, dispatched_to, dispatches, profile_with, refused,
};

#[derive(Clone, Debug, Default)]
struct FakeQuotaState {
    taken: u64,
    sent: u64,
    given_back: u64,
    /// Whether the customer's rate limit is exhausted.
    exhausted: bool,
    /// Number of requests that are still available while `exhausted` is set.
    extra_requests: u64,
}

/// Quota admission with one bucket for all customers, controlled and inspected by the test.
#[derive(Clone, Debug, Default)]
struct FakeQuota(Arc<Mutex<FakeQuotaState>>);

impl QuotaAdmission for FakeQuota {
    fn configure(&mut self, _now_ms: u64, _configuration: &Configuration) {}

    fn take(&mut self, _now_ms: u64, _customer: &str) -> QuotaDecision {
        let mut state = self.0.lock().unwrap();
        if state.exhausted && state.extra_requests == 0 {
            return QuotaDecision::Exhausted {
                retry_after_ms: 1_500,
            };
        }
        state.extra_requests = state.extra_requests.saturating_sub(1);
        state.taken += 1;
        QuotaDecision::Taken
    }

    fn sent(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {
        self.0.lock().unwrap().sent += 1;
    }

    fn give_back(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {
        self.0.lock().unwrap().given_back += 1;
    }
}

fn harness(quota: &FakeQuota) -> Harness {
    let configuration = configuration(&["a"], &[1]);
    let quota = Box::new(quota.clone());
    Harness::with_quota(configuration, PolicySettings::default(), quota)
}

/// Invalid requests must not consume quota. Quota must be given back for calls that did not
/// run, and must not be given back for calls that may have run (G8).
#[test]
fn quota_is_charged_for_calls_that_may_have_run() {
    let quota = FakeQuota::default();
    let mut harness = harness(&quota);
    let counts = || {
        let state = quota.0.lock().unwrap();
        (state.taken, state.given_back)
    };
    let unknown_profile = CallArrived {
        profile: Some("x".to_string()),
        ..chat(1, "a")
    };
    harness.arrive(unknown_profile);
    assert_eq!(counts(), (0, 0));
    harness.arrive(chat(2, "a"));
    harness.arrive(chat(3, "a"));
    assert_eq!(
        counts(),
        (1, 0),
        "call 3 waits for the endpoint and has taken no quota"
    );
    harness.caller_gone(3);
    assert_eq!(counts(), (1, 0), "call 3 has taken no quota");
    harness.caller_gone(2);
    harness.fail(2, Ran::Unknown, RefusalReason::CallerGone);
    assert_eq!(counts(), (1, 0), "call 2 may have run");
    harness.arrive(chat(4, "a"));
    harness.fail(4, Ran::No, RefusalReason::NotReady);
    assert_eq!(counts(), (2, 1), "call 4 missed its dispatch deadline");
    harness.arrive(chat(5, "a"));
    harness.sent(5);
    assert_eq!(quota.0.lock().unwrap().sent, 1);
    harness.fail(5, Ran::Unknown, RefusalReason::CallerGone);
    assert_eq!(counts(), (3, 1), "call 5 was sent");
}

/// Calls must not run without quota, and must not be refused before they have waited for
/// quota for `quota_wait_ms`.
#[test]
fn call_waits_for_quota() {
    let quota = FakeQuota::default();
    let mut harness = harness(&quota);
    quota.0.lock().unwrap().exhausted = true;
    for id in 1..=3 {
        assert_eq!(harness.arrive(chat(id, "a")), []);
    }
    harness.caller_gone(3);
    assert_eq!(harness.tick_after(700), [], "they may wait for 800 ms");
    quota.0.lock().unwrap().exhausted = false;
    assert_eq!(dispatched_to(&harness.tick_after(50)), [(1, "w0")]);
    quota.0.lock().unwrap().exhausted = true;
    let effects = harness.tick_after(50);
    assert_eq!(
        refused(&effects),
        [(2, RefusalReason::RateExceeded, Ran::No)]
    );
    let Some(Effect::Refuse { refusal, .. }) = effects.first() else {
        panic!("no refusal in {effects:?}");
    };
    assert_eq!(refusal.retry_after_ms, Some(1_500));
    assert_eq!(quota.0.lock().unwrap().taken, 1);
}

/// A call that waits for a free endpoint must not be refused with 429 only because its
/// customer's quota was exhausted for a moment before and is available again.
#[test_case(true; "the last request was taken")]
#[test_case(false; "no endpoint was free since")]
fn call_that_waits_for_an_endpoint_is_not_refused_for_its_rate(taken: bool) {
    let quota = FakeQuota::default();
    let mut harness = harness(&quota);
    let mut next = 1;
    if !taken {
        assert_eq!(
            dispatched_to(&harness.arrive(chat(next, "a"))),
            [(next, "w0")]
        );
        next += 1;
        harness.reconfigure(|configuration| {
            configuration.endpoints.get_mut("w0").unwrap().slots = 2;
        });
    }
    quota.0.lock().unwrap().exhausted = true;
    harness.arrive(chat(next, "a"));
    harness.arrive(chat(next + 1, "a"));
    quota.0.lock().unwrap().exhausted = false;
    if taken {
        assert_eq!(dispatched_to(&harness.tick_after(50)), [(next, "w0")]);
    } else {
        harness.reconfigure(|configuration| {
            configuration.endpoints.get_mut("w0").unwrap().slots = 1;
        });
    }
    assert_eq!(harness.tick_after(2_000), []);
    let state = quota.0.lock().unwrap().clone();
    assert_eq!(state.taken - state.given_back, 1, "one call runs");
    // The quota is exhausted again. The earlier wait for quota must not be counted.
    quota.0.lock().unwrap().exhausted = true;
    assert_eq!(harness.finish(1), []);
    assert_eq!(harness.tick_after(700), []);
    assert!(!refused(&harness.tick_after(100)).is_empty());
}

/// The calls of a customer above its rate must be refused in time. They would wait too long
/// if each request that gets through restarted the wait of the others.
#[test]
fn customer_above_its_rate_is_refused_in_time() {
    let quota = FakeQuota::default();
    let mut harness = harness(&quota);
    harness.reconfigure(|configuration| {
        configuration.endpoints.get_mut("w0").unwrap().slots = 20;
    });
    quota.0.lock().unwrap().exhausted = true;
    for id in 1..=15 {
        harness.arrive(chat(id, "a"));
    }
    for _ in 0..7 {
        quota.0.lock().unwrap().extra_requests = 1;
        assert_eq!(dispatched_to(&harness.tick_after(100)).len(), 1);
    }
    assert_eq!(refused(&harness.tick_after(100)).len(), 8);
}

/// A retried call must not be refused because of a wait for quota before its first attempt.
#[test]
fn wait_for_quota_restarts_with_each_attempt() {
    let quota = FakeQuota::default();
    let mut harness = harness(&quota);
    quota.0.lock().unwrap().exhausted = true;
    harness.arrive(chat(1, "a"));
    quota.0.lock().unwrap().exhausted = false;
    assert_eq!(dispatched_to(&harness.tick_after(500)), [(1, "w0")]);
    harness.sent(1);
    quota.0.lock().unwrap().exhausted = true;
    harness.now_ms += 10_000;
    assert_eq!(
        harness.fail(1, Ran::Unknown, RefusalReason::EndpointFailed),
        []
    );
    assert_eq!(harness.tick_after(700), []);
    let effects = harness.tick_after(100);
    let exceeded = RefusalReason::RateExceeded;
    assert_eq!(refused(&effects), [(1, exceeded, Ran::Unknown)]);
}

/// A customer without quota must not block the calls of a customer with quota.
#[test]
fn customer_without_quota_does_not_block_others() {
    #[derive(Debug)]
    struct OnlyB;
    impl QuotaAdmission for OnlyB {
        fn configure(&mut self, _now_ms: u64, _configuration: &Configuration) {}
        fn take(&mut self, _now_ms: u64, customer: &str) -> QuotaDecision {
            match customer {
                "b" => QuotaDecision::Taken,
                _ => QuotaDecision::Exhausted { retry_after_ms: 1 },
            }
        }
        fn sent(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {}
        fn give_back(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {}
    }
    let configuration = configuration(&["a", "b"], &[1]);
    let quota = Box::new(OnlyB);
    let mut harness =
        Harness::with_quota(configuration, PolicySettings::default(), quota);
    assert_eq!(harness.arrive(chat(1, "a")), []);
    assert_eq!(dispatched_to(&harness.arrive(chat(2, "b"))), [(2, "w0")]);
}

/// Calls of one program must not run concurrently (G1), even if the earlier one was cancelled
/// but is still running at its endpoint.
#[test]
fn calls_of_a_program_run_one_at_a_time() {
    let mut harness = Harness::simple(&[4]);
    let token = harness.open_program(1, None);
    let call = |id| CallArrived {
        program: Some(token.clone()),
        ..chat(id, "a")
    };
    assert_eq!(dispatched_to(&harness.arrive(call(2))).len(), 1);
    assert_eq!(harness.arrive(call(3)), []);
    assert_eq!(harness.arrive(call(4)), []);
    assert_eq!(dispatched_to(&harness.caller_gone(2)), []);
    let effects = harness.fail(2, Ran::Unknown, RefusalReason::CallerGone);
    assert_eq!(dispatched_to(&effects), [(3, "w0")]);
    assert_eq!(dispatched_to(&harness.finish(3)), [(4, "w0")]);
    assert_eq!(dispatches(&harness.finish(4)).len(), 0);
}

/// An open program must keep its profile when the profile is retired.
#[test]
fn open_program_outlives_the_retirement_of_its_profile() {
    let mut harness = Harness::simple(&[4]);
    harness.reconfigure(|configuration| {
        let profile = profile_with(|profile| profile.max_call_tokens = 7);
        configuration
            .profiles
            .insert("default".to_string(), profile);
    });
    let token = harness.open_program(1, None);
    harness.reconfigure(|configuration| {
        let profile = configuration.profiles.get_mut("default").unwrap();
        profile.retired = true;
    });
    let effects = harness.arrive(CallArrived {
        program: Some(token),
        ..chat(2, "a")
    });
    assert_eq!(dispatches(&effects)[0].max_tokens, Some(7));
    let effects = harness.arrive(chat(3, "a"));
    assert_eq!(refused(&effects), [(3, RefusalReason::NotAllowed, Ran::No)]);
}

/// A customer must not be able to use another customer's program (G2, G5).
#[test]
fn program_of_another_customer_is_not_found() {
    let configuration = configuration(&["a", "b"], &[1]);
    let mut harness = Harness::new(configuration, PolicySettings::default());
    let token = harness.open_program(1, None);
    let effects = harness.arrive(CallArrived {
        program: Some(token),
        ..chat(2, "b")
    });
    assert_eq!(refused(&effects), [(2, RefusalReason::NotFound, Ran::No)]);
}
