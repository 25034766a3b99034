//! The handover of idempotency keys by a stopping process. Guards against a second run of
//! a key that the stopped process knew, and against successors that refuse keys although
//! they received everything that it knew.

use std::collections::BTreeMap;

use jayreel_model::{Incarnation, Ran, RequestId};
use jayreel_programs::{KeyedAdmission, KeyedCalls, KeyedConfig, KeyedHandover};

const WINDOW_MS: u64 = 900_000;
const FRESHNESS_MS: u64 = 10_000;
const STEP_MS: u64 = 1_000;

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

fn new_calls(name: &str) -> KeyedCalls {
    KeyedCalls::new(KeyedConfig {
        own: process(name),
        late_repeat_window_ms: WINDOW_MS,
        registration_freshness_ms: FRESHNESS_MS,
        dispatch_deadline_ms: 1_000,
    })
}

/// Process `name`, which read that only the founder `f` is registered every second from 0
/// to `until_ms`.
fn reader(name: &str, until_ms: u64) -> KeyedCalls {
    let mut calls = new_calls(name);
    if name == "f" {
        calls.assume_founder();
    }
    for time_ms in (0..=until_ms).step_by(STEP_MS as usize) {
        calls.registrations_read(time_ms, processes(&["f"]), Some(1));
    }
    calls
}

fn admit(calls: &mut KeyedCalls, now_ms: u64, number: u64, key: &str) -> KeyedAdmission {
    calls.admit(now_ms, RequestId(number), "acme", key, false)
}

fn run(calls: &mut KeyedCalls, now_ms: u64, number: u64, key: &str) {
    assert_eq!(admit(calls, now_ms, number, key), KeyedAdmission::Run);
    calls.finish(now_ms, RequestId(number), Ran::Yes);
}

/// Whether a refused call ran, as stated in the refusal.
fn refused_as(admission: KeyedAdmission) -> Ran {
    match admission {
        KeyedAdmission::Refuse(refusal) => refusal.ran,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Retires `calls` and returns the parts for its only successor `to`, with one key each.
fn parts(calls: &mut KeyedCalls, now_ms: u64, to: &str) -> Vec<KeyedHandover> {
    calls.retire(now_ms);
    let parts = calls.export(now_ms, processes(&[to]), 1);
    let parts = parts.expect("no call runs").into_iter();
    parts.map(|(_, part)| part).collect()
}

#[test]
fn a_successor_refuses_known_keys_and_runs_new_ones() {
    let mut founder = reader("f", 5_000);
    run(&mut founder, 5_000, 1, "old");
    let mut successor = reader("a", 5_000);
    for part in parts(&mut founder, 5_000, "a") {
        successor.import(5_500, part);
    }
    successor.registrations_read(6_000, processes(&["a"]), Some(1));
    assert_eq!(refused_as(admit(&mut successor, 6_000, 1, "old")), Ran::Yes);
    run(&mut successor, 6_000, 2, "new");
}

#[test]
fn a_retired_process_admits_no_key_and_exports_only_without_calls() {
    let mut founder = reader("f", 5_000);
    assert_eq!(admit(&mut founder, 5_000, 1, "k"), KeyedAdmission::Run);
    founder.retire(5_000);
    assert_eq!(refused_as(admit(&mut founder, 5_000, 2, "new")), Ran::No);
    assert_eq!(founder.export(5_000, processes(&["a"]), 1), None);
    founder.finish(5_000, RequestId(1), Ran::Unknown);
    assert!(founder.export(5_000, processes(&["a"]), 1).is_some());
}

#[test]
fn a_missing_part_leaves_keys_unknown_even_if_another_arrives_twice() {
    let mut founder = reader("f", 5_000);
    run(&mut founder, 5_000, 1, "one");
    run(&mut founder, 5_000, 2, "two");
    let parts = parts(&mut founder, 5_000, "a");
    assert_eq!(parts.len(), 2);
    let mut successor = reader("a", 5_000);
    successor.import(5_500, parts[0].clone());
    successor.import(5_500, parts[0].clone());
    successor.registrations_read(6_000, processes(&["a"]), Some(1));
    assert_eq!(
        refused_as(admit(&mut successor, 6_000, 1, "new")),
        Ran::Unknown
    );
    successor.import(6_500, parts[1].clone());
    run(&mut successor, 6_500, 2, "new");
}

// Between its last view of the founder and its own responsibility, a third process may
// have been responsible.
#[test]
fn a_gap_before_becoming_responsible_leaves_keys_unknown() {
    let mut founder = reader("f", 5_000);
    let mut successor = reader("a", 5_000);
    for part in parts(&mut founder, 5_000, "a") {
        successor.import(5_500, part);
    }
    let now_ms = 5_000 + FRESHNESS_MS + 1;
    successor.registrations_read(now_ms, processes(&["a"]), Some(1));
    assert_eq!(
        refused_as(admit(&mut successor, now_ms, 1, "new")),
        Ran::Unknown
    );
}

// Another process may have become responsible since the stopped process last read the
// registrations.
#[test]
fn a_claim_based_on_an_old_view_has_no_effect() {
    let mut founder = reader("f", 5_000);
    let now_ms = 5_000 + FRESHNESS_MS + 1;
    let mut successor = reader("a", now_ms);
    for part in parts(&mut founder, now_ms, "a") {
        successor.import(now_ms, part);
    }
    let now_ms = now_ms + STEP_MS;
    successor.registrations_read(now_ms, processes(&["a"]), Some(1));
    assert_eq!(
        refused_as(admit(&mut successor, now_ms, 1, "new")),
        Ran::Unknown
    );
}

// A third process was responsible for the key between the stopped process and this one.
#[test]
fn a_claim_of_an_earlier_predecessor_has_no_effect() {
    let mut founder = reader("f", 5_000);
    let mut successor = reader("a", 5_000);
    for part in parts(&mut founder, 5_000, "a") {
        successor.import(5_500, part);
    }
    successor.registrations_read(6_000, processes(&["z"]), Some(1));
    successor.registrations_read(7_000, processes(&["a"]), Some(1));
    assert_eq!(
        refused_as(admit(&mut successor, 7_000, 1, "new")),
        Ran::Unknown
    );
}

#[test]
fn a_stopping_successor_hands_on_inherited_and_own_keys() {
    let mut founder = reader("f", 5_000);
    run(&mut founder, 5_000, 1, "of the founder");
    let (mut first, mut second) = (reader("a", 5_000), reader("b", 5_000));
    for part in parts(&mut founder, 5_000, "a") {
        first.import(5_500, part);
    }
    for calls in [&mut first, &mut second] {
        calls.registrations_read(6_000, processes(&["a"]), Some(1));
    }
    run(&mut first, 6_000, 1, "of the first");
    for part in parts(&mut first, 6_500, "b") {
        second.import(6_600, part);
    }
    second.registrations_read(7_000, processes(&["b"]), Some(1));
    assert_eq!(
        refused_as(admit(&mut second, 7_000, 1, "of the founder")),
        Ran::Yes
    );
    assert_eq!(
        refused_as(admit(&mut second, 7_000, 2, "of the first")),
        Ran::Yes
    );
    run(&mut second, 7_000, 3, "new");
}

// A key is stored for the late repeat window after the end of its call, also if it was
// handed over.
#[test]
fn a_handed_over_key_is_forgotten_after_the_window() {
    let mut founder = reader("f", 400_000);
    run(&mut founder, 5_000, 1, "old");
    let mut successor = reader("a", 400_000);
    for part in parts(&mut founder, 400_000, "a") {
        successor.import(400_000, part);
    }
    let end_ms = 5_000 + WINDOW_MS;
    for time_ms in (400_000..=end_ms).step_by(STEP_MS as usize) {
        successor.registrations_read(time_ms, processes(&["a"]), Some(1));
    }
    assert_eq!(
        refused_as(admit(&mut successor, end_ms, 1, "old")),
        Ran::Yes
    );
    run(&mut successor, end_ms + 1, 2, "old");
}
