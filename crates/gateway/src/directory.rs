//! The store that holds configuration, endpoints and the records of the group.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::config::Configuration;

/// Why the store gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MetadataError {
    /// Connecting, sending or waiting failed. A write may have been done.
    Unreachable(String),
    /// The store refused the call and did nothing.
    Refused(u16),
    /// The history asked for is gone. Read everything again.
    HistoryLost,
    /// A condition of a write does not hold.
    Conflict,
    /// The answer could not be read.
    Unreadable(String),
}

impl fmt::Display for MetadataError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MetadataError::Unreachable(reason) => {
                write!(f, "store unreachable: {reason}")
            }
            MetadataError::Refused(status) => {
                write!(f, "store refused with status {status}")
            }
            MetadataError::HistoryLost => f.write_str("history of the store is gone"),
            MetadataError::Conflict => f.write_str("condition does not hold"),
            MetadataError::Unreadable(reason) => write!(f, "unreadable answer: {reason}"),
        }
    }
}

impl std::error::Error for MetadataError {}

/// The newest configuration as of the moment of reading.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationRead {
    /// Store revision of the configuration.
    pub revision: u64,
    /// The record as stored, and its content. None if the reader knows this revision.
    pub content: Option<(Bytes, Configuration)>,
}

/// An endpoint that registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Identifier, unique among the endpoints that are there.
    pub id: String,
    /// Service to which it belongs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Requests that it runs at once. At least 1.
    pub slots: u32,
    /// It finishes its work and takes no more.
    pub is_draining: bool,
    /// Unix time of its start in milliseconds, if it tells. Changes when it starts again
    /// under the same identifier.
    pub started_unix_ms: Option<u64>,
}

/// All endpoints as of a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointSnapshot {
    /// Revision from which changes can be watched.
    pub revision: u64,
    /// Readable entries.
    pub entries: Vec<EndpointEntry>,
    /// Entries that could not be read and are left out.
    pub unreadable: usize,
}

/// One change of an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EndpointChange {
    /// It is there, as told.
    Present(EndpointEntry),
    /// Its entry is gone, or cannot be read any more.
    Gone(String),
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// Revision from which to go on.
    pub revision: u64,
    /// In order.
    pub changes: Vec<EndpointChange>,
}

/// A record of the instances' own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InternalRecord {
    /// Name of the record.
    pub name: String,
    /// Its content.
    pub content: Bytes,
    /// Store revision of its last change.
    pub revision: u64,
}

/// An instance with a disk is to be emptied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Retirement {
    /// Name of the instance.
    pub instance: String,
}

/// Progress of a retirement, for the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetirementState {
    /// Its data is being copied.
    InProgress,
    /// It holds nothing that others lack.
    Completed,
}

/// Result of a call of the store.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, Result<T, MetadataError>>;

/// The platform's store. All reads are linearizable unless they say otherwise.
pub trait MetadataStore {
    /// The newest configuration.
    fn configuration(&self, known_revision: u64) -> StoreFuture<'_, ConfigurationRead>;

    /// Decodes a configuration that another instance read from the store.
    ///
    /// # Errors
    ///
    /// If it cannot be read.
    fn decode_configuration(
        &self,
        content: &[u8],
    ) -> Result<Configuration, MetadataError>;

    /// All endpoints.
    fn endpoints(&self) -> StoreFuture<'_, EndpointSnapshot>;

    /// Waits up to `wait_ms` for changes of endpoints after a revision.
    fn endpoint_changes(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> StoreFuture<'_, EndpointChanges>;

    /// Instances that are to be emptied.
    fn retirements(&self) -> StoreFuture<'_, Vec<Retirement>>;

    /// Tells the operator how far a retirement is.
    fn report_retirement(
        &self,
        instance: String,
        state: RetirementState,
    ) -> StoreFuture<'_, ()>;

    /// The instances' own records whose names begin with `prefix`. May be seconds old if
    /// `allow_stale`, which costs less.
    fn internal_records(
        &self,
        prefix: &'static str,
        allow_stale: bool,
    ) -> StoreFuture<'_, Vec<InternalRecord>>;

    /// Writes a record of the instances' own. `expected_revision` is its revision before; 0
    /// if it must not exist, none for an unconditional write.
    fn write_internal_record(
        &self,
        name: String,
        content: Bytes,
        expected_revision: Option<u64>,
    ) -> StoreFuture<'_, ()>;
}
