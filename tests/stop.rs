//! Planned stops, which must neither break a request nor lose a program.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use jayreel_standin::EngineSettings;

use crate::util::caller::Caller;
use crate::util::fleet::{ALPHA_KEY, Fleet, FleetMember};
use crate::util::process::Instance;
use crate::util::wait_until;

// Guards against a planned stop that breaks a running request (G13).
#[test]
fn planned_stop_completes_running_calls() {
    let engine = EngineSettings {
        token_us: 100_000,
        ..EngineSettings::default()
    };
    let mut fleet = Fleet::with_settings(1, engine, &[]);
    let caller = Caller::new(ALPHA_KEY);
    let to = fleet.callers(0);
    let running = thread::spawn(move || caller.chat(to, &[], "take your time").unwrap());
    wait_until("the call runs", || fleet.engine.load().0 == 1);
    let member = fleet.members.remove(0);
    member.instance.terminate();
    wait_until("the instance reports that it is not ready", || {
        member.instance.probe("/readyz") != Some(200)
    });
    let response = running.join().unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.complete);
    member.instance.wait_exit();
}

// Guards against requests that are broken when an instance stops under load. The callers stop
// sending when /readyz fails, as a load balancer does (G13).
#[test]
fn rolling_stop_under_load_cuts_no_request() {
    let engine = EngineSettings {
        token_us: 2_000,
        ..EngineSettings::default()
    };
    let mut fleet = Fleet::with_settings(2, engine, &[]);
    fleet.wait_connected();
    fleet.wait_home_shares();
    let stop = Arc::new(AtomicBool::new(false));
    let to = fleet.callers(0);
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let caller = Caller::new(ALPHA_KEY);
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    let response =
                        caller.chat(to, &[], "hello").expect("cut before a head");
                    assert!(response.complete, "cut in its body: {response:?}");
                    assert_eq!(response.status, 200, "{response:?}");
                    served += 1;
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let member = fleet.members.remove(0);
    member.instance.terminate();
    // A load balancer stops sending once /readyz fails; the listener stays open longer.
    wait_until("the instance reports that it is not ready", || {
        member.instance.probe("/readyz") != Some(200)
    });
    stop.store(true, Ordering::SeqCst);
    let served: u32 = callers
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .sum();
    assert!(served > 0);
    member.instance.wait_exit();
}

// Guards against programs and idempotency keys that are lost in a planned stop of their owner
// (G11, G13).
#[test]
fn planned_stop_hands_programs_over() {
    let mut fleet = Fleet::start(2);
    fleet.wait_connected();
    fleet.wait_home_shares();
    let caller = Caller::new(ALPHA_KEY);
    let token = caller.open(fleet.callers(0), &[]);
    let program = ("Jayreel-Program", token.as_str());
    let headers = [program, ("Idempotency-Key", "file-1")];
    assert_eq!(
        caller
            .send_order(fleet.callers(0), &headers, "claim-1")
            .unwrap()
            .status,
        200
    );
    let member = fleet.members.remove(0);
    member.instance.terminate();
    member.instance.wait_exit();
    let repeat = caller
        .send_order(fleet.callers(0), &headers, "claim-1")
        .unwrap();
    assert_eq!(
        (repeat.status, repeat.ran().as_str()),
        (409, "yes"),
        "{repeat:?}"
    );
    let next = [program, ("Idempotency-Key", "file-2")];
    let next = caller
        .send_order(fleet.callers(0), &next, "claim-2")
        .unwrap();
    assert_eq!(next.status, 200, "{next:?}");
    assert_eq!(fleet.service.runs().counts.get("claim-1"), Some(&1));
}

// Guards against two faults after a planned stop of the founder of the fleet (the first
// instance to start): calls with an idempotency key but without a program that are refused
// for the whole window in which repeats are recognised, and repeats that run again at a
// successor (G11, G13).
#[test]
fn founder_stopped_as_planned_hands_keys_over() {
    let mut fleet = Fleet::start(3);
    fleet.wait_connected();
    let caller = Caller::new(ALPHA_KEY);
    for number in 0..6 {
        let order = format!("order-{number}");
        run_order(&fleet, &caller, 0, &order);
    }
    let founder = run_order(&fleet, &caller, 0, "order-6");
    let member = fleet.members.remove(founder);
    member.instance.terminate();
    member.instance.wait_exit();
    // The keys are divided between two successors. Each is sent repeats of all of them.
    for number in 0..7 {
        let order = format!("order-{number}");
        let headers = [("Idempotency-Key", order.as_str())];
        for index in 0..2 {
            wait_until("the repeat is recognised", || {
                let repeat = caller
                    .send_order(fleet.callers(index), &headers, &order)
                    .unwrap();
                assert_ne!(repeat.status, 200, "{repeat:?}");
                (repeat.status, repeat.ran().as_str()) == (409, "yes")
            });
        }
        assert_eq!(fleet.service.runs().counts.get(&order), Some(&1));
    }
    for number in 7..14 {
        let order = format!("order-{number}");
        run_order(&fleet, &caller, 0, &order);
        assert_eq!(fleet.service.runs().counts.get(&order), Some(&1));
    }
}

// Guards against a successor that, in its own planned stop, hands over only its own
// idempotency keys, and against a next successor that may not use the inherited ones (G11,
// G13).
#[test]
fn two_planned_stops_pass_the_keys_of_both_on() {
    let mut fleet = Fleet::start(3);
    fleet.wait_connected();
    let caller = Caller::new(ALPHA_KEY);
    let founder = run_order(&fleet, &caller, 0, "order-0");
    let mut orders = vec!["order-0".to_string()];
    for stopped in [founder, 0] {
        let member = fleet.members.remove(stopped);
        member.instance.terminate();
        member.instance.wait_exit();
        // An instance that runs an order has noticed that the stopped one is gone. Each must
        // run one: an instance that never noticed that its predecessor was responsible for the
        // keys answers `unknown`, which is correct but not what is tested here.
        let mut without_order: BTreeSet<usize> = (0..fleet.members.len()).collect();
        while !without_order.is_empty() {
            let order = format!("order-{}", orders.len());
            without_order.remove(&run_order(&fleet, &caller, 0, &order));
            orders.push(order);
        }
    }
    for order in &orders {
        let headers = [("Idempotency-Key", order.as_str())];
        let repeat = caller
            .send_order(fleet.callers(0), &headers, order)
            .unwrap();
        assert_eq!(
            (repeat.status, repeat.ran().as_str()),
            (409, "yes"),
            "{repeat:?}"
        );
        assert_eq!(fleet.service.runs().counts.get(order), Some(&1));
    }
}

/// Runs an order whose idempotency key is the order's name. Retries while the instance has not
/// read the registrations and refuses the order as not run. Returns the index of the instance
/// that ran it.
fn run_order(fleet: &Fleet, caller: &Caller, index: usize, order: &str) -> usize {
    let mut epoch = String::new();
    wait_until("the order runs", || {
        let headers = [("Idempotency-Key", order)];
        let response = caller
            .send_order(fleet.callers(index), &headers, order)
            .unwrap();
        let ran = response.status == 200;
        assert!(ran || response.ran() == "no", "{response:?}");
        epoch = response.header("jayreel-epoch").unwrap_or("").to_string();
        ran
    });
    let ran_by = |member: &FleetMember| {
        let name = format!("{}.", member.instance.options.name);
        epoch.starts_with(&name)
    };
    let index = fleet.members.iter().position(ran_by);
    index.expect("the epoch names an instance")
}

/// Number of calls by outcome.
#[derive(Default)]
struct CallCounts {
    served: AtomicU64,
    /// Complete responses with another status than 200.
    refused: AtomicU64,
    /// Missing or incomplete responses.
    cut: AtomicU64,
}

/// Sends calls to the addresses in `rotation` in turn until `stop` is set.
fn call_in_rotation(
    rotation: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
    counts: &CallCounts,
) {
    let caller = Caller::new(ALPHA_KEY);
    let mut next = 0;
    while !stop.load(Ordering::SeqCst) {
        next += 1;
        let to = {
            let rotation = rotation.lock().unwrap();
            rotation[next % rotation.len()]
        };
        let counter = match caller.chat(to, &[], "hello") {
            Some(response) if response.complete && response.status == 200 => {
                &counts.served
            }
            Some(response) if response.complete => &counts.refused,
            _ => &counts.cut,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

// Guards against planned stops that rarely break a request, with callers behind a simulated
// load balancer that follows /readyz (G13). Gives the figure in docs/MEASUREMENTS.md.
#[test]
#[ignore = "takes minutes: 100 planned stops under load"]
fn hundred_planned_stops_cut_no_request() {
    let engine = EngineSettings {
        token_us: 2_000,
        ..EngineSettings::default()
    };
    let mut fleet = Fleet::with_settings(3, engine, &[]);
    fleet.wait_connected();
    fleet.wait_home_shares();
    let addresses = (0..3).map(|index| fleet.callers(index)).collect();
    let rotation = Mutex::new(addresses);
    let (stop, counts) = (AtomicBool::new(false), CallCounts::default());
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| call_in_rotation(&rotation, &stop, &counts));
        }
        for round in 0..100 {
            let member = fleet.members.remove(round % 3);
            let address = member.instance.callers;
            let options = member.instance.options.clone();
            member.instance.terminate();
            wait_until("the instance reports that it is not ready", || {
                member.instance.probe("/readyz") != Some(200)
            });
            rotation.lock().unwrap().retain(|one| *one != address);
            member.instance.wait_exit();
            let instance = Instance::start(options);
            member.peer_relay.set_target(instance.peers);
            instance.wait_ready();
            rotation.lock().unwrap().push(instance.callers);
            let member = FleetMember {
                instance,
                store_relay: member.store_relay,
                peer_relay: member.peer_relay,
            };
            fleet.members.insert(round % 3, member);
        }
        stop.store(true, Ordering::SeqCst);
    });
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    println!(
        "served {} refused {} cut {}",
        count(&counts.served),
        count(&counts.refused),
        count(&counts.cut)
    );
    assert_eq!(count(&counts.cut), 0);
    assert!(count(&counts.served) > 1_000);
}
