//! `jayreel serve`: runs one entry instance until it is stopped.

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::ArgMatches;
use eyre::WrapErr;
use jayreel_settings::Settings;
use jayreel_store::{EtcdSettings, EtcdStore};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::instance::Instance;
use crate::{EXIT_USAGE, args, logging};

/// Time between two checks for a signal and for being superseded.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Exit code if the process was disconnected for so long that another one took over its
/// programs. It shuts down gracefully and must be restarted.
const EXIT_SUPERSEDED: u8 = 5;

/// Runs until SIGTERM or SIGINT, then shuts down without interrupting a call.
///
/// # Errors
///
/// If the instance cannot start. Invalid settings are printed instead, with exit code
/// [`EXIT_USAGE`].
pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let settings = match Settings::read(args::config_path(matches)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    logging::start(&settings.log, &settings.instance.name)?;
    let store = EtcdStore::new(store_settings(&settings))?;
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).wrap_err("cannot handle signals")?;
    let instance = Instance::start(settings, Arc::new(store))?;
    println!(
        "callers={} admin={} peers={}",
        instance.caller_address(),
        instance.admin_address(),
        instance.peer_address()
    );
    loop {
        thread::sleep(POLL_INTERVAL);
        if signals.pending().next().is_some() {
            instance.close();
            return Ok(ExitCode::SUCCESS);
        }
        if instance.is_superseded() {
            log::error!("event=superseded");
            instance.close();
            return Ok(ExitCode::from(EXIT_SUPERSEDED));
        }
    }
}

/// Applies `timeout_ms` to each phase of a store request: the connection, the first byte and
/// the body.
fn store_settings(settings: &Settings) -> EtcdSettings {
    let addresses = settings
        .platform
        .store
        .iter()
        .map(ToString::to_string)
        .collect();
    let timeout_ms = settings.platform.timeout_ms;
    EtcdSettings {
        connect_timeout_ms: timeout_ms,
        first_byte_timeout_ms: timeout_ms,
        body_timeout_ms: timeout_ms,
        ..EtcdSettings::new(addresses)
    }
}
