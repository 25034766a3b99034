//! Placement by affinity and expected time, with a model of the endpoints in place of a network.

#[path = "support/fleet_model.rs"]
mod fleet_model;

use jayreel_gateway::{
    Balancer, EndpointEntry, EndpointKey, Load, MemoryBound, PickReason, PickRequest,
};
use jayreel_placement::AffinityKey;
use test_case::test_case;

use fleet_model::{FleetModel, ModelResult, ModelSettings, VANISHING, entry};

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

/// Whether any random number leads to an endpoint.
fn may_choose(balancer: &Balancer, now_ms: u64, id: &str) -> bool {
    (0..20).any(|step| {
        let request = PickRequest {
            random: Some(f64::from(step) / 20.0),
            ..PickRequest::new("engines", &[])
        };
        let pick = balancer.choose(now_ms, &request);
        pick.expect("an endpoint").id == id
    })
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
        (6..=8).contains(&sent),
        "{sent} requests more than at the others"
    );
    let (second, reason) = chosen(&balancer, 0, "p");
    assert_eq!(reason, PickReason::Affinity);
    for id in [&first, &second] {
        let key = key_of(&balancer, id);
        (0..8).for_each(|_| balancer.begin(key));
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

/// Times per request of a third of the endpoints 1.7, of the others 0.7.
fn mixed_speeds(count: usize) -> Vec<f64> {
    (0..count)
        .map(|number| if number % 3 == 0 { 1.7 } else { 0.7 })
        .collect()
}

fn mean_count(result: &ModelResult, speeds: &[f64], speed: f64) -> f64 {
    let of_speed = result
        .counts
        .iter()
        .zip(speeds)
        .filter(|(_, one)| **one == speed);
    let counts: Vec<usize> = of_speed.map(|(count, _)| *count).collect();
    counts.iter().sum::<usize>() as f64 / counts.len() as f64
}

/// Fifty instances with a few reports a second each. Ranked by load, slow endpoints get more than
/// they can run and fast ones wait for work; a herd would fill the queues of those that look idle.
#[test_case(400.0)]
#[test_case(550.0)]
#[test_case(650.0)]
fn fast_endpoints_get_more_requests(arrivals_per_s: f64) {
    let speeds = mixed_speeds(30);
    let settings = ModelSettings {
        speeds: speeds.clone(),
        arrivals_per_s,
        slowed: 0.15,
        ..ModelSettings::default()
    };
    let before = FleetModel::new(&settings).run(20_000);
    let settings = ModelSettings {
        reports_work_factor: true,
        ..settings
    };
    let after = FleetModel::new(&settings).run(20_000);
    println!("{arrivals_per_s} before {before:?}\n{arrivals_per_s} after {after:?}");
    let ratio = mean_count(&after, &speeds, 0.7) / mean_count(&after, &speeds, 1.7);
    assert!(ratio > 1.7 / 0.7, "{ratio} times as many as slow ones");
    assert!(after.p95_ms < before.p95_ms * 0.8, "{before:?} {after:?}");
    assert!(
        after.rejected_share <= before.rejected_share,
        "{before:?} {after:?}"
    );
}

/// Scarce capacity without work factors, requests of different sizes, and endpoints of different
/// speeds. Affinity must not send slow endpoints as many programs as fast ones.
#[test]
fn affinity_leaves_slow_endpoints_fewer_programs() {
    let speeds = mixed_speeds(30);
    let settings = ModelSettings {
        speeds: speeds.clone(),
        arrivals_per_s: 450.0,
        slowed: 0.15,
        varying: 0.7,
        programs: 500,
        same_instance: 0.5,
        ..ModelSettings::default()
    };
    let before = FleetModel::new(&settings).run(20_000);
    let settings = ModelSettings {
        has_program_affinity: true,
        ..settings
    };
    let after = FleetModel::new(&settings).run(20_000);
    println!("affinity before {before:?}\naffinity after {after:?}");
    let ratio = mean_count(&after, &speeds, 0.7) / mean_count(&after, &speeds, 1.7);
    assert!(ratio > 1.7, "{ratio} times as many as slow ones");
    assert!(after.p95_ms < before.p95_ms, "{before:?} {after:?}");
    assert!(after.cached_share > 0.5, "{after:?}");
}

/// Three zones with waves of plus and minus 55 %, shifted against each other. A zone at its crest
/// sends requests to others, at its trough it takes theirs. They must not go back and forth in
/// between: two changes in 12 s follow from the waves.
#[test_case(0)]
#[test_case(600)]
fn overflow_follows_demand_without_oscillation(programs: usize) {
    let settings = ModelSettings {
        instances: 17,
        zones: 3,
        wave: 0.55,
        speeds: mixed_speeds(10),
        arrivals_per_s: 550.0,
        slowed: 0.15,
        programs,
        same_instance: 0.5,
        ..ModelSettings::default()
    };
    let before = FleetModel::new(&settings).run(36_000);
    let settings = ModelSettings {
        reports_work_factor: true,
        has_program_affinity: programs > 0,
        ..settings
    };
    let after = FleetModel::new(&settings).run(36_000);
    println!("{programs} before {before:?}\n{programs} after {after:?}");
    assert!((0.1..0.4).contains(&after.remote_share), "{after:?}");
    assert!(after.changes_per_s < 0.5, "{after:?}");
    assert!(after.p95_ms < before.p95_ms * 0.8, "{before:?} {after:?}");
    // Without programs all requests count as one history.
    assert!(
        programs == 0 || after.cached_share > before.cached_share * 2.0,
        "{before:?} {after:?}"
    );
}

/// The steady demand of equal zones is met where it arises: crossing costs.
#[test]
fn equal_zones_keep_their_requests() {
    let settings = ModelSettings {
        instances: 17,
        zones: 3,
        speeds: vec![1.0; 10],
        arrivals_per_s: 400.0,
        reports_work_factor: true,
        ..ModelSettings::default()
    };
    let result = FleetModel::new(&settings).run(15_000);
    println!("{result:?}");
    assert!(result.remote_share < 0.02, "{result:?}");
}

/// An endpoint vanishes under load with its requests. The others must take its share, and no
/// request may go to it for long.
#[test]
fn vanished_endpoint_costs_only_its_own_requests() {
    let settings = ModelSettings {
        speeds: mixed_speeds(30),
        arrivals_per_s: 550.0,
        slowed: 0.15,
        reports_work_factor: true,
        ..ModelSettings::default()
    };
    let whole = FleetModel::new(&settings).run(20_000);
    let settings = ModelSettings {
        vanishes_ms: 8_000,
        ..settings
    };
    let result = FleetModel::new(&settings).run(20_000);
    assert!((1..=24).contains(&result.lost), "{result:?}");
    assert!(
        result.counts[VANISHING] < whole.counts[VANISHING],
        "{whole:?} {result:?}"
    );
    assert!(result.p95_ms < whole.p95_ms * 1.25, "{whole:?} {result:?}");
}

/// Reports stop while requests go on. What was learned decays, and the speed that follows from the
/// answers still counts.
#[test]
fn requests_are_spread_without_reports() {
    let speeds = mixed_speeds(30);
    let settings = ModelSettings {
        speeds: speeds.clone(),
        arrivals_per_s: 400.0,
        slowed: 0.15,
        reports_work_factor: true,
        reports_stop_ms: 5_000,
        ..ModelSettings::default()
    };
    let result = FleetModel::new(&settings).run(25_000);
    println!("{result:?}");
    let ratio = mean_count(&result, &speeds, 0.7) / mean_count(&result, &speeds, 1.7);
    assert!(ratio > 1.5, "{ratio} times as many as slow ones");
    assert!(result.rejected_share < 0.05, "{result:?}");
}

/// A zone is partitioned: no connection to another zone can be made. However loaded its endpoints
/// are, its requests must stay there, at the endpoint that is expected to be the first.
#[test]
fn partitioned_zone_keeps_its_requests() {
    let mut balancer = Balancer::new("a");
    for name in ["near-0", "near-1", "near-2"] {
        balancer.upsert(entry(name, "a", 6));
    }
    balancer.upsert(entry("far", "b", 6));
    for name in ["near-0", "near-1", "near-2"] {
        let key = key_of(&balancer, name);
        let load = Load {
            running: 6,
            waiting: if name == "near-1" { 9 } else { 18 },
            slots: 6,
        };
        balancer.report(0, key, load);
        balancer.report_work_factor(0, key, Some(1.0));
    }
    let request = PickRequest {
        random: Some(0.5),
        ..PickRequest::new("engines", &[])
    };
    let pick = balancer.choose(0, &request).expect("an endpoint");
    assert_eq!(
        (pick.id.as_str(), pick.reason),
        ("far", PickReason::Overflow)
    );
    balancer.suspend(pick.key);
    let pick = balancer.choose(0, &request).expect("an endpoint");
    assert_eq!(
        (pick.id.as_str(), pick.reason),
        ("near-1", PickReason::ExpectedTime)
    );
}

/// An endpoint that was overloaded, or that once reported a load beyond any queue, gets no requests
/// and so no new reports. It must be tried again.
#[test_case(18)]
#[test_case(u32::MAX)]
fn overloaded_endpoint_is_tried_again(waiting: u32) {
    let mut balancer = zone_of(&names(3), "a");
    let full = key_of(&balancer, "engine-0");
    let load = Load {
        running: 6,
        waiting,
        slots: 6,
    };
    balancer.report_work_factor(0, full, Some(1.0));
    for _ in 0..10 {
        balancer.report(0, full, load);
    }
    assert!(!may_choose(&balancer, 1_000, "engine-0"));
    let idle = Load {
        running: 1,
        waiting: 0,
        slots: 6,
    };
    for name in ["engine-1", "engine-2"] {
        let key = key_of(&balancer, name);
        for now_ms in (1_000..40_000).step_by(100) {
            balancer.report(now_ms, key, idle);
        }
    }
    assert!(may_choose(&balancer, 60_000, "engine-0"));
}

/// A service whose endpoints report no work factor is ranked as before, whatever the random number
/// is, and also if the endpoints of another service report one.
#[test]
fn service_without_work_factors_is_ranked_by_load() {
    let mut balancer = Balancer::new("a");
    for name in names(4) {
        balancer.upsert(entry(&name, "a", 6));
    }
    balancer.upsert(EndpointEntry {
        service: "plain".to_string(),
        ..entry("other", "a", 6)
    });
    let other = balancer.choose(0, &PickRequest::new("plain", &[]));
    balancer.report_work_factor(0, other.expect("an endpoint").key, Some(2.5));
    let first = key_of(&balancer, "engine-0");
    balancer.report_work_factor(0, first, None);
    balancer.begin(first);
    let expected = balancer.pick(0, "engines", None, &[]).expect("an endpoint");
    assert_eq!(expected.reason, PickReason::Score);
    for random in [0.0, 0.5, 0.99] {
        let request = PickRequest {
            random: Some(random),
            ..PickRequest::new("engines", &[])
        };
        assert_eq!(balancer.choose(0, &request).as_ref(), Some(&expected));
    }
}

/// An endpoint that has handled an object recently does half of the work for it. Without affinity
/// hardly any request meets such an endpoint, and the demand exceeds the capacity. The services of
/// the second case report no work factors.
#[test_case(true)]
#[test_case(false)]
fn requests_on_an_object_meet_an_endpoint_that_holds_it(reports_work_factor: bool) {
    let settings = ModelSettings {
        speeds: vec![1.0; 20],
        request_ms: 100.0,
        arrivals_per_s: 1_300.0,
        programs: 400,
        are_objects: true,
        reports_work_factor,
        ..ModelSettings::default()
    };
    let before = FleetModel::new(&settings).run(20_000);
    let settings = ModelSettings {
        names_objects: true,
        ..settings
    };
    let after = FleetModel::new(&settings).run(20_000);
    println!("object before {before:?}\nobject after {after:?}");
    assert!(before.cached_share < 0.1, "{before:?}");
    assert!(after.cached_share > 0.8, "{after:?}");
    assert!(after.p95_ms < before.p95_ms * 0.5, "{before:?} {after:?}");
    assert!(
        after.rejected_share < before.rejected_share,
        "{before:?} {after:?}"
    );
}

/// Large prompts at one engine evict the histories of other programs, and the engine preempts
/// requests. Affinity must not assign more to it than its memory holds.
#[test]
fn engine_without_memory_is_not_chosen() {
    let mut balancer = zone_of(&names(3), "a");
    let request = PickRequest {
        program: Some(AffinityKey::program("p")),
        memory: Some(MemoryBound {
            tokens: 20_000,
            capacity_tokens: 51_182,
        }),
        ..PickRequest::new("engines", &[])
    };
    let first = balancer.choose(0, &request).expect("an endpoint");
    balancer.report_work_factor(0, first.key, None);
    for _ in 0..2 {
        let pick = balancer.choose(0, &request).expect("an endpoint");
        assert_eq!(pick.id, first.id);
        balancer.begin(pick.key);
        balancer.hold_tokens(pick.key, 20_000);
    }
    let other = balancer.choose(0, &request).expect("an endpoint");
    assert_ne!(other.id, first.id, "60,000 tokens don't fit");
    let unbounded = PickRequest {
        memory: None,
        ..request
    };
    let pick = balancer.choose(0, &unbounded).expect("an endpoint");
    assert_eq!(pick.id, first.id);
    balancer.end(first.key);
    balancer.release_tokens(first.key, 20_000);
    let pick = balancer.choose(0, &request).expect("an endpoint");
    assert_eq!(pick.id, first.id);
}

/// If no engine has room, the request is still sent: engines queue it, and those that finish make
/// room.
#[test]
fn request_is_sent_although_no_engine_has_room() {
    let mut balancer = zone_of(&names(2), "a");
    let request = PickRequest {
        memory: Some(MemoryBound {
            tokens: 60_000,
            capacity_tokens: 51_182,
        }),
        ..PickRequest::new("engines", &[])
    };
    let key = key_of(&balancer, "engine-0");
    balancer.report_work_factor(0, key, None);
    assert!(balancer.choose(0, &request).is_some());
}
