//! Endpoint health: failures, probes and recovery.

use jayreel_model::{Ran, RefusalReason};
use jayreel_scheduler::{Effect, Event};
use test_case::test_case;

use crate::harness::{Harness, chat, dispatched_to};

fn probes(effects: &[Effect]) -> usize {
    let probe = |effect: &&Effect| matches!(effect, Effect::Probe { .. });
    effects.iter().filter(probe).count()
}

fn probe_finished(harness: &mut Harness, healthy: bool) -> Vec<Effect> {
    harness.apply(Event::ProbeFinished {
        endpoint: "w0".to_string(),
        healthy,
    })
}

/// Sends a call to the only endpoint `w0` and lets it fail after the response has started, so
/// that it is not retried. With `Ran::No` the caller disconnects first.
fn fail_one(harness: &mut Harness, id: u64, ran: Ran, reason: RefusalReason) {
    assert_eq!(dispatched_to(&harness.arrive(chat(id, "a"))), [(id, "w0")]);
    harness.first_token(id);
    if ran == Ran::No {
        harness.caller_gone(id);
    }
    harness.fail(id, ran, reason);
}

fn is_active(harness: &mut Harness, id: u64) -> bool {
    let active = !dispatched_to(&harness.arrive(chat(id, "a"))).is_empty();
    harness.caller_gone(id);
    harness.fail(id, Ran::No, RefusalReason::CallerGone);
    active
}

/// An endpoint that makes no progress must receive no further calls at once, but an invalid
/// response must take it out of service only if it is repeated.
#[test_case(RefusalReason::EndpointTimeout, 1)]
#[test_case(RefusalReason::EndpointFailed, 3)]
fn failing_endpoint_becomes_suspect(reason: RefusalReason, failures: u64) {
    let mut harness = Harness::simple(&[4]);
    for id in 1..=failures {
        assert!(is_active(&mut harness, 100 + id));
        fail_one(&mut harness, id, Ran::Unknown, reason);
    }
    assert!(!is_active(&mut harness, 200));
}

/// An endpoint must stay in service if callers cancel their calls.
#[test]
fn cancelled_calls_do_not_count_as_failures() {
    let mut harness = Harness::simple(&[4]);
    for id in 1..=5 {
        fail_one(&mut harness, id, Ran::No, RefusalReason::EndpointTimeout);
    }
    assert!(is_active(&mut harness, 200));
}

/// Only consecutive failures must take an endpoint out of service.
#[test]
fn success_resets_the_count_of_failures() {
    let mut harness = Harness::simple(&[4]);
    for id in 1..=6 {
        fail_one(
            &mut harness,
            id,
            Ran::Unknown,
            RefusalReason::EndpointFailed,
        );
        harness.arrive(chat(100 + id, "a"));
        harness.finish(100 + id);
    }
    assert!(is_active(&mut harness, 200));
}

/// A suspect endpoint must return to service after a successful probe, and not before.
#[test]
fn suspect_endpoint_returns_after_a_successful_probe() {
    let mut harness = Harness::simple(&[4]);
    fail_one(
        &mut harness,
        1,
        Ran::Unknown,
        RefusalReason::EndpointTimeout,
    );
    assert_eq!(probes(&harness.tick_after(100)), 0);
    assert_eq!(probes(&harness.tick_after(500)), 1);
    assert_eq!(probes(&harness.tick_after(100)), 0, "one probe at a time");
    probe_finished(&mut harness, false);
    assert!(!is_active(&mut harness, 200));
    assert_eq!(probes(&harness.tick_after(1_000)), 1);
    harness.arrive(chat(2, "a"));
    harness.tick_after(100);
    assert_eq!(
        dispatched_to(&probe_finished(&mut harness, true)),
        [(2, "w0")]
    );
}

/// A probe without a response must be sent again, so that it does not keep the endpoint out of
/// service forever.
#[test]
fn unanswered_probe_is_sent_again() {
    let mut harness = Harness::simple(&[4]);
    fail_one(
        &mut harness,
        1,
        Ran::Unknown,
        RefusalReason::EndpointTimeout,
    );
    assert_eq!(probes(&harness.tick_after(500)), 1);
    harness.tick_after(5_000);
    assert_eq!(probes(&harness.tick_after(1_000)), 1);
}

/// A flapping endpoint must not return to service after a single successful probe.
#[test]
fn flapping_endpoint_needs_more_successful_probes() {
    let mut harness = Harness::simple(&[4]);
    for (round, needed) in [1, 2, 4, 8, 8].into_iter().enumerate() {
        let id = round as u64 + 1;
        fail_one(
            &mut harness,
            id,
            Ran::Unknown,
            RefusalReason::EndpointTimeout,
        );
        for _ in 0..needed {
            assert!(!is_active(&mut harness, 200));
            assert_eq!(probes(&harness.tick_after(500)), 1);
            probe_finished(&mut harness, true);
        }
        assert!(is_active(&mut harness, 200));
    }
}

/// Another process under the same endpoint name must not inherit the health of the previous
/// one.
#[test]
fn replaced_endpoint_starts_active() {
    let mut harness = Harness::simple(&[4]);
    fail_one(
        &mut harness,
        1,
        Ran::Unknown,
        RefusalReason::EndpointTimeout,
    );
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints.get_mut("w0").unwrap();
        worker.address = "127.0.0.1:2".to_string();
    });
    assert!(is_active(&mut harness, 200));
}
