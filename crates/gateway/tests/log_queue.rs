//! The log queue never blocks its callers, and reports how many lines it dropped.

use std::io::{self, Write};
use std::iter;
use std::sync::mpsc::{Receiver, Sender, channel};

use jayreel_gateway::{LineBudget, LogQueue, MAX_QUEUED_LINES, batch_lines};

/// An output whose writes block until the test permits them. Forwards the written text to the
/// test.
struct StalledOutput {
    permit: Receiver<()>,
    written: Sender<String>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permit.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the output stalls while ten times as many lines are logged as the queue holds.
#[test]
fn lines_dropped_by_a_stalled_output_are_counted() {
    let (permit, permits) = channel();
    let (written, output) = channel();
    let queue = LogQueue::start(StalledOutput {
        permit: permits,
        written,
    })
    .expect("a thread can be started");
    let pushed = 10 * MAX_QUEUED_LINES;
    (0..pushed).for_each(|number| queue.push(format!("event=test number={number}\n")));
    let mut lines = 0;
    let mut dropped = 0;
    while lines + dropped < pushed {
        permit.send(()).expect("the queue writes");
        let text = output.recv().expect("the queue writes");
        for line in text.lines() {
            match line.strip_prefix("level=warn event=log_lost lines=") {
                Some(count) => dropped += count.parse::<usize>().expect("a number"),
                None => lines += 1,
            }
        }
    }
    assert_eq!(lines + dropped, pushed);
    assert!(dropped > 0, "the test must fill the queue");
}

/// Lines queued while a batch is assembled go into the next one. Otherwise a steady flow of lines
/// would make the batch grow without bound and delay its write forever.
#[test]
fn batch_size_is_bounded() {
    let endless = iter::repeat_with(|| "event=test\n".to_string());
    let batch = batch_lines("event=first\n".to_string(), endless);
    assert_eq!(batch.lines().count(), 1 + MAX_QUEUED_LINES);
}

/// At ten times the usual load the log lines about responses stay within the budget, and
/// the omitted ones are counted.
#[test]
fn lines_about_responses_are_rate_limited() {
    let mut budget = LineBudget::default();
    let written = (0..6_000)
        .filter(|number| budget.take(10_000 + number))
        .count();
    assert!(written <= 6 * 60, "{written} lines in six seconds");
    assert_eq!(
        budget.take_omitted(),
        6_000 - u64::try_from(written).expect("a count")
    );
    assert_eq!(budget.take_omitted(), 0);
}
