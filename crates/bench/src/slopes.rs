//! Background cost of a fleet of real instances: the control traffic, store calls, processor
//! time and memory of each instance without calls from customers.
//!
//! Varies one quantity at a time, such as the number of instances or of programs, and fits a
//! line to each measured value. The slope shows how the cost grows with that quantity.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::eyre;
use jayreel_model::KeyHash;
use jayreel_standin::{Engine, EngineSettings};
use serde_json::json;

use crate::overhead_fleet::{self, Addresses, CUSTOMER_KEY, Instance, TestBed, Usage};
use crate::slopes_fit::fit;
use crate::slopes_relay::{Relay, Relays};

/// Largest number of instances, each of which is a process of its own.
const MAX_INSTANCES: u64 = 48;
/// Number of availability zones over which the instances are spread.
const ZONES: u64 = 4;
/// Number of threads that open programs at an instance concurrently.
const OPENING_THREADS: u64 = 16;

/// Size of the fleet and of what it serves. Printed through `Debug` at the head of the report.
#[derive(Clone, Copy, Debug)]
struct Size {
    instances: u64,
    customers: u64,
    /// Endpoint records of model engines. They all have the address of one stand-in engine.
    workers: u64,
    /// Programs opened at each instance before the measurement.
    programs: u64,
    /// Configuration changes per second during the measurement.
    changes: u64,
}

/// Size of the fleet unless a sweep sets another one.
const BASE: Size = Size {
    instances: 4,
    customers: 8,
    workers: 2,
    programs: 0,
    changes: 0,
};

/// One quantity that is varied while the others stay fixed.
struct Sweep {
    /// Value of `--part`, and label in the report.
    name: &'static str,
    /// Values of the quantity that are measured.
    sizes: &'static [u64],
    /// The size of the fleet for a value of the quantity.
    size_with: fn(u64) -> Size,
}

const SWEEPS: [Sweep; 6] = [
    Sweep {
        name: "instances",
        sizes: &[4, 8, 16, 32, MAX_INSTANCES],
        size_with: |instances| Size { instances, ..BASE },
    },
    Sweep {
        name: "customers",
        sizes: &[100, 800, 1_600, 3_100],
        size_with: |customers| Size { customers, ..BASE },
    },
    Sweep {
        name: "workers",
        sizes: &[25, 50, 100, 200],
        size_with: |workers| Size { workers, ..BASE },
    },
    Sweep {
        name: "programs",
        sizes: &[500, 1_000, 2_000, 4_000],
        size_with: |programs| Size { programs, ..BASE },
    },
    Sweep {
        name: "changes",
        sizes: &[0, 1, 2, 4],
        size_with: |changes| Size {
            changes,
            customers: 800,
            ..BASE
        },
    },
    Sweep {
        name: "instances at 1 change/s",
        sizes: &[4, 8, 16, 24],
        size_with: |instances| Size {
            instances,
            customers: 800,
            changes: 1,
            ..BASE
        },
    },
];

/// Durations of the phases of a measurement.
#[derive(Clone, Copy, Debug)]
struct Times {
    /// Pause between opening the programs and the measurement.
    settle: Duration,
    /// Length of the measurement.
    measure: Duration,
}

/// Measured values by name, each as the mean per instance.
type Values = BTreeMap<&'static str, f64>;

/// Command line of the subcommand `slopes`.
pub fn command() -> Command {
    let seconds = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..=120))
            .help(help)
    };
    Command::new("slopes")
        .about("Control traffic, processor, memory and store calls of each instance")
        .arg(seconds("settle", "8", "seconds before a measurement"))
        .arg(seconds("measure", "12", "seconds of a measurement"))
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("NAME")
                .help("vary only this quantity"),
        )
}

/// Measures all chosen quantities and prints a table for each.
pub fn run(options: &ArgMatches) -> eyre::Result<()> {
    let seconds = |name: &str| {
        let seconds = options.get_one::<u64>(name).copied();
        Duration::from_secs(seconds.unwrap_or(10))
    };
    let times = Times {
        settle: seconds("settle"),
        measure: seconds("measure"),
    };
    println!("machine load before: {}", overhead_fleet::machine_load());
    println!("unless varied: {BASE:?}; {times:?}");
    let only = options.get_one::<String>("part");
    for sweep in &SWEEPS {
        if only.is_none_or(|name| name == sweep.name) {
            run_sweep(sweep, times)?;
        }
    }
    println!("machine load after: {}", overhead_fleet::machine_load());
    Ok(())
}

/// Measures all sizes of a sweep and prints a row for each value: the value at each size,
/// and the intercept, slope and residual of the fitted line.
fn run_sweep(sweep: &Sweep, times: Times) -> eyre::Result<()> {
    let mut points = Vec::new();
    for size in sweep.sizes {
        let values = measure((sweep.size_with)(*size), times)?;
        points.push((*size as f64, values));
    }
    println!(
        "{} at {:?}, for each instance; intercept, slope, residual:",
        sweep.name, sweep.sizes
    );
    let names: std::collections::BTreeSet<&str> = points
        .iter()
        .flat_map(|(_, values)| values.keys().copied())
        .collect();
    for name in names {
        let values: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, values)| (*size, values.get(name).copied().unwrap_or(0.0)))
            .collect();
        let line = fit(&values);
        let texts: Vec<String> = values.iter().map(|(_, y)| format!("{y:9.2}")).collect();
        println!(
            "  {name:<26} {}; {:9.3} {:9.5} +- {:.3}",
            texts.join(" "),
            line.intercept,
            line.slope,
            line.residual
        );
    }
    Ok(())
}

/// A fleet whose traffic passes through relays that count it: one relay to the store for all
/// instances, and one to the listener for peers of each instance.
struct Fleet {
    test_bed: TestBed,
    _engine: Engine,
    store_relay: Relay,
    peer_relays: Vec<Relay>,
    instances: Vec<Instance>,
    relays: Relays,
}

/// Totals of a fleet since its start, read at one moment.
struct Counters {
    at: Instant,
    peer_bytes: u64,
    /// Reads of the peer relays that returned data, about one for each TCP segment.
    peer_segments: u64,
    store_bytes: u64,
    /// Requests to the store by path.
    store_calls: BTreeMap<String, u64>,
    processor_s: f64,
}

impl Fleet {
    fn start(size: Size) -> eyre::Result<Fleet> {
        let test_bed = TestBed::new()?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = Engine::start(any, EngineSettings::default())?;
        for index in 0..size.customers {
            test_bed.put_customer(&format!("customer-{index}"))?;
            let key = KeyHash::of_key(&format!("key-{index}"));
            let value = json!({ "customer": format!("customer-{index}") });
            test_bed.put(&format!("keys/{key}"), &value)?;
        }
        for index in 0..size.workers {
            test_bed.put_engine(&format!("engine-{index}"), engine.address())?;
        }
        let relays = Relays::start()?;
        let store_relay = relays.add()?;
        store_relay.set_target(test_bed.gateway.address());
        let mut fleet = Fleet {
            test_bed,
            _engine: engine,
            store_relay,
            peer_relays: Vec::new(),
            instances: Vec::new(),
            relays,
        };
        for index in 0..size.instances.min(MAX_INSTANCES) {
            fleet.add_instance(index)?;
        }
        for instance in &fleet.instances {
            instance.wait_ready()?;
        }
        Ok(fleet)
    }

    fn add_instance(&mut self, index: u64) -> eyre::Result<()> {
        let relay = self.relays.add()?;
        let addresses = Addresses {
            store: self.store_relay.address,
            advertise: Some(relay.address),
        };
        let name = format!("entry-{index}");
        let zone = format!("zone-{}", index % ZONES);
        let instance = self.test_bed.start_instance(&name, &zone, addresses)?;
        relay.set_target(instance.peers);
        self.peer_relays.push(relay);
        self.instances.push(instance);
        Ok(())
    }

    fn usages(&self) -> eyre::Result<Vec<Usage>> {
        let ids = self.instances.iter().map(|instance| instance.process.id());
        ids.map(overhead_fleet::usage).collect()
    }

    /// Reads the present totals of the relays, the store and the processes.
    fn counters(&self) -> eyre::Result<Counters> {
        let usages = self.usages()?;
        Ok(Counters {
            at: Instant::now(),
            peer_bytes: self.peer_relays.iter().map(Relay::bytes).sum(),
            peer_segments: self.peer_relays.iter().map(Relay::reads).sum(),
            store_bytes: self.store_relay.bytes(),
            store_calls: self.test_bed.gateway.runs().paths,
            processor_s: usages.iter().map(|usage| usage.processor_s).sum(),
        })
    }
}

/// Starts a fleet, waits until it has settled, and measures it.
fn measure(size: Size, times: Times) -> eyre::Result<Values> {
    let fleet = Fleet::start(size)?;
    open_programs(&fleet, size.programs)?;
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let changes = scope.spawn(|| apply_changes(&fleet.test_bed, size, &stop));
        std::thread::sleep(times.settle);
        let before = fleet.counters();
        std::thread::sleep(times.measure);
        let after = fleet.counters();
        stop.store(true, Ordering::Relaxed);
        changes
            .join()
            .map_err(|_| eyre!("the thread that changes the configuration panicked"))??;
        values(&fleet, &before?, &after?)
    })
}

/// Changes the rate limit of one customer after another, at the rate of `size.changes`, until
/// `stop` is set.
fn apply_changes(test_bed: &TestBed, size: Size, stop: &AtomicBool) -> eyre::Result<()> {
    if size.changes == 0 {
        return Ok(());
    }
    let start = Instant::now();
    let mut changes_made = 0;
    while !stop.load(Ordering::Relaxed) {
        if start.elapsed().as_secs_f64() * (size.changes as f64) < changes_made as f64 {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        }
        changes_made += 1;
        let rate = 1_000_000_000 + changes_made;
        let value = json!({ "rate_mreq_per_s": rate, "burst_mreq": rate });
        let name = format!("customers/customer-{}", changes_made % size.customers);
        test_bed.put(&name, &value)?;
    }
    Ok(())
}

/// Opens programs at each instance and sends no calls for them, so that they stay idle.
fn open_programs(fleet: &Fleet, programs: u64) -> eyre::Result<()> {
    for instance in &fleet.instances {
        let url = format!("http://{}/v1/programs", instance.callers);
        let failed = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..OPENING_THREADS)
                .map(|_| {
                    scope.spawn(|| open_sequentially(&url, programs / OPENING_THREADS))
                })
                .collect();
            let results = callers.into_iter().map(|caller| caller.join());
            results.filter_map(Result::ok).sum::<u64>()
        });
        if failed > 0 {
            println!("  {failed} of {programs} programs were not opened");
        }
    }
    Ok(())
}

/// Opens programs one after another, and returns how many could not be opened.
fn open_sequentially(url: &str, programs: u64) -> u64 {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)))
        .build()
        .into();
    let open = || {
        let response = agent
            .post(url)
            .header("Authorization", format!("Bearer {CUSTOMER_KEY}"))
            .header("Content-Type", "application/json")
            .send("{}");
        response.is_ok_and(|response| response.status() == 201)
    };
    (0..programs).filter(|_| !open()).count() as u64
}

/// Computes the rates between two readings of the counters, and the present memory and
/// threads. The labels appear in the report.
fn values(fleet: &Fleet, before: &Counters, after: &Counters) -> eyre::Result<Values> {
    let instances = fleet.instances.len().max(1) as f64;
    let seconds = (after.at - before.at).as_secs_f64();
    let rate = |after: f64, before: f64| (after - before) / seconds / instances;
    let count = |after: u64, before: u64| rate(after as f64, before as f64);
    let usages = fleet.usages()?;
    let mean =
        |value: fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>() / instances;
    let calls = |counters: &Counters, kinds: &[&str]| -> u64 {
        let matching = counters
            .store_calls
            .iter()
            .filter(|(path, _)| kinds.iter().any(|kind| path.ends_with(kind)));
        matching.map(|(_, count)| *count).sum()
    };
    let store = |kinds: &[&str]| count(calls(after, kinds), calls(before, kinds));
    let calls_until_settled =
        |kinds: &[&str]| -> f64 { calls(before, kinds) as f64 / instances };
    Ok(Values::from([
        ("reads until settled", calls_until_settled(&["/range"])),
        (
            "transactions until settled",
            calls_until_settled(&["/txn", "/put"]),
        ),
        // Each byte between peers is sent by one instance and received by another.
        (
            "peer KB/s sent+received",
            2.0 * count(after.peer_bytes, before.peer_bytes) / 1e3,
        ),
        (
            "peer segments/s sent",
            count(after.peer_segments, before.peer_segments),
        ),
        (
            "store KB/s",
            count(after.store_bytes, before.store_bytes) / 1e3,
        ),
        ("store reads/s", store(&["/range"])),
        ("store watches/s", store(&["/watch"])),
        ("store transactions/s", store(&["/txn", "/put"])),
        (
            "store lease calls/s",
            store(&["/keepalive", "/grant", "/revoke"]),
        ),
        (
            "processor % of a core",
            100.0 * rate(after.processor_s, before.processor_s),
        ),
        ("resident MB", mean(|usage| usage.resident_kb as f64 / 1e3)),
        ("threads", mean(|usage| usage.threads as f64)),
    ]))
}
