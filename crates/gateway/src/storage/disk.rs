//! The log on disk. A thread of its own writes, reads and syncs; appends that arrive during a
//! sync share the next one (group commit).

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc as blocking;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use jayreel_ledger::{FrameLocation, TurnRecord, decode_turn};
use tokio::sync::{mpsc, oneshot};

use super::recovery::{RecoveredLog, create_segment, recover, segment_path};

/// Frames that are written at once, in bytes. Further jobs wait for the next write.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Number of sealed segments that stay open for reads.
const MAX_OPEN_FILES: usize = 16;

/// Pause before another attempt to write to a full disk.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(200);

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

/// Receives the turns of a read, `None` for each that is damaged or missing.
type TurnsSender = oneshot::Sender<Vec<Option<TurnRecord>>>;

/// A task that is queued for the disk thread.
enum DiskJob {
    Append {
        number: u64,
        segment: u32,
        must_sync: bool,
        frames: Vec<u8>,
    },
    Read {
        locations: Vec<FrameLocation>,
        reply: TurnsSender,
    },
    DropSegment(u32),
}

/// Handle to the thread that writes and reads the log.
#[derive(Debug)]
pub struct Disk {
    jobs: blocking::Sender<DiskJob>,
}

impl Disk {
    /// Reads the index of the log in a folder, whose retention times start at `now_ms`. Segments
    /// are sealed at `segment_bytes`. After each sync the receiver gets the number of the last
    /// append on disk; it closes if the disk fails.
    ///
    /// # Errors
    ///
    /// If the folder cannot be read or written, or the thread cannot be started.
    pub fn open(
        folder: &Path,
        now_ms: u64,
        segment_bytes: u64,
    ) -> Result<(Disk, RecoveredLog, mpsc::UnboundedReceiver<u64>), DiskError> {
        let error_at = |path: &Path| {
            let path = path.to_path_buf();
            move |source| DiskError { path, source }
        };
        fs::create_dir_all(folder).map_err(error_at(folder))?;
        let log = recover(folder, now_ms, segment_bytes).map_err(error_at(folder))?;
        let (jobs, queue) = blocking::channel();
        let (synced, receiver) = mpsc::unbounded_channel();
        let worker = DiskWorker {
            folder: folder.to_path_buf(),
            newest: None,
            sealed: BTreeMap::new(),
            is_full: false,
        };
        thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || worker.run(&queue, &synced))
            .map_err(|source| DiskError {
                path: PathBuf::from("thread"),
                source,
            })?;
        Ok((Disk { jobs }, log, receiver))
    }

    /// Queues frames for the end of a segment. Once they are on disk, the receiver gets their
    /// number or a later one. Without `must_sync` that happens only with the next append that
    /// has it.
    pub fn append(&self, number: u64, segment: u32, must_sync: bool, frames: Vec<u8>) {
        self.queue(DiskJob::Append {
            number,
            segment,
            must_sync,
            frames,
        });
    }

    /// Reads turns, after all appends that were queued before. A turn whose frame is damaged or
    /// missing is `None`.
    ///
    /// # Errors
    ///
    /// If the disk has failed.
    pub async fn read(
        &self,
        locations: Vec<FrameLocation>,
    ) -> Result<Vec<Option<TurnRecord>>, oneshot::error::RecvError> {
        let (reply, receiver) = oneshot::channel();
        self.queue(DiskJob::Read { locations, reply });
        receiver.await
    }

    /// Removes a segment, once all appends that were queued before are on disk.
    pub fn drop_segment(&self, segment: u32) {
        self.queue(DiskJob::DropSegment(segment));
    }

    fn queue(&self, job: DiskJob) {
        if self.jobs.send(job).is_err() {
            log::error!("event=disk_stopped");
        }
    }

    /// Closes the queue. The thread ends once it has written what is queued.
    pub fn close(self) {}
}

/// The segment that is written.
struct NewestSegment {
    number: u32,
    file: File,
    /// Length of the file, in bytes.
    length_bytes: u64,
}

/// What a batch of jobs asks for beside its appends.
#[derive(Default)]
struct Batch {
    reads: Vec<(Vec<FrameLocation>, TurnsSender)>,
    dropped: Vec<u32>,
    /// Number of the last append, if there is one.
    last_append: Option<u64>,
    must_sync: bool,
}

/// State of the disk thread.
struct DiskWorker {
    folder: PathBuf,
    /// `None` before the first append.
    newest: Option<NewestSegment>,
    /// Open files of sealed segments, for reads.
    sealed: BTreeMap<u32, File>,
    /// Whether the last write found the disk full.
    is_full: bool,
}

impl DiskWorker {
    fn run(
        mut self,
        jobs: &blocking::Receiver<DiskJob>,
        synced: &mpsc::UnboundedSender<u64>,
    ) {
        let mut last_append = 0;
        while let Ok(first) = jobs.recv() {
            let batch = match self.write_batch(first, jobs) {
                Ok(batch) => batch,
                Err(error) => {
                    log::error!("event=disk_failed reason={error}");
                    return;
                }
            };
            last_append = batch.last_append.unwrap_or(last_append);
            for (locations, reply) in batch.reads {
                // The instance no longer waits if the connection that asked has closed.
                let _ = reply.send(self.read_turns(&locations));
            }
            if (batch.must_sync || !batch.dropped.is_empty())
                && let Err(error) = self.sync()
            {
                log::error!("event=disk_failed reason={error}");
                return;
            }
            if batch.must_sync && synced.send(last_append).is_err() {
                return;
            }
            batch
                .dropped
                .into_iter()
                .for_each(|segment| self.remove(segment));
        }
    }

    /// Writes the appends of the jobs that are queued, up to a limit. The buffer ends with the
    /// batch, so that one large append does not keep its memory.
    fn write_batch(
        &mut self,
        first: DiskJob,
        jobs: &blocking::Receiver<DiskJob>,
    ) -> io::Result<Batch> {
        let mut batch = Batch::default();
        let mut buffer = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            match job {
                DiskJob::Append {
                    number,
                    segment,
                    must_sync,
                    frames,
                } => {
                    self.select_segment(segment, &mut buffer)?;
                    match buffer.is_empty() {
                        true => buffer = frames,
                        false => buffer.extend_from_slice(&frames),
                    }
                    batch.last_append = Some(number);
                    batch.must_sync |= must_sync;
                }
                DiskJob::Read { locations, reply } => {
                    batch.reads.push((locations, reply))
                }
                DiskJob::DropSegment(segment) => batch.dropped.push(segment),
            }
            next = match buffer.len() < MAX_BATCH_BYTES {
                true => jobs.try_recv().ok(),
                false => None,
            };
        }
        self.write(&buffer)?;
        Ok(batch)
    }

    /// Makes `segment` the one that is written. Syncs the one before, because only the newest
    /// segment may end in a torn frame.
    fn select_segment(&mut self, segment: u32, buffer: &mut Vec<u8>) -> io::Result<()> {
        if self
            .newest
            .as_ref()
            .is_some_and(|newest| newest.number == segment)
        {
            return Ok(());
        }
        if self.newest.is_some() {
            self.write(buffer)?;
            buffer.clear();
            self.sync()?;
        }
        let path = segment_path(&self.folder, segment);
        let file = loop {
            let opened = match path.exists() {
                true => OpenOptions::new().read(true).append(true).open(&path),
                false => create_segment(&self.folder, segment)
                    .and_then(|_| OpenOptions::new().read(true).append(true).open(&path)),
            };
            match opened {
                Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                    self.wait_for_space();
                }
                other => break other?,
            }
        };
        let length_bytes = file.metadata()?.len();
        self.sealed.remove(&segment);
        self.newest = Some(NewestSegment {
            number: segment,
            file,
            length_bytes,
        });
        Ok(())
    }

    /// Writes frames to the newest segment. On a full disk it waits until there is space: what
    /// was confirmed is on disk, and nothing more is confirmed until then.
    fn write(&mut self, frames: &[u8]) -> io::Result<()> {
        loop {
            let Some(newest) = &mut self.newest else {
                return Ok(());
            };
            match newest.file.write_all(frames) {
                Ok(()) => {
                    newest.length_bytes += frames.len() as u64;
                    if std::mem::take(&mut self.is_full) {
                        log::warn!("event=disk_has_space");
                    }
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::StorageFull => {
                    newest.file.set_len(newest.length_bytes)?;
                    self.wait_for_space();
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn wait_for_space(&mut self) {
        if !std::mem::replace(&mut self.is_full, true) {
            log::error!("event=disk_full");
        }
        thread::sleep(FULL_DISK_PAUSE);
    }

    fn sync(&mut self) -> io::Result<()> {
        match &self.newest {
            Some(newest) => newest.file.sync_data(),
            None => Ok(()),
        }
    }

    fn read_turns(&mut self, locations: &[FrameLocation]) -> Vec<Option<TurnRecord>> {
        let turns = locations
            .iter()
            .map(|location| match self.read_turn(location) {
                Ok(Some(turn)) => Some(turn),
                Ok(None) => {
                    log::error!(
                        "event=turn_damaged segment={} offset={}",
                        location.segment,
                        location.offset
                    );
                    None
                }
                Err(error) => {
                    log::error!(
                        "event=turn_unreadable segment={} offset={} reason={error}",
                        location.segment,
                        location.offset
                    );
                    None
                }
            });
        turns.collect()
    }

    /// Reads one turn. `None` if its frame is damaged.
    fn read_turn(&mut self, location: &FrameLocation) -> io::Result<Option<TurnRecord>> {
        let file = match &mut self.newest {
            Some(newest) if newest.number == location.segment => &mut newest.file,
            _ => self.sealed_file(location.segment)?,
        };
        let mut frame = vec![0; location.frame_bytes as usize];
        file.seek(SeekFrom::Start(u64::from(location.offset)))?;
        file.read_exact(&mut frame)?;
        Ok(decode_turn(Bytes::from(frame)))
    }

    fn sealed_file(&mut self, segment: u32) -> io::Result<&mut File> {
        if !self.sealed.contains_key(&segment) {
            if self.sealed.len() >= MAX_OPEN_FILES {
                self.sealed.pop_first();
            }
            let file = File::open(segment_path(&self.folder, segment))?;
            self.sealed.insert(segment, file);
        }
        let file = self.sealed.get_mut(&segment);
        file.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    /// Removes a segment. If that fails, the file only takes space until the next start.
    fn remove(&mut self, segment: u32) {
        self.sealed.remove(&segment);
        let path = segment_path(&self.folder, segment);
        if let Err(error) = fs::remove_file(&path) {
            log::warn!("event=segment_kept path={} reason={error}", path.display());
        }
    }
}
