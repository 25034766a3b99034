//! `jayreel-bench`: benchmarks that run on one machine, with model engines and the
//! platform's store simulated by `jayreel-standin`.
//!
//! Each subcommand prints its results to standard output. CI does not run any of them.

mod overhead;
mod overhead_fleet;
mod overhead_load;
mod policy;
mod propagation;
mod reducer;
mod reducer_state;
mod slopes;
mod slopes_fit;
mod slopes_relay;

use clap::Command;

fn main() -> eyre::Result<()> {
    let matches = Command::new("jayreel-bench")
        .about("Measurements of jayreel")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(overhead::command())
        .subcommand(policy::command())
        .subcommand(propagation::command())
        .subcommand(reducer::command())
        .subcommand(slopes::command())
        .get_matches();
    match matches.subcommand() {
        Some(("overhead", options)) => overhead::run(options),
        Some(("policy", options)) => policy::run(options),
        Some(("propagation", options)) => propagation::run(options),
        Some(("reducer", options)) => reducer::run(options),
        Some(("slopes", options)) => slopes::run(options),
        _ => unreachable!("clap requires a subcommand"),
    }
}
