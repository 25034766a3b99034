//! What a process knows from its settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use jayreel_ledger::RateTolerance;

/// Settings of one instance, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the instance, unique in the installation.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where callers connect. Only entry instances have it.
    pub front: Option<SocketAddr>,
    /// Where the balancer asks whether the instance is ready. Only entry instances have it.
    pub ready: Option<SocketAddr>,
    /// Where other instances connect.
    pub internal: SocketAddr,
    /// Where other instances are told to connect: `internal`, unless something stands between.
    pub advertised: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Folder for data that outlives the process. Only instances with a disk have it.
    pub data_dir: Option<PathBuf>,
    /// The whole system starts for the first time, so an empty disk has lost nothing.
    pub is_first_start: bool,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// How many disks may be lost at once.
    pub tolerated_losses: usize,
    /// Limits of the process.
    pub limits: ProcessLimits,
    /// Times that were agreed with operators and callers.
    pub bounds: Bounds,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Disk, in megabytes. 0 without a disk.
    pub disk_mb: u64,
}

/// Times that were agreed with operators and callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A changed configuration is in force after this time.
    pub configuration_ms: u64,
    /// A request that was sent this long after its key was withdrawn does not run.
    pub revocation_ms: u64,
    /// How customers' rates are judged.
    pub rate_tolerance: RateTolerance,
    /// A planned stop is over after this time.
    pub stop_ms: u64,
}
