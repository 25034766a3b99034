//! The form of facts on disk: frames of length, checksum and content.
//!
//! After a loss of power the end of a file may be missing or torn. Frames that were synced
//! are whole, so reading stops at the first frame that is not.

use crate::fact::LedgerRecord;

/// Length and checksum before each frame, in bytes.
const HEAD_BYTES: usize = 8;

/// Appends a fact to a buffer.
///
/// # Errors
///
/// If the fact cannot be encoded.
pub fn encode_frame(
    fact: &LedgerRecord,
    buffer: &mut Vec<u8>,
) -> Result<(), postcard::Error> {
    let content = postcard::to_stdvec(fact)?;
    let length =
        u32::try_from(content.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buffer.extend_from_slice(&content);
    Ok(())
}

/// Reads whole frames. Returns the facts and the number of bytes that were whole.
pub fn decode_frames(bytes: &[u8]) -> (Vec<LedgerRecord>, usize) {
    let mut facts = Vec::new();
    let mut whole_bytes = 0;
    while let Some((fact, length)) = decode_frame(&bytes[whole_bytes..]) {
        facts.push(fact);
        whole_bytes += length;
    }
    (facts, whole_bytes)
}

fn decode_frame(bytes: &[u8]) -> Option<(LedgerRecord, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    let content = rest.get(..length)?;
    match crc32fast::hash(content) == u32::from_le_bytes(*checksum) {
        true => postcard::from_bytes(content)
            .ok()
            .map(|fact| (fact, HEAD_BYTES + length)),
        false => None,
    }
}
