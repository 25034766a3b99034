//! Identifiers that are used by several crates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifies a request within the process that accepted it. Two processes may use the
/// same number for different requests.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// One process run of an instance. Distinguishes a restarted instance from its
/// predecessor of the same name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation {
    /// Name of the instance, from its settings.
    pub instance: String,
    /// Random number that is chosen at process start. Has no order: a higher number is not
    /// a later start.
    pub number: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.instance, self.number)
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> String {
        incarnation.to_string()
    }
}

impl TryFrom<String> for Incarnation {
    type Error = ParseIncarnationError;

    fn try_from(text: String) -> Result<Incarnation, ParseIncarnationError> {
        text.parse()
    }
}

impl FromStr for Incarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Incarnation, ParseIncarnationError> {
        let (instance, number) = text.rsplit_once('.').ok_or(ParseIncarnationError)?;
        let number = number.parse().map_err(|_| ParseIncarnationError)?;
        match instance.is_empty() {
            true => Err(ParseIncarnationError),
            false => Ok(Incarnation {
                instance: instance.to_string(),
                number,
            }),
        }
    }
}

/// Error for text that is not of the form `INSTANCE.NUMBER`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseIncarnationError;

impl fmt::Display for ParseIncarnationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected an incarnation of the form INSTANCE.NUMBER")
    }
}

impl std::error::Error for ParseIncarnationError {}

/// BLAKE3 hash of a customer key. The key itself is never stored.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a key as sent by a caller.
    pub fn of_key(key: &str) -> KeyHash {
        KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = blake3::HexError;

    fn try_from(text: String) -> Result<KeyHash, blake3::HexError> {
        Ok(KeyHash(*blake3::Hash::from_hex(text)?.as_bytes()))
    }
}
