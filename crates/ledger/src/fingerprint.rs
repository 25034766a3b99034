//! Identifies requests that are the same, whoever sends them again and when.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Separates these digests from all others of the same content.
const CONTEXT: &str = "jayreel 2026-12-05 request fingerprint";

/// Digest of what makes a request the same when its caller sends it again: method, host, target,
/// customer and body, but not its identifier. Keeps neither of them in memory or logs.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request with these parts.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for part in parts {
            // With its length, so that no two lists of parts are the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Fingerprint(digest)
    }
}

/// The first 32 bits, in hexadecimal: enough to find the log lines about a request.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = self.0.iter().take(4);
        head.into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
