//! Logs: one line of key=value pairs for each event.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use eyre::WrapErr;
use jayreel_settings::LogSettings;

/// Sends all log lines to the file or to standard error.
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
    // Libraries are heard only when something is wrong: their lower levels are not in
    // key=value form.
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

/// Lines that may wait to be written. A reader that stops reading costs lines, not time.
const MOST_WAITING_LINES: usize = 2_048;

/// Lines are written together after this time, since each write and each wake-up costs.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Sends all log lines to standard output without ever waiting for it. Lines that do not
/// fit are counted, and the count is written as a line of its own.
///
/// # Errors
///
/// If logging is already set up, or its thread cannot be started.
pub(crate) fn start_unblocking(
    level: log::LevelFilter,
    instance: &str,
) -> eyre::Result<()> {
    let (lines, queue) = crossbeam::channel::bounded::<String>(MOST_WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    let instance = instance.to_string();
    thread::Builder::new()
        .name("log".to_string())
        .spawn(move || write_lines(&queue, &counted))
        .wrap_err("cannot start the thread that writes logs")?;
    let sink = fern::Output::call(move |record| {
        let line = format!(
            "time_ms={} level={} instance={instance} {}\n",
            unix_ms(),
            record.level().as_str().to_ascii_lowercase(),
            record.args()
        );
        if lines.try_send(line).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    });
    let is_own = |metadata: &log::Metadata<'_>| metadata.target().starts_with("jayreel");
    let dispatch = fern::Dispatch::new()
        .level(level)
        .filter(is_own)
        .chain(sink);
    dispatch.apply().wrap_err("logging is already set up")
}

fn write_lines(queue: &crossbeam::channel::Receiver<String>, dropped: &AtomicU64) {
    let mut stdout = std::io::stdout();
    while let Ok(first) = queue.recv() {
        let mut text = first;
        queue.try_iter().for_each(|line| text.push_str(&line));
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!(
                "time_ms={} event=log_dropped lines={lost}\n",
                unix_ms()
            ));
        }
        // There is nowhere left to tell that standard output is closed.
        let _ = stdout
            .write_all(text.as_bytes())
            .and_then(|()| stdout.flush());
        thread::sleep(WRITE_PAUSE);
    }
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis())
}

/// Text as a value in a log line: quoted if it holds a space, quote or control character.
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
