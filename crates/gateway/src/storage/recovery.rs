//! Reads the log on disk at the start of an instance.
//!
//! Memory use does not depend on the size of the log: heads are read into the index and bodies
//! are skipped, except in the newest segment. All others were synced before the next one was
//! begun, so only the newest one can end in a torn frame, and its bodies are checked.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

use jayreel_ledger::{
    FRAME_HEADER_BYTES, FrameHeader, FrameLocation, LedgerState, LogEntry, encode_frame,
    read_legacy_record,
};

/// Segments are named `segment-NUMBER.log`.
const SEGMENT_PREFIX: &str = "segment-";

/// Files of the first format are named `facts-NUMBER.log`.
const LEGACY_PREFIX: &str = "facts-";

const FILE_SUFFIX: &str = ".log";

/// Size of the buffer through which a log file is read, in bytes. Large enough for the heads of
/// several small records, and small beside a body that is skipped.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Size of the buffer through which a log of the first format is rewritten, in bytes.
const WRITE_BUFFER_BYTES: usize = 256 << 10;

/// What was read from a log.
#[derive(Debug, Default)]
pub struct RecoveredLog {
    pub(super) state: LedgerState,
    /// Length of each segment, in bytes.
    pub(super) written_bytes: BTreeMap<u32, u64>,
    /// Number of records read.
    pub(super) records: u64,
    /// A sealed segment was damaged, so that records which were on disk are missing.
    pub(super) is_damaged: bool,
}

impl RecoveredLog {
    /// Adds an entry whose retention time starts at `now_ms`. The entries of a segment are added
    /// in the order of their positions.
    pub fn add(&mut self, now_ms: u64, entry: LogEntry, location: FrameLocation) {
        self.records += 1;
        let end = u64::from(location.offset) + u64::from(location.frame_bytes);
        self.written_bytes.insert(location.segment, end);
        self.state.recover(now_ms, entry, location);
    }

    /// Number of records read.
    pub fn records(&self) -> u64 {
        self.records
    }

    /// Whether records that were on disk are missing, because a sealed segment was damaged.
    pub fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}

/// Path of a segment file.
pub(super) fn segment_path(folder: &Path, segment: u32) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{segment:08}{FILE_SUFFIX}"))
}

/// Reads the log in a folder. Cuts off the torn end of the newest segment. Rewrites a log of the
/// first format into segments of `segment_bytes`.
///
/// # Errors
///
/// If a file cannot be read, or cannot be changed where that is necessary.
pub(super) fn recover(
    folder: &Path,
    now_ms: u64,
    segment_bytes: u64,
) -> io::Result<RecoveredLog> {
    let mut log = RecoveredLog::default();
    let segments = numbered_files(folder, SEGMENT_PREFIX)?;
    let newest = segments.last().map(|(segment, _)| *segment);
    for (segment, path) in &segments {
        let is_newest = Some(*segment) == newest;
        log.written_bytes.insert(*segment, 0);
        let length_bytes = fs::metadata(path)?.len();
        let intact_bytes = read_segment(&mut log, path, *segment, now_ms, is_newest)?;
        log.written_bytes.insert(*segment, intact_bytes);
        if intact_bytes == length_bytes {
            continue;
        }
        log::warn!(
            "event=log_cut path={} intact_bytes={intact_bytes} bytes={length_bytes} \
             sealed={}",
            path.display(),
            !is_newest
        );
        match is_newest {
            true => {
                let file = OpenOptions::new().write(true).open(path)?;
                file.set_len(intact_bytes)?;
                file.sync_all()?;
            }
            false => log.is_damaged = true,
        }
    }
    let legacy = numbered_files(folder, LEGACY_PREFIX)?;
    if !legacy.is_empty() {
        take_over_legacy(&mut log, folder, &legacy, now_ms, segment_bytes)?;
    }
    Ok(log)
}

/// Reads the frames of a segment into `log`, up to the first damaged one. Returns the length of
/// the intact ones, in bytes.
fn read_segment(
    log: &mut RecoveredLog,
    path: &Path,
    segment: u32,
    now_ms: u64,
    check_bodies: bool,
) -> io::Result<u64> {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, File::open(path)?);
    let length_bytes = fs::metadata(path)?.len();
    let mut offset = 0;
    loop {
        let mut header = [0; FRAME_HEADER_BYTES];
        if !read_whole(&mut reader, &mut header)? {
            return Ok(offset);
        }
        let Some(header) = FrameHeader::decode(&header) else {
            return Ok(offset);
        };
        let end = offset + u64::from(header.frame_bytes());
        if end > length_bytes {
            return Ok(offset);
        }
        let mut head = vec![0; header.head_bytes as usize];
        let entry = match read_whole(&mut reader, &mut head)? {
            true => header.decode_head(&head),
            false => None,
        };
        let is_body_intact = match check_bodies {
            true => is_body_intact(&mut reader, &header)?,
            false => {
                reader.seek_relative(i64::from(header.body_bytes))?;
                true
            }
        };
        let (Some(entry), true, Ok(start)) =
            (entry, is_body_intact, u32::try_from(offset))
        else {
            return Ok(offset);
        };
        let location = FrameLocation {
            segment,
            offset: start,
            frame_bytes: header.frame_bytes(),
        };
        log.add(now_ms, entry, location);
        offset = end;
    }
}

/// Reads a body in pieces and compares its checksum.
fn is_body_intact(reader: &mut impl Read, header: &FrameHeader) -> io::Result<bool> {
    let mut left = header.body_bytes as usize;
    let mut checksum = header.body_checksum();
    let mut piece = [0; READ_BUFFER_BYTES];
    while left > 0 {
        let part = &mut piece[..left.min(READ_BUFFER_BYTES)];
        if !read_whole(reader, part)? {
            return Ok(false);
        }
        checksum.update(part);
        left -= part.len();
    }
    Ok(checksum.is_match())
}

/// Fills the buffer. Returns false if the file ends before.
fn read_whole(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// Rewrites a log of the first format, one record at a time, and removes its files once the
/// segments are on disk. If the process ends before, the next start does it again.
fn take_over_legacy(
    log: &mut RecoveredLog,
    folder: &Path,
    files: &[(u32, PathBuf)],
    now_ms: u64,
    segment_bytes: u64,
) -> io::Result<()> {
    let mut segment = log.written_bytes.keys().last().map_or(1, |last| last + 1);
    let mut writer = create_buffered(folder, segment)?;
    let mut offset: u32 = 0;
    let mut frame = Vec::new();
    for (_, path) in files {
        let mut reader = BufReader::with_capacity(WRITE_BUFFER_BYTES, File::open(path)?);
        while let Some(record) = read_legacy_record(&mut reader)? {
            if u64::from(offset) >= segment_bytes {
                finish(writer)?;
                segment += 1;
                offset = 0;
                writer = create_buffered(folder, segment)?;
            }
            frame.clear();
            encode_frame(&record, &mut frame).map_err(io::Error::other)?;
            writer.write_all(&frame)?;
            let frame_bytes = u32::try_from(frame.len()).map_err(io::Error::other)?;
            let location = FrameLocation {
                segment,
                offset,
                frame_bytes,
            };
            log.add(now_ms, LogEntry::of(&record), location);
            offset += frame_bytes;
        }
        log::info!("event=log_converted path={}", path.display());
    }
    finish(writer)?;
    for (_, path) in files {
        fs::remove_file(path)?;
    }
    File::open(folder)?.sync_all()
}

fn create_buffered(folder: &Path, segment: u32) -> io::Result<BufWriter<File>> {
    let file = create_segment(folder, segment)?;
    Ok(BufWriter::with_capacity(WRITE_BUFFER_BYTES, file))
}

fn finish(writer: BufWriter<File>) -> io::Result<()> {
    let file = writer.into_inner().map_err(|error| error.into_error())?;
    file.sync_all()
}

/// Creates a segment file, and syncs the folder so that a power failure does not lose the file's
/// name.
pub(super) fn create_segment(folder: &Path, segment: u32) -> io::Result<File> {
    let file = File::create(segment_path(folder, segment))?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Lists the files `PREFIXNUMBER.log` in the order of their numbers. Ignores all other files.
fn numbered_files(folder: &Path, prefix: &str) -> io::Result<Vec<(u32, PathBuf)>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name
            .and_then(|name| name.strip_prefix(prefix))
            .and_then(|name| name.strip_suffix(FILE_SUFFIX))
            .and_then(|number| number.parse().ok());
        files.extend(number.map(|number| (number, path)));
    }
    files.sort();
    Ok(files)
}
