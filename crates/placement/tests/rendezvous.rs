//! Candidates for a key by rendezvous hashing.

use jayreel_placement::{AffinityKey, CANDIDATES, Candidates, EndpointHash};

const PROGRAMS: usize = 2_000;

fn names(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("engine-{number}"))
        .collect()
}

fn candidates(program: usize, names: &[String]) -> Vec<&str> {
    let key = AffinityKey::program(&format!("{program:x}"));
    let endpoints = names
        .iter()
        .map(|name| (name.as_str(), EndpointHash::new(name)));
    Candidates::new(key, endpoints).iter().collect()
}

/// Instances learn of endpoints in different orders. If their candidates differed, the history of
/// a program would be read again at each of them.
#[test]
fn candidates_do_not_depend_on_the_order_of_endpoints() {
    let names = names(20);
    let reversed: Vec<String> = names.iter().rev().cloned().collect();
    for program in 0..PROGRAMS {
        assert_eq!(candidates(program, &names), candidates(program, &reversed));
    }
}

/// A hash that favours some endpoints would overload them while others are idle.
#[test]
fn programs_are_spread_evenly() {
    let names = names(20);
    let mean = PROGRAMS / names.len();
    for name in &names {
        let of_name = |program: &usize| candidates(*program, &names)[0] == name;
        let count = (0..PROGRAMS).filter(of_name).count();
        assert!(
            (mean * 7 / 10..mean * 13 / 10).contains(&count),
            "{name}: {count}"
        );
    }
}

/// When an endpoint leaves, only its own programs move, and they move to their second candidate.
/// When it joins again, only those return. Otherwise each change would empty all caches.
#[test]
fn only_programs_of_a_leaving_endpoint_move() {
    let all = names(20);
    let fewer = &all[..19];
    let mut moved = 0;
    for program in 0..PROGRAMS {
        let (before, after) = (candidates(program, &all), candidates(program, fewer));
        match before[0] == all[19] {
            true => {
                moved += 1;
                assert_eq!(after[0], before[1]);
            }
            false => assert_eq!(after[0], before[0]),
        }
    }
    assert!(moved < PROGRAMS / 10, "{moved} moved");
}

#[test]
fn few_endpoints_are_all_candidates() {
    assert_eq!(candidates(1, &[]).len(), 0);
    assert_eq!(candidates(1, &names(1)), ["engine-0"]);
    assert_eq!(candidates(1, &names(5)).len(), CANDIDATES);
}

#[test]
fn position_is_that_of_the_weight() {
    let names = names(5);
    let key = AffinityKey::object("plain", "17");
    let hashes = names
        .iter()
        .map(|name| (name.as_str(), EndpointHash::new(name)));
    let candidates = Candidates::new(key, hashes);
    let order: Vec<&str> = candidates.iter().collect();
    assert_eq!(candidates.position(order[0]), Some(0));
    assert_eq!(candidates.position(order[1]), Some(1));
    let other = names.iter().find(|name| !order.contains(&name.as_str()));
    assert_eq!(candidates.position(other.expect("three others")), None);
}
