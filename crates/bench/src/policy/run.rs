//! One run of the benchmark: replays the trace of a seed against a new fleet with the policies
//! of a variant, and applies the faults of a scenario.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::caller::{self, RunState};
use super::deployment::{Deployment, WORKER_SLOTS};
use super::fleet::{Fleet, FleetOptions};
use super::outcome::{Measures, Records, measure};
use super::scenario::{Scenario, Variant};
use super::trace::{
    self, ARRIVALS_MS, DISTURBANCE_START_MS, ProgramPlan, Trace, WARM_UP_MS,
};

/// Time between the start of the instances and the first program. The instances' token buckets
/// start empty, and they divide the weights among themselves only after all have started.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);
/// Time after the last arrival until programs that are still running are cut off.
const DRAIN_MS: u64 = 12_000;
/// Time after the last program for the engines to release the cached prompts of ended programs.
const CACHE_RELEASE_TIME: Duration = Duration::from_millis(1_500);
/// Largest number of programs of the flooding customer that run at the same time.
const MAX_FLOOD_PROGRAMS: u64 = 80;
/// Largest number of programs of all other customers that run at the same time.
const MAX_PROGRAMS: u64 = 400;
/// Duration of a store outage and of a freeze of workers.
const FAULT_DURATION_MS: u64 = 6_000;
/// Time until the load balancer stops sending calls to instances that were killed.
const HEALTH_CHECK_DELAY_MS: u64 = 1_000;
/// Number of workers that freeze in the scenario `frozen-workers`.
const FROZEN_WORKERS: usize = 2;
/// How often due programs and faults are started and the engines' load is sampled.
const REPLAY_INTERVAL: Duration = Duration::from_millis(20);
/// Stack size of the thread of a program.
const THREAD_STACK_BYTES: usize = 512 * 1024;

/// Identifies a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) deployment: &'static Deployment,
    pub(crate) scenario: Scenario,
    pub(crate) variant: Variant,
    pub(crate) seed: u64,
}

/// Executes a run and returns its measures. The instances write their settings and logs to
/// `directory`.
///
/// # Errors
///
/// If the fleet cannot be started.
pub(crate) fn run(job: Job, binary: &Path, directory: PathBuf) -> eyre::Result<Measures> {
    let trace = trace::generate(job.deployment, job.scenario, job.seed);
    let mut fleet = Fleet::start(&FleetOptions {
        binary,
        directory,
        deployment: job.deployment,
        variant: job.variant,
        rate_limits: &trace.rate_limits,
    })?;
    thread::sleep(SETTLE_TIME);
    let run_state = Arc::new(RunState {
        deployment: job.deployment,
        balancer_targets: fleet.balancer_targets(),
        records: Mutex::new(Records::new(&trace.rate_limits)),
        stop: AtomicBool::new(false),
        started: Instant::now(),
        running: AtomicU64::new(0),
        flooding: AtomicU64::new(0),
    });
    let threads = replay(job, &trace, &mut fleet, &run_state);
    thread::sleep(CACHE_RELEASE_TIME);
    let cached = fleet.cached_tokens();
    fleet.close();
    for thread in threads {
        let _ = thread.join();
    }
    let records = run_state.lock();
    Ok(measure(
        job.deployment,
        job.scenario,
        &trace,
        &records,
        &cached,
    ))
}

/// Starts the programs and faults when they are due and samples the load of the engines. Ends
/// when all programs that do not belong to the flood have ended, or after [`DRAIN_MS`].
/// Returns the threads of the programs.
fn replay(
    job: Job,
    trace: &Trace,
    fleet: &mut Fleet,
    run_state: &Arc<RunState>,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    let mut pending_programs = trace.programs.iter().peekable();
    let mut fault_schedule = FaultSchedule::new(job);
    loop {
        let now_ms = run_state.now_ms();
        while let Some(plan) = pending_programs.next_if(|plan| plan.start_ms <= now_ms) {
            threads.extend(start_program(job, run_state, plan));
        }
        fault_schedule.apply_due(now_ms, fleet);
        if (WARM_UP_MS..ARRIVALS_MS).contains(&now_ms) {
            let (busy, queued) = engine_load_permille(fleet);
            let mut records = run_state.lock();
            records.busy_permille.push(busy);
            records.queued_permille.push(queued);
        }
        let ended =
            now_ms >= ARRIVALS_MS && run_state.running.load(Ordering::SeqCst) == 0;
        if ended || now_ms >= ARRIVALS_MS + DRAIN_MS {
            run_state.stop.store(true, Ordering::SeqCst);
            return threads;
        }
        thread::sleep(REPLAY_INTERVAL);
    }
}

/// Starts a program on a new thread. If too many are running, counts it as not started.
fn start_program(
    job: Job,
    run_state: &Arc<RunState>,
    plan: &ProgramPlan,
) -> Option<JoinHandle<()>> {
    let is_flood_program = job.scenario == Scenario::Flood
        && plan.customer == job.deployment.flooding_customer;
    let (counter, limit): (fn(&RunState) -> &AtomicU64, u64) = match is_flood_program {
        true => (|run_state| &run_state.flooding, MAX_FLOOD_PROGRAMS),
        false => (|run_state| &run_state.running, MAX_PROGRAMS),
    };
    if counter(run_state).fetch_add(1, Ordering::SeqCst) >= limit {
        counter(run_state).fetch_sub(1, Ordering::SeqCst);
        run_state.lock().not_started += 1;
        return None;
    }
    let (thread_state, plan) = (Arc::clone(run_state), plan.clone());
    let thread = thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || {
            caller::run(&thread_state, &plan);
            counter(&thread_state).fetch_sub(1, Ordering::SeqCst);
        });
    thread.ok()
}

/// Calls that run and calls that wait in the engines, in thousandths of all slots.
fn engine_load_permille(fleet: &Fleet) -> (u64, u64) {
    let loads = fleet.engines.iter().map(|engine| engine.load());
    let (running, waiting) = loads.fold((0, 0), |(running, waiting), load| {
        (running + load.0, waiting + load.1)
    });
    let permille =
        |calls: usize| (calls * 1_000 / (fleet.engines.len() * WORKER_SLOTS)) as u64;
    (permille(running), permille(waiting))
}

/// The faults of a scenario that have not been applied yet, in the order of their times.
struct FaultSchedule {
    job: Job,
    /// Each step with its time in milliseconds since the start of the run.
    steps: Vec<(u64, FaultStep)>,
}

#[derive(Clone, Copy)]
enum FaultStep {
    KillZone,
    RemoveZoneFromBalancer,
    StoreDown(bool),
    Freeze(bool),
}

impl FaultSchedule {
    fn new(job: Job) -> FaultSchedule {
        let start_ms = DISTURBANCE_START_MS;
        let end_ms = DISTURBANCE_START_MS + FAULT_DURATION_MS;
        let steps = match job.scenario {
            Scenario::Calm | Scenario::Flood => vec![],
            Scenario::DeadZone => vec![
                (start_ms, FaultStep::KillZone),
                (
                    start_ms + HEALTH_CHECK_DELAY_MS,
                    FaultStep::RemoveZoneFromBalancer,
                ),
            ],
            Scenario::StoreOutage => vec![
                (start_ms, FaultStep::StoreDown(true)),
                (end_ms, FaultStep::StoreDown(false)),
            ],
            Scenario::FrozenWorkers => vec![
                (start_ms, FaultStep::Freeze(true)),
                (end_ms, FaultStep::Freeze(false)),
            ],
        };
        FaultSchedule { job, steps }
    }

    fn apply_due(&mut self, now_ms: u64, fleet: &mut Fleet) {
        let deployment = self.job.deployment;
        let zone = deployment.zones[0];
        while let Some((_, step)) = self.steps.first().filter(|(at, _)| *at <= now_ms) {
            match *step {
                FaultStep::KillZone => fleet.kill_zone(deployment, zone),
                FaultStep::RemoveZoneFromBalancer => {
                    fleet.remove_zone_from_balancer(deployment, zone);
                }
                FaultStep::StoreDown(down) => fleet.set_store_down(down),
                FaultStep::Freeze(freeze) => {
                    fleet.set_workers_frozen(FROZEN_WORKERS, freeze)
                }
            }
            self.steps.remove(0);
        }
    }
}
