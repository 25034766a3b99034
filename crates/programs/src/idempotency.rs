//! Digests of idempotency keys and the recorded outcome of their calls.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jayreel_model::{Ran, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

/// Maximum accepted length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Hash of a customer's idempotency key. Stored instead of the key, so that long keys
/// take no more memory than short ones.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Hashes a key together with its customer, so that customers cannot collide.
    ///
    /// # Errors
    ///
    /// `invalid_request`, `ran: no`, if the key is empty or too long.
    pub fn of(customer: &str, key: &str) -> Result<KeyDigest, Refusal> {
        if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
            return Err(Refusal::not_run(
                RefusalReason::InvalidRequest,
                "the idempotency key must have 1 to 256 bytes",
            ));
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(customer.len() as u64).to_le_bytes());
        hasher.update(customer.as_bytes());
        hasher.update(key.as_bytes());
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Ok(KeyDigest(digest))
    }

    /// The rendezvous hashing weight of an instance for this key.
    pub(crate) fn weight_of(self, instance: &str) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(instance.as_bytes());
        *hasher.finalize().as_bytes()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        URL_SAFE_NO_PAD.encode(digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseKeyDigestError;

    fn try_from(text: String) -> Result<KeyDigest, ParseKeyDigestError> {
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| ParseKeyDigestError)?;
        bytes
            .try_into()
            .map(KeyDigest)
            .map_err(|_| ParseKeyDigestError)
    }
}

/// The error for text that is not a base64url digest of the right length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseKeyDigestError;

impl fmt::Display for ParseKeyDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a 16-byte idempotency key digest in base64url")
    }
}

impl std::error::Error for ParseKeyDigestError {}

/// The outcome of the call that used a key. A call that did not run leaves no record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// The call is waiting or running.
    Running,
    /// The call has run.
    Ran,
    /// The call may have run; its outcome is not known.
    Unknown,
}

impl KeyState {
    /// The state to record after a call that ended with `ran`. `None` if the key is free
    /// again.
    pub fn after(ran: Ran) -> Option<KeyState> {
        match ran {
            Ran::No => None,
            Ran::Unknown => Some(KeyState::Unknown),
            Ran::Yes => Some(KeyState::Ran),
        }
    }

    /// The refusal of another call with the same key.
    pub fn refusal(self) -> Refusal {
        let (ran, message) = match self {
            KeyState::Running => (Ran::Unknown, "a call with this idempotency key runs"),
            KeyState::Ran => (Ran::Yes, "the call with this idempotency key ran"),
            KeyState::Unknown => (
                Ran::Unknown,
                "the call with this idempotency key may have run",
            ),
        };
        Refusal {
            reason: RefusalReason::WrongTurn,
            ran,
            retry_after_ms: None,
            message: message.to_string(),
        }
    }
}
