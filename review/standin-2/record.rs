//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
            lines: Mutex::default(),
        })
    }

    pub fn add(&self, line: &str) {
        let elapsed_ms = self.start.elapsed().as_millis();
        let text = format!("{:>8.3} s  {line}\n", elapsed_ms as f64 / 1_000.0);
        // A record that cannot be written shows in the file's end.
        let _ = self.file.lock().expect("no panic").write_all(text.as_bytes());
        self.lines.lock().expect("no panic").push(line.to_string());
    }

    /// Lines that begin so.
    pub fn lines(&self, start: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic");
        let found = lines.iter().filter(|line| line.starts_with(start));
        found.cloned().collect()
    }
}
