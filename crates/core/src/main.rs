//! The `jayreel` binary: parses the command line and runs the subcommand.

mod admin;
mod args;
mod call_metrics;
mod clock;
mod dev;
mod engine_link;
mod explain;
mod instance;
mod logging;
mod node;
mod operator;
mod peer_link;
mod serve;
mod shell;
mod store_link;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let result = match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("edge", matches)) => {
            let options = matches.get_one::<PathBuf>("options");
            node::run(node::Role::Edge, None, options.map(PathBuf::as_path))
        }
        Some(("storage", matches)) => {
            let advertised = matches.get_one::<SocketAddr>("advertise").copied();
            node::run(node::Role::Storage, advertised, None)
        }
        Some(("explain", sub)) => explain::run(sub, matches.get_flag("json")),
        Some(("dev", matches)) => dev::run(matches),
        Some(("check", matches)) => return check(matches),
        Some(("completions", matches)) => completions(matches),
        Some(("man", _)) => man(),
        Some((name, sub)) => operator::run(name, sub, &matches),
        None => Ok(ExitCode::from(EXIT_USAGE)),
    };
    result.unwrap_or_else(|error| {
        eprintln!("jayreel: {error:#}");
        ExitCode::FAILURE
    })
}

/// Validates a settings file and prints its errors.
fn check(matches: &ArgMatches) -> ExitCode {
    match jayreel_settings::Settings::read(args::config_path(matches)) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn completions(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let shell = args::shell(matches);
    clap_complete::generate(
        shell,
        &mut args::command(),
        "jayreel",
        &mut std::io::stdout(),
    );
    Ok(ExitCode::SUCCESS)
}

fn man() -> eyre::Result<ExitCode> {
    clap_mangen::Man::new(args::command()).render(&mut std::io::stdout())?;
    Ok(ExitCode::SUCCESS)
}
