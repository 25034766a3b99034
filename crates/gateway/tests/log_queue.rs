//! Logs hold nobody up, and say what they lost.

use std::io::{self, Write};
use std::iter;
use std::sync::mpsc::{Receiver, Sender, channel};

use jayreel_gateway::{LineBudget, LogQueue, MAX_QUEUED_LINES, batch_lines};

/// An output that is stuck until it is told to go on, and hands on what is written.
struct Stuck {
    go_on: Receiver<()>,
    written: Sender<String>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.go_on.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the output stops reading, while ten times as many lines come as fit.
#[test]
fn stuck_output_loses_lines_and_counts_them() {
    let (go_on, stuck) = channel();
    let (written, output) = channel();
    let queue = LogQueue::start(Stuck {
        go_on: stuck,
        written,
    })
    .expect("a thread can be started");
    let pushed = 10 * MAX_QUEUED_LINES;
    (0..pushed).for_each(|number| queue.push(format!("event=test number={number}\n")));
    let mut lines = 0;
    let mut lost = 0;
    while lines + lost < pushed {
        go_on.send(()).expect("the queue writes");
        let text = output.recv().expect("the queue writes");
        for line in text.lines() {
            match line.strip_prefix("level=warn event=log_lost lines=") {
                Some(count) => lost += count.parse::<usize>().expect("a number"),
                None => lines += 1,
            }
        }
    }
    assert_eq!(lines + lost, pushed);
    assert!(lost > 0, "the test must fill the queue");
}

/// Lines that come while a batch is put together wait for the next one, even if they never end:
/// the memory for a write is bounded, and so is the time until it begins.
#[test]
fn batch_is_bounded() {
    let endless = iter::repeat_with(|| "event=test\n".to_string());
    let batch = batch_lines("event=first\n".to_string(), endless);
    assert_eq!(batch.lines().count(), 1 + MAX_QUEUED_LINES);
}

/// Ten times the usual load: lines about answers stay within the budget, and the rest is
/// counted.
#[test]
fn lines_about_answers_are_bounded() {
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
