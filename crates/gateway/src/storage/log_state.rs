//! Accounting of the log on disk by the reducer: where the next frame goes, how much space is
//! left, and which segment to clean next.
//!
//! The log is divided into segments. Frames are appended to the newest one; the others are
//! sealed. A sealed segment is removed once nothing in it is needed, and rewritten into the
//! newest one if that frees space that is needed.

use std::collections::{BTreeMap, VecDeque};

use crate::limit_gate::LimitGate;

/// The log may fill this share of the disk; the rest is for the metadata of the files.
const USABLE_SHARE: (u64, u64) = (15, 16);

/// Number of segments into which the disk is divided, within the limits below.
const SEGMENTS_PER_DISK: u64 = 64;

/// Smallest and largest size of a segment, in bytes.
const SEGMENT_BYTES: (u64, u64) = (256 << 10, 8 << 20);

/// Space kept free for moving frames while a segment is cleaned, in segments.
const CLEANING_SEGMENTS: u64 = 2;

/// Space kept free for turns that run already, in segments, when no more may start.
const RUNNING_SEGMENTS: u64 = 2;

/// A sealed segment is cleaned at any time if at most this fraction of it is needed.
const CHEAP_DIVISOR: u64 = 16;

/// Shares of the memory limit, as divisors: turns in the cache, frames that are not on disk
/// yet, turns that are being read, and replies that are not sent yet. They leave more than
/// half of the memory for connections, the index and the process itself.
const CACHE_DIVISOR: usize = 10;
const QUEUE_DIVISOR: usize = 12;
const READ_DIVISOR: usize = 16;
const REPLY_DIVISOR: usize = 12;

/// Space on disk and in memory that the records of a storage instance may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StorageLimits {
    /// Disk space for all segments, in bytes.
    pub disk_bytes: u64,
    /// Size at which a segment is sealed, in bytes.
    pub segment_bytes: u64,
    /// Turns in the cache, in bytes.
    pub cache_bytes: usize,
    /// Frames that are not on disk yet, in bytes.
    pub queue_bytes: usize,
    /// Turns that are being read from the disk, in bytes.
    pub read_bytes: usize,
    /// Replies that are not sent yet, in bytes.
    pub reply_bytes: usize,
}

impl StorageLimits {
    /// Derives the limits from the disk space and the memory of the process, in megabytes.
    pub fn new(disk_mb: u64, memory_mb: u64) -> StorageLimits {
        let disk_bytes = disk_mb.saturating_mul(1_000_000);
        let memory_bytes = memory_mb.saturating_mul(1_000_000);
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        let (part, whole) = USABLE_SHARE;
        let (smallest, largest) = SEGMENT_BYTES;
        StorageLimits {
            disk_bytes: disk_bytes / whole * part,
            segment_bytes: (disk_bytes / SEGMENTS_PER_DISK).clamp(smallest, largest),
            cache_bytes: memory_bytes / CACHE_DIVISOR,
            queue_bytes: memory_bytes / QUEUE_DIVISOR,
            read_bytes: memory_bytes / READ_DIVISOR,
            reply_bytes: memory_bytes / REPLY_DIVISOR,
        }
    }
}

/// The segments of the log.
#[derive(Debug)]
pub(super) struct LogState {
    limits: StorageLimits,
    /// Bytes written to each segment. The last one is the newest.
    written_bytes: BTreeMap<u32, u64>,
    /// Number and length of each append that is not on disk yet.
    queued: VecDeque<(u64, usize)>,
    /// Sum of the lengths in `queued`.
    queued_bytes: usize,
    pub(super) disk_gate: LimitGate,
    pub(super) queue_gate: LimitGate,
    pub(super) read_gate: LimitGate,
}

impl LogState {
    /// Continues a log with these lengths of segments.
    pub(super) fn new(
        limits: StorageLimits,
        written_bytes: BTreeMap<u32, u64>,
    ) -> LogState {
        LogState {
            limits,
            written_bytes,
            queued: VecDeque::new(),
            queued_bytes: 0,
            disk_gate: LimitGate::new("storage_limit", "disk"),
            queue_gate: LimitGate::new("storage_limit", "unwritten_frames"),
            read_gate: LimitGate::new("storage_limit", "turns_in_reads"),
        }
    }

    pub(super) fn limits(&self) -> &StorageLimits {
        &self.limits
    }

    /// Bytes of all segments.
    pub(super) fn total_bytes(&self) -> u64 {
        self.written_bytes.values().sum()
    }

    /// Bytes of all appends that are not on disk yet.
    pub(super) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Segment and offset at which the next append starts. Seals the newest segment if it has
    /// reached its size.
    pub(super) fn next_position(&mut self) -> (u32, u32) {
        let newest = self.written_bytes.last_key_value();
        let newest = newest.map(|(segment, bytes)| (*segment, *bytes));
        match newest {
            Some((segment, bytes)) if bytes < self.limits.segment_bytes => {
                (segment, u32::try_from(bytes).unwrap_or(u32::MAX))
            }
            Some((segment, _)) => (segment + 1, 0),
            None => (1, 0),
        }
    }

    /// Records an append of `bytes` to a segment.
    pub(super) fn record_append(&mut self, number: u64, segment: u32, bytes: usize) {
        *self.written_bytes.entry(segment).or_default() += bytes as u64;
        self.queued.push_back((number, bytes));
        self.queued_bytes += bytes;
    }

    /// Records that all appends up to a number are on disk.
    pub(super) fn record_synced(&mut self, through: u64) {
        while let Some((_, bytes)) =
            self.queued.pop_front_if(|(number, _)| *number <= through)
        {
            self.queued_bytes -= bytes;
        }
    }

    /// Whether the newest segment is this one.
    fn is_newest(&self, segment: u32) -> bool {
        self.written_bytes
            .last_key_value()
            .map(|(newest, _)| *newest)
            == Some(segment)
    }

    /// Records that a segment is removed.
    pub(super) fn record_drop(&mut self, segment: u32) {
        self.written_bytes.remove(&segment);
    }

    /// Whether records of `bytes` fit on the disk beside what cleaning needs.
    pub(super) fn has_room(&self, bytes: u64) -> bool {
        let reserved = CLEANING_SEGMENTS * self.limits.segment_bytes;
        self.total_bytes() + bytes + reserved <= self.limits.disk_bytes
    }

    /// Whether further turns may start: there is room for those that run already.
    pub(super) fn has_room_for_new_turns(&self) -> bool {
        self.has_room(RUNNING_SEGMENTS * self.limits.segment_bytes)
    }

    /// The segment to clean next, if one should be. `live_bytes` tells how much of a segment
    /// is needed.
    pub(super) fn next_to_clean(&self, live_bytes: impl Fn(u32) -> u64) -> Option<u32> {
        let sealed = self.written_bytes.iter();
        let sealed = sealed.filter(|(segment, _)| !self.is_newest(**segment));
        let with_live =
            sealed.map(|(segment, bytes)| (*segment, *bytes, live_bytes(*segment)));
        let (segment, bytes, live) =
            with_live.min_by(|(_, bytes, live), (_, other_bytes, other_live)| {
                (live * other_bytes).cmp(&(other_live * bytes))
            })?;
        let is_cheap = live * CHEAP_DIVISOR <= bytes;
        let is_needed = self.total_bytes() > self.limits.disk_bytes / 2;
        let frees_space = live * 10 <= bytes * 9;
        (is_cheap || is_needed && frees_space).then_some(segment)
    }
}
