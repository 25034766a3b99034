//! The loads of endpoints from which the pressure of a service is derived.

use jayreel_gateway::{Balancer, EndpointEntry, Load};

fn balancer(entries: &[(&str, &str)]) -> Balancer {
    let mut balancer = Balancer::new("a");
    for (id, zone) in entries {
        balancer.upsert(EndpointEntry {
            id: id.to_string(),
            service: "engines".to_string(),
            address: "127.0.0.1:1".parse().expect("an address"),
            availability_zone: zone.to_string(),
            slots: 6,
            is_draining: false,
            cold_left_ms: 0,
            started_unix_ms: Some(1),
        });
    }
    balancer
}

const FULL: Load = Load {
    running: 6,
    waiting: 3,
    slots: 6,
};

/// Guards against a load that seems to shrink because its report is old: the age is reported
/// beside it.
#[test]
fn loads_are_those_of_the_last_report_with_its_age() {
    let mut balancer = balancer(&[("near", "a"), ("far", "b")]);
    let near = balancer
        .pick(1_000, "engines", None, &["far".to_string()])
        .expect("an endpoint");
    balancer.begin(near.key);
    balancer.report(1_000, near.key, FULL);
    balancer.begin(near.key);
    let mut loads = balancer.endpoint_loads(1_800, "engines");
    loads.sort_by_key(|load| load.is_remote);
    assert_eq!(loads.len(), 2);
    assert_eq!(loads[0].report_age_ms, Some(800));
    assert!(
        (loads[0].load_per_slot - 10.0 / 6.0).abs() < 1e-9,
        "{loads:?}"
    );
    assert!(!loads[0].is_remote);
    assert_eq!(loads[1].report_age_ms, None);
    assert!(loads[1].is_remote);
    assert!(balancer.endpoint_loads(1_800, "others").is_empty());
}

/// Guards against pressure from endpoints to which no request is sent.
#[test]
fn endpoints_that_are_not_used_are_left_out() {
    let mut balancer = balancer(&[("paused", "a"), ("suspended", "a"), ("used", "a")]);
    let key = |balancer: &Balancer, id: &str| {
        let others: Vec<String> = ["paused", "suspended", "used"]
            .into_iter()
            .filter(|other| *other != id)
            .map(str::to_string)
            .collect();
        let pick = balancer.pick(1_000, "engines", None, &others);
        pick.expect("an endpoint").key
    };
    let (paused, suspended) = (key(&balancer, "paused"), key(&balancer, "suspended"));
    balancer.fail(1_000, paused);
    balancer.suspend(suspended);
    assert_eq!(balancer.endpoint_loads(1_010, "engines").len(), 1);
    balancer.resume(suspended);
    assert_eq!(balancer.endpoint_loads(5_000, "engines").len(), 3);
}
