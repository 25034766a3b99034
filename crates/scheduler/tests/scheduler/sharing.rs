//! Fairness between customers, division of slots between instances, and refusals on arrival.

use std::collections::BTreeMap;

use jayreel_model::RefusalReason;
use jayreel_scheduler::PolicySettings;
use jayreel_scheduler::event::{CallArrived, CallOperation, TokenUsage};
use jayreel_scheduler::policy::{CustomerId, FairnessPolicy, StartTimeFairQueueing};
use jayreel_scheduler::settings::FairnessKind;
use slotmap::SlotMap;
use test_case::test_case;

use crate::harness::{
    Harness, MODEL, add_customer, chat, configuration, dispatched_to, refusals,
};
use crate::simulation::Simulation;

/// Raises the maximum waiting time, so that no call is refused for waiting too long.
fn allow_long_waits(harness: &mut Harness) {
    harness.reconfigure(|configuration| {
        let profile = crate::harness::profile_with(|p| p.max_wait_ms = 10_000_000);
        configuration
            .profiles
            .insert("default".to_string(), profile);
    });
}

fn chat_for(id: u64, model: &str) -> CallArrived {
    CallArrived {
        operation: CallOperation::Chat {
            model: model.to_string(),
            max_tokens: None,
            prompt_bound_tokens: 10,
            prefix_hashes: Vec::new(),
        },
        ..chat(id, "a")
    }
}

fn usage(generated_tokens: u64) -> TokenUsage {
    TokenUsage {
        prompt_tokens: 1_000,
        cached_tokens: 0,
        generated_tokens,
    }
}

/// Serves `rounds` calls on one slot while each customer always has about ten waiting calls.
/// `generated` lists the customers with the number of tokens that each of their calls
/// generates. Returns the number of served calls by customer.
fn serve(
    harness: &mut Harness,
    generated: &[(&'static str, u64)],
    rounds: usize,
) -> BTreeMap<&'static str, u64> {
    let mut owner: BTreeMap<u64, (&'static str, u64)> = BTreeMap::new();
    let mut served = BTreeMap::new();
    let mut running = None;
    let mut next_id = 1;
    let mut arrive = |harness: &mut Harness, customer: (&'static str, u64)| {
        owner.insert(next_id, customer);
        let effects = harness.arrive(chat(next_id, customer.0));
        next_id += 1;
        (
            dispatched_to(&effects).first().map(|call| call.0),
            owner.clone(),
        )
    };
    let mut owners = BTreeMap::new();
    for _ in 0..10 {
        for customer in generated {
            let (dispatched, known) = arrive(harness, *customer);
            running = running.or(dispatched);
            owners = known;
        }
    }
    for _ in 0..rounds {
        let id = running.expect("a call runs");
        let customer = owners[&id];
        *served.entry(customer.0).or_default() += 1;
        let (_, known) = arrive(harness, customer);
        owners = known;
        running = dispatched_to(&harness.finish_with(id, Some(usage(customer.1))))
            .first()
            .map(|call| call.0);
    }
    served
}

/// The share of a customer must not depend on how many calls another customer sends. Without
/// fairness, the flood takes all capacity.
#[test_case(FairnessKind::StartTimeFairQueueing, 400; "fair queueing")]
#[test_case(FairnessKind::None, 0; "baseline without fairness")]
fn flood_does_not_change_share_of_another_customer(
    fairness: FairnessKind,
    expected: u32,
) {
    let mut configuration = configuration(&["steady", "flood"], &[1]);
    configuration.revision = 1;
    let policies = PolicySettings {
        fairness,
        ..PolicySettings::round_robin_baseline()
    };
    let mut harness = Harness::new(configuration, policies);
    allow_long_waits(&mut harness);
    harness.arrive(chat(1, "flood"));
    for id in 2..=2_000 {
        harness.arrive(chat(id, "flood"));
    }
    // The steady customer always has two waiting calls.
    harness.arrive(chat(10_000, "steady"));
    let mut running = 1;
    let mut served = 0;
    for steady in 10_001..10_801 {
        harness.arrive(chat(steady, "steady"));
        running = dispatched_to(&harness.finish_with(running, Some(usage(100))))[0].0;
        served += u32::from(running >= 10_000);
    }
    match fairness {
        FairnessKind::None => assert_eq!(served, 0),
        _ => assert!((expected - 5..=expected + 5).contains(&served), "{served}"),
    }
}

/// Service, measured in weighted tokens, must be proportional to the customers' weights.
/// Customers with long responses must not get more service for the same weight.
#[test]
fn service_follows_weights_in_tokens() {
    let mut configuration = configuration(&[], &[1]);
    for (name, weight) in [("one", 1), ("three", 3), ("long", 1)] {
        add_customer(&mut configuration, name, weight);
    }
    let mut harness = Harness::new(configuration, PolicySettings::default());
    allow_long_waits(&mut harness);
    // A call of "long" costs 5,000 weighted tokens, the others cost 1,400.
    let generated = [("one", 100), ("three", 100), ("long", 1_000)];
    let served = serve(&mut harness, &generated, 1_000);
    let service = |name: &str, cost: u64| served[name] * cost;
    let one = service("one", 1_400);
    let within = |value: u64, expected: u64| {
        value * 100 >= expected * 90 && value * 100 <= expected * 110
    };
    assert!(within(service("three", 1_400), 3 * one), "{served:?}");
    assert!(within(service("long", 5_000), one), "{served:?}");
}

/// An idle customer must not accumulate credit and then block the others.
#[test]
fn idle_customer_accumulates_no_credit() {
    let configuration = configuration(&["busy", "idle"], &[1]);
    let mut harness = Harness::new(configuration, PolicySettings::default());
    allow_long_waits(&mut harness);
    serve(&mut harness, &[("busy", 100)], 200);
    for id in 5_000..5_100 {
        harness.arrive(chat(id, "idle"));
    }
    let mut running = 201;
    let mut from_idle = 0;
    for _ in 0..20 {
        running = dispatched_to(&harness.finish_with(running, Some(usage(100))))[0].0;
        from_idle += u32::from(running >= 5_000);
        harness.arrive(chat(20_000 + u64::from(from_idle) + harness.now_ms, "busy"));
    }
    assert!((9..=11).contains(&from_idle), "{from_idle} of 20");
}

/// A customer whose calls are held back by the placement policy must keep its start tag while
/// calls of other customers are dispatched. Otherwise its tag rises with theirs, and it loses
/// its advantage over customers that already got more than their share.
#[test]
fn customer_with_held_calls_keeps_its_tag() {
    let mut customers: SlotMap<CustomerId, ()> = SlotMap::with_key();
    let [held, flood, other] = [(); 3].map(|()| customers.insert(()));
    let mut fairness = StartTimeFairQueueing::default();
    // This customer has already got more than its share.
    fairness.charge(other, 1, 20_000, 0);
    let place = fairness.tag(held);
    for _ in 0..10 {
        fairness.charge(flood, 1, 1_000, place);
    }
    // Now the calls of `flood` are held back as well.
    fairness.charge(other, 1, 1_000, place);
    assert_eq!(fairness.tag(held), place);
    assert!(fairness.tag(held) < fairness.tag(flood));
    assert!(fairness.tag(flood) < fairness.tag(other));
    for _ in 0..5 {
        let lowest = fairness.tag(held);
        fairness.charge(held, 1, 1_000, lowest);
    }
    assert!(
        fairness.tag(held) < fairness.tag(flood),
        "half of the flood's service"
    );
}

/// Calls that cannot run in time must be refused on arrival, but only those of the customer
/// that has the backlog.
#[test]
fn only_the_customer_with_the_backlog_is_refused_early() {
    let configuration = configuration(&["steady", "flood"], &[1]);
    let mut harness = Harness::new(configuration, PolicySettings::default());
    harness.arrive(chat(1, "flood"));
    harness.now_ms += 2_000;
    harness.finish(1);
    let mut refused_at = None;
    for id in 2..200 {
        let effects = harness.arrive(chat(id, "flood"));
        if let Some((_, refusal)) = refusals(&effects).first() {
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_after_ms >= Some(20_000), "{refusal:?}");
            refused_at.get_or_insert(id);
        }
    }
    let refused_at = refused_at.expect("60 s of work are waiting");
    assert!((20..=40).contains(&refused_at), "{refused_at}");
    assert_eq!(harness.arrive(chat(1_000, "steady")), []);
}

/// A call must not be refused on arrival while a slot is free, however long calls take.
#[test]
fn long_service_time_refuses_no_call_that_can_run_at_once() {
    let mut harness = Harness::simple(&[1]);
    for id in 1..5 {
        assert_eq!(dispatched_to(&harness.arrive(chat(id, "a"))).len(), 1);
        harness.now_ms += 200_000;
        harness.finish(id);
    }
}

/// A busy instance must use the slots of idle instances, without overloading the engines.
#[test]
fn busy_instance_borrows_slots_of_idle_instances() {
    let mut simulation = Simulation::new(4, &[4; 4]);
    simulation.run(10_000, |instance| match instance {
        0 => 40,
        _ => 0,
    });
    let busy = simulation.mean_running_percent();
    assert!(busy >= 85, "slots in use: {busy}%");
    assert!(simulation.most_waiting <= 4, "{}", simulation.most_waiting);
}

/// An instance must get its guaranteed slots even if another instance borrowed them before.
#[test]
fn instance_gets_guaranteed_slots_back_from_borrowers() {
    let mut simulation = Simulation::new(4, &[4; 4]);
    simulation.run(5_000, |instance| match instance {
        0 => 40,
        _ => 0,
    });
    simulation.run(5_000, |_| 40);
    simulation.reset_counts();
    simulation.run(20_000, |_| 40);
    let finished = simulation.finished.clone();
    let total: u64 = finished.iter().sum();
    for (instance, count) in finished.iter().enumerate() {
        let share = count * 4 * 100 / total;
        assert!(share >= 80, "instance {instance} of {finished:?}");
    }
    assert!(simulation.mean_running_percent() >= 90);
    assert!(simulation.most_waiting <= 8, "{}", simulation.most_waiting);
}

/// Instances must not move borrowed slots between endpoints. When they did, each instance
/// sent its next calls to the few endpoints that reports showed as free. Calls then waited in
/// some engines, where fairness between customers does not apply, while other engines had
/// free slots.
#[test_case(&[40; 6]; "all instances are busy")]
#[test_case(&[40, 0, 40, 1, 8, 2]; "some instances are busy")]
fn calls_queue_in_instances_not_in_engines(targets: &[u64]) {
    let mut simulation = Simulation::new(6, &[4; 8]);
    simulation.run(5_000, |instance| targets[instance]);
    simulation.reset_counts();
    simulation.run(20_000, |instance| targets[instance]);
    let waiting = simulation.mean_waiting_percent();
    assert!(waiting <= 10, "waiting in engines: {waiting}% of the slots");
    let busy = simulation.mean_running_percent();
    assert!(busy >= 90, "slots in use: {busy}%");
}

/// Every instance must have at least one guaranteed slot for each model.
#[test]
fn each_instance_has_a_slot_for_each_model() {
    for position in 0..6 {
        let mut harness = Harness::simple(&[4, 2]);
        harness.reconfigure(|configuration| {
            let worker = configuration.endpoints.get_mut("w1").unwrap();
            worker.models = vec!["other".to_string()];
        });
        harness.apply(jayreel_scheduler::Event::FleetChanged {
            live_instances: 6,
            position,
        });
        let effects = harness.arrive(chat_for(1, "other"));
        assert_eq!(dispatched_to(&effects), [(1, "w1")], "instance {position}");
    }
}

/// The guaranteed slots of all instances must add up to the slots of the endpoints, also if
/// these cannot be divided evenly, and no instance must be without a slot.
#[test_case(7, &[4; 8], 32; "more slots than instances")]
#[test_case(7, &[1, 1, 1], 7; "fewer slots than instances")]
fn guaranteed_slots_add_up_to_all_slots(
    instances: u32,
    worker_slots: &[u32],
    sum: usize,
) {
    let mut used = 0;
    for position in 0..instances {
        let mut harness = Harness::simple(worker_slots);
        harness.apply(jayreel_scheduler::Event::FleetChanged {
            live_instances: instances,
            position,
        });
        used += (1..=40)
            .map(|id| dispatched_to(&harness.arrive(chat(id, "a"))).len())
            .sum::<usize>();
    }
    assert_eq!(used, sum);
}

/// Waiting calls for a busy model must not block calls for another model.
#[test]
fn full_model_does_not_block_another() {
    let mut harness = Harness::simple(&[1, 1]);
    harness.reconfigure(|configuration| {
        let worker = configuration.endpoints.get_mut("w1").unwrap();
        worker.models = vec!["other".to_string()];
    });
    for id in 1..=100 {
        harness.arrive(chat(id, "a"));
    }
    let effects = harness.arrive(chat_for(101, "other"));
    assert_eq!(dispatched_to(&effects), [(101, "w1")]);
    assert_ne!(MODEL, "other");
}
