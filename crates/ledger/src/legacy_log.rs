//! The log format of the first version: each record is a frame of its length, the CRC-32 of
//! its content, each 4 bytes in little endian, and the content in postcard. Read once, when
//! an instance starts with such a log.

use std::io::{self, Read};

use crate::record::LedgerRecord;

/// Largest content of a frame, in bytes. A longer one is damaged.
const MAX_CONTENT_BYTES: usize = 64 << 20;

/// Reads the next record. `None` at the end of the intact frames: a power failure may leave
/// the end of a file missing or torn.
///
/// # Errors
///
/// If the file cannot be read.
pub fn read_legacy_record(reader: &mut impl Read) -> io::Result<Option<LedgerRecord>> {
    let mut header = [0; 8];
    if !read_whole(reader, &mut header)? {
        return Ok(None);
    }
    let (words, _) = header.as_chunks::<4>();
    let length = usize::try_from(u32::from_le_bytes(words[0])).unwrap_or(usize::MAX);
    if length > MAX_CONTENT_BYTES {
        return Ok(None);
    }
    let mut content = vec![0; length];
    let is_intact = read_whole(reader, &mut content)?
        && crc32fast::hash(&content) == u32::from_le_bytes(words[1]);
    Ok(is_intact
        .then(|| postcard::from_bytes(&content).ok())
        .flatten())
}

/// Fills the buffer. Returns false if the file ends before.
fn read_whole(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}
