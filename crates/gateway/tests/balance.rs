//! Which endpoint gets the next request.

use jayreel_gateway::{Balancer, EndpointEntry, EndpointKey, Load};
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
    pick.expect("an endpoint is there").id
}

/// Load that rises in one zone: requests stay in the zone until its endpoints are clearly
/// fuller than others, then they spill over.
#[test]
fn zone_is_left_when_it_is_fuller_by_the_cost_of_the_way() {
    let mut balancer = balancer(&[("near", "a"), ("far", "b")]);
    let mut near = 0;
    for _ in 0..12 {
        let pick = balancer.pick(0, "engines", None, &[]).expect("an endpoint");
        balancer.begin(pick.key);
        near += usize::from(pick.id == "near");
    }
    assert!((6..12).contains(&near), "{near} of 12 stayed");
}

/// Other instances fill an endpoint that looks idle from here: its report counts.
#[test]
fn load_of_others_counts_and_fades() {
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

/// A zone is cut off: its endpoints cannot be reached. Requests must not find that out one
/// after the other.
#[test]
fn unreachable_endpoint_is_used_only_if_no_other_is_there() {
    let mut balancer = balancer(&[("cut", "a"), ("far", "b")]);
    let cut = balancer
        .pick(0, "engines", None, &["far".to_string()])
        .expect("cut");
    assert!(balancer.suspend(cut.key));
    assert!(!balancer.suspend(cut.key), "it is probed only once");
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

/// A worker turns slow: it gets less than the others, and is tried again later.
#[test]
fn slow_endpoint_gets_less_until_it_is_forgotten() {
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
fn draining_endpoint_gets_nothing() {
    let mut balancer = balancer(&[("one", "a")]);
    balancer.upsert(EndpointEntry {
        is_draining: true,
        ..entry("one", "a")
    });
    assert!(balancer.pick(0, "engines", None, &[]).is_none());
    assert!(!balancer.serves("engines"));
}

/// An endpoint that starts again under its identifier knows nothing of its earlier requests.
#[test]
fn endpoint_that_started_again_is_new() {
    let mut balancer = balancer(&[("one", "a")]);
    let before = balancer.pick(0, "engines", None, &[]).expect("one");
    balancer.upsert(EndpointEntry {
        started_unix_ms: Some(2),
        ..entry("one", "a")
    });
    assert!(!balancer.contains(before.key));
}

/// Sends a request every 5 ms for ten seconds to five endpoints, of which one answers three of
/// five requests with an error at once and the others take 100 ms. Returns the part of the
/// requests that get the error, of which the balancer hears by `note_error`.
fn part_of_errors(
    entries: &[(&str, &str)],
    grey: &str,
    note_error: fn(&mut Balancer, u64, EndpointKey),
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
        match pick.id == grey && sent % 5 < 3 {
            true => {
                errors += 1;
                note_error(&mut balancer, now_ms, pick.key);
            }
            false => {
                balancer.begin(pick.key);
                running.push((now_ms + 100, pick.key));
            }
        }
    }
    f64::from(errors) / f64::from(sent)
}

/// An endpoint that fails requests at once is always idle, and looks fast: without a memory of
/// its errors it gets most of the requests.
///
/// The same holds for one that resets connections. Seen on scale-2 of the grown
/// dvcra-council-reports: 31 instances lost 117 requests at one such endpoint, up to 10 each, since
/// it was as attractive as before after each pause.
#[test_case(Balancer::record_error_response)]
#[test_case(Balancer::fail)]
fn endpoint_that_fails_requests_at_once_does_not_attract_them(
    note_error: fn(&mut Balancer, u64, EndpointKey),
) {
    let entries = ["one", "two", "three", "four", "grey"].map(|id| (id, "a"));
    let part = part_of_errors(&entries, "grey", note_error);
    assert!(part < 0.02, "{part}");
}

/// A few instances send one endpoint a request a second each. One that resets the connections of
/// all is tried again when its pause is over, but not while others have room.
#[test]
fn endpoint_that_resets_connections_is_left_alone_for_seconds() {
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

/// An error is no reason to leave the zone while others of it have room.
#[test]
fn error_leads_to_another_endpoint_of_the_zone() {
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
