//! Settings of a process, after the platform has parsed and checked them.

use std::net::SocketAddr;
use std::path::PathBuf;

use jayreel_hedging::HedgingSettings;
use jayreel_ledger::{ColdTolerance, RateTolerance};

use crate::home_regions::ZoneRegions;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the instance, unique in the installation.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// The regions of the availability zones, for requests with home regions.
    pub regions: ZoneRegions,
    /// Address on which callers connect. None on a storage instance.
    pub front: Option<SocketAddr>,
    /// Address of the readiness check for the load balancer. None on a storage instance.
    pub ready: Option<SocketAddr>,
    /// Address on which other instances connect.
    pub internal: SocketAddr,
    /// Address announced to other instances for their connections. The same as `internal`,
    /// unless an intermediary forwards the connections.
    pub advertised: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Directory for data that must survive restarts. None on an entry instance.
    pub data_dir: Option<PathBuf>,
    /// The whole installation starts for the first time, so an empty disk doesn't mean data loss.
    pub is_first_start: bool,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Number of disks that may be lost at the same time without loss of data.
    pub tolerated_losses: usize,
    /// Resource limits of the process.
    pub limits: ProcessLimits,
    /// Guarantees given to operators and callers.
    pub bounds: Bounds,
    /// Second sends of slow requests. Used by entry instances only.
    pub hedging: HedgingSettings,
    /// Expected queueing time at endpoints, in turns, above which new programs are rejected where
    /// capacity is scarce. None to admit all.
    pub max_queueing_turns: Option<f64>,
    /// What the installation needs beyond the basic service.
    pub features: Features,
}

/// Switches for parts that only some installations need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Demand exceeds the capacity of the endpoints at times.
    pub scarce_capacity: bool,
    /// Operators evacuate availability zones, and demand shifts between them.
    pub managed_zones: bool,
}

/// Resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Disk space, in megabytes. 0 on an instance without a disk.
    pub disk_mb: u64,
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
}

/// Time limits and tolerances agreed with operators and callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a changed configuration must be in force, in milliseconds.
    pub configuration_ms: u64,
    /// Time after which a revoked key must be rejected, in milliseconds, counted from the
    /// revocation to the sending of the request.
    pub revocation_ms: u64,
    /// Time after which an evacuated availability zone must get no more requests, in milliseconds.
    /// `None` if the operator does not evacuate zones.
    pub evacuation_ms: Option<u64>,
    /// Window and slack with which customers' rates are checked.
    pub rate_tolerance: RateTolerance,
    /// How far the rates of cold endpoints may be exceeded.
    pub cold_tolerance: ColdTolerance,
    /// Time within which a planned shutdown must be complete, in milliseconds.
    pub stop_ms: u64,
}
