//! Log output that never blocks the event loop.
//!
//! Lines go through a bounded queue to a thread that writes them. If the reader of the output
//! stalls, further lines are dropped and counted, and the count is logged with the next write.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};

/// Capacity of the queue, in lines. At 200 bytes a line this is about 0.4 MB.
pub const MAX_QUEUED_LINES: usize = 2_048;

/// Pause after each write, in which lines are collected for the next one. Each write and each
/// wake-up costs CPU time.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Maximum log lines per second about requests that an endpoint responded to. Refused and failed
/// requests are always logged.
const MAX_RESPONSE_LINES_PER_S: u32 = 50;

/// Rate limit for log lines about responses of endpoints, counted by the second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    second: u64,
    written: u32,
    omitted: u64,
}

impl LineBudget {
    /// Whether another line may be written in this second. If not, it counts as omitted.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        let may_write = self.written < MAX_RESPONSE_LINES_PER_S;
        match may_write {
            true => self.written += 1,
            false => self.omitted += 1,
        }
        may_write
    }

    /// Number of lines omitted since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}

/// Handle to a log queue. Clones share the queue.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<LogQueue> {
        let (lines, queue) = bounded(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_lines(output, &queue, &thread_dropped))?;
        Ok(LogQueue { lines, dropped })
    }

    /// Queues a line, which must end with a line feed. Drops it if the queue is full; never
    /// blocks.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Joins `first` and at most [`MAX_QUEUED_LINES`] lines of `queued` to the text of one write.
///
/// More lines may be queued during the call, so `queued` may be endless.
pub fn batch_lines(first: String, queued: impl Iterator<Item = String>) -> String {
    queued
        .take(MAX_QUEUED_LINES)
        .fold(first, |text, line| text + &line)
}

/// Body of the log thread. Ends when the last handle to the queue is dropped.
fn write_lines(mut output: impl Write, queue: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut text = batch_lines(first, queue.try_iter());
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("level=warn event=log_lost lines={count}\n"));
        }
        // An error means that the output is closed. There is no other place to report it.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        thread::sleep(WRITE_PAUSE);
    }
}
