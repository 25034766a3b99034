//! Choice of endpoints by the load balancer.

use jayreel_gateway::{Balancer, EndpointEntry, EndpointKey, Load};
use jayreel_ledger::{EndpointLimit, LimitReport};
use test_case::test_case;

fn entry(id: &str, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: zone.to_string(),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(1),
        cold_left_ms: 0,
    }
}

fn balancer(entries: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::new("a");
    for (id, zone) in entries {
        balancer.upsert(entry(id, zone));
    }
    balancer
}

fn picked(balancer: &Balancer, now_ms: u64) -> String {
    let pick = balancer.pick(now_ms, "engines", None, &[]);
    pick.expect("the service has an endpoint").id
}

/// Load rises in one zone. Requests stay in the zone until its endpoint is clearly more loaded
/// than the remote one, then some go to the other zone.
#[test]
fn requests_spill_over_to_another_zone_at_high_load() {
    let mut balancer = balancer(&[("near", "a"), ("far", "b")]);
    let mut local = 0;
    for _ in 0..12 {
        let pick = balancer.pick(0, "engines", None, &[]).expect("an endpoint");
        balancer.begin(pick.key);
        local += usize::from(pick.id == "near");
    }
    assert!((6..12).contains(&local), "{local} of 12 stayed");
}

/// An endpoint without requests of this instance is full because of other instances. Its load
/// report is used, and decays with time.
#[test]
fn load_caused_by_other_instances_counts_and_decays() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a")]);
    let one = balancer
        .pick(0, "engines", None, &["two".to_string()])
        .expect("one");
    let full = Load {
        running: 12,
        waiting: 3,
        slots: 12,
    };
    balancer.report(1_000, one.key, full);
    assert_eq!(picked(&balancer, 1_000), "two");
    let two = balancer
        .pick(1_000, "engines", None, &["one".to_string()])
        .expect("two");
    (0..4).for_each(|_| balancer.begin(two.key));
    assert_eq!(picked(&balancer, 10_000), "one");
}

/// A zone is partitioned, so connections to its endpoints fail. Each endpoint must be left out
/// after the first failure, and not be tried by one request after the other.
#[test]
fn suspended_endpoint_is_used_only_without_an_alternative() {
    let mut balancer = balancer(&[("cut", "a"), ("far", "b")]);
    let cut = balancer
        .pick(0, "engines", None, &["far".to_string()])
        .expect("cut");
    assert!(balancer.suspend(cut.key));
    assert!(
        !balancer.suspend(cut.key),
        "the second failure must not start another probe"
    );
    for now_ms in [0, 1_000, 60_000] {
        assert_eq!(picked(&balancer, now_ms), "far");
    }
    balancer.remove("far");
    assert_eq!(picked(&balancer, 60_000), "cut");
    balancer.resume(cut.key);
    balancer.upsert(entry("far", "b"));
    assert_eq!(picked(&balancer, 60_000), "cut");
}

#[test]
fn failed_endpoint_is_tried_again_after_a_pause() {
    let mut balancer = balancer(&[("near", "a"), ("far", "b")]);
    let near = balancer.pick(0, "engines", None, &[]).expect("near");
    balancer.fail(0, near.key);
    assert_eq!(picked(&balancer, 100), "far");
    assert_eq!(picked(&balancer, 300), "near");
}

/// A slow endpoint gets fewer requests, and is tried again after its slowness has decayed.
#[test]
fn slow_endpoint_is_avoided_until_its_slowness_decays() {
    let mut balancer = balancer(&[("slow", "a"), ("fast", "a")]);
    let slow = balancer
        .pick(0, "engines", None, &["fast".to_string()])
        .expect("slow");
    let fast = balancer
        .pick(0, "engines", None, &["slow".to_string()])
        .expect("fast");
    for now_ms in 0..20 {
        balancer.succeed(now_ms, fast.key, 50);
        balancer.succeed(now_ms, slow.key, 400);
    }
    balancer.begin(fast.key);
    assert_eq!(picked(&balancer, 20), "fast");
    assert_eq!(picked(&balancer, 60_000), "slow");
}

#[test]
fn draining_endpoint_gets_no_requests() {
    let mut balancer = balancer(&[("one", "a")]);
    balancer.upsert(EndpointEntry {
        is_draining: true,
        ..entry("one", "a")
    });
    assert!(balancer.pick(0, "engines", None, &[]).is_none());
    assert!(!balancer.serves("engines"));
}

/// An endpoint restarted under the same identifier no longer runs its earlier requests, so they
/// must not count as its load.
#[test]
fn restarted_endpoint_gets_a_new_key() {
    let mut balancer = balancer(&[("one", "a")]);
    let before = balancer.pick(0, "engines", None, &[]).expect("one");
    balancer.upsert(EndpointEntry {
        started_unix_ms: Some(2),
        ..entry("one", "a")
    });
    assert!(!balancer.contains(before.key));
}

/// Sends a request every 5 ms for ten seconds. The endpoint `faulty` fails three of five requests
/// immediately; all other requests take 100 ms. Returns the fraction of failed requests, which are
/// reported to the balancer with `record_error`.
fn error_fraction(
    entries: &[(&str, &str)],
    faulty: &str,
    record_error: fn(&mut Balancer, u64, EndpointKey),
) -> f64 {
    let mut balancer = balancer(entries);
    let mut running: Vec<(u64, EndpointKey)> = Vec::new();
    let (mut sent, mut errors) = (0, 0);
    for now_ms in (0..10_000).step_by(5) {
        running.retain(|(ends_ms, key)| {
            let is_running = *ends_ms > now_ms;
            if !is_running {
                balancer.end(*key);
                balancer.succeed(now_ms, *key, 50);
            }
            is_running
        });
        let pick = balancer.pick(now_ms, "engines", None, &[]).expect("a pick");
        sent += 1;
        match pick.id == faulty && sent % 5 < 3 {
            true => {
                errors += 1;
                record_error(&mut balancer, now_ms, pick.key);
            }
            false => {
                balancer.begin(pick.key);
                running.push((now_ms + 100, pick.key));
            }
        }
    }
    f64::from(errors) / f64::from(sent)
}

/// An endpoint that fails requests immediately is always idle and seems fast. Unless its errors
/// are remembered, it attracts most of the requests.
///
/// The same holds for an endpoint that resets connections. In one run 31 instances lost 117
/// requests at such an endpoint, up to 10 each, because it was preferred again after each pause.
#[test_case(Balancer::record_error_response)]
#[test_case(Balancer::fail)]
fn fast_failing_endpoint_does_not_attract_requests(
    record_error: fn(&mut Balancer, u64, EndpointKey),
) {
    let entries = ["one", "two", "three", "four", "faulty"].map(|id| (id, "a"));
    let fraction = error_fraction(&entries, "faulty", record_error);
    assert!(fraction < 0.02, "{fraction}");
}

/// The rate stands for a few instances that each send an endpoint a request a second. An endpoint
/// that resets every connection must not be tried again right after its pause while the others
/// have free slots.
#[test]
fn endpoint_that_resets_connections_is_avoided_for_seconds() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a"), ("three", "a")]);
    let mut resets = 0;
    for now_ms in (0..6_000).step_by(300) {
        if picked(&balancer, now_ms) == "one" {
            let one = balancer.pick(now_ms, "engines", None, &[]).expect("one");
            balancer.fail(now_ms, one.key);
            resets += 1;
        }
    }
    assert!(resets <= 2, "{resets} resets");
}

/// An error must not move requests to a remote zone while local endpoints have room.
#[test]
fn error_moves_requests_within_the_zone() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a"), ("far", "b")]);
    let one = balancer.pick(0, "engines", None, &["two".to_string()]);
    let one = one.expect("one").key;
    balancer.record_error_response(0, one);
    assert_eq!(picked(&balancer, 0), "two");
    let two = balancer.pick(0, "engines", None, &["one".to_string()]);
    let two = two.expect("two").key;
    balancer.record_error_response(0, two);
    assert_ne!(picked(&balancer, 0), "far");
    balancer.record_error_response(1, one);
    assert_eq!(picked(&balancer, 1), "two");
    balancer.begin(two);
    assert_eq!(picked(&balancer, 60_000), "one");
}

// Guards against requests to an endpoint that says in its responses that it is about to stop,
// while its entry in the registry still says that it is ready. It may say so there seconds later
// or never.
#[test]
fn leaving_endpoint_gets_no_requests_until_it_has_restarted() {
    let mut balancer = balancer(&[("leaving", "a"), ("far", "b")]);
    let leaving = balancer.pick(0, "engines", None, &[]).expect("an endpoint");
    assert_eq!(leaving.id, "leaving");
    assert!(balancer.mark_leaving(leaving.key));
    assert!(!balancer.mark_leaving(leaving.key), "it is known");
    balancer.upsert(entry("leaving", "a"));
    let affinity = Some("leaving");
    let pick = balancer.pick(0, "engines", affinity, &[]);
    assert_eq!(pick.expect("an endpoint").id, "far");
    balancer.remove("far");
    assert!(!balancer.serves("engines"));
    assert_eq!(balancer.pick(0, "engines", affinity, &[]), None);
    balancer.upsert(EndpointEntry {
        started_unix_ms: Some(2),
        ..entry("leaving", "a")
    });
    assert_eq!(picked(&balancer, 0), "leaving");
}

// Guards against a process that ends because an endpoint reports a load beyond the range of the
// sum.
#[test]
fn largest_load_is_accepted() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a")]);
    let one = balancer
        .pick(0, "engines", None, &["two".to_string()])
        .expect("one");
    let largest = Load {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
    };
    balancer.report(0, one.key, largest);
    assert_eq!(picked(&balancer, 0), "two");
}

fn limit(id: &str, limit_per_s: Option<f64>, age_ms: u64) -> EndpointLimit {
    EndpointLimit {
        endpoint: id.to_string(),
        report: LimitReport {
            limit_per_s,
            age_ms,
        },
        cold: None,
    }
}

fn key_of(balancer: &Balancer, id: &str) -> EndpointKey {
    let others = ["near", "far"].map(str::to_string);
    let others: Vec<String> = others.into_iter().filter(|other| other != id).collect();
    let pick = balancer.pick(0, "engines", None, &others);
    pick.expect("the service has the endpoint").key
}

/// One endpoint has reached its limit, then all have. What one cannot take goes to others first;
/// when nothing is left, it is known when the next request may be sent.
#[test]
fn endpoint_at_its_limit_is_left_out() {
    let mut balancer = balancer(&[("near", "a"), ("far", "b")]);
    let (near, far) = (key_of(&balancer, "near"), key_of(&balancer, "far"));
    assert!(balancer.hear_limit(1_000, 900, near, Some(5.0)).is_some());
    let ids = |balancer: &Balancer, now_ms| {
        let candidates = balancer.candidates(now_ms, "engines", None, &[]);
        let ids = candidates
            .into_iter()
            .map(|pick| (pick.id, pick.needs_token));
        ids.collect::<Vec<_>>()
    };
    let near_then_far = [("near".to_string(), true), ("far".to_string(), false)];
    assert_eq!(ids(&balancer, 1_000), near_then_far);
    balancer.exhaust_limit(1_000, near, 200);
    assert_eq!(ids(&balancer, 1_100), near_then_far[1..]);
    assert_eq!(balancer.limit_wait_ms(1_100, "engines"), None);
    balancer.hear_limit(1_100, 1_050, far, Some(5.0));
    balancer.exhaust_limit(1_100, far, 300);
    assert_eq!(balancer.pick(1_150, "engines", None, &[]), None);
    assert!(balancer.is_overloaded(1_150, "engines"));
    assert_eq!(balancer.limit_wait_ms(1_150, "engines"), Some(50));
    assert_eq!(ids(&balancer, 1_200).len(), 1);
}

/// Responses overtake each other. One without a limit lifts it only if its request was sent after
/// the limit was named.
#[test]
fn response_to_an_earlier_request_does_not_lift_a_limit() {
    let mut balancer = balancer(&[("near", "a")]);
    let near = key_of(&balancer, "near");
    let needs_token = |balancer: &Balancer, now_ms| {
        let pick = balancer.pick(now_ms, "engines", None, &[]);
        pick.expect("an endpoint").needs_token
    };
    balancer.hear_limit(1_000, 900, near, Some(5.0));
    assert_eq!(balancer.hear_limit(1_100, 950, near, None), None);
    assert!(needs_token(&balancer, 1_100));
    let lifted = balancer.hear_limit(1_200, 1_050, near, None);
    assert_eq!(lifted, Some(limit("near", None, 150)));
    assert!(!needs_token(&balancer, 1_200));
}

/// An instance that has not heard of a limit itself learns it from a member, and needs tokens as
/// long as the member lists it, even once the endpoint itself names none.
#[test]
fn limit_is_learned_from_a_member() {
    let mut balancer = balancer(&[("near", "a")]);
    let near = key_of(&balancer, "near");
    let needs_token = |balancer: &Balancer, now_ms| {
        let pick = balancer.pick(now_ms, "engines", None, &[]);
        pick.expect("an endpoint").needs_token
    };
    balancer.learn_limits(2_000, &[limit("near", Some(5.0), 100)]);
    assert!(needs_token(&balancer, 2_000));
    assert!(balancer.hear_limit(2_200, 2_100, near, None).is_some());
    assert!(needs_token(&balancer, 2_200));
    assert!(!needs_token(&balancer, 3_000));
}

/// An endpoint names the same limit in every response. The members are told once a second.
#[test]
fn unchanged_limit_is_not_reported_again_at_once() {
    let mut balancer = balancer(&[("near", "a")]);
    let near = key_of(&balancer, "near");
    let mut reports = 0;
    for now_ms in (10_000..13_000).step_by(100) {
        reports += usize::from(
            balancer
                .hear_limit(now_ms, now_ms - 50, near, Some(5.0))
                .is_some(),
        );
    }
    assert_eq!(reports, 3);
}

fn candidate_key(balancer: &Balancer, id: &str) -> EndpointKey {
    let candidates = balancer.hedge_candidates(0, "engines", &[]);
    let found = candidates.into_iter().find(|(pick, _)| pick.id == id);
    found.expect("the endpoint is registered").0.key
}

// Guards against counting a cancelled send as a failure, and against an endpoint that stays
// preferred although its responses are never waited for.
#[test]
fn cancelled_send_is_no_failure_but_tells_that_the_endpoint_is_slow() {
    let mut balancer = balancer(&[("one", "a"), ("two", "a")]);
    let [one, two] = ["one", "two"].map(|id| candidate_key(&balancer, id));
    balancer.succeed(1_000, one, 50);
    balancer.succeed(1_000, two, 50);
    balancer.record_cancelled(1_100, one, 40);
    let slowness = |balancer: &Balancer, id: &str| {
        let candidates = balancer.hedge_candidates(1_200, "engines", &[]);
        let found = candidates.into_iter().find(|(pick, _)| pick.id == id);
        let (_, state) = found.expect("the endpoint is registered");
        assert!(!state.is_paused);
        assert_eq!(state.error_rate, 0.0);
        state.slowness
    };
    assert_eq!(slowness(&balancer, "one"), 1.0, "it was not slow yet");
    balancer.record_cancelled(1_100, one, 250);
    assert!(slowness(&balancer, "one") > 1.5);
    assert_eq!(slowness(&balancer, "two"), 1.0);
    assert_eq!(picked(&balancer, 1_200), "two");
}

// Guards against a hedged request to an endpoint that gets no requests, and against one that was
// tried or fails not being marked.
#[test]
fn hedge_candidates_are_those_that_may_be_chosen() {
    let mut balancer = balancer(&[("one", "a"), ("two", "b"), ("leaving", "a")]);
    let [two, leaving] = ["two", "leaving"].map(|id| candidate_key(&balancer, id));
    balancer.mark_leaving(leaving);
    balancer.begin(two);
    balancer.fail(1_000, two);
    let tried = ["one".to_string()];
    let mut candidates = balancer.hedge_candidates(1_000, "engines", &tried);
    candidates.sort_by(|(a, _), (b, _)| a.id.cmp(&b.id));
    let [(_, one), (_, two)] = &candidates[..] else {
        panic!("{candidates:?}");
    };
    assert!(one.is_tried && !one.is_paused);
    assert_eq!((one.zone, one.load_per_slot), ("a", 0.0));
    assert!(!two.is_tried && two.is_paused && two.error_rate > 0.0);
    assert_eq!((two.zone, two.load_per_slot), ("b", 1.0 / 12.0));
}
