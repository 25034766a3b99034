//! The log on disk. One thread writes and syncs; everything that was queued meanwhile goes
//! into the next sync.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc as blocking;
use std::thread;

use jayreel_ledger::{LedgerRecord, decode_frames};
use tokio::sync::mpsc;

/// Names of log files: this, a number, and the ending.
const FILE_PREFIX: &str = "facts-";
const FILE_ENDING: &str = ".log";

/// Why the disk cannot be used.
#[derive(Debug)]
pub struct DiskError {
    path: PathBuf,
    source: io::Error,
}

impl std::fmt::Display for DiskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.source)
    }
}

impl std::error::Error for DiskError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

enum Job {
    Append {
        number: u64,
        is_synced: bool,
        frames: Vec<u8>,
    },
    Replace {
        frames: Vec<u8>,
    },
}

/// The writing end of the log.
#[derive(Debug)]
pub struct Disk {
    jobs: blocking::Sender<Job>,
}

impl Disk {
    /// Reads the log in a folder and starts a new file after it. The receiver tells the
    /// number of each append once it is on disk; it closes if the disk fails.
    ///
    /// # Errors
    ///
    /// If the folder cannot be read or written.
    pub fn open(
        folder: &Path,
    ) -> Result<(Disk, Vec<LedgerRecord>, mpsc::UnboundedReceiver<u64>), DiskError> {
        let at = |path: &Path| {
            let path = path.to_path_buf();
            move |source| DiskError { path, source }
        };
        fs::create_dir_all(folder).map_err(at(folder))?;
        let files = log_files(folder).map_err(at(folder))?;
        let mut facts = Vec::new();
        for (_, path) in &files {
            let bytes = fs::read(path).map_err(at(path))?;
            let (read, whole_bytes) = decode_frames(&bytes);
            if whole_bytes < bytes.len() {
                log::warn!(
                    "event=log_cut path={} whole_bytes={whole_bytes} bytes={}",
                    path.display(),
                    bytes.len()
                );
            }
            facts.extend(read);
        }
        let number = files.last().map_or(1, |(number, _)| number + 1);
        let file = create(folder, number).map_err(at(folder))?;
        let (jobs, queue) = blocking::channel();
        let (synced, receiver) = mpsc::unbounded_channel();
        let folder = folder.to_path_buf();
        let writer = Writer {
            folder,
            number,
            file,
        };
        thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || writer.run(&queue, &synced))
            .map_err(|source| DiskError {
                path: PathBuf::from("thread"),
                source,
            })?;
        Ok((Disk { jobs }, facts, receiver))
    }

    /// Queues frames. Their number, or a later one, is told once they are on disk; that may
    /// take until the next append that is to be synced.
    pub fn append(&self, number: u64, is_synced: bool, frames: Vec<u8>) {
        self.queue(Job::Append {
            number,
            is_synced,
            frames,
        });
    }

    /// Replaces the whole log by these frames.
    pub fn replace(&self, frames: Vec<u8>) {
        self.queue(Job::Replace { frames });
    }

    fn queue(&self, job: Job) {
        if self.jobs.send(job).is_err() {
            log::error!("event=disk_stopped");
        }
    }

    /// Stops writing once what is queued is on disk.
    pub fn close(self) {}
}

struct Writer {
    folder: PathBuf,
    number: u64,
    file: File,
}

impl Writer {
    fn run(
        mut self,
        jobs: &blocking::Receiver<Job>,
        synced: &mpsc::UnboundedSender<u64>,
    ) {
        let mut through = 0;
        while let Ok(first) = jobs.recv() {
            let mut buffer = Vec::new();
            let mut must_sync = false;
            let mut replacement = None;
            for job in std::iter::once(first).chain(jobs.try_iter()) {
                match job {
                    Job::Append {
                        number,
                        is_synced,
                        frames,
                    } => {
                        buffer.extend_from_slice(&frames);
                        through = number;
                        must_sync |= is_synced;
                    }
                    Job::Replace { frames } => {
                        buffer.clear();
                        replacement = Some(frames);
                        must_sync = true;
                    }
                }
            }
            if let Err(error) = self.write(replacement, &buffer, must_sync) {
                log::error!("event=disk_failed reason={error}");
                return;
            }
            if must_sync && synced.send(through).is_err() {
                return;
            }
        }
    }

    fn write(
        &mut self,
        replacement: Option<Vec<u8>>,
        frames: &[u8],
        must_sync: bool,
    ) -> io::Result<()> {
        if let Some(replacement) = replacement {
            self.replace(&replacement)?;
        }
        self.file.write_all(frames)?;
        match must_sync {
            true => self.file.sync_data(),
            false => Ok(()),
        }
    }

    /// Starts a new file with these frames and removes the others once it is on disk.
    fn replace(&mut self, frames: &[u8]) -> io::Result<()> {
        let old = log_files(&self.folder)?;
        self.number += 1;
        self.file = create(&self.folder, self.number)?;
        self.file.write_all(frames)?;
        self.file.sync_all()?;
        for (_, path) in old {
            fs::remove_file(path)?;
        }
        File::open(&self.folder)?.sync_all()
    }
}

fn create(folder: &Path, number: u64) -> io::Result<File> {
    let path = folder.join(format!("{FILE_PREFIX}{number:08}{FILE_ENDING}"));
    let file = File::create(path)?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Log files with their numbers, oldest first.
fn log_files(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name
            .and_then(|name| name.strip_prefix(FILE_PREFIX))
            .and_then(|name| name.strip_suffix(FILE_ENDING))
            .and_then(|number| number.parse().ok());
        if let Some(number) = number {
            files.push((number, path));
        }
    }
    files.sort();
    Ok(files)
}
