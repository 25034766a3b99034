//! Rendezvous hashing of keys over instances.

use std::collections::BTreeMap;

use jayreel_membership::responsible_for;

const KEYS: usize = 3_000;

/// The responsible name for each of the [`KEYS`] keys.
fn choices(names: &[&str]) -> Vec<String> {
    let choose = |index: usize| {
        let key = format!("key-{index}");
        responsible_for(&key, names.iter().copied())
            .expect("has names")
            .to_string()
    };
    (0..KEYS).map(choose).collect()
}

/// Guards against an instance that is responsible for much more than its share of the
/// keys.
#[test]
fn keys_are_spread_evenly() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for choice in choices(&["a", "b", "c", "d", "e", "f"]) {
        *counts.entry(choice).or_default() += 1;
    }
    assert_eq!(counts.len(), 6);
    assert!(
        counts.values().all(|count| (400..=600).contains(count)),
        "{counts:?}"
    );
}

/// Guards against keys that move although the instance responsible for them stays.
#[test]
fn only_the_keys_of_a_leaving_instance_move() {
    let before = choices(&["a", "b", "c", "d"]);
    let after = choices(&["d", "b", "a"]);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == "c" || before == after, "{before} {after}");
    }
}

/// Guards against choosing an instance when there is none.
#[test]
fn nobody_is_responsible_without_instances() {
    assert_eq!(responsible_for("key", []), None);
}
