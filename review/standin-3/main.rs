//! Stand-ins and scenarios of the third review. Usage: `standin-3 SCENARIO BINARY RECORD`. Set
//! `TROUBLE=0` to leave the disruption out. `standin-3 worker ADDRESS ID` runs one worker.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the scenario could not run.

mod fleet;
mod http;
mod json;
mod overlapping_retirements;
mod retired_disk;
mod retiring_lost;
mod store;
mod suspected_family;
mod worker;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;

/// Writes what was sent, answered and run to a file, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    fn create(path: &Path) -> Record {
        Record {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let time_s = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread has panicked");
        let _ = writeln!(file, "{time_s:8.3} s  {text}");
    }
}

/// Result of a scenario.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(String),
}

/// What a scenario needs.
pub struct Setup {
    pub binary: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is brought about.
    pub has_trouble: bool,
    /// Whether only the later part of the disruption is brought about.
    pub has_control: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, mode, address, id] = arguments.as_slice()
        && mode == "worker"
    {
        worker::run_process(address, id);
    }
    let [_, scenario, binary, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 SCENARIO BINARY RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
    let setup = Setup {
        binary: PathBuf::from(binary),
        folder: folder.clone(),
        record: Record::create(Path::new(record)),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        has_control: std::env::var("CONTROL").as_deref() == Ok("1"),
    };
    let verdict = match scenario.as_str() {
        "overlapping-retirements" => overlapping_retirements::run(&setup),
        "retiring-lost" => retiring_lost::run(&setup),
        "retired-disk" => retired_disk::run(&setup),
        "suspected-family" => suspected_family::run(&setup),
        _ => Verdict::CouldNotRun("unknown scenario".to_string()),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match verdict {
        Verdict::Broken => {
            setup.record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            setup.record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::CouldNotRun(reason) => {
            setup.record.line(&format!("verdict: could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
