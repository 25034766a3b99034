//! Log lines that never hold up the event loop.
//!
//! Lines wait in a bounded queue for a thread that writes them. If whoever reads the output
//! stops reading, lines are lost and counted, and the count is written as soon as there is
//! room again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};

/// Lines that may wait. At 200 bytes each this is half a megabyte.
pub const MAX_QUEUED_LINES: usize = 2_048;

/// Lines are written together after this time, since each write and each wake-up costs.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Lines about answered requests in one second. Refused and failed requests are always
/// written.
const ANSWERS_PER_S: u32 = 50;

/// How many lines about usual events may still be written in this second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    second: u64,
    written: u32,
    left_out: u64,
}

impl LineBudget {
    /// Whether a line may be written. If not, it is counted.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        let may_write = self.written < ANSWERS_PER_S;
        match may_write {
            true => self.written += 1,
            false => self.left_out += 1,
        }
        may_write
    }

    /// Lines left out since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}

/// The writing end of a log.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: Sender<String>,
    lost: Arc<AtomicU64>,
}

impl LogQueue {
    /// A queue whose lines go to `output`.
    ///
    /// # Errors
    ///
    /// If its thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<LogQueue> {
        let (lines, queue) = bounded(MAX_QUEUED_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&lost);
        thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_lines(output, &queue, &counted))?;
        Ok(LogQueue { lines, lost })
    }

    /// Queues a line, which ends with a line feed. Never waits.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Text of one write: `first`, and at most as many of `waiting` as fit into the queue.
///
/// Lines may be queued while the batch is put together, so that `waiting` need not end.
pub fn batch_lines(first: String, waiting: impl Iterator<Item = String>) -> String {
    waiting
        .take(MAX_QUEUED_LINES)
        .fold(first, |text, line| text + &line)
}

fn write_lines(mut output: impl Write, queue: &Receiver<String>, lost: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut text = batch_lines(first, queue.try_iter());
        let count = lost.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("level=warn event=log_lost lines={count}\n"));
        }
        // There is nowhere left to tell that the output is closed.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        thread::sleep(WRITE_PAUSE);
    }
}
