//! Enforcement of a customer's rate and burst across the fleet, under faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use jayreel_standin::EngineSettings;

use crate::util::caller::Caller;
use crate::util::fleet::{BETA_KEY, Fleet};
use crate::util::relay::Mode;

/// Rate of `beta`, in thousandths of a request per second.
const RATE_MREQ_PER_S: u64 = 40_000;
/// Burst of `beta`, in thousandths of a request.
const BURST_MREQ: u64 = 10_000;

/// Loan and registration terms so short that several of them end within a test.
const SETTINGS: [(&str, &str, &str); 3] = [
    ("quota", "loan_term_ms", "500"),
    ("quota", "wait_ms", "200"),
    ("platform", "registration_ttl_s", "2"),
];

/// Threads that send requests of `beta` without a pause until they are stopped.
struct LoadGenerator {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    fn start(targets: Vec<SocketAddr>) -> LoadGenerator {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = targets
            .into_iter()
            .flat_map(|to| [to; 4])
            .map(|to| {
                let stop = Arc::clone(&stop);
                thread::spawn(move || {
                    let caller = Caller::new(BETA_KEY);
                    while !stop.load(Ordering::SeqCst) {
                        let response = caller.send(to, "GET", "/lookup/page", &[], "");
                        if response.is_none() {
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                })
            })
            .collect();
        LoadGenerator { stop, threads }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// Sends more requests than the rate allows while `inject_faults` runs. Checks that the
/// endpoint served at least `min_served` and at most what rate and burst allow.
fn check_rate(
    fleet: &mut Fleet,
    min_served: u64,
    inject_faults: impl FnOnce(&mut Fleet),
) {
    fleet.put_customer_rate("beta", RATE_MREQ_PER_S, BURST_MREQ);
    fleet.wait_connected();
    fleet.wait_home_shares();
    let targets = fleet
        .members
        .iter()
        .map(|member| member.instance.callers)
        .collect();
    let before = total_runs(fleet);
    let start = Instant::now();
    let load = LoadGenerator::start(targets);
    inject_faults(fleet);
    load.stop();
    let elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap();
    let served = total_runs(fleet) - before;
    let bound = (BURST_MREQ + RATE_MREQ_PER_S * elapsed_ms / 1_000) / 1_000;
    println!("served {served} of at most {bound} in {elapsed_ms} ms");
    assert!(
        served <= bound,
        "{served} requests ran, at most {bound} may"
    );
    assert!(served >= min_served, "only {served} requests ran");
}

/// Number of requests that the plain service has run.
fn total_runs(fleet: &Fleet) -> u64 {
    fleet.service.runs().paths.values().sum()
}

fn start_fleet(size: usize) -> Fleet {
    Fleet::with_settings(size, EngineSettings::default(), &SETTINGS)
}

// Guards against several instances that each allow a customer's full rate (G8).
#[test]
fn rate_holds_across_instances() {
    check_rate(&mut start_fleet(3), 40, |_| {
        thread::sleep(Duration::from_secs(4))
    });
}

// Guards against a suspended instance that uses its loans of rate after the end of their
// term, when the lenders use the same rate again (G8).
#[test]
fn rate_holds_when_instances_are_paused() {
    check_rate(&mut start_fleet(3), 40, |fleet| {
        for round in 0..4 {
            let member = &fleet.members[round % 3];
            member.instance.pause();
            thread::sleep(Duration::from_millis(1_300));
            member.instance.resume();
            thread::sleep(Duration::from_millis(300));
        }
    });
}

// Guards against the rate share of a killed instance being used twice: by its next process
// and by the instances that had borrowed from it (G8).
#[test]
fn rate_holds_when_an_instance_is_killed_and_returns() {
    check_rate(&mut start_fleet(3), 40, |fleet| {
        thread::sleep(Duration::from_secs(1));
        fleet.restart(2);
        thread::sleep(Duration::from_secs(3));
    });
}

// Guards against a rate share that is used on both sides of a partition (G8), and against
// instances that stop serving when they are cut off.
#[test]
fn rate_holds_across_a_partition() {
    check_rate(&mut start_fleet(3), 40, |fleet| {
        fleet.members[0].peer_relay.set(Mode::Cut);
        fleet.members[0].store_relay.set(Mode::Cut);
        thread::sleep(Duration::from_secs(2));
        fleet.members[0].peer_relay.set(Mode::Pass);
        fleet.members[0].store_relay.set(Mode::Pass);
        thread::sleep(Duration::from_secs(2));
    });
}
