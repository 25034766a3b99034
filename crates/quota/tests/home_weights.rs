//! The planner of home weights in fleets without faults. The state space searches in
//! crates/spec cover faults.

use std::collections::{BTreeMap, BTreeSet};

use jayreel_model::Incarnation;
use jayreel_quota::home_weights::{
    AbsenceTracker, HomeOwner, HomeRecord, HomeStep, HomeView, plan,
};
use test_case::test_case;

#[derive(Clone)]
struct Instance {
    owner: HomeOwner,
    held_ppm: u32,
    last_write_on: Option<u64>,
    stopping: bool,
}

#[derive(Default)]
struct Fleet {
    record: HomeRecord,
    revision: u64,
    instances: BTreeMap<String, Instance>,
    leaving: BTreeSet<String>,
    reclaimable: BTreeSet<Incarnation>,
    writes: usize,
}

impl Fleet {
    /// A fleet of `count` instances that have agreed on their weights.
    fn of(count: usize) -> Fleet {
        let mut fleet = Fleet::default();
        for index in 0..count {
            fleet.start(&format!("i{index:03}"), 1, "same");
        }
        fleet.settle();
        fleet.writes = 0;
        fleet
    }

    /// Starts a process, which replaces an earlier one of the same instance. `address`
    /// tells whether it listens on the same addresses.
    fn start(&mut self, name: &str, number: u64, address: &str) {
        let instance = name.to_string();
        let owner = HomeOwner {
            incarnation: Incarnation { instance, number },
            address: format!("{name}-{address}"),
        };
        let (last_write_on, stopping) = (None, false);
        let instance = Instance {
            owner,
            held_ppm: 0,
            last_write_on,
            stopping,
        };
        self.instances.insert(name.to_string(), instance);
    }

    fn next_step(&self, name: &str) -> HomeStep {
        let instance = &self.instances[name];
        let live = self.instances.iter();
        let live = live.filter(|(name, _)| !self.leaving.contains(*name));
        let incarnations =
            live.map(|(name, live)| (name.clone(), live.owner.incarnation.clone()));
        plan(&HomeView {
            own: &instance.owner,
            record: &self.record,
            revision: self.revision,
            last_write_on: instance.last_write_on,
            live: &incarnations.collect(),
            reclaimable: &self.reclaimable,
            held_ppm: instance.held_ppm,
            in_force_ppm: instance.held_ppm,
            within_home_weight: true,
            stopping: instance.stopping,
        })
    }

    /// Carries out the next step of an instance. Returns false if it has nothing to do.
    fn step(&mut self, name: &str) -> bool {
        match self.next_step(name) {
            HomeStep::Wait => return false,
            HomeStep::Use { weight_ppm, .. } => {
                self.instances.get_mut(name).expect("live").held_ppm = weight_ppm;
            }
            HomeStep::Write { record, .. } => {
                let instance = self.instances.get_mut(name).expect("live");
                instance.last_write_on = Some(self.revision);
                self.record = record;
                self.revision += 1;
                self.writes += 1;
            }
        }
        let held: u64 = self
            .instances
            .values()
            .map(|instance| u64::from(instance.held_ppm))
            .sum();
        assert!(held <= 1_000_000 && self.record.is_valid());
        true
    }

    /// Carries out the steps of all instances until none has anything to do.
    fn settle(&mut self) {
        let names: Vec<String> = self.instances.keys().cloned().collect();
        for _ in 0..10_000 {
            let mut changed = false;
            for name in &names {
                changed |= self.step(name);
            }
            if !changed {
                return;
            }
        }
        panic!("the instances never stop changing the record");
    }

    fn held(&self) -> Vec<u32> {
        self.instances
            .values()
            .map(|instance| instance.held_ppm)
            .collect()
    }
}

/// Guards against a fleet that shares contracts unevenly or leaves much of them unused.
#[test_case(1)]
#[test_case(2)]
#[test_case(6)]
#[test_case(7)]
#[test_case(100)]
fn a_fleet_shares_evenly(count: usize) {
    let fleet = Fleet::of(count);
    let even_ppm = 1_000_000 / u32::try_from(count).expect("small");
    let held = fleet.held();
    assert!(held.iter().all(|ppm| *ppm >= even_ppm * 8 / 10), "{held:?}");
    assert!(held.iter().sum::<u32>() > 970_000, "{held:?}");
}

/// Guards against a new instance that gets too little weight.
#[test]
fn a_new_instance_gets_an_even_share() {
    let mut fleet = Fleet::of(6);
    fleet.start("new", 1, "same");
    fleet.settle();
    assert!(
        fleet.instances["new"].held_ppm >= 114_285,
        "{:?}",
        fleet.held()
    );
    assert!(
        fleet.held().iter().all(|ppm| *ppm >= 114_285),
        "{:?}",
        fleet.held()
    );
}

/// Guards against every instance writing the record whenever one joins or leaves.
#[test]
fn a_change_in_a_large_fleet_causes_few_writes() {
    let mut fleet = Fleet::of(100);
    fleet.start("new", 1, "same");
    fleet.settle();
    assert!(
        fleet.writes <= 30,
        "{} writes for a new instance",
        fleet.writes
    );
    fleet.writes = 0;
    fleet.instances.get_mut("i007").expect("live").stopping = true;
    fleet.leaving.insert("i007".to_string());
    fleet.settle();
    assert!(fleet.writes <= 3, "{} writes for a stop", fleet.writes);
    assert!(fleet.held().iter().sum::<u32>() > 970_000);
}

/// Guards against writes when an instance crashes, whose weight cannot be reclaimed yet.
#[test]
fn a_crash_causes_no_write() {
    let mut fleet = Fleet::of(7);
    fleet.instances.remove("i003");
    fleet.settle();
    assert_eq!(fleet.writes, 0);
}

/// Guards against a restarted instance that has to wait until the weight of its earlier
/// process is reclaimed.
#[test]
fn a_process_on_the_same_addresses_adopts_the_weight() {
    let mut fleet = Fleet::of(7);
    let before = fleet.instances["i003"].held_ppm;
    fleet.start("i003", 2, "same");
    fleet.settle();
    assert_eq!(fleet.instances["i003"].held_ppm, before);
    assert_eq!(fleet.writes, 1);
}

/// Guards against two processes with the same instance name that both use its weight.
#[test]
fn a_process_on_other_addresses_does_not_adopt_the_weight() {
    let mut fleet = Fleet::of(7);
    fleet.start("i003", 2, "other");
    fleet.settle();
    assert_eq!(fleet.instances["i003"].held_ppm, 0);
}

/// Guards against an old process that uses its weight after a new one adopted it.
#[test]
fn a_replaced_process_stops_using_the_weight() {
    let mut fleet = Fleet::of(2);
    let entry = fleet.record.weights.get_mut("i000").expect("has a weight");
    entry.incarnation.number += 1;
    assert_eq!(
        fleet.next_step("i000"),
        HomeStep::Use {
            weight_ppm: 0,
            settled_ppm: 0
        }
    );
}

/// Guards against weight that stays assigned to dead instances, and against many
/// instances reclaiming it at once.
#[test]
fn one_instance_reclaims_and_all_share_the_weight() {
    let mut fleet = Fleet::of(7);
    let dead = fleet.instances.remove("i003").expect("live");
    fleet.reclaimable.insert(dead.owner.incarnation);
    let reclaims = |step| {
        matches!(step, HomeStep::Write { requires_absent, .. }
        if requires_absent == ["i003"])
    };
    let names: Vec<&String> = fleet.instances.keys().collect();
    let count = names
        .iter()
        .filter(|name| reclaims(fleet.next_step(name)))
        .count();
    assert_eq!(count, 1);
    fleet.settle();
    assert!(fleet.held().iter().sum::<u32>() > 970_000);
}

/// Guards against writing a smaller weight while more than that is lent or about to be
/// sent.
#[test]
fn a_reduction_is_not_written_while_more_is_in_use() {
    let mut fleet = Fleet::of(1);
    fleet.start("new", 1, "same");
    assert!(fleet.step("i000"), "reduces its use first");
    let instance = &fleet.instances["i000"];
    let live = fleet.instances.iter();
    let live =
        live.map(|(name, instance)| (name.clone(), instance.owner.incarnation.clone()));
    let view = HomeView {
        own: &instance.owner,
        record: &fleet.record,
        revision: fleet.revision,
        last_write_on: instance.last_write_on,
        live: &live.collect(),
        reclaimable: &fleet.reclaimable,
        held_ppm: instance.held_ppm,
        in_force_ppm: instance.held_ppm,
        within_home_weight: false,
        stopping: false,
    };
    assert_eq!(plan(&view), HomeStep::Wait);
}

/// Guards against the use of a weight that another instance's delayed transaction may
/// still take away, or that a delayed write of this process may still reduce.
#[test]
fn a_weight_is_used_only_after_the_last_own_write_is_visible() {
    let mut fleet = Fleet::of(1);
    let instance = fleet.instances.get_mut("i000").expect("live");
    instance.held_ppm = 0;
    instance.last_write_on = None;
    assert!(
        matches!(fleet.next_step("i000"), HomeStep::Write { .. }),
        "not written"
    );
    let under_way = Some(fleet.revision);
    fleet.instances.get_mut("i000").expect("live").last_write_on = under_way;
    assert!(
        matches!(fleet.next_step("i000"), HomeStep::Write { .. }),
        "a write is under way"
    );
    fleet.revision += 1;
    assert!(
        matches!(fleet.next_step("i000"), HomeStep::Write { .. }),
        "the write failed"
    );
    fleet.settle();
    assert_eq!(fleet.instances["i000"].held_ppm, 1_000_000);
}

/// Guards against the use of a record whose weights sum to more than the whole contract.
#[test]
fn nothing_of_an_invalid_record_is_used() {
    let mut fleet = Fleet::of(2);
    fleet
        .record
        .weights
        .get_mut("i001")
        .expect("has a weight")
        .weight_ppm = 900_000;
    assert_eq!(
        fleet.next_step("i000"),
        HomeStep::Use {
            weight_ppm: 0,
            settled_ppm: 0
        }
    );
}

/// Guards against reclaiming a weight that its owner may still use.
#[test]
fn absence_is_counted_only_over_uninterrupted_reads() {
    let fleet = Fleet::of(2);
    let owner = fleet.instances["i000"].owner.incarnation.clone();
    let none = BTreeMap::new();
    let present = BTreeMap::from([("i000".to_string(), owner.clone())]);
    let term_ms = 100_000;
    let is_reclaimable =
        |tracker: &AbsenceTracker| tracker.reclaimable(term_ms).contains(&owner);
    let mut tracker = AbsenceTracker::default();
    for now_ms in (0..160_000).step_by(5_000) {
        tracker.observe(now_ms, &fleet.record, &none);
        assert!(!is_reclaimable(&tracker), "{now_ms}");
    }
    let mut reappeared = tracker.clone();
    reappeared.observe(158_000, &fleet.record, &present);
    reappeared.observe(160_000, &fleet.record, &none);
    assert!(!is_reclaimable(&reappeared));
    let mut gap = tracker.clone();
    gap.observe(160_001, &fleet.record, &none);
    assert!(!is_reclaimable(&gap));
    tracker.observe(160_000, &fleet.record, &none);
    assert!(is_reclaimable(&tracker));
}

/// Guards against an entry that an operator cannot release, and against a mistyped
/// instance name that is accepted without an error.
#[test]
fn an_operator_removes_the_entry_of_an_instance() {
    let fleet = Fleet::of(2);
    let record = fleet.record.forget("i000").expect("has an entry");
    assert_eq!(record.weight_ppm("i000"), 0);
    assert_eq!(record.unassigned_ppm(), 500_000);
    assert_eq!(fleet.record.forget("i00"), None);
}

/// Guards against a new instance that waits one loan term for weight that nobody can have
/// lent.
#[test]
fn weight_released_by_a_running_instance_is_settled() {
    let mut fleet = Fleet::of(1);
    fleet.start("new", 1, "same");
    fleet.settle();
    for (name, entry) in &fleet.record.weights {
        assert_eq!(entry.settled_ppm, entry.weight_ppm, "{name}");
    }
    assert_eq!(fleet.record.released_ppm, fleet.record.unassigned_ppm());
}

/// Guards against the immediate use of weight that a dead holder may have lent.
#[test]
fn weight_of_a_removed_instance_is_not_settled() {
    let mut fleet = Fleet::of(2);
    let before = fleet.record.weights["i000"].clone();
    let released_ppm = fleet.record.released_ppm;
    fleet.instances.remove("i001");
    fleet.record = fleet.record.forget("i001").expect("has a weight");
    fleet.revision += 1;
    fleet.settle();
    let after = &fleet.record.weights["i000"];
    assert!(after.weight_ppm > before.weight_ppm);
    assert_eq!(after.settled_ppm, before.weight_ppm + released_ppm);
    assert_eq!(fleet.record.released_ppm, 0);
}

/// Guards against the immediate use of weight that an earlier process may have lent, even
/// after the new process passed a part of it on.
#[test]
fn adopted_weight_is_not_settled() {
    let mut fleet = Fleet::of(1);
    fleet.start("i000", 2, "same");
    assert!(fleet.step("i000"), "adopts");
    assert_eq!(fleet.record.weights["i000"].settled_ppm, 0);
    fleet.start("new", 1, "same");
    assert!(fleet.step("i000"), "reduces its use first");
    assert!(fleet.step("i000"), "writes less");
    assert_eq!(fleet.record.weight_ppm("i000"), 450_000);
    assert_eq!(fleet.record.released_ppm, 0);
}
