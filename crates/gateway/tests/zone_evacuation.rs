//! Evacuation of an availability zone: the choice of endpoints while it lasts and after its end,
//! and the propagation of the set of evacuated zones.

mod support;

use std::collections::BTreeSet;

use jayreel_gateway::storage::{Event, Node};
use jayreel_gateway::{
    Balancer, EndpointEntry, EndpointRead, EndpointSnapshot, EvacuationView, Evacuations,
    Load, ZoneChange,
};
use jayreel_ledger::{
    Group, MemberRequest, MemberResponse, SharedConfiguration, SharedEvacuations,
};
use proptest::prelude::*;
use support::{member, node, responses, send};
use test_case::test_case;

/// Time after an evacuation after which the zone gets its full share, in milliseconds.
const RAMP_MS: u64 = 5_000;

fn entry(id: &str, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: zone.to_string(),
        slots: 12,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: Some(1),
    }
}

/// A balancer in zone `a` with two endpoints in each of the zones `a` and `b`.
fn balancer() -> Balancer {
    let mut balancer = Balancer::new("a");
    for (id, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")] {
        balancer.upsert(entry(id, zone));
    }
    balancer
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn evacuations(revision: u64, names: &[&str]) -> Evacuations {
    Evacuations {
        revision,
        zones: zones(names).into_iter().collect(),
        is_complete: true,
    }
}

fn picked(balancer: &Balancer, now_ms: u64, affinity: Option<&str>) -> Option<String> {
    let pick = balancer.pick(now_ms, "engines", affinity, &[]);
    pick.map(|pick| pick.id)
}

/// Fills both endpoints of zone `b`, as their reports say.
fn fill_zone_b(balancer: &mut Balancer, now_ms: u64) {
    let full = Load {
        running: 12,
        waiting: 36,
        slots: 12,
    };
    for other in ["b1", "b2"] {
        let others: Vec<String> = ["a1", "a2", "b1", "b2"]
            .into_iter()
            .filter(|id| *id != other)
            .map(str::to_string)
            .collect();
        let pick = balancer.pick(now_ms, "engines", None, &others);
        let key = pick.expect("an endpoint of zone b").key;
        balancer.report(now_ms, key, full);
    }
}

/// Requests of an evacuated zone move to the other zone, whatever prefers the evacuated one: the
/// distance, the cache of a program, or the list of candidates for a token. Requests in flight
/// there are not affected.
#[test]
fn requests_leave_an_evacuated_zone() {
    let mut balancer = balancer();
    let running = balancer.pick(0, "engines", None, &[]).expect("an endpoint");
    balancer.begin(running.key);
    let changes = balancer.set_evacuated(10, &zones(&["a"]));
    let evacuated = ZoneChange::Evacuated {
        zone: "a".to_string(),
    };
    assert_eq!(changes, [evacuated]);
    for now_ms in 10..200 {
        let id = picked(&balancer, now_ms, Some("a1")).expect("zone b serves");
        assert!(id.starts_with('b'), "{id}");
        let candidates = balancer.candidates(now_ms, "engines", Some("a1"), &[]);
        assert!(candidates.iter().all(|pick| pick.id.starts_with('b')));
    }
    assert!(balancer.contains(running.key));
    balancer.end(running.key);
    assert!(balancer.set_evacuated(200, &zones(&["a"])).is_empty());
}

/// An endpoint that registers in the zone during the evacuation, or again after a restart, must
/// not be used either.
#[test]
fn endpoint_that_registers_in_an_evacuated_zone_is_not_used() {
    let mut balancer = Balancer::new("a");
    balancer.set_evacuated(0, &zones(&["a"]));
    balancer.upsert(entry("a1", "a"));
    assert!(!balancer.serves("engines"));
    let mut restarted = entry("a1", "a");
    restarted.started_unix_ms = Some(2);
    balancer.upsert(restarted);
    assert_eq!(picked(&balancer, 1, None), None);
}

/// Load that the remaining zones cannot take is rejected at once: the endpoints of the evacuated
/// zone do not count as capacity.
#[test]
fn load_beyond_the_remaining_capacity_is_rejected() {
    let mut balancer = balancer();
    balancer.set_evacuated(0, &zones(&["a"]));
    fill_zone_b(&mut balancer, 10);
    assert!(balancer.is_overloaded(10, "engines"));
    balancer.set_evacuated(20, &zones(&["a", "b"]));
    assert!(!balancer.serves("engines"));
    assert_eq!(picked(&balancer, 20, None), None);
}

/// Without a gradual return, all instances would send everything to the idle endpoints of the
/// zone at the same moment. Fifty instances learn of the end within two seconds.
#[test]
fn zone_returns_gradually() {
    const INSTANCES: u64 = 50;
    const PICKS: u64 = 20;
    let mut instances: Vec<Balancer> = (0..INSTANCES).map(|_| balancer()).collect();
    let learned_ms = |instance: u64| 10_000 + instance * 40;
    for (number, instance) in (0..).zip(&mut instances) {
        // Their earlier choices differ in number.
        for _ in 0..number {
            instance.pick(0, "engines", None, &[]);
        }
        instance.set_evacuated(0, &zones(&["a"]));
        let changes = instance.set_evacuated(learned_ms(number), &zones(&[]));
        let restored = ZoneChange::Restored {
            zone: "a".to_string(),
            evacuated_ms: learned_ms(number),
        };
        assert_eq!(changes, [restored]);
    }
    let mut share_at = |now_ms: u64| {
        let mut returned = 0;
        for (number, instance) in (0..).zip(&mut instances) {
            for _ in 0..PICKS {
                let id = picked(instance, now_ms.max(learned_ms(number)), None);
                returned += u64::from(id.is_some_and(|id| id.starts_with('a')));
            }
        }
        returned as f64 / (INSTANCES * PICKS) as f64
    };
    let shares: Vec<f64> = (0..8)
        .map(|second| share_at(10_000 + second * 1_000))
        .collect();
    let steps = shares.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(shares[0] < 0.02, "{shares:?}");
    assert!(
        steps.clone().all(|step| (0.0..0.25).contains(&step)),
        "{shares:?}"
    );
    assert!(shares[7] > 0.999, "{shares:?}");
}

/// While the zone returns, its endpoints are used before requests are rejected: otherwise the ramp
/// would cost requests that there is capacity for.
#[test]
fn returning_zone_takes_what_the_others_cannot() {
    let mut balancer = balancer();
    balancer.set_evacuated(0, &zones(&["a"]));
    balancer.set_evacuated(10_000, &zones(&[]));
    fill_zone_b(&mut balancer, 10_000);
    assert!(!balancer.is_overloaded(10_000, "engines"));
    let id = picked(&balancer, 10_000, None).expect("an endpoint");
    assert!(id.starts_with('a'), "{id}");
}

/// A zone that is evacuated again while it returns gets nothing at once.
#[test]
fn returning_zone_can_be_evacuated_again() {
    let mut balancer = balancer();
    balancer.set_evacuated(0, &zones(&["a"]));
    balancer.set_evacuated(1_000, &zones(&[]));
    let now_ms = 1_000 + RAMP_MS - 500;
    assert_eq!(balancer.set_evacuated(now_ms, &zones(&["a"])).len(), 1);
    for _ in 0..100 {
        let id = picked(&balancer, now_ms, None).expect("zone b serves");
        assert!(id.starts_with('b'), "{id}");
    }
}

/// A key for a zone that no endpoint is in changes nothing.
#[test]
fn unknown_zone_has_no_effect() {
    let mut balancer = balancer();
    balancer.set_evacuated(0, &zones(&["nowhere", "A", "a "]));
    let id = picked(&balancer, 1, None).expect("an endpoint");
    assert!(id.starts_with('a'), "{id}");
    assert_eq!(balancer.endpoints_in("nowhere"), 0);
}

/// A copy from an instance that was cut off from the store must not undo an evacuation, nor bring
/// one back.
#[test]
fn older_set_is_ignored() {
    let mut view = EvacuationView::default();
    assert!(view.apply(100, evacuations(7, &["a"]), |_| true));
    assert!(!view.apply(200, evacuations(6, &[]), |_| true));
    assert_eq!(view.zones(), &zones(&["a"]));
    assert_eq!(view.age_ms(300), Some(200), "an older set confirms nothing");
    assert!(view.apply(300, evacuations(8, &[]), |_| true));
    assert!(!view.apply(400, evacuations(7, &["a"]), |_| true));
    assert!(view.zones().is_empty());
}

/// Thousands of keys must not displace the evacuation of a zone that exists, and the set stays
/// small. Names that no zone can have are left out.
#[test]
fn keys_beyond_the_bound_do_not_displace_zones_in_use() {
    let mut names: Vec<String> = (0..4_000).map(|n| format!("junk-{n:04}")).collect();
    names.extend(["zone".to_string(), String::new(), "x".repeat(10_000)]);
    let read = |revision, is_complete| Evacuations {
        revision,
        zones: names.clone(),
        is_complete,
    };
    let mut view = EvacuationView::default();
    assert!(view.apply(0, read(1, true), |zone| zone == "zone"));
    assert!(view.zones().contains("zone"));
    assert_eq!(view.zones().len(), 128);
    assert_eq!(view.ignored(), names.len() - 128);
    assert!(!view.apply(1, read(2, true), |zone| zone == "zone"));
}

/// A read that stopped at its bound does not show that a key is gone.
#[test]
fn incomplete_read_ends_no_evacuation() {
    let mut view = EvacuationView::default();
    view.apply(0, evacuations(1, &["zone"]), |_| true);
    let partial = Evacuations {
        is_complete: false,
        ..evacuations(2, &["junk"])
    };
    view.apply(1, partial, |_| true);
    assert_eq!(view.zones(), &zones(&["junk", "zone"]));
}

proptest! {
    /// Whatever the order in which copies arrive, the set of the newest revision is in force.
    #[test]
    fn newest_set_wins(order in Just((1..=8_u64).collect::<Vec<_>>()).prop_shuffle()) {
        let mut view = EvacuationView::default();
        for revision in order {
            let name = format!("zone-{revision}");
            view.apply(revision, evacuations(revision, &[&name]), |_| true);
        }
        prop_assert_eq!(view.zones(), &zones(&["zone-8"]));
    }
}

/// A member of the first group. A configuration has been read.
fn founding_member(now_ms: u64) -> Node {
    let mut node = node("m1", true, 0, &[]);
    let group = Group::first(&["m1", "m2", "m3"].map(member), 1);
    node.apply(now_ms, Event::GroupReceived(group));
    read_configuration(&mut node, now_ms);
    node
}

fn read_configuration(node: &mut Node, now_ms: u64) {
    node.apply(
        now_ms,
        Event::ConfigurationRead {
            read_began_ms: now_ms,
            revision: 0,
            content: None,
        },
    );
}

fn read_evacuations(node: &mut Node, now_ms: u64, evacuations: Evacuations) {
    node.apply(
        now_ms,
        Event::EvacuationsRead {
            read_began_ms: now_ms,
            evacuations,
        },
    );
}

fn shared(node: &mut Node, now_ms: u64) -> SharedConfiguration {
    let request = MemberRequest::Configuration { known_revision: 0 };
    let effects = send(node, now_ms, 1, request);
    match responses(&effects).pop() {
        Some(MemberResponse::Configuration(shared)) => shared,
        other => panic!("{other:?}"),
    }
}

/// A member that has never read the set must not send an empty one, which would end evacuations at
/// the instances that know of them.
#[test]
fn member_shares_no_set_before_its_first_read() {
    let mut node = founding_member(10);
    assert_eq!(shared(&mut node, 20).evacuations, None);
    read_evacuations(&mut node, 30, evacuations(5, &[]));
    let empty = SharedEvacuations {
        revision: 5,
        age_ms: 10,
        zones: Vec::new(),
    };
    assert_eq!(shared(&mut node, 40).evacuations, Some(empty));
}

/// While the store does not respond, a member goes on sharing the last known set, with its age, so
/// that other instances can tell how old it is.
#[test_case(true; "the configuration is still read")]
#[test_case(false; "nothing is read")]
fn last_known_set_stays_without_the_store(reads_configuration: bool) {
    let mut node = founding_member(10);
    read_evacuations(&mut node, 10, evacuations(5, &["a"]));
    if reads_configuration {
        read_configuration(&mut node, 60_000);
    }
    let last = SharedEvacuations {
        revision: 5,
        age_ms: 60_000,
        zones: vec!["a".to_string()],
    };
    assert_eq!(shared(&mut node, 60_010).evacuations, Some(last));
    read_evacuations(&mut node, 60_020, evacuations(4, &[]));
    let evacuations = shared(&mut node, 60_030).evacuations.expect("a set");
    assert_eq!(evacuations.zones, ["a"], "an older copy changes nothing");
}

/// A member keeps the evacuation of a zone that has endpoints, however many other keys there are.
#[test]
fn member_keeps_zones_of_registered_endpoints() {
    let mut node = founding_member(10);
    node.apply(
        10,
        Event::EndpointsRead(EndpointRead::Listed {
            snapshot: EndpointSnapshot {
                revision: 1,
                entries: vec![entry("z1", "zone")],
                unreadable: 0,
            },
            was_connected: true,
        }),
    );
    let mut names: Vec<String> = (0..1_000).map(|n| format!("junk-{n:04}")).collect();
    names.push("zone".to_string());
    let read = Evacuations {
        revision: 2,
        zones: names,
        is_complete: true,
    };
    read_evacuations(&mut node, 20, read);
    let evacuations = shared(&mut node, 30).evacuations.expect("a set");
    assert!(evacuations.zones.contains(&"zone".to_string()));
    assert!(evacuations.zones.len() <= 128);
}
