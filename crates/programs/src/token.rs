//! Signed tokens that identify programs to callers, and tags that identify them to
//! engines.

use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jayreel_model::{Incarnation, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Maximum accepted length of a signed token, in bytes. Longer text is refused before it
/// is decoded.
pub const MAX_TOKEN_BYTES: usize = 2_048;

/// BLAKE3 key derivation context. Changing it invalidates all issued tokens.
const KEY_CONTEXT: &str = "jayreel 2026 program token signature";

/// The key that signs program tokens. All instances of a fleet use the same one.
#[derive(Clone)]
pub struct TokenKey([u8; 32]);

impl TokenKey {
    /// Derives the key from the fleet's secret in the configuration.
    pub fn derive(secret: &str) -> TokenKey {
        TokenKey(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }
}

impl fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenKey(..)")
    }
}

/// The content of a program token. Callers receive and present it in signed form.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramToken {
    /// Name of the customer that opened the program.
    pub customer: String,
    /// Name of the profile that the program was opened with.
    pub profile: String,
    /// Budget of the root program, in tokens.
    pub budget_tokens: u64,
    /// The part of the budget that the owner may spend without a record in the store. A
    /// successor charges at least this, unless the owner's final record gives the exact
    /// spending.
    pub first_tranche_tokens: u64,
    /// The incarnation that opened the program.
    pub owner: Incarnation,
    /// Sequence number of the program, unique within the owner.
    pub sequence: u64,
    /// Tag of the root program, whose budget is used. For a sub-agent that a successor
    /// opened, the root has another owner.
    pub root: CacheTag,
    /// Expiry time, in seconds since the Unix epoch.
    pub expires_at_unix_s: u64,
}

impl ProgramToken {
    /// Encodes and signs the token. The text is safe in URLs and headers.
    pub fn sign(&self, key: &TokenKey) -> String {
        let json = serde_json::to_vec(self).expect("a token is plain data");
        let mut text = URL_SAFE_NO_PAD.encode(json);
        let signature = blake3::keyed_hash(&key.0, text.as_bytes());
        text.push('.');
        URL_SAFE_NO_PAD.encode_string(signature.as_bytes(), &mut text);
        text
    }

    /// Decodes a signed token and checks it for the authenticated customer.
    ///
    /// # Errors
    ///
    /// `not_found` for text that was not signed with `key` and for an expired token;
    /// `not_allowed` for the token of another customer. Always `ran: no`.
    pub fn verify(
        text: &str,
        key: &TokenKey,
        customer: &str,
        now_unix_s: u64,
    ) -> Result<ProgramToken, Refusal> {
        let token = read_signed(text, key).ok_or_else(unknown_program)?;
        if token.customer != customer {
            return Err(Refusal::not_run(
                RefusalReason::NotAllowed,
                "the program belongs to another customer",
            ));
        }
        if now_unix_s >= token.expires_at_unix_s {
            return Err(Refusal::not_run(
                RefusalReason::NotFound,
                "the program token has expired",
            ));
        }
        Ok(token)
    }

    /// Whether the program is a root program.
    pub fn is_root(&self) -> bool {
        self.root == self.cache_tag()
    }

    /// The tag under which engines hold the program's cache.
    pub fn cache_tag(&self) -> CacheTag {
        CacheTag {
            owner: self.owner.clone(),
            sequence: self.sequence,
        }
    }
}

fn read_signed(text: &str, key: &TokenKey) -> Option<ProgramToken> {
    if text.len() > MAX_TOKEN_BYTES {
        return None;
    }
    let (payload, signature) = text.split_once('.')?;
    let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
    let expected = blake3::keyed_hash(&key.0, payload.as_bytes());
    if !bool::from(expected.as_bytes().as_slice().ct_eq(&signature)) {
        return None;
    }
    let json = URL_SAFE_NO_PAD.decode(payload).ok()?;
    serde_json::from_slice(&json).ok()
}

fn unknown_program() -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, "no such program")
}

/// Identifies a program's cache at the engines. It names the owner, so that the instance
/// that is responsible for an engine's caches knows which instance to ask whether the
/// program is still live. Never reused for another program.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct CacheTag {
    /// The incarnation that opened the program.
    pub owner: Incarnation,
    /// Sequence number of the program within the owner.
    pub sequence: u64,
}

impl fmt::Display for CacheTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.owner, self.sequence)
    }
}

impl From<CacheTag> for String {
    fn from(tag: CacheTag) -> String {
        tag.to_string()
    }
}

impl TryFrom<String> for CacheTag {
    type Error = ParseCacheTagError;

    fn try_from(text: String) -> Result<CacheTag, ParseCacheTagError> {
        text.parse()
    }
}

impl FromStr for CacheTag {
    type Err = ParseCacheTagError;

    fn from_str(text: &str) -> Result<CacheTag, ParseCacheTagError> {
        let (owner, sequence) = text.rsplit_once('~').ok_or(ParseCacheTagError)?;
        Ok(CacheTag {
            owner: owner.parse().map_err(|_| ParseCacheTagError)?,
            sequence: sequence.parse().map_err(|_| ParseCacheTagError)?,
        })
    }
}

/// The error for text that is not of the form `INCARNATION~SEQUENCE`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseCacheTagError;

impl fmt::Display for ParseCacheTagError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a cache tag of the form INCARNATION~SEQUENCE")
    }
}

impl std::error::Error for ParseCacheTagError {}
