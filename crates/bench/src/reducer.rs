//! How long the reducer takes for each kind of event, and how much memory it uses, depending
//! on the size of its state.
//!
//! Varies one part of the state at a time and fits a line to each value. Each size is measured
//! in a child process, so that the memory of one state does not count for another.

use std::process::Command as Process;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{bail, eyre};
use serde::{Deserialize, Serialize};

use crate::overhead_fleet;
use crate::reducer_state::{Size, State, Timing};
use crate::slopes_fit::fit;

/// Size of the parts of the state that are not varied.
const BASE: Size = Size {
    programs: 20_000,
    workers: 200,
    customers: 3_100,
    peers: 689,
    waiting: 0,
};

/// One part of the state that is varied, with the sizes that are measured.
struct Sweep {
    name: &'static str,
    sizes: &'static [u64],
    /// Slopes are printed as the change for this many more items.
    unit: u64,
    size_with: fn(Size, u64) -> Size,
}

const SWEEPS: [Sweep; 5] = [
    Sweep {
        name: "programs",
        sizes: &[1_000, 2_000, 4_000, 8_000, 20_000],
        unit: 1_000,
        size_with: |base, programs| Size { programs, ..base },
    },
    Sweep {
        name: "workers",
        sizes: &[25, 50, 100, 200],
        unit: 100,
        size_with: |base, workers| Size { workers, ..base },
    },
    Sweep {
        name: "customers",
        sizes: &[400, 800, 1_600, 3_100],
        unit: 1_000,
        size_with: |base, customers| Size { customers, ..base },
    },
    Sweep {
        name: "peers",
        sizes: &[86, 172, 344, 689],
        unit: 100,
        size_with: |base, peers| Size { peers, ..base },
    },
    Sweep {
        name: "waiting",
        sizes: &[0, 100, 200, 400],
        unit: 100,
        size_with: |base, waiting| Size { waiting, ..base },
    },
];

/// Results of one size, passed as JSON from the child process to its parent.
#[derive(Deserialize, Serialize)]
struct Measurement {
    timings: Vec<Timing>,
    /// Resident memory that the state adds to the process, in KB.
    resident_kb: u64,
}

/// Command line of the subcommand `reducer`.
pub fn command() -> Command {
    Command::new("reducer")
        .about("Time of each event of the reducer, and memory, by size of its state")
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("NAME")
                .help("measure only this part of the state"),
        )
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_name("N")
                .default_value("20000")
                .value_parser(value_parser!(u64).range(200..=20_000))
                .help("largest number of programs in the state"),
        )
        .arg(
            Arg::new("probe")
                .long("probe")
                .value_name("SIZE")
                .hide(true)
                .help("measure one size, as JSON, in this process"),
        )
}

/// Measures all chosen parts of the state and prints a table for each. With the hidden option
/// `--probe`, which the child processes get, measures one size and prints it as JSON.
pub fn run(options: &ArgMatches) -> eyre::Result<()> {
    if let Some(size) = options.get_one::<String>("probe") {
        return print_measurement(serde_json::from_str(size)?);
    }
    println!("machine load before: {}", overhead_fleet::machine_load());
    let programs = options.get_one::<u64>("programs").copied();
    let base = Size {
        programs: programs.unwrap_or(BASE.programs),
        ..BASE
    };
    println!("state unless varied: {base:?}");
    let only = options.get_one::<String>("part");
    for sweep in &SWEEPS {
        if only.is_none_or(|name| name == sweep.name) {
            run_sweep(sweep, base)?;
        }
    }
    println!("machine load after: {}", overhead_fleet::machine_load());
    Ok(())
}

/// Builds a state of the given size in this process and prints its measurement as JSON. The
/// growth of resident memory is the memory of that state alone.
fn print_measurement(size: Size) -> eyre::Result<()> {
    let id = std::process::id();
    let empty_kb = overhead_fleet::usage(id)?.resident_kb;
    let mut state = State::new(size)?;
    let resident_kb = overhead_fleet::usage(id)?.resident_kb - empty_kb;
    let timings = state.time_all()?;
    let measurement = Measurement {
        timings,
        resident_kb,
    };
    println!("{}", serde_json::to_string(&measurement)?);
    Ok(())
}

/// Runs this executable with `--probe` and reads the measurement that it prints.
fn measure_in_child(size: Size) -> eyre::Result<Measurement> {
    let output = Process::new(std::env::current_exe()?)
        .args(["reducer", "--probe", &serde_json::to_string(&size)?])
        .output()?;
    if !output.status.success() {
        let stderr = String::from_utf8_lossy(&output.stderr);
        bail!("measurement of {size:?} failed: {stderr}");
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Measures all sizes of a sweep and prints one row for each kind of event and one for memory.
/// Leaves out sizes with more programs than the option `--programs` allows.
fn run_sweep(sweep: &Sweep, base: Size) -> eyre::Result<()> {
    let mut measurements = Vec::new();
    let is_within_base =
        |size: &u64| (sweep.size_with)(base, *size).programs <= base.programs;
    let sizes: Vec<u64> = sweep.sizes.iter().copied().filter(is_within_base).collect();
    for size in &sizes {
        measurements.push((
            *size as f64,
            measure_in_child((sweep.size_with)(base, *size))?,
        ));
    }
    println!(
        "{} at {:?}: median us at each size; slope for {} more, residual; slowest",
        sweep.name, sizes, sweep.unit
    );
    let (_, last) = measurements
        .last()
        .ok_or_else(|| eyre!("no size of {} fits within --programs", sweep.name))?;
    for timing in &last.timings {
        let points: Vec<(f64, f64)> = measurements
            .iter()
            .filter_map(|(size, measurement)| {
                let found = measurement
                    .timings
                    .iter()
                    .find(|candidate| candidate.event == timing.event)?;
                Some((*size, found.median_us))
            })
            .collect();
        print_row(&timing.event, &points, sweep.unit, timing.slowest_us);
    }
    let memory: Vec<(f64, f64)> = measurements
        .iter()
        .map(|(size, measurement)| (*size, measurement.resident_kb as f64))
        .collect();
    print_row("memory in KB", &memory, sweep.unit, 0.0);
    Ok(())
}

fn print_row(name: &str, points: &[(f64, f64)], unit: u64, slowest: f64) {
    let line = fit(points);
    let values: Vec<String> = points.iter().map(|(_, y)| format!("{y:9.1}")).collect();
    println!(
        "  {name:<22} {}; {:9.2} +- {:7.2}; {slowest:9.1}",
        values.join(" "),
        line.slope * unit as f64,
        line.residual,
    );
}
