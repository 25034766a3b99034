//! The cost of one instance: the latency it adds to a call, the highest request rate it
//! sustains, and its memory and processor use with up to 500 concurrent streams.
//!
//! Starts the real `jayreel` and `jayreel-standin` binaries, which must have been built.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::overhead_fleet::{
    self, Addresses, EngineProcess, Instance, SchedStats, TestBed,
};
use crate::overhead_load::{self, Load, Outcome};

/// Rate at which the added latency is measured, in requests per second. The bounds on the
/// added latency apply at this rate.
const LATENCY_TEST_RATE: f64 = 40.0;
/// A rate counts as sustained if no request fails and the p99 latency is below this limit.
const SUSTAINED_P99_LIMIT_MS: f64 = 50.0;
/// Duration of the load at each rate of the rate search, in seconds.
const RATE_STEP_S: f64 = 5.0;
/// Caller threads of the rate search, which bound the concurrent calls. More concurrent
/// calls than this would exceed the p99 limit anyway.
const RATE_CALLERS: usize = 200;
/// Names of the instance's threads that every call passes through, in addition to the thread
/// of the call itself.
const OBSERVED_THREADS: [&str; 2] = ["caller-http", "reducer"];
/// Largest number of concurrent streams.
const MAX_STREAMS: usize = 500;

/// Command line of the subcommand `overhead`.
pub fn command() -> Command {
    Command::new("overhead")
        .about("Latency added by one instance, its highest request rate, and 500 streams")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("60")
                .value_parser(value_parser!(u64).range(1..=600))
                .help("duration of each latency measurement in seconds"),
        )
}

/// Runs all three measurements and prints their results.
pub fn run(options: &ArgMatches) -> eyre::Result<()> {
    let seconds = *options.get_one::<u64>("seconds").unwrap_or(&60);
    println!("machine load before: {}", overhead_fleet::machine_load());
    let test_bed = TestBed::new()?;
    let engine = EngineProcess::start(0, 16)?;
    test_bed.put_engine("engine-0", engine.address)?;
    let instance = start(&test_bed)?;
    for stream in [false, true] {
        let id = instance.process.id();
        let before = thread_sched_stats(id)?;
        measure_latency(&engine, &instance, seconds, stream);
        print_core_waits(&before, &thread_sched_stats(id)?);
    }
    search_highest_rate(&engine, &instance);
    drop((instance, engine));
    measure_streams()?;
    println!("machine load after: {}", overhead_fleet::machine_load());
    Ok(())
}

/// Scheduler statistics of each of the [`OBSERVED_THREADS`] of a process.
fn thread_sched_stats(id: u32) -> eyre::Result<Vec<SchedStats>> {
    let threads = OBSERVED_THREADS.iter();
    threads
        .map(|thread| overhead_fleet::sched_stats(id, thread))
        .collect()
}

/// Prints how long the threads were runnable but waited for a core. This part of the latency
/// comes from other load on the machine.
fn print_core_waits(before: &[SchedStats], after: &[SchedStats]) {
    let pairs = before.iter().zip(after);
    for (thread, (before, after)) in OBSERVED_THREADS.iter().zip(pairs) {
        let timeslices = (after.timeslices - before.timeslices).max(1.0);
        println!(
            "  thread {thread}: {timeslices:.0} runs, each after {:.0} us of waiting for a core, \
             for {:.0} us",
            (after.runnable_us - before.runnable_us) / timeslices,
            (after.running_us - before.running_us) / timeslices,
        );
    }
}

/// Starts an instance and waits until it accepts calls.
fn start(test_bed: &TestBed) -> eyre::Result<Instance> {
    let addresses = Addresses {
        store: test_bed.gateway.address(),
        advertise: None,
    };
    let instance = test_bed.start_instance("entry-0", "zone-0", addresses)?;
    instance.wait_ready()?;
    Ok(instance)
}

/// Measures the latency that the instance adds. Calls the engine directly and through the
/// instance over the same period and at the same rate. The two request sequences are shifted
/// by half a period, so that their requests do not coincide.
fn measure_latency(
    engine: &EngineProcess,
    instance: &Instance,
    seconds: u64,
    stream: bool,
) {
    let direct = Load {
        target: engine.address,
        rate: LATENCY_TEST_RATE,
        requests: (LATENCY_TEST_RATE as u64) * seconds,
        callers: 8,
        offset: Duration::from_millis(100),
        stream,
    };
    let via_instance = Load {
        target: instance.callers,
        offset: direct.offset + Duration::from_secs_f64(0.5 / LATENCY_TEST_RATE),
        ..direct
    };
    let (direct, via_instance) = std::thread::scope(|scope| {
        let direct = scope.spawn(|| overhead_load::run(direct));
        let via_instance = overhead_load::run(via_instance);
        (direct.join().ok(), via_instance)
    });
    let Some(direct) = direct else {
        return println!("the load generator for direct calls panicked");
    };
    let form = match stream {
        true => "streamed",
        false => "whole",
    };
    println!(
        "latency at {LATENCY_TEST_RATE} requests/s for {seconds} s, {form} answers:"
    );
    print_outcome("direct", &direct);
    print_outcome("instance", &via_instance);
    let added =
        |quantile: f64| via_instance.total_ms(quantile) - direct.total_ms(quantile);
    println!(
        "  added to the whole answer: median {:.3} ms (bound 1), p99 {:.3} ms (bound 5)",
        added(0.5),
        added(0.99)
    );
    let added = |quantile: f64| {
        via_instance.first_byte_ms(quantile) - direct.first_byte_ms(quantile)
    };
    println!(
        "  added to the first byte: median {:.3} ms, p99 {:.3} ms",
        added(0.5),
        added(0.99)
    );
}

fn print_outcome(name: &str, outcome: &Outcome) {
    println!(
        "  {name}: {} answers, {} failed, whole p50 {:.3} p90 {:.3} p99 {:.3} max {:.3} ms, \
         first byte p50 {:.3} p99 {:.3} ms",
        outcome.total_us.len(),
        outcome.failed,
        outcome.total_ms(0.5),
        outcome.total_ms(0.9),
        outcome.total_ms(0.99),
        outcome.total_ms(1.0),
        outcome.first_byte_ms(0.5),
        outcome.first_byte_ms(0.99),
    );
}

/// Raises the request rate by a factor of √2 at each step until the instance does not sustain
/// it. Each rate is also sent to the engine directly, for comparison.
fn search_highest_rate(engine: &EngineProcess, instance: &Instance) {
    println!("rates with p99 below {SUSTAINED_P99_LIMIT_MS} ms, {RATE_STEP_S} s each:");
    let mut highest_sustained = 0.0;
    for rate in (0..).map(|step| 250.0 * 2f64.powf(f64::from(step) / 2.0)) {
        let before = overhead_fleet::usage(instance.process.id()).unwrap_or_default();
        let via_instance = run_at_rate(instance.callers, rate);
        let after = overhead_fleet::usage(instance.process.id()).unwrap_or_default();
        let processor_us = (after.processor_s - before.processor_s) * 1e6
            / via_instance.total_us.len().max(1) as f64;
        let direct = run_at_rate(engine.address, rate);
        println!(
            "  {rate:.0}/s: instance p50 {:.2} p99 {:.2} ms, {} failed, \
             {processor_us:.0} us of processor per call; direct p50 {:.2} p99 {:.2} ms",
            via_instance.total_ms(0.5),
            via_instance.total_ms(0.99),
            via_instance.failed,
            direct.total_ms(0.5),
            direct.total_ms(0.99),
        );
        if via_instance.failed > 0
            || via_instance.total_ms(0.99) >= SUSTAINED_P99_LIMIT_MS
            || rate > 20_000.0
        {
            break;
        }
        highest_sustained = rate;
    }
    println!("  highest rate held: {highest_sustained:.0}/s");
}

/// Sends requests at a rate for [`RATE_STEP_S`].
fn run_at_rate(target: std::net::SocketAddr, rate: f64) -> Outcome {
    overhead_load::run(Load {
        target,
        rate,
        requests: (rate * RATE_STEP_S) as u64,
        callers: RATE_CALLERS,
        offset: Duration::from_millis(50),
        stream: false,
    })
}

/// Measures the instance's memory, threads and processor use while it serves concurrent
/// streams, each of which lasts 20 s.
fn measure_streams() -> eyre::Result<()> {
    let engine = EngineProcess::start(50_000, 400)?;
    println!("streams at once, 50 ms between tokens, 400 tokens each:");
    for streams in [125, 250, MAX_STREAMS] {
        // Each stream count needs a new process, since allocators do not return all freed
        // memory to the kernel, and a new store, since a killed instance keeps its home share
        // of the quotas there.
        let test_bed = TestBed::new()?;
        test_bed.put_engine("engine-0", engine.address)?;
        let instance = start(&test_bed)?;
        let id = instance.process.id();
        let idle = overhead_fleet::usage(id)?;
        let load = Load {
            target: instance.callers,
            rate: 250.0,
            requests: streams as u64,
            callers: streams,
            offset: Duration::ZERO,
            stream: true,
        };
        let (outcome, midway, after) = std::thread::scope(|scope| {
            let load = scope.spawn(move || overhead_load::run(load));
            // All streams have started after 2 s, and none ends before 20 s.
            std::thread::sleep(Duration::from_secs(8));
            let midway = overhead_fleet::usage(id);
            std::thread::sleep(Duration::from_secs(8));
            let after = overhead_fleet::usage(id);
            (load.join(), midway, after)
        });
        let (midway, after) = (midway?, after?);
        let Ok(outcome) = outcome else {
            eyre::bail!("the load generator panicked");
        };
        let kb_per_stream =
            after.resident_kb.saturating_sub(idle.resident_kb) as f64 / streams as f64;
        println!(
            "  {streams}: {} whole, {} failed, resident {} KB idle, {} KB under streams \
             ({kb_per_stream:.1} KB each), threads {} idle, {} under streams, processor {:.1}% \
             of a core",
            outcome.total_us.len(),
            outcome.failed,
            idle.resident_kb,
            after.resident_kb,
            idle.threads,
            after.threads,
            (after.processor_s - midway.processor_s) / 8.0 * 100.0,
        );
        println!(
            "    first byte p50 {:.1} p99 {:.1} ms, whole p50 {:.0} p99 {:.0} ms",
            outcome.first_byte_ms(0.5),
            outcome.first_byte_ms(0.99),
            outcome.total_ms(0.5),
            outcome.total_ms(0.99),
        );
    }
    Ok(())
}
