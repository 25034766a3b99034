//! Encoding of records on disk. Each record is a frame: length of the content and CRC-32 of
//! the content, each 4 bytes in little endian, then the content in postcard.
//!
//! A power failure may leave the end of a file missing or torn. Frames that were synced are
//! intact, so decoding stops at the first frame that is incomplete or damaged.

use crate::record::LedgerRecord;

/// Size of the length and the checksum before each frame's content, in bytes.
const FRAME_HEADER_BYTES: usize = 8;

/// Appends the frame of a record to a buffer.
///
/// # Errors
///
/// If the record cannot be encoded, or its length does not fit into 32 bits.
pub fn encode_frame(
    record: &LedgerRecord,
    buffer: &mut Vec<u8>,
) -> Result<(), postcard::Error> {
    let content = postcard::to_stdvec(record)?;
    let length =
        u32::try_from(content.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buffer.extend_from_slice(&content);
    Ok(())
}

/// Decodes the intact frames at the start of a buffer. Returns their records and their total
/// length in bytes.
pub fn decode_frames(bytes: &[u8]) -> (Vec<LedgerRecord>, usize) {
    let mut records = Vec::new();
    let mut intact_bytes = 0;
    while let Some((record, frame_bytes)) = decode_frame(&bytes[intact_bytes..]) {
        records.push(record);
        intact_bytes += frame_bytes;
    }
    (records, intact_bytes)
}

fn decode_frame(bytes: &[u8]) -> Option<(LedgerRecord, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    let content = rest.get(..length)?;
    match crc32fast::hash(content) == u32::from_le_bytes(*checksum) {
        true => postcard::from_bytes(content)
            .ok()
            .map(|record| (record, FRAME_HEADER_BYTES + length)),
        false => None,
    }
}
