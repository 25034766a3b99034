//! Checked settings.

use std::net::SocketAddr;
use std::path::Path;

use jayreel_model::KeyHash;

use crate::error::SettingsError;
use crate::low::RawSettings;
use crate::reader::Reader;
use crate::sections;

/// All settings of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Section `instance`.
    pub instance: InstanceSettings,
    /// Section `callers`.
    pub callers: CallerSettings,
    /// Section `admin`.
    pub admin: AdminSettings,
    /// Section `peers`.
    pub peers: PeerSettings,
    /// Section `platform`.
    pub platform: PlatformSettings,
    /// Section `endpoints`.
    pub endpoints: EndpointSettings,
    /// Section `quota`.
    pub quota: QuotaSettings,
    /// Section `policy`.
    pub policy: PolicySettings,
    /// Section `log`.
    pub log: LogSettings,
}

/// Who this instance is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Unique in the fleet.
    pub name: String,
    /// The availability zone of the instance.
    pub availability_zone: String,
    /// How long the listener stays open after a planned stop begins.
    pub drain_notice_ms: u64,
    /// Longest wait for running calls in a planned stop. 0 means no limit.
    pub drain_limit_s: u64,
}

/// The listener for callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerSettings {
    /// IP address and port.
    pub listen: SocketAddr,
    /// Largest request body.
    pub max_body_bytes: u64,
    /// Most connections at the same time.
    pub max_connections: u64,
    /// Deadline for the head of a request.
    pub head_timeout_ms: u64,
    /// Deadline for each further piece of a body.
    pub body_timeout_ms: u64,
    /// Deadline for a caller to take a piece of an answer.
    pub write_timeout_ms: u64,
    /// How long an idle connection is kept.
    pub idle_timeout_ms: u64,
}

/// The listener for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminSettings {
    /// IP address and port.
    pub listen: SocketAddr,
    /// blake3 hashes of the operators' keys. Never empty.
    pub key_hashes: Vec<KeyHash>,
}

/// The connections between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// IP address and port that peers are told. None means the listener's own.
    pub advertise: Option<SocketAddr>,
    /// Addresses of peers that are asked at the start, in case the store is down. May hold
    /// the own one.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all instances, in hexadecimal. Signs program tokens too.
    pub fleet_secret: [u8; 32],
    /// Deadline for each answer of a peer.
    pub timeout_ms: u64,
}

/// The platform's key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Addresses of the JSON gateway, tried in order.
    pub store: Vec<SocketAddr>,
    /// Deadline for each call.
    pub timeout_ms: u64,
    /// How often the newest configuration revision is asked for.
    pub config_poll_interval_ms: u64,
    /// How long keys are accepted without any fresh contact to the store.
    pub offline_grace_s: u64,
    /// How long a registration lasts without renewal.
    pub registration_ttl_s: u64,
}

/// Calls to endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSettings {
    /// Deadline for a connection.
    pub connect_timeout_ms: u64,
    /// Deadline for the first byte and each further one of a model engine.
    pub engine_progress_timeout_ms: u64,
    /// The same for plain services.
    pub service_progress_timeout_ms: u64,
    /// How often the reports of load and of loaded models are fetched.
    pub load_interval_ms: u64,
    /// Loads of models at once at the engines of an availability zone.
    pub zone_loads_at_once: u64,
    /// How often the cache tags of an engine are listed, to find those without an owner.
    pub cache_sweep_interval_ms: u64,
    /// How long a process must be gone before the cache of its programs is released, if it
    /// has no successor.
    pub cache_orphan_ms: u64,
}

/// Rates and bursts across the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaSettings {
    /// How long a call waits for its share of the rate before it is refused.
    pub wait_ms: u64,
    /// How long a loan lasts.
    pub loan_term_ms: u64,
    /// How long a home share may be used without contact to the store.
    pub home_term_s: u64,
}

/// The policies in use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// `least-attained-service` or `first-come-first-served`.
    pub order: String,
    /// `fair-queueing` or `none`.
    pub fairness: String,
    /// `affinity`, `fewest-outstanding` or `round-robin`.
    pub placement: String,
}

/// Where the log goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Path of the log file. Empty means standard error.
    pub file: String,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        Settings::from_raw(RawSettings::read(path)?)
    }

    /// Checks raw settings.
    ///
    /// # Errors
    ///
    /// All faults.
    pub fn from_raw(low: RawSettings) -> Result<Settings, SettingsError> {
        let mut reader = Reader::new(low);
        let settings = Settings {
            instance: sections::instance(&mut reader),
            callers: sections::callers(&mut reader),
            admin: sections::admin(&mut reader),
            peers: sections::peers(&mut reader),
            platform: sections::platform(&mut reader),
            endpoints: sections::endpoints(&mut reader),
            quota: sections::quota(&mut reader),
            policy: sections::policy(&mut reader),
            log: sections::log(&mut reader),
        };
        sections::check_addresses(&mut reader, &settings);
        reader.finish(settings)
    }
}
