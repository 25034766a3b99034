//! Sets up logging. Each event is one line of key=value pairs.

use std::fmt;
use std::time::SystemTime;

use eyre::WrapErr;
use jayreel_gateway::LogQueue;
use jayreel_settings::LogSettings;

/// Writes the log to the configured file, or to standard error if none is configured.
///
/// # Errors
///
/// If the file cannot be opened, or logging is already set up.
pub(crate) fn start(settings: &LogSettings, instance: &str) -> eyre::Result<()> {
    let level: log::LevelFilter = settings
        .level
        .parse()
        .wrap_err("the log level is not known")?;
    let instance = instance.to_string();
    // Only warnings and errors of libraries are logged, because their messages at lower
    // levels are not in key=value form.
    let is_own = |metadata: &log::Metadata<'_>| {
        metadata.target().starts_with("jayreel") || metadata.level() <= log::Level::Warn
    };
    let dispatch = fern::Dispatch::new().level(level).filter(is_own).format(
        move |out, message, record| {
            out.finish(format_args!(
                "time_ms={} level={} instance={} target={} {}",
                unix_ms(),
                record.level().as_str().to_ascii_lowercase(),
                instance,
                record.target(),
                message
            ));
        },
    );
    let dispatch = match settings.file.as_str() {
        "" => dispatch.chain(std::io::stderr()),
        file => dispatch.chain(
            fern::log_file(file)
                .wrap_err_with(|| format!("cannot open log file {file}"))?,
        ),
    };
    dispatch.apply().wrap_err("logging is already set up")
}

/// Writes the log to standard output from a separate thread, so that logging never blocks.
///
/// # Errors
///
/// If logging is already set up, or its thread cannot be started.
pub(crate) fn start_nonblocking(
    level: log::LevelFilter,
    instance: &str,
) -> eyre::Result<()> {
    let queue = LogQueue::start(std::io::stdout())
        .wrap_err("cannot start the thread that writes logs")?;
    let instance = instance.to_string();
    let sink = fern::Output::call(move |record| {
        queue.push(format!(
            "time_ms={} level={} instance={instance} {}\n",
            unix_ms(),
            record.level().as_str().to_ascii_lowercase(),
            record.args()
        ));
    });
    let is_own = |metadata: &log::Metadata<'_>| metadata.target().starts_with("jayreel");
    let dispatch = fern::Dispatch::new()
        .level(level)
        .filter(is_own)
        .chain(sink);
    dispatch.apply().wrap_err("logging is already set up")
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis())
}

/// Displays a string as a value of a key=value pair. It is quoted if it is empty or contains
/// white space, a control character, `"` or `=`.
pub(crate) struct Value<'a>(pub(crate) &'a str);

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain =
            |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        match !self.0.is_empty() && self.0.chars().all(plain) {
            true => f.write_str(self.0),
            false => write!(f, "{:?}", self.0),
        }
    }
}
