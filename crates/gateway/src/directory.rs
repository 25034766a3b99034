//! Interface to the metadata store, and the types of its records.
//!
//! The store holds the operator's configuration, the endpoint registry, the evacuations and
//! retirements that the operator requested, and the records that the instances keep for themselves, such as the
//! group's membership. Each platform implements [`MetadataStore`] for its own store.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::config::Configuration;

/// Why a call of the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MetadataError {
    /// Connecting, sending or waiting for the response failed. A write may have taken effect.
    Unreachable(String),
    /// The store refused the call with this status. It had no effect.
    Refused(u16),
    /// The store no longer has the changes after the given revision. List everything again.
    HistoryLost,
    /// The record was not at the revision that a conditional write expects.
    Conflict,
    /// The response could not be decoded.
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
            MetadataError::HistoryLost => {
                f.write_str("store no longer has the requested history")
            }
            MetadataError::Conflict => {
                f.write_str("record is not at the expected revision")
            }
            MetadataError::Unreadable(reason) => {
                write!(f, "cannot decode the response of the store: {reason}")
            }
        }
    }
}

impl std::error::Error for MetadataError {}

/// Result of a read of the newest configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationRead {
    /// Store revision of the configuration.
    pub revision: u64,
    /// The record as stored and as decoded. None if the reader already has this revision.
    pub content: Option<(Bytes, Configuration)>,
}

/// Registry entry of an endpoint, written by the endpoint itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// Identifier, unique among the registered endpoints.
    pub id: String,
    /// Name of the service to which it belongs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Number of requests that it runs at the same time. At least 1.
    pub slots: u32,
    /// It finishes its running requests and accepts no new ones.
    pub is_draining: bool,
    /// Unix time of its start in milliseconds, if the entry has one. Differs after a restart
    /// under the same identifier.
    pub started_unix_ms: Option<u64>,
    /// How much longer the endpoint is cold, that is slow after its start, in milliseconds. 0 if it
    /// is not cold. Counted from when the endpoint wrote the entry, or when the instance sent it
    /// that passed it on.
    pub cold_left_ms: u64,
}

/// All registered endpoints as of a store revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointSnapshot {
    /// Store revision of the list. Changes after it can be watched.
    pub revision: u64,
    /// The entries that could be decoded.
    pub entries: Vec<EndpointEntry>,
    /// Number of entries that could not be decoded. They are left out.
    pub unreadable: usize,
}

/// One change of the endpoint registry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum EndpointChange {
    /// An entry was added or changed.
    Present(EndpointEntry),
    /// The entry of the endpoint with this identifier was deleted, or can no longer be
    /// decoded.
    Removed(String),
}

/// Changes of the endpoint registry since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// Revision after which the next watch begins.
    pub revision: u64,
    /// The changes, oldest first.
    pub changes: Vec<EndpointChange>,
}

/// The availability zones that the operator has evacuated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evacuations {
    /// Revision of the store at which the list was read.
    pub revision: u64,
    /// Names of the zones as the operator wrote them. They need not exist.
    pub zones: Vec<String>,
    /// Whether there were no more names than the reader accepts.
    pub is_complete: bool,
}

/// A record that the instances keep for themselves, such as the group's membership or the
/// registration of a storage instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InternalRecord {
    /// Name of the record.
    pub name: String,
    /// Its content, opaque to the store.
    pub content: Bytes,
    /// Store revision of its last change.
    pub revision: u64,
}

/// An operator's request to move all data off a storage instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Retirement {
    /// Name of the instance to retire.
    pub instance: String,
}

/// Progress of a retirement, for the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetirementState {
    /// Its data is being copied to other instances.
    InProgress,
    /// It holds no data that other instances lack.
    Completed,
}

/// The pending result of a call of the store.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, Result<T, MetadataError>>;

/// The platform's metadata store. Reads are linearizable unless stated otherwise.
pub trait MetadataStore {
    /// Reads the newest configuration. Its content is left out if its revision is
    /// `known_revision`.
    fn configuration(&self, known_revision: u64) -> StoreFuture<'_, ConfigurationRead>;

    /// Decodes a configuration that another instance read from the store.
    ///
    /// # Errors
    ///
    /// If `content` is not a valid configuration.
    fn decode_configuration(
        &self,
        content: &[u8],
    ) -> Result<Configuration, MetadataError>;

    /// Lists all registered endpoints.
    fn endpoints(&self) -> StoreFuture<'_, EndpointSnapshot>;

    /// Waits up to `wait_ms` for changes of the endpoint registry after revision `after`.
    fn endpoint_changes(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> StoreFuture<'_, EndpointChanges>;

    /// Lists the availability zones that the operator has evacuated.
    fn evacuations(&self) -> StoreFuture<'_, Evacuations>;

    /// Lists the instances that the operator wants to retire.
    fn retirements(&self) -> StoreFuture<'_, Vec<Retirement>>;

    /// Writes the progress of a retirement to where the operator reads it.
    fn report_retirement(
        &self,
        instance: String,
        state: RetirementState,
    ) -> StoreFuture<'_, ()>;

    /// Lists the instances' internal records whose names begin with `prefix`. With
    /// `allow_stale` the result may be seconds old, and the call is cheaper.
    fn internal_records(
        &self,
        prefix: &'static str,
        allow_stale: bool,
    ) -> StoreFuture<'_, Vec<InternalRecord>>;

    /// Writes an internal record if its revision is `expected_revision`, where 0 means that it
    /// does not exist yet. Without an expected revision the write is unconditional.
    fn write_internal_record(
        &self,
        name: String,
        content: Bytes,
        expected_revision: Option<u64>,
    ) -> StoreFuture<'_, ()>;
}
