//! Encoding of records on disk.
//!
//! Each record is a frame: a header of [`FRAME_HEADER_BYTES`], a head and a body. The body
//! holds the input and the output of a turn, and is empty for all other records; the head
//! holds everything else, in postcard. The header consists of four integers of 4 bytes in
//! little endian: length of the head, length of the body, CRC-32 of these lengths and the
//! head, CRC-32 of the body.
//!
//! The two checksums let a reader build an index from the heads alone. Bodies make up nearly
//! all of a log, and are checked when they are read.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::record::{
    LedgerRecord, MAX_TURN_INPUT_BYTES, MAX_TURN_OUTPUT_BYTES, Reservation, Settlement,
    TurnRecord,
};

/// Size of the lengths and the checksums before each frame's head, in bytes.
pub const FRAME_HEADER_BYTES: usize = 16;

/// Largest head, in bytes. A header with a larger one is damaged. The identifiers in a head
/// come from request headers, which are limited to a fraction of this.
const MAX_HEAD_BYTES: u32 = 1 << 20;

/// Largest body, in bytes. A header with a larger one is damaged.
const MAX_BODY_BYTES: u32 = 64 << 20;

const _: () =
    assert!(MAX_TURN_INPUT_BYTES + MAX_TURN_OUTPUT_BYTES <= MAX_BODY_BYTES as usize);

/// Position of a frame in the log.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct FrameLocation {
    /// Number of the segment file.
    pub segment: u32,
    /// Offset of the header in the file, in bytes.
    pub offset: u32,
    /// Length of the whole frame, in bytes.
    pub frame_bytes: u32,
}

/// The fields of a turn without its input and output.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnHead {
    /// Request identifier of the turn.
    pub turn: String,
    /// The only customer that may continue the turn.
    pub customer: String,
    /// Request identifier of the turn that this one continues.
    pub previous: Option<String>,
    /// Retention time after the last use of the record, in milliseconds.
    pub retention_ms: u64,
    /// Length of the input at the start of the body. The output follows it.
    pub input_bytes: u32,
}

/// The head of a frame. The order of the variants and fields is the format of stored logs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogEntry {
    /// [`LedgerRecord::Reserved`].
    Reserved(Reservation),
    /// [`LedgerRecord::Settled`].
    Settled(Settlement),
    /// [`LedgerRecord::Turn`].
    Turn(TurnHead),
    /// [`LedgerRecord::Granted`].
    Granted {
        /// When the grant was made, in milliseconds of the log owner's clock.
        at_ms: u64,
        /// Name of the customer.
        customer: String,
        /// Number of requests granted.
        count: u32,
    },
    /// [`LedgerRecord::Complete`].
    Complete {
        /// Version of the group.
        group_version: u64,
    },
    /// [`LedgerRecord::VotesRecorded`].
    VotesRecorded {
        /// The first version of the group.
        from_version: u64,
    },
}

impl LogEntry {
    /// The head of a record's frame.
    pub fn of(record: &LedgerRecord) -> LogEntry {
        match record.clone() {
            LedgerRecord::Reserved(reservation) => LogEntry::Reserved(reservation),
            LedgerRecord::Settled(settlement) => LogEntry::Settled(settlement),
            LedgerRecord::Turn(turn) => LogEntry::Turn(TurnHead {
                input_bytes: u32::try_from(turn.input.len()).unwrap_or(u32::MAX),
                turn: turn.turn,
                customer: turn.customer,
                previous: turn.previous,
                retention_ms: turn.retention_ms,
            }),
            LedgerRecord::Granted {
                at_ms,
                customer,
                count,
            } => LogEntry::Granted {
                at_ms,
                customer,
                count,
            },
            LedgerRecord::Complete { group_version } => {
                LogEntry::Complete { group_version }
            }
            LedgerRecord::VotesRecorded { from_version } => {
                LogEntry::VotesRecorded { from_version }
            }
        }
    }
}

/// The decoded header of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FrameHeader {
    /// Length of the head, in bytes. At most 1 MiB.
    pub head_bytes: u32,
    /// Length of the body, in bytes. At most 64 MiB.
    pub body_bytes: u32,
    head_checksum: u32,
    body_checksum: u32,
}

impl FrameHeader {
    /// Decodes a header. `None` if it is damaged, which its lengths show.
    pub fn decode(bytes: &[u8; FRAME_HEADER_BYTES]) -> Option<FrameHeader> {
        let (words, _) = bytes.as_chunks::<4>();
        let [head_bytes, body_bytes, head_checksum, body_checksum] =
            [0, 1, 2, 3].map(|index: usize| u32::from_le_bytes(words[index]));
        let is_valid =
            (1..=MAX_HEAD_BYTES).contains(&head_bytes) && body_bytes <= MAX_BODY_BYTES;
        is_valid.then_some(FrameHeader {
            head_bytes,
            body_bytes,
            head_checksum,
            body_checksum,
        })
    }

    /// Length of the whole frame, in bytes.
    pub fn frame_bytes(&self) -> u32 {
        FRAME_HEADER_BYTES as u32 + self.head_bytes + self.body_bytes
    }

    /// Decodes the head of the frame. `None` if it is damaged.
    pub fn decode_head(&self, head: &[u8]) -> Option<LogEntry> {
        let checksum = head_checksum(self.head_bytes, self.body_bytes, head);
        match checksum == self.head_checksum {
            true => postcard::from_bytes(head).ok(),
            false => None,
        }
    }

    /// Starts to check the body of the frame.
    pub fn body_checksum(&self) -> BodyChecksum {
        BodyChecksum {
            expected: self.body_checksum,
            hasher: crc32fast::Hasher::new(),
        }
    }
}

/// Checks a body that is read in pieces.
#[derive(Clone, Debug)]
pub struct BodyChecksum {
    expected: u32,
    hasher: crc32fast::Hasher,
}

impl BodyChecksum {
    /// Adds the next piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.hasher.update(piece);
    }

    /// Whether the pieces together are the intact body.
    pub fn is_match(self) -> bool {
        self.hasher.finalize() == self.expected
    }
}

fn head_checksum(head_bytes: u32, body_bytes: u32, head: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head_bytes.to_le_bytes());
    hasher.update(&body_bytes.to_le_bytes());
    hasher.update(head);
    hasher.finalize()
}

/// Appends the frame of a record to a buffer.
///
/// # Errors
///
/// If the record cannot be encoded, or is longer than a frame may be.
pub fn encode_frame(
    record: &LedgerRecord,
    buffer: &mut Vec<u8>,
) -> Result<(), postcard::Error> {
    let too_long = || postcard::Error::SerializeBufferFull;
    let (input, output): (&[u8], &[u8]) = match record {
        LedgerRecord::Turn(turn) => (&turn.input, &turn.output),
        _ => (&[], &[]),
    };
    let body_bytes = u32::try_from(input.len() + output.len())
        .ok()
        .filter(|bytes| *bytes <= MAX_BODY_BYTES)
        .ok_or_else(too_long)?;
    let head = postcard::to_stdvec(&LogEntry::of(record))?;
    let head_bytes = u32::try_from(head.len())
        .ok()
        .filter(|bytes| *bytes <= MAX_HEAD_BYTES)
        .ok_or_else(too_long)?;
    let mut body_hasher = crc32fast::Hasher::new();
    body_hasher.update(input);
    body_hasher.update(output);
    for word in [
        head_bytes,
        body_bytes,
        head_checksum(head_bytes, body_bytes, &head),
        body_hasher.finalize(),
    ] {
        buffer.extend_from_slice(&word.to_le_bytes());
    }
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(input);
    buffer.extend_from_slice(output);
    Ok(())
}

/// Decodes the frame of a turn. `None` if any part of it is damaged, or if it is the frame of
/// another kind of record.
pub fn decode_turn(frame: Bytes) -> Option<TurnRecord> {
    let (header, _) = frame.split_first_chunk::<FRAME_HEADER_BYTES>()?;
    let header = FrameHeader::decode(header)?;
    let body_start = FRAME_HEADER_BYTES + usize::try_from(header.head_bytes).ok()?;
    let head = frame.get(FRAME_HEADER_BYTES..body_start)?;
    let Some(LogEntry::Turn(head)) = header.decode_head(head) else {
        return None;
    };
    let body = frame.slice(body_start..);
    let input_bytes = usize::try_from(head.input_bytes).ok()?;
    let mut checksum = header.body_checksum();
    checksum.update(&body);
    let has_all = body.len() == usize::try_from(header.body_bytes).ok()?
        && input_bytes <= body.len()
        && checksum.is_match();
    has_all.then(|| TurnRecord {
        turn: head.turn,
        customer: head.customer,
        previous: head.previous,
        input: body.slice(..input_bytes),
        output: body.slice(input_bytes..),
        retention_ms: head.retention_ms,
    })
}
