//! Errors of store calls, which tell whether a change may have been made.

use std::fmt;

/// Why a store call failed.
///
/// The `Display` text reaches operators in responses of the administration API, as part
/// of an `EditError`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum StoreError {
    /// The watch starts at a revision whose changes a compaction has discarded.
    Compacted,
    /// The request was sent, but no usable response arrived: the change may have been
    /// made, or may still be.
    OutcomeUnknown(String),
    /// The store responded with something that this client cannot decode.
    Protocol(String),
    /// The store, or a check before sending, rejected the request. A change was certainly
    /// not made.
    Rejected(String),
    /// The store could not be reached, did not respond in time or refused to serve the
    /// request now. A change was certainly not made.
    Unavailable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Compacted => f.write_str("the revision is compacted"),
            StoreError::OutcomeUnknown(why) => {
                write!(f, "the outcome of the change is unknown: {why}")
            }
            StoreError::Protocol(why) => {
                write!(f, "unexpected answer from the store: {why}")
            }
            StoreError::Rejected(why) => {
                write!(f, "the store refused the request: {why}")
            }
            StoreError::Unavailable(why) => write!(f, "the store is unavailable: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}
