//! Placement by affinity and expected time, with a model of the endpoints in place of a network.

#[path = "support/fleet_model.rs"]
mod fleet_model;

use jayreel_gateway::{Balancer, EndpointKey, Load, PickReason, PickRequest};
use jayreel_placement::AffinityKey;
use test_case::test_case;

use fleet_model::{FleetModel, ModelSettings, entry};

fn zone_of(names: &[String], zone: &str) -> Balancer {
    let mut balancer = Balancer::new(zone);
    balancer.enable_program_affinity();
    names
        .iter()
        .for_each(|name| balancer.upsert(entry(name, "a", 6)));
    balancer
}

fn names(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("engine-{number}"))
        .collect()
}

fn chosen(balancer: &Balancer, now_ms: u64, program: &str) -> (String, PickReason) {
    let request = PickRequest {
        program: Some(AffinityKey::program(program)),
        ..PickRequest::new("engines", &[])
    };
    let pick = balancer.choose(now_ms, &request).expect("an endpoint");
    (pick.id, pick.reason)
}

fn key_of(balancer: &Balancer, id: &str) -> EndpointKey {
    let all = balancer.choices(0, &PickRequest::new("engines", &[]));
    let mut tried: Vec<String> = Vec::new();
    let mut next = all.into_iter().next();
    while let Some(pick) = next {
        if pick.id == id {
            return pick.key;
        }
        tried.push(pick.id);
        next = balancer.choose(0, &PickRequest::new("engines", &tried));
    }
    panic!("no endpoint {id}");
}

/// Instances whose candidates differ read the history of a program into several engines. They
/// learn of endpoints in different orders and at different times.
#[test]
fn instances_of_a_zone_choose_the_same_endpoint() {
    let names = names(12);
    let reversed: Vec<String> = names.iter().rev().cloned().collect();
    let (one, other) = (zone_of(&names, "a"), zone_of(&reversed, "a"));
    for program in (0..200).map(|number| format!("{number:x}")) {
        let chosen_by_one = chosen(&one, 0, &program);
        assert_eq!(chosen_by_one.1, PickReason::Affinity);
        assert_eq!(chosen_by_one, chosen(&other, 50_000, &program));
    }
}

/// The affinity to a full endpoint must end, and the program then has the same second candidate at
/// each instance.
#[test]
fn load_of_the_preferred_endpoint_is_bounded() {
    let mut balancer = zone_of(&names(12), "a");
    let (first, _) = chosen(&balancer, 0, "p");
    let key = key_of(&balancer, &first);
    let mut sent = 0;
    while chosen(&balancer, 0, "p").0 == first {
        balancer.begin(key);
        sent += 1;
    }
    assert!(
        (4..=6).contains(&sent),
        "{sent} requests more than at the others"
    );
    let (second, reason) = chosen(&balancer, 0, "p");
    assert_eq!(reason, PickReason::Affinity);
    for id in [&first, &second] {
        let key = key_of(&balancer, id);
        (0..6).for_each(|_| balancer.begin(key));
    }
    assert_eq!(chosen(&balancer, 0, "p").1, PickReason::Score);
}

/// An endpoint vanishes without a word. Its programs go to their second candidates and return
/// later; the others must not move.
#[test]
fn programs_of_a_lost_endpoint_move_and_return() {
    let names = names(12);
    let mut balancer = zone_of(&names, "a");
    let programs: Vec<String> = (0..300).map(|number| format!("{number:x}")).collect();
    let placed = |balancer: &Balancer| -> Vec<String> {
        let ids = programs
            .iter()
            .map(|program| chosen(balancer, 0, program).0);
        ids.collect()
    };
    let before = placed(&balancer);
    let lost = key_of(&balancer, "engine-3");
    balancer.suspend(lost);
    let during = placed(&balancer);
    for (before, during) in before.iter().zip(&during) {
        match before.as_str() {
            "engine-3" => assert_ne!(during, "engine-3"),
            _ => assert_eq!(before, during),
        }
    }
    balancer.remove("engine-3");
    assert_eq!(
        placed(&balancer),
        during,
        "the second candidates are the same"
    );
    balancer.upsert(entry("engine-3", "a", 6));
    assert_eq!(placed(&balancer), before);
}

/// A partitioned zone reaches no endpoints of others, nor do they reach its own. Programs must not
/// be assigned to endpoints elsewhere while the own zone has any.
#[test]
fn candidates_are_in_the_own_zone() {
    let mut balancer = zone_of(&names(4), "a");
    let far: Vec<String> = (0..20).map(|number| format!("far-{number}")).collect();
    far.iter()
        .for_each(|name| balancer.upsert(entry(name, "b", 6)));
    for program in (0..100).map(|number| format!("{number:x}")) {
        assert!(chosen(&balancer, 0, &program).0.starts_with("engine-"));
    }
    let full = Load {
        running: 6,
        waiting: 12,
        slots: 6,
    };
    for name in names(4) {
        let key = key_of(&balancer, &name);
        balancer.report(1_000, key, full);
    }
    assert_eq!(chosen(&balancer, 1_000, "p").1, PickReason::Overflow);
}

/// Turns of a program arrive at any instance of the zone, or mostly at the same one. With a bonus
/// smaller than one request of load, and an endpoint that each instance remembers for itself, most
/// histories are read again.
#[test_case(0.0)]
#[test_case(0.9)]
fn histories_stay_cached_at_one_engine(same_instance: f64) {
    let settings = ModelSettings {
        instances: 10,
        speeds: vec![1.0; 16],
        request_ms: 240.0,
        arrivals_per_s: 300.0,
        programs: 300,
        same_instance,
        ..ModelSettings::default()
    };
    let before = FleetModel::new(&settings).run(20_000);
    let settings = ModelSettings {
        has_program_affinity: true,
        ..settings
    };
    let after = FleetModel::new(&settings).run(20_000);
    println!("{same_instance} before {before:?}\n{same_instance} after {after:?}");
    assert!(before.cached_share < 0.3, "{before:?}");
    assert!(after.cached_share > 0.65, "{after:?}");
    assert!(after.p50_ms < before.p50_ms, "{before:?} {after:?}");
    assert!(after.p95_ms < before.p95_ms, "{before:?} {after:?}");
}
