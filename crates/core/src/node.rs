//! `jayreel edge` and `jayreel storage`: run one instance on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use eyre::WrapErr;
use jayreel_gateway::{edge, storage};
use jayreel_platform::{PlatformProtocol, PlatformStore};
use jayreel_settings::EdgeOptions;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::{EXIT_USAGE, logging};

/// The role of an instance on the users' platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    /// Serves the requests of callers.
    Edge,
    /// Stores data on its disk.
    Storage,
}

/// Runs an instance until SIGTERM or SIGINT. `advertised` is the address that other instances
/// connect to; without it, they use the listening address. `options` is the path of the options file
/// of an entry instance.
///
/// # Errors
///
/// If the instance cannot start or fails. Invalid settings are printed instead, with exit code
/// [`EXIT_USAGE`].
pub(crate) fn run(
    role: Role,
    advertised: Option<SocketAddr>,
    options: Option<&Path>,
) -> eyre::Result<ExitCode> {
    let options = match options.map(EdgeOptions::read).transpose() {
        Ok(options) => options.unwrap_or_default(),
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let mut settings = match jayreel_platform::read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    settings.hedging = options.hedging;
    settings.max_queueing_turns = options.max_queueing_turns;
    settings.advertised = advertised.unwrap_or(settings.advertised);
    logging::start_nonblocking(log::LevelFilter::Info, &settings.name)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the event loop")?;
    let store = Box::new(PlatformStore::new(settings.store));
    let instance = async move {
        match role {
            Role::Edge => edge::run(settings, store, Box::new(PlatformProtocol)).await,
            Role::Storage => storage::run(settings, store).await,
        }
    };
    LocalSet::new().block_on(&runtime, instance)?;
    Ok(ExitCode::SUCCESS)
}
