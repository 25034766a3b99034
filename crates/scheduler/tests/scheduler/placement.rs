//! Placement of calls on endpoints.

use std::collections::BTreeMap;

use jayreel_scheduler::PolicySettings;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_scheduler::settings::PlacementKind;
use test_case::test_case;

use crate::harness::{Harness, MODEL, REMOTE_ZONE, chat, configuration, dispatched_to};

/// A call with a prompt of 40,000 bytes, about 10,000 tokens, with these prefix hashes.
fn conversation(id: u64, prefix_hashes: &[u64]) -> CallArrived {
    conversation_of(id, prefix_hashes, 40_000)
}

fn conversation_of(id: u64, prefix_hashes: &[u64], bytes: u64) -> CallArrived {
    CallArrived {
        operation: CallOperation::Chat {
            model: MODEL.to_string(),
            max_tokens: Some(100),
            prompt_bound_tokens: bytes,
            prefix_hashes: prefix_hashes.to_vec(),
        },
        ..chat(id, "a")
    }
}

fn harness(placement: PlacementKind, worker_slots: &[u32]) -> Harness {
    let policies = PolicySettings {
        placement,
        ..PolicySettings::default()
    };
    Harness::new(configuration(&["a"], worker_slots), policies)
}

fn arrive(harness: &mut Harness, call: CallArrived) -> String {
    let effects = harness.arrive(call);
    assert_eq!(dispatched_to(&effects).len(), 1, "{effects:?}");
    dispatched_to(&effects)[0].1.to_string()
}

/// Completes one call in about a second, so that the mean service time is known.
fn observe_service_time(harness: &mut Harness) {
    arrive(harness, chat(1_000, "a"));
    harness.now_ms += 1_000;
    harness.finish(1_000);
}

/// The next turn of a conversation must go to the endpoint that has its prefix cached,
/// instead of being recomputed elsewhere.
#[test]
fn conversation_returns_to_endpoint_with_cached_prefix() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[4; 8]);
    let first = arrive(&mut harness, conversation(1, &[10, 11]));
    harness.finish(1);
    for id in 2..10 {
        arrive(&mut harness, conversation(100 + id, &[id * 50]));
        let turn = conversation(id, &[10, 11, 12, 12 + id]);
        assert_eq!(arrive(&mut harness, turn), first);
        harness.finish(id);
    }
}

/// A call must go to another endpoint if waiting for the one with its cached prefix takes
/// longer than recomputing the prefix.
#[test]
fn affinity_yields_to_a_long_wait() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[1, 1]);
    observe_service_time(&mut harness);
    let first = arrive(&mut harness, conversation(1, &[10]));
    harness.now_ms += 10;
    let effects = harness.arrive(conversation(2, &[10, 11]));
    let other = dispatched_to(&effects);
    assert_ne!(other[0].1, first, "1 s of wait against 0.5 s of prefill");
}

/// A call must wait for the endpoint with its cached prefix if a slot there is free soon, but
/// not beyond the configured maximum.
#[test]
fn call_waits_for_cached_prefix_for_limited_time() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[4, 4]);
    observe_service_time(&mut harness);
    let first = arrive(&mut harness, conversation(1, &[10]));
    for id in 2..=4 {
        assert_eq!(arrive(&mut harness, conversation(id, &[10])), first);
    }
    let waiting = conversation(5, &[10]);
    assert_eq!(
        harness.arrive(waiting),
        [],
        "a slot is free in about 0.25 s"
    );
    let effects = harness.tick_after(2_000);
    assert_ne!(dispatched_to(&effects)[0].1, first);
}

/// Runs a call with a prompt of 8,000 bytes and returns its endpoint.
fn run_prompt(harness: &mut Harness, id: u64, prefix_hashes: &[u64]) -> String {
    let endpoint = arrive(harness, conversation_of(id, prefix_hashes, 8_000));
    harness.finish(id);
    endpoint
}

/// The length of a prefix that was a whole prompt before must be used exactly. If all ten
/// messages were assumed to have the same length, the long first message would count as a
/// tenth of the prompt, too little to outweigh the load of its endpoint.
#[test]
fn exact_prefix_length_replaces_estimate() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[4, 4]);
    observe_service_time(&mut harness);
    let first = run_prompt(&mut harness, 1, &[10]);
    harness.report(&first, 2, 0);
    let hashes: Vec<u64> = (10..20).collect();
    let turn = conversation_of(2, &hashes, 8_800);
    assert_eq!(arrive(&mut harness, turn), first);
}

/// A cached prefix must not be recomputed on the last free slot, which other calls need. With
/// many free slots, a call must be recomputed elsewhere rather than wait.
#[test_case(0, 1; "many free slots")]
#[test_case(3, 0; "one free slot")]
fn contention_raises_cost_of_recomputation(running: u32, placements: usize) {
    let mut harness = harness(PlacementKind::CacheAffinity, &[4, 4]);
    observe_service_time(&mut harness);
    let first = run_prompt(&mut harness, 1, &[10]);
    let other = ["w0", "w1"].into_iter().find(|name| *name != first);
    harness.report(&first, 4, 0);
    harness.report(other.unwrap(), running, 0);
    let effects = harness.arrive(conversation_of(2, &[10], 8_000));
    assert_eq!(dispatched_to(&effects).len(), placements, "{effects:?}");
}

/// Endpoints in the instance's own availability zone must be preferred, but only until they
/// are so busy that another zone is faster.
#[test]
fn local_zone_is_preferred_until_it_is_busy() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[4, 4]);
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints.get_mut("w0").unwrap();
        worker.availability_zone = REMOTE_ZONE.to_string();
    });
    observe_service_time(&mut harness);
    assert_eq!(arrive(&mut harness, chat(1, "a")), "w1");
    let next: Vec<String> = (2..=4)
        .map(|id| arrive(&mut harness, chat(id, "a")))
        .collect();
    assert!(next.contains(&"w0".to_string()), "w1 is busy: {next:?}");
}

/// Calls must be spread over endpoints of similar cost. Otherwise all calls that use the same
/// load report go to the same endpoint.
#[test]
fn calls_spread_over_near_best_endpoints() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[64; 8]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for id in 1..=64 {
        *counts
            .entry(arrive(&mut harness, chat(id, "a")))
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

/// A delayed load report must be corrected by the calls of this instance: calls sent after
/// the measurement must be added, and calls contained in the report must not count twice.
#[test]
fn lagging_report_is_corrected_by_own_calls() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[8, 8]);
    observe_service_time(&mut harness);
    for id in 1..=6 {
        arrive(&mut harness, chat(id, "a"));
    }
    harness.now_ms += 500;
    let on_w0 = |harness: &mut Harness, id| arrive(harness, chat(id, "a")) == "w0";
    // Both endpoints run three of these calls. w1 also runs three of another instance.
    harness.report("w0", 3, 100);
    harness.report("w1", 6, 100);
    let before: Vec<bool> = (7..=9).map(|id| on_w0(&mut harness, id)).collect();
    assert_eq!(before, [true; 3], "w1 has the load of another instance");
    // The same load, but measured before the last three calls were sent to w0.
    harness.report("w0", 3, 200);
    let after: Vec<bool> = (10..=13).map(|id| on_w0(&mut harness, id)).collect();
    assert!(after.contains(&false), "w0 is no longer the better one");
}

/// The baselines must spread calls evenly.
#[test_case(PlacementKind::RoundRobin)]
#[test_case(PlacementKind::FewestOutstanding)]
fn baselines_spread_calls(placement: PlacementKind) {
    let mut harness = harness(placement, &[8; 4]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for id in 1..=16 {
        let call = conversation(id, &[10]);
        *counts.entry(arrive(&mut harness, call)).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [4; 4]);
}

/// When an endpoint's process is replaced, its recorded cache contents must be dropped.
#[test]
fn replaced_endpoint_has_no_cache() {
    let mut harness = harness(PlacementKind::CacheAffinity, &[8, 8]);
    let turn = |harness: &mut Harness, conversation_id: u64, turn: u64| {
        let first = conversation_id * 100;
        let prefix_hashes: Vec<u64> = (first..=first + turn).collect();
        let id = first + turn;
        let endpoint = arrive(harness, conversation(id, &prefix_hashes));
        harness.finish(id);
        endpoint
    };
    let first: Vec<String> = (1..40).map(|id| turn(&mut harness, id, 1)).collect();
    let second: Vec<String> = (1..40).map(|id| turn(&mut harness, id, 2)).collect();
    assert_eq!(first, second, "the cache is in use");
    harness.reconfigure(|configuration| {
        let replaced = configuration.endpoints.get_mut("w0").unwrap();
        replaced.address = "127.0.0.1:2".to_string();
    });
    let third: Vec<String> = (1..40).map(|id| turn(&mut harness, id, 3)).collect();
    let moved = |from: &str| {
        let turns = second.iter().zip(&third);
        turns
            .filter(|(old, new)| *old == from && old != new)
            .count()
    };
    assert!(moved("w0") > 0, "w0 has lost its cache");
    assert_eq!(moved("w1"), 0, "w1 still has its cache");
}
