//! The program and quota steps of admission.

use std::sync::{Arc, Mutex};

use jayreel_model::{Configuration, Ran, RefusalReason};
use jayreel_scheduler::event::CallArrived;
use jayreel_scheduler::quota_admission::{QuotaAdmission, QuotaDecision};
use jayreel_scheduler::{Effect, PolicySettings};
use test_case::test_case;

use crate::world::{
    World, chat, configuration, dispatches, placed, profile_with, refused,
};

#[derive(Clone, Debug, Default)]
struct QuotaLog {
    taken: u64,
    sent: u64,
    given_back: u64,
    /// Whether the customer's rate is used up.
    short: bool,
    /// Requests that are there even so.
    trickle: u64,
}

#[derive(Clone, Debug, Default)]
struct LoggedQuota(Arc<Mutex<QuotaLog>>);

impl QuotaAdmission for LoggedQuota {
    fn configure(&mut self, _now_ms: u64, _configuration: &Configuration) {}

    fn take(&mut self, _now_ms: u64, _customer: &str) -> QuotaDecision {
        let mut log = self.0.lock().unwrap();
        if log.short && log.trickle == 0 {
            return QuotaDecision::Exhausted {
                retry_after_ms: 1_500,
            };
        }
        log.trickle = log.trickle.saturating_sub(1);
        log.taken += 1;
        QuotaDecision::Taken
    }

    fn sent(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {
        self.0.lock().unwrap().sent += 1;
    }

    fn give_back(&mut self, _now_ms: u64, _customer: &str, _taken_at_ms: u64) {
        self.0.lock().unwrap().given_back += 1;
    }
}

fn world(quota: &LoggedQuota) -> World {
    let configuration = configuration(&["a"], &[1]);
    let quota = Box::new(quota.clone());
    World::with_quota(configuration, PolicySettings::default(), quota)
}

/// Guards against bad input that costs rate, and against rate that is lost to calls that
/// never ran or returned for calls that may have run (G8).
#[test]
fn quota_is_charged_for_calls_that_may_have_run() {
    let quota = LoggedQuota::default();
    let mut world = world(&quota);
    let counts = || {
        let log = quota.0.lock().unwrap();
        (log.taken, log.given_back)
    };
    let unknown_profile = CallArrived {
        profile: Some("x".to_string()),
        ..chat(1, "a")
    };
    world.arrive(unknown_profile);
    assert_eq!(counts(), (0, 0));
    world.arrive(chat(2, "a"));
    world.arrive(chat(3, "a"));
    assert_eq!(
        counts(),
        (1, 0),
        "call 3 waits for the endpoint without quota"
    );
    world.gone(3);
    assert_eq!(counts(), (1, 0), "call 3 never took any");
    world.gone(2);
    world.fail(2, Ran::Unknown, RefusalReason::CallerGone);
    assert_eq!(counts(), (1, 0), "call 2 may have run");
    world.arrive(chat(4, "a"));
    world.fail(4, Ran::No, RefusalReason::NotReady);
    assert_eq!(counts(), (2, 1), "call 4 missed its dispatch deadline");
    world.arrive(chat(5, "a"));
    world.sent(5);
    assert_eq!(quota.0.lock().unwrap().sent, 1);
    world.fail(5, Ran::Unknown, RefusalReason::CallerGone);
    assert_eq!(counts(), (3, 1), "call 5 was sent");
}

/// Guards against calls that run without quota, and against refusals before the time that
/// a call may wait for its customer's rate.
#[test]
fn call_waits_for_quota() {
    let quota = LoggedQuota::default();
    let mut world = world(&quota);
    quota.0.lock().unwrap().short = true;
    for id in 1..=3 {
        assert_eq!(world.arrive(chat(id, "a")), []);
    }
    world.gone(3);
    assert_eq!(world.tick_after(700), [], "they may wait for 800 ms");
    quota.0.lock().unwrap().short = false;
    assert_eq!(placed(&world.tick_after(50)), [(1, "w0")]);
    quota.0.lock().unwrap().short = true;
    let effects = world.tick_after(50);
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

/// Guards against 429 for calls that wait for an endpoint: their customer was short for a
/// moment, but has had rate since.
#[test_case(true; "the last request was taken")]
#[test_case(false; "no endpoint was free since")]
fn call_that_waits_for_an_endpoint_is_not_refused_for_rate(taken: bool) {
    let quota = LoggedQuota::default();
    let mut world = world(&quota);
    let mut next = 1;
    if !taken {
        assert_eq!(placed(&world.arrive(chat(next, "a"))), [(next, "w0")]);
        next += 1;
        world.reconfigure(|configuration| {
            configuration.endpoints.get_mut("w0").unwrap().slots = 2;
        });
    }
    quota.0.lock().unwrap().short = true;
    world.arrive(chat(next, "a"));
    world.arrive(chat(next + 1, "a"));
    quota.0.lock().unwrap().short = false;
    if taken {
        assert_eq!(placed(&world.tick_after(50)), [(next, "w0")]);
    } else {
        world.reconfigure(|configuration| {
            configuration.endpoints.get_mut("w0").unwrap().slots = 1;
        });
    }
    assert_eq!(world.tick_after(2_000), []);
    let log = quota.0.lock().unwrap().clone();
    assert_eq!(log.taken - log.given_back, 1, "one call runs");
    // Short again: the time of the first shortage does not count.
    quota.0.lock().unwrap().short = true;
    assert_eq!(world.finish(1), []);
    assert_eq!(world.tick_after(700), []);
    assert!(!refused(&world.tick_after(100)).is_empty());
}

/// Guards against calls of a customer above its rate that wait long, because each of its
/// requests would start their time again.
#[test]
fn customer_above_its_rate_is_refused_in_time() {
    let quota = LoggedQuota::default();
    let mut world = world(&quota);
    world.reconfigure(|configuration| {
        configuration.endpoints.get_mut("w0").unwrap().slots = 20;
    });
    quota.0.lock().unwrap().short = true;
    for id in 1..=15 {
        world.arrive(chat(id, "a"));
    }
    for _ in 0..7 {
        quota.0.lock().unwrap().trickle = 1;
        assert_eq!(placed(&world.tick_after(100)).len(), 1);
    }
    assert_eq!(refused(&world.tick_after(100)).len(), 8);
}

/// Guards against a repeated call that is refused for a shortage before its first attempt.
#[test]
fn shortage_before_an_attempt_does_not_count_after_it() {
    let quota = LoggedQuota::default();
    let mut world = world(&quota);
    quota.0.lock().unwrap().short = true;
    world.arrive(chat(1, "a"));
    quota.0.lock().unwrap().short = false;
    assert_eq!(placed(&world.tick_after(500)), [(1, "w0")]);
    world.sent(1);
    quota.0.lock().unwrap().short = true;
    world.now_ms += 10_000;
    assert_eq!(
        world.fail(1, Ran::Unknown, RefusalReason::EndpointFailed),
        []
    );
    assert_eq!(world.tick_after(700), []);
    let effects = world.tick_after(100);
    let exceeded = RefusalReason::RateExceeded;
    assert_eq!(refused(&effects), [(1, exceeded, Ran::Unknown)]);
}

/// Guards against one customer without rate that holds up another with rate.
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
    let mut world = World::with_quota(configuration, PolicySettings::default(), quota);
    assert_eq!(world.arrive(chat(1, "a")), []);
    assert_eq!(placed(&world.arrive(chat(2, "b"))), [(2, "w0")]);
}

/// Guards against calls of one program that run side by side (G1), also after one that
/// was cancelled but still runs at its endpoint.
#[test]
fn calls_of_a_program_run_one_at_a_time() {
    let mut world = World::simple(&[4]);
    let token = world.open_program(1, None);
    let call = |id| CallArrived {
        program: Some(token.clone()),
        ..chat(id, "a")
    };
    assert_eq!(placed(&world.arrive(call(2))).len(), 1);
    assert_eq!(world.arrive(call(3)), []);
    assert_eq!(world.arrive(call(4)), []);
    assert_eq!(placed(&world.gone(2)), []);
    let effects = world.fail(2, Ran::Unknown, RefusalReason::CallerGone);
    assert_eq!(placed(&effects), [(3, "w0")]);
    assert_eq!(placed(&world.finish(3)), [(4, "w0")]);
    assert_eq!(dispatches(&world.finish(4)).len(), 0);
}

/// Guards against programs that lose their profile when it is retired.
#[test]
fn open_program_outlives_the_retirement_of_its_profile() {
    let mut world = World::simple(&[4]);
    world.reconfigure(|configuration| {
        let profile = profile_with(|profile| profile.max_call_tokens = 7);
        configuration
            .profiles
            .insert("default".to_string(), profile);
    });
    let token = world.open_program(1, None);
    world.reconfigure(|configuration| {
        let profile = configuration.profiles.get_mut("default").unwrap();
        profile.retired = true;
    });
    let effects = world.arrive(CallArrived {
        program: Some(token),
        ..chat(2, "a")
    });
    assert_eq!(dispatches(&effects)[0].max_tokens, Some(7));
    let effects = world.arrive(chat(3, "a"));
    assert_eq!(refused(&effects), [(3, RefusalReason::NotAllowed, Ran::No)]);
}

/// Guards against one customer that uses another's program (G2, G5).
#[test]
fn program_of_another_customer_is_not_found() {
    let configuration = configuration(&["a", "b"], &[1]);
    let mut world = World::new(configuration, PolicySettings::default());
    let token = world.open_program(1, None);
    let effects = world.arrive(CallArrived {
        program: Some(token),
        ..chat(2, "b")
    });
    assert_eq!(refused(&effects), [(2, RefusalReason::NotFound, Ran::No)]);
}
