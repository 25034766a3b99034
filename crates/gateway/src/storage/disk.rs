//! The log on disk. A thread of its own writes and syncs; appends that arrive during a sync
//! share the next one (group commit).

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc as blocking;
use std::thread;

use jayreel_ledger::{LedgerRecord, decode_frames};
use tokio::sync::mpsc;

/// Log files are named `facts-NUMBER.log`. They are read in the order of their numbers.
const FILE_PREFIX: &str = "facts-";
const FILE_SUFFIX: &str = ".log";

/// The log could not be read, created or written.
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

/// A write that is queued for the disk thread.
enum WriteJob {
    Append {
        number: u64,
        must_sync: bool,
        frames: Vec<u8>,
    },
    Replace {
        frames: Vec<u8>,
    },
}

/// Handle to the thread that writes the log.
#[derive(Debug)]
pub struct Disk {
    jobs: blocking::Sender<WriteJob>,
}

impl Disk {
    /// Reads the log in a folder and starts a new file after it. After each sync the receiver
    /// gets the number of the last append on disk; it closes if the disk fails.
    ///
    /// # Errors
    ///
    /// If the folder cannot be read or written, or the thread cannot be started.
    pub fn open(
        folder: &Path,
    ) -> Result<(Disk, Vec<LedgerRecord>, mpsc::UnboundedReceiver<u64>), DiskError> {
        let error_at = |path: &Path| {
            let path = path.to_path_buf();
            move |source| DiskError { path, source }
        };
        fs::create_dir_all(folder).map_err(error_at(folder))?;
        let files = log_files(folder).map_err(error_at(folder))?;
        let mut records = Vec::new();
        for (_, path) in &files {
            let bytes = fs::read(path).map_err(error_at(path))?;
            let (decoded, intact_bytes) = decode_frames(&bytes);
            if intact_bytes < bytes.len() {
                log::warn!(
                    "event=log_cut path={} whole_bytes={intact_bytes} bytes={}",
                    path.display(),
                    bytes.len()
                );
            }
            records.extend(decoded);
        }
        let file_number = files.last().map_or(1, |(number, _)| number + 1);
        let file = create_log_file(folder, file_number).map_err(error_at(folder))?;
        let (jobs, queue) = blocking::channel();
        let (synced, receiver) = mpsc::unbounded_channel();
        let folder = folder.to_path_buf();
        let writer = Writer {
            folder,
            file_number,
            file,
        };
        thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || writer.run(&queue, &synced))
            .map_err(|source| DiskError {
                path: PathBuf::from("thread"),
                source,
            })?;
        Ok((Disk { jobs }, records, receiver))
    }

    /// Queues frames. Once they are on disk, the receiver gets their number or a later one.
    /// Without `must_sync` that happens only with the next append that has it.
    pub fn append(&self, number: u64, must_sync: bool, frames: Vec<u8>) {
        self.queue(WriteJob::Append {
            number,
            must_sync,
            frames,
        });
    }

    /// Replaces the whole log, including appends that were queued before, by these frames.
    pub fn replace(&self, frames: Vec<u8>) {
        self.queue(WriteJob::Replace { frames });
    }

    fn queue(&self, job: WriteJob) {
        if self.jobs.send(job).is_err() {
            log::error!("event=disk_stopped");
        }
    }

    /// Closes the queue. The thread ends once it has written what is queued.
    pub fn close(self) {}
}

/// State of the disk thread.
struct Writer {
    folder: PathBuf,
    /// Number in the name of `file`.
    file_number: u64,
    /// The log file that is written.
    file: File,
}

impl Writer {
    fn run(
        mut self,
        jobs: &blocking::Receiver<WriteJob>,
        synced: &mpsc::UnboundedSender<u64>,
    ) {
        let mut last_append = 0;
        while let Ok(first) = jobs.recv() {
            let mut buffer = Vec::new();
            let mut is_sync_needed = false;
            let mut replacement = None;
            for job in std::iter::once(first).chain(jobs.try_iter()) {
                match job {
                    WriteJob::Append {
                        number,
                        must_sync,
                        frames,
                    } => {
                        buffer.extend_from_slice(&frames);
                        last_append = number;
                        is_sync_needed |= must_sync;
                    }
                    WriteJob::Replace { frames } => {
                        buffer.clear();
                        replacement = Some(frames);
                        is_sync_needed = true;
                    }
                }
            }
            if let Err(error) = self.write(replacement, &buffer, is_sync_needed) {
                log::error!("event=disk_failed reason={error}");
                return;
            }
            if is_sync_needed && synced.send(last_append).is_err() {
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

    /// Writes the frames to a new file, and removes the older files once it is on disk.
    fn replace(&mut self, frames: &[u8]) -> io::Result<()> {
        let old_files = log_files(&self.folder)?;
        self.file_number += 1;
        self.file = create_log_file(&self.folder, self.file_number)?;
        self.file.write_all(frames)?;
        self.file.sync_all()?;
        for (_, path) in old_files {
            fs::remove_file(path)?;
        }
        File::open(&self.folder)?.sync_all()
    }
}

/// Creates a log file, and syncs the folder so that a power failure does not lose the file's
/// name.
fn create_log_file(folder: &Path, number: u64) -> io::Result<File> {
    let path = folder.join(format!("{FILE_PREFIX}{number:08}{FILE_SUFFIX}"));
    let file = File::create(path)?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Lists the log files and their numbers, oldest first. Ignores all other files.
fn log_files(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name
            .and_then(|name| name.strip_prefix(FILE_PREFIX))
            .and_then(|name| name.strip_suffix(FILE_SUFFIX))
            .and_then(|number| number.parse().ok());
        if let Some(number) = number {
            files.push((number, path));
        }
    }
    files.sort();
    Ok(files)
}
