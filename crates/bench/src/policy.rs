//! Compares the product's scheduling policies with two baselines: round robin and fewest
//! outstanding calls.
//!
//! Replays seeded traces of agent programs against real instances, with engines, services and
//! the store as stand-ins in this process. See docs/MEASUREMENTS.md.

mod caller;
mod deployment;
mod fleet;
mod outcome;
mod plot;
mod report;
mod run;
mod scenario;
mod trace;

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command as Process;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{WrapErr, eyre};

use self::deployment::INSTANCES;
use self::report::FinishedRun;
use self::run::Job;
use self::scenario::{Scenario, Variant};

/// Largest number of instances at the same time, over all parallel runs. Limits `--parallel`.
const MAX_PROCESSES: usize = 90;
/// Delay between the starts of the first parallel runs, so that they do not all start their
/// processes at once.
const START_STAGGER: Duration = Duration::from_millis(200);

/// Command line of the subcommand `policy`.
pub(crate) fn command() -> Command {
    let deployments: Vec<&str> = deployment::ALL.iter().map(|d| d.name).collect();
    let scenarios: Vec<&str> = Scenario::ALL.iter().map(|s| s.name()).collect();
    let variants: Vec<&str> = Variant::ALL.iter().map(|v| v.name()).collect();
    Command::new("policy")
        .about("Compare the policies with two baselines")
        .arg(number(
            "seeds",
            "5",
            "Number of consecutive seeds, starting with --first-seed",
        ))
        .arg(number("first-seed", "1", "The first seed"))
        .arg(number(
            "parallel",
            "12",
            "Number of parallel runs, each with 6 instances",
        ))
        .arg(number(
            "limit",
            "900",
            "Time in seconds after which no further run starts",
        ))
        .arg(choice_option("scenario", scenarios))
        .arg(choice_option("deployment", deployments))
        .arg(choice_option("variant", variants))
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The jayreel binary [default: built in release mode]"),
        )
        .arg(
            Arg::new("append")
                .long("append")
                .action(ArgAction::SetTrue)
                .help("Append the tables to docs/POLICY-RUNS.md"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn choice_option(name: &'static str, values: Vec<&'static str>) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(values)
        .action(ArgAction::Append)
        .help("May be given several times [default: all]")
}

/// Runs all chosen combinations of seed, deployment, scenario and variant, prints the tables
/// and draws the plot.
///
/// # Errors
///
/// If the binary cannot be built, no run succeeds, or a result cannot be written.
pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let target = target_directory()?;
    let binary = match matches.get_one::<PathBuf>("binary") {
        Some(path) => path.clone(),
        None => build_release(&target)?,
    };
    let jobs = jobs(matches);
    let parallel =
        usize::try_from(number("parallel"))?.clamp(1, MAX_PROCESSES / INSTANCES);
    let load_before = machine_load();
    let started = Instant::now();
    let directory = target.join("policy-bench");
    let deadline = started + Duration::from_secs(number("limit"));
    let finished = run_all(&jobs, parallel, &binary, &directory, deadline);
    if finished.is_empty() {
        return Err(eyre!("no run succeeded"));
    }
    let plot = target.join("policy.svg");
    plot::draw(&finished, &plot)?;
    let first = number("first-seed");
    let seeds: Vec<String> = (first..first + number("seeds"))
        .map(|seed| seed.to_string())
        .collect();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let text = format!(
        "\n## {}\n\n`cargo run --release -p jayreel-bench -- {}`; seeds {}; {} of {} runs, \
         {parallel} at a time, in {} s; load average {load_before} before and {} after, \
         {} cores.\n\n{}\n{}\n{}",
        date(),
        arguments.join(" "),
        seeds.join(" "),
        finished.len(),
        jobs.len(),
        started.elapsed().as_secs(),
        machine_load(),
        thread::available_parallelism().map_or(0, usize::from),
        report::table(&finished),
        report::compare_with_goals(&finished),
        report::group_details(&finished),
    );
    println!("{text}");
    println!("plot: {}", plot.display());
    match matches.get_flag("append") {
        true => append(&text),
        false => Ok(()),
    }
}

/// The chosen runs. The variants of a seed follow each other, so that they run side by side
/// and are affected by the same other load on the machine.
fn jobs(matches: &ArgMatches) -> Vec<Job> {
    let chosen = |name: &str, value: &str| match matches.get_many::<String>(name) {
        Some(mut values) => values.any(|chosen| chosen == value),
        None => true,
    };
    let first = *matches.get_one::<u64>("first-seed").expect("has a default");
    let seeds = *matches.get_one::<u64>("seeds").expect("has a default");
    let mut jobs = Vec::new();
    for seed in first..first + seeds {
        for deployment in deployment::ALL {
            for scenario in Scenario::ALL {
                let wanted = chosen("deployment", deployment.name)
                    && chosen("scenario", scenario.name());
                let variants = Variant::ALL
                    .into_iter()
                    .filter(|variant| wanted && chosen("variant", variant.name()));
                jobs.extend(variants.map(|variant| Job {
                    deployment,
                    scenario,
                    variant,
                    seed,
                }));
            }
        }
    }
    jobs
}

/// Runs the jobs on `parallel` threads. Starts none after `deadline`. Reports failed runs to
/// standard error and leaves them out of the result.
fn run_all(
    jobs: &[Job],
    parallel: usize,
    binary: &Path,
    directory: &Path,
    deadline: Instant,
) -> Vec<FinishedRun> {
    let next = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for worker in 0..parallel {
            let (next, finished) = (&next, &finished);
            scope.spawn(move || {
                thread::sleep(START_STAGGER * worker as u32);
                while Instant::now() < deadline {
                    let index = next.fetch_add(1, Ordering::SeqCst);
                    let Some(job) = jobs.get(index) else { return };
                    let run_directory = directory.join(format!("run-{index}"));
                    match run::run(*job, binary, run_directory) {
                        Ok(measures) => {
                            let run = FinishedRun {
                                job: *job,
                                measures,
                            };
                            finished.lock().expect("no thread panics").push(run);
                        }
                        Err(error) => eprintln!("run {index} ({job:?}) failed: {error}"),
                    }
                }
            });
        }
    });
    finished.into_inner().expect("no thread panics")
}

/// Cargo's target directory, derived from the path of this executable.
fn target_directory() -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let target = executable.ancestors().nth(2);
    Ok(target
        .ok_or_else(|| eyre!("the executable is not in a target directory"))?
        .to_path_buf())
}

/// Builds the `jayreel` binary in release mode and returns its path.
fn build_release(target: &Path) -> eyre::Result<PathBuf> {
    let status = Process::new(env!("CARGO"))
        .args(["build", "--release", "--quiet", "-j", "4"])
        .args(["-p", "jayreel", "--bin", "jayreel"])
        .arg("--manifest-path")
        .arg(workspace_root().join("Cargo.toml"))
        .status()
        .wrap_err("cannot run cargo")?;
    match status.success() {
        true => Ok(target.join("release/jayreel")),
        false => Err(eyre!("the build of jayreel failed")),
    }
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn machine_load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let fields: Vec<&str> = text.split_whitespace().take(3).collect();
    fields.join(" ")
}

fn date() -> String {
    let output = Process::new("date")
        .args(["-u", "+%Y-%m-%d %H:%M UTC"])
        .output();
    let text = output.map(|output| output.stdout).unwrap_or_default();
    String::from_utf8_lossy(&text).trim().to_string()
}

/// Appends the tables to the page that collects the results of all runs.
fn append(text: &str) -> eyre::Result<()> {
    let path = workspace_root().join("docs/POLICY-RUNS.md");
    let mut file = OpenOptions::new().append(true).open(&path)?;
    writeln!(file, "\n{}", text.trim())?;
    Ok(())
}
