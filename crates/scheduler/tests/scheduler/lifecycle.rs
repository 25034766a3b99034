//! The life cycle of calls: checks on arrival, dispatch, retry, cancellation and refusal.

use jayreel_model::{EndpointKind, EndpointState, Ran, RefusalReason, RequestId};
use jayreel_scheduler::event::CallArrived;
use jayreel_scheduler::{Effect, Event, PolicySettings};
use test_case::test_case;

use crate::harness::{
    Harness, add_customer, chat, configuration, dispatched_to, endpoint, key,
    profile_with, refusals, refused, route, service,
};

fn with_routes(worker_slots: &[u32]) -> Harness {
    let mut configuration = configuration(&["a"], worker_slots);
    for name in ["s0", "s1"] {
        let mut plain = endpoint("records-office", 1);
        plain.kind = EndpointKind::PlainService;
        configuration.endpoints.insert(name.to_string(), plain);
    }
    let routes = &mut configuration.routes;
    routes.insert("file".to_string(), route("/file", false, false));
    routes.insert("read".to_string(), route("/file/read", true, false));
    routes.insert("open".to_string(), route("/open", false, true));
    Harness::new(configuration, PolicySettings::default())
}

/// Invalid requests must be refused with the right reason and must not reach an engine.
#[test_case(|call| call.key = None, RefusalReason::InvalidKey; "no key")]
#[test_case(|call| call.key = Some(key("stranger")), RefusalReason::InvalidKey; "unknown key")]
#[test_case(|call| call.profile = Some("x".to_string()), RefusalReason::NotFound; "unknown profile")]
#[test_case(|call| call.profile = Some("old".to_string()), RefusalReason::NotAllowed; "retired profile")]
#[test_case(|call| call.profile = Some("narrow".to_string()), RefusalReason::NotAllowed; "model not in profile")]
#[test_case(|call| call.program = Some("x".to_string()), RefusalReason::NotFound; "unknown program")]
#[test_case(|call| call.operation = service(1, "a", "/filed").operation, RefusalReason::NotFound; "part of a path segment")]
fn bad_input_is_refused(change: fn(&mut CallArrived), reason: RefusalReason) {
    let mut harness = with_routes(&[1]);
    harness.reconfigure(|configuration| {
        let old = profile_with(|profile| profile.retired = true);
        let narrow = profile_with(|profile| profile.models = vec!["other".to_string()]);
        configuration.profiles.insert("old".to_string(), old);
        configuration.profiles.insert("narrow".to_string(), narrow);
    });
    let mut call = chat(1, "a");
    change(&mut call);
    let effects = harness.arrive(call);
    assert_eq!(refused(&effects), [(1, reason, Ran::No)]);
    assert_eq!(effects.len(), 1);
    assert_eq!(harness.scheduler.call_count(), 0);
}

/// A call must run only once if its arrival is reported twice.
#[test]
fn repeated_arrival_is_ignored() {
    let mut harness = Harness::simple(&[2]);
    assert_eq!(dispatched_to(&harness.arrive(chat(1, "a"))).len(), 1);
    assert_eq!(harness.arrive(chat(1, "a")), []);
    harness.finish(1);
    assert_eq!(harness.scheduler.call_count(), 0);
}

/// No call must run before the first configuration.
#[test]
fn unconfigured_instance_is_not_ready() {
    let mut harness = Harness::simple(&[1]);
    let settings = harness.scheduler.settings().clone();
    harness.scheduler = jayreel_scheduler::SchedulerBuilder::new(settings).build();
    let effects = harness.arrive(chat(1, "a"));
    assert_eq!(refused(&effects), [(1, RefusalReason::NotReady, Ran::No)]);
}

/// Open routes must not require a key. Of two matching routes the longer one must be used:
/// the shorter one would make this repeatable call non-repeatable.
#[test]
fn open_route_needs_no_key_and_longest_route_wins() {
    let mut harness = with_routes(&[]);
    let mut open = service(1, "a", "/open/form");
    open.key = None;
    assert_eq!(dispatched_to(&harness.arrive(open)).len(), 1);
    harness.arrive(service(2, "a", "/file/read/x"));
    harness.sent(2);
    let failed = harness.fail(2, Ran::Unknown, RefusalReason::EndpointFailed);
    assert_eq!(refused(&failed), [], "the call is repeatable");
}

/// Draining and removed endpoints must receive no calls (G12).
#[test_case(EndpointState::Draining)]
#[test_case(EndpointState::Removed)]
fn inactive_endpoint_gets_no_call(state: EndpointState) {
    let mut harness = Harness::simple(&[4, 4]);
    harness.arrive(chat(1, "a"));
    harness.reconfigure(|configuration| {
        configuration.endpoints.get_mut("w0").unwrap().state = state;
    });
    for id in 2..=4 {
        let effects = harness.arrive(chat(id, "a"));
        assert_eq!(dispatched_to(&effects), [(id, "w1")]);
    }
}

/// Endpoints whose shutdown the platform has announced must receive no new calls, even if the
/// announcement came before their configuration.
#[test]
fn leaving_endpoint_gets_no_call() {
    let mut harness = Harness::simple(&[4]);
    let names = ["w0".to_string(), "w1".to_string()].into();
    harness.apply(Event::EndpointsLeaving { names });
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints["w0"].clone();
        configuration.endpoints.insert("w1".to_string(), worker);
    });
    assert_eq!(harness.arrive(chat(1, "a")), []);
    let names = ["w0".to_string()].into();
    let effects = harness.apply(Event::EndpointsLeaving { names });
    assert_eq!(dispatched_to(&effects), [(1, "w1")]);
}

/// A cancelled call must not be refused as not run, since the dispatching thread may already
/// have sent it (G10). Its slot must stay occupied until the endpoint has stopped.
#[test]
fn cancelled_call_may_have_run_and_keeps_its_slot() {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    let effects = harness.caller_gone(1);
    let request_id = RequestId(1);
    assert_eq!(effects[0], Effect::Cancel { request_id });
    let gone = RefusalReason::CallerGone;
    assert_eq!(refused(&effects), [(1, gone, Ran::Unknown)]);
    assert_eq!(harness.arrive(chat(2, "a")), []);
    let effects = harness.fail(1, Ran::No, gone);
    assert_eq!(refused(&effects), []);
    assert_eq!(dispatched_to(&effects), [(2, "w0")]);
}

/// A waiting call must not be dispatched after its caller has disconnected.
#[test]
fn waiting_call_is_dropped_when_its_caller_disconnects() {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    harness.arrive(chat(2, "a"));
    let gone = (2, RefusalReason::CallerGone, Ran::No);
    assert_eq!(refused(&harness.caller_gone(2)), [gone]);
    assert_eq!(harness.finish(1), []);
}

/// A call that was sent must not be refused as not run, even if a late failure report says
/// that it did not run (G10).
#[test]
fn sent_call_is_never_refused_as_not_run() {
    let mut harness = with_routes(&[]);
    harness.arrive(service(1, "a", "/file"));
    harness.sent(1);
    let effects = harness.fail(1, Ran::No, RefusalReason::EndpointFailed);
    let failed = RefusalReason::EndpointFailed;
    assert_eq!(refused(&effects), [(1, failed, Ran::Unknown)]);
}

/// A non-repeatable call must not be retried after it was sent (G11), but must be retried if
/// it never left the instance.
#[test]
fn only_unsent_attempts_of_non_repeatable_calls_are_retried() {
    let mut harness = with_routes(&[]);
    harness.arrive(service(1, "a", "/file"));
    let effects = harness.fail(1, Ran::No, RefusalReason::EndpointFailed);
    assert_eq!(
        dispatched_to(&effects).len(),
        1,
        "no byte left the instance"
    );
    harness.sent(1);
    let effects = harness.fail(1, Ran::Unknown, RefusalReason::EndpointTimeout);
    assert_eq!(dispatched_to(&effects), []);
    assert_eq!(
        refused(&effects),
        [(1, RefusalReason::EndpointTimeout, Ran::Unknown)]
    );
}

/// A retry must use another endpoint than the one that failed. A call must not be retried
/// after its caller has received part of the response.
#[test]
fn retry_uses_another_endpoint_unless_response_started() {
    let mut harness = Harness::simple(&[4, 4]);
    let first = dispatched_to(&harness.arrive(chat(1, "a")))[0]
        .1
        .to_string();
    harness.sent(1);
    let effects = harness.fail(1, Ran::Unknown, RefusalReason::EndpointFailed);
    assert_ne!(dispatched_to(&effects)[0].1, first);
    harness.first_token(1);
    let effects = harness.fail(1, Ran::Unknown, RefusalReason::EndpointFailed);
    assert_eq!(
        refused(&effects),
        [(1, RefusalReason::EndpointFailed, Ran::Unknown)]
    );
}

/// A call that is refused while it waits for its second attempt must not be reported as not
/// run, since the first attempt may have run (G10).
#[test]
fn retried_call_that_waits_too_long_may_have_run() {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    harness.sent(1);
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints.get_mut("w0").unwrap();
        worker.state = EndpointState::Draining;
    });
    let effects = harness.fail(1, Ran::Unknown, RefusalReason::EndpointFailed);
    assert_eq!(effects, []);
    let effects = harness.tick_after(30_000);
    let overloaded = RefusalReason::Overloaded;
    assert_eq!(refused(&effects), [(1, overloaded, Ran::Unknown)]);
}

/// Retries must not multiply the load when all endpoints fail.
#[test]
fn retries_stay_within_a_tenth_of_calls() {
    let mut harness = Harness::simple(&[1; 50]);
    let mut retries = 0;
    for id in 1..=1_000 {
        let mut effects = harness.arrive(chat(id, "a"));
        while !dispatched_to(&effects).is_empty() {
            harness.sent(id);
            effects = harness.fail(id, Ran::Unknown, RefusalReason::EndpointFailed);
            retries += dispatched_to(&effects).len();
            // Keeps all endpoints active, so that only the retry budget limits retries.
            let names: Vec<String> =
                harness.configuration.endpoints.keys().cloned().collect();
            harness.tick_after(500);
            for endpoint in names {
                let healthy = true;
                harness.apply(Event::ProbeFinished { endpoint, healthy });
            }
        }
    }
    assert!(retries > 50, "{retries} retries of 1000 calls");
    assert!(retries <= 110, "{retries} retries of 1000 calls");
}

/// Withdrawing a key must end its running and its waiting calls (G7).
#[test_case(true; "by configuration")]
#[test_case(false; "by peer")]
fn withdrawal_ends_running_and_waiting_calls(by_configuration: bool) {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    harness.sent(1);
    harness.arrive(chat(2, "a"));
    let effects = match by_configuration {
        true => harness.reconfigure(|configuration| {
            configuration.keys.get_mut(&key("a")).unwrap().withdrawn = true;
        }),
        false => harness.apply(Event::KeyWithdrawn { key: key("a") }),
    };
    let request_id = RequestId(1);
    assert!(effects.contains(&Effect::Cancel { request_id }));
    let reason = RefusalReason::InvalidKey;
    assert_eq!(
        refused(&effects),
        [(1, reason, Ran::Unknown), (2, reason, Ran::No)]
    );
    assert_eq!(
        refused(&harness.arrive(chat(3, "a"))),
        [(3, reason, Ran::No)]
    );
}

/// A withdrawn key must not become valid again through an older configuration, or through a
/// newer one without the withdrawal (G7, G14).
#[test]
fn withdrawn_key_never_becomes_valid_again() {
    let mut harness = Harness::simple(&[1]);
    let before = harness.configuration.clone();
    harness.reconfigure(|configuration| {
        configuration.keys.get_mut(&key("a")).unwrap().withdrawn = true;
        add_customer(configuration, "b", 1);
    });
    harness.apply(Event::ConfigurationChanged(before.into()));
    assert_eq!(dispatched_to(&harness.arrive(chat(1, "b"))).len(), 1);
    harness.reconfigure(|configuration| {
        configuration.keys.get_mut(&key("a")).unwrap().withdrawn = false;
    });
    let reason = RefusalReason::InvalidKey;
    assert_eq!(
        refused(&harness.arrive(chat(2, "a"))),
        [(2, reason, Ran::No)]
    );
}

/// Keys must be refused once the store was unreachable for the offline grace period, because
/// withdrawals cannot arrive in that time.
#[test]
fn keys_are_refused_after_the_offline_grace_period() {
    let mut harness = Harness::simple(&[4]);
    harness.now_ms += 7_100_000;
    assert_eq!(dispatched_to(&harness.arrive(chat(1, "a"))).len(), 1);
    harness.now_ms += 200_000;
    let not_ready = RefusalReason::NotReady;
    assert_eq!(
        refused(&harness.arrive(chat(2, "a"))),
        [(2, not_ready, Ran::No)]
    );
    // A peer's contact with the store that is older than the grace period has no effect.
    harness.apply(Event::StoreContact { age_ms: 7_250_000 });
    assert_eq!(refused(&harness.arrive(chat(3, "a"))).len(), 1);
    harness.apply(Event::StoreContact { age_ms: 1_000 });
    assert_eq!(dispatched_to(&harness.arrive(chat(4, "a"))).len(), 1);
}

/// A call must be refused after the profile's maximum waiting time, with a retry time of at
/// least one second.
#[test]
fn overdue_call_is_refused_with_retry_after() {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    harness.arrive(chat(2, "a"));
    assert_eq!(harness.tick_after(29_000), []);
    let effects = harness.tick_after(1_000);
    let overloaded = RefusalReason::Overloaded;
    assert_eq!(refused(&effects), [(2, overloaded, Ran::No)]);
    assert!(refusals(&effects)[0].1.retry_after_ms >= Some(1_000));
}

/// A waiting call must be moved to the new group when its model's endpoint changes the group.
#[test]
fn waiting_call_follows_its_model() {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    harness.arrive(chat(2, "a"));
    let effects = harness.reconfigure(|configuration| {
        let mut worker = configuration.endpoints.remove("w0").unwrap();
        worker.group = "new-models".to_string();
        configuration.endpoints.insert("n0".to_string(), worker);
    });
    assert_eq!(dispatched_to(&effects), [(2, "n0")]);
    let effects = harness.reconfigure(|configuration| configuration.endpoints.clear());
    assert_eq!(effects, []);
    harness.finish(1);
    harness.finish(2);
    let effects = harness.arrive(chat(3, "a"));
    assert_eq!(refused(&effects), [(3, RefusalReason::NotFound, Ran::No)]);
}

/// A planned shutdown must not be reported as complete before the last call has ended (G13).
#[test]
fn drain_completes_after_the_last_call() {
    let mut harness = Harness::simple(&[1]);
    harness.arrive(chat(1, "a"));
    harness.arrive(chat(2, "a"));
    assert_eq!(harness.apply(Event::DrainStarted), []);
    assert_eq!(dispatched_to(&harness.finish(1)), [(2, "w0")]);
    assert_eq!(
        dispatched_to(&harness.arrive(chat(3, "a"))),
        [],
        "still accepted"
    );
    assert_eq!(dispatched_to(&harness.finish(2)), [(3, "w0")]);
    assert_eq!(harness.finish(3), [Effect::DrainComplete]);
    assert_eq!(harness.tick_after(100), []);
}
