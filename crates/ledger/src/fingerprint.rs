//! Identifies requests that are the same, whoever sends them again and when.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Separates these digests from all others of the same content.
const CONTEXT: &str = "jayreel 2026-12-05 request fingerprint";

/// Number of bytes of the body by which requests are of one family.
const FAMILY_BODY_BYTES: usize = 128;

/// Digest of the [`RequestIdentity`] of a request, which keeps no part of it in memory or logs.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint([u8; 16]);

/// The parts of a request that are the same when its caller sends it again.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request names, without a port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Name of the customer. Empty without one.
    pub customer: &'a str,
    /// Body as the caller sent it.
    pub body: &'a [u8],
}

/// Two digests of a request.
///
/// Agent programs send their conversation again with each turn, a little longer, and what is
/// wrong with it stays at its beginning. So requests that differ only after the first bytes of
/// their bodies are related.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestFingerprints {
    /// Of the whole request.
    pub exact: Fingerprint,
    /// Of the request with the first [`FAMILY_BODY_BYTES`] of its body.
    pub family: Fingerprint,
}

impl RequestFingerprints {
    /// The fingerprints of a request.
    pub fn of(request: &RequestIdentity<'_>) -> RequestFingerprints {
        let head = &request.body[..request.body.len().min(FAMILY_BODY_BYTES)];
        RequestFingerprints {
            exact: Fingerprint::of("request", request, request.body),
            family: Fingerprint::of("family", request, head),
        }
    }

    /// Both digests.
    pub fn all(&self) -> [Fingerprint; 2] {
        [self.exact, self.family]
    }
}

impl Fingerprint {
    fn of(kind: &str, request: &RequestIdentity<'_>, body: &[u8]) -> Fingerprint {
        let texts = [
            kind,
            request.method,
            request.host,
            request.target,
            request.customer,
        ];
        let parts = texts.map(str::as_bytes).into_iter().chain([body]);
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
