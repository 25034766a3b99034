//! Calls with an idempotency key but no program. Guards against a second run of a key
//! that was used before, here or at the instance that was responsible earlier.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::{Incarnation, Ran, RequestId};
use jayreel_programs::idempotency::KeyDigest;
use jayreel_programs::keyed::responsible;
use jayreel_programs::{KeyedAdmission, KeyedCalls, KeyedConfig};
use test_case::test_case;

const WINDOW_MS: u64 = 900_000;
const FRESHNESS_MS: u64 = 10_000;
const DISPATCH_MS: u64 = 1_000;
/// The first time at which a process that was responsible from 0 on may run a new key.
const SETTLED_MS: u64 = WINDOW_MS + FRESHNESS_MS + DISPATCH_MS + 1;

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn process(name: &str) -> Incarnation {
    Incarnation {
        instance: name.to_string(),
        number: 1,
    }
}

fn processes(names: &[&str]) -> BTreeMap<String, Incarnation> {
    let named = names.iter().map(|name| (name.to_string(), process(name)));
    named.collect()
}

fn config() -> KeyedConfig {
    KeyedConfig {
        own: process("a"),
        late_repeat_window_ms: WINDOW_MS,
        registration_freshness_ms: FRESHNESS_MS,
        dispatch_deadline_ms: DISPATCH_MS,
    }
}

/// Instance `a`, which read that `instances` are registered every second from 0 to
/// `until_ms`.
fn reader(instances: &[&str], until_ms: u64) -> KeyedCalls {
    let mut calls = KeyedCalls::new(config());
    for time_ms in (0..=until_ms).step_by(1_000) {
        calls.registrations_read(time_ms, processes(instances), Some(1));
    }
    calls
}

/// A key for which instance `of` is responsible among `a` and `b`.
fn key_of(of: &str) -> String {
    (0..)
        .map(|number| format!("key-{number}"))
        .find(|key| {
            let digest = KeyDigest::of("acme", key).expect("a valid key");
            responsible(&set(&["a", "b"]), digest) == Some(of)
        })
        .expect("both instances get keys")
}

fn admit(calls: &mut KeyedCalls, now_ms: u64, number: u64, key: &str) -> KeyedAdmission {
    calls.admit(now_ms, RequestId(number), "acme", key, false)
}

/// Whether a refused call ran, as stated in the refusal.
fn refused_as(admission: KeyedAdmission) -> Ran {
    match admission {
        KeyedAdmission::Refuse(refusal) => refusal.ran,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn a_long_responsible_instance_runs_a_key_once() {
    let mut calls = reader(&["a"], SETTLED_MS);
    assert_eq!(admit(&mut calls, SETTLED_MS, 1, "k"), KeyedAdmission::Run);
    assert_eq!(
        refused_as(admit(&mut calls, SETTLED_MS, 2, "k")),
        Ran::Unknown
    );
    calls.finish(SETTLED_MS, RequestId(1), Ran::Yes);
    assert_eq!(
        refused_as(admit(&mut calls, SETTLED_MS + WINDOW_MS, 3, "k")),
        Ran::Yes
    );
}

#[test]
fn a_key_is_free_after_a_call_that_did_not_run_and_after_the_window() {
    let mut calls = reader(&["a"], 2 * SETTLED_MS);
    let now_ms = 2 * SETTLED_MS;
    assert_eq!(admit(&mut calls, now_ms, 1, "k"), KeyedAdmission::Run);
    calls.finish(now_ms, RequestId(1), Ran::No);
    assert_eq!(admit(&mut calls, now_ms, 2, "k"), KeyedAdmission::Run);
    calls.finish(now_ms, RequestId(2), Ran::Unknown);
    let later_ms = now_ms + WINDOW_MS + 1;
    calls.registrations_read(later_ms - 1_000, processes(&["a"]), Some(1));
    assert_eq!(admit(&mut calls, later_ms, 3, "k"), KeyedAdmission::Run);
}

#[test_case(SETTLED_MS - 1, false; "within the window and the margins")]
#[test_case(SETTLED_MS, true; "settled")]
fn a_new_instance_answers_unknown_at_first(now_ms: u64, runs: bool) {
    let mut calls = reader(&["a"], now_ms);
    match admit(&mut calls, now_ms, 1, "k") {
        KeyedAdmission::Run => assert!(runs),
        other => assert_eq!((refused_as(other), runs), (Ran::Unknown, false)),
    }
}

#[test]
fn a_stale_view_refuses_calls_as_not_run() {
    let mut calls = reader(&["a"], SETTLED_MS);
    let now_ms = SETTLED_MS - SETTLED_MS % 1_000 + FRESHNESS_MS + 1;
    assert_eq!(refused_as(admit(&mut calls, now_ms, 1, "k")), Ran::No);
}

#[test]
fn a_call_is_forwarded_to_the_responsible_instance_once() {
    let mut calls = reader(&["a", "b"], SETTLED_MS);
    let key = key_of("b");
    let instance = "b".to_string();
    let expected = KeyedAdmission::Forward { instance };
    assert_eq!(admit(&mut calls, SETTLED_MS, 1, &key), expected);
    let forwarded = calls.admit(SETTLED_MS, RequestId(1), "acme", &key, true);
    assert_eq!(refused_as(forwarded), Ran::No);
}

#[test]
fn a_key_of_a_departed_instance_is_unknown_and_an_own_key_is_not() {
    let mut calls = reader(&["a", "b"], SETTLED_MS);
    calls.registrations_read(SETTLED_MS, processes(&["a"]), Some(1));
    assert_eq!(
        refused_as(admit(&mut calls, SETTLED_MS, 1, &key_of("b"))),
        Ran::Unknown
    );
    assert_eq!(
        admit(&mut calls, SETTLED_MS, 2, &key_of("a")),
        KeyedAdmission::Run
    );
}

#[test]
fn a_gap_as_long_as_the_window_restarts_the_count() {
    let mut calls = reader(&["a"], SETTLED_MS);
    let now_ms = SETTLED_MS + WINDOW_MS;
    calls.registrations_read(now_ms, processes(&["a"]), Some(1));
    assert_eq!(refused_as(admit(&mut calls, now_ms, 1, "k")), Ran::Unknown);
}

// While its registration was gone, another instance may have become responsible and
// started to count its own time.
#[test]
fn a_lapsed_registration_restarts_the_count() {
    let mut calls = reader(&["a"], SETTLED_MS);
    calls.registrations_read(SETTLED_MS, processes(&["a"]), Some(2));
    assert_eq!(
        refused_as(admit(&mut calls, SETTLED_MS, 1, "k")),
        Ran::Unknown
    );
}

#[test]
fn an_older_read_does_not_replace_a_newer_one() {
    let mut calls = reader(&["a", "b"], SETTLED_MS);
    calls.registrations_read(SETTLED_MS - 5_000, processes(&["a"]), Some(1));
    let instance = "b".to_string();
    let expected = KeyedAdmission::Forward { instance };
    assert_eq!(admit(&mut calls, SETTLED_MS, 1, &key_of("b")), expected);
}
