//! The checked settings of an instance, one type for each section of the file.
//!
//! The reading functions in `sections` hold the default and the bounds of each key.

use std::net::SocketAddr;
use std::path::Path;

use jayreel_model::KeyHash;

use crate::error::SettingsError;
use crate::raw::RawSettings;
use crate::reader::SettingsReader;
use crate::sections;

/// All settings of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Section `instance`: name, availability zone and planned stop of the instance.
    pub instance: InstanceSettings,
    /// Section `callers`: the listener for callers.
    pub callers: CallerSettings,
    /// Section `admin`: the listener for operators.
    pub admin: AdminSettings,
    /// Section `peers`: the connections to other instances.
    pub peers: PeerSettings,
    /// Section `platform`: the store, which is the platform's key-value service.
    pub platform: PlatformSettings,
    /// Section `endpoints`: calls to endpoints, and the care for their caches and models.
    pub endpoints: EndpointSettings,
    /// Section `quota`: the division of rates among the instances.
    pub quota: QuotaSettings,
    /// Section `policy`: the scheduling and placement policies.
    pub policy: PolicySettings,
    /// Section `log`: the log output.
    pub log: LogSettings,
}

/// The identity of the instance and its planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Must be unique among all instances.
    pub name: String,
    /// The availability zone in which the instance runs.
    pub availability_zone: String,
    /// How long the listener for callers still accepts connections after a planned stop
    /// has begun and the instance reports that it is not ready.
    pub drain_notice_ms: u64,
    /// How long a planned stop then waits for running calls to end. 0 means no limit.
    pub drain_limit_s: u64,
}

/// The listener for callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Largest request body. Longer ones are refused.
    pub max_body_bytes: u64,
    /// Most connections open at the same time.
    pub max_connections: u64,
    /// Time from the first to the last byte of a request's head.
    pub head_timeout_ms: u64,
    /// Time without a received byte of a request body.
    pub body_timeout_ms: u64,
    /// Time in which a caller takes no byte of a response.
    pub write_timeout_ms: u64,
    /// How long an open connection without a request is kept.
    pub idle_timeout_ms: u64,
}

/// The listener for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// BLAKE3 hashes of the keys with which operators authenticate. Never empty.
    pub key_hashes: Vec<KeyHash>,
}

/// The connections between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address that peers connect to. `None` means `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of peers to contact at the start, in case the store is down. May contain
    /// the instance's own address.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all instances, 64 hexadecimal digits in the file. Keys derived
    /// from it secure the connections between instances and sign program tokens.
    pub fleet_secret: [u8; 32],
    /// Time limit for each response of a peer.
    pub timeout_ms: u64,
}

/// The platform's key-value service, which holds the configuration and the registrations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Addresses of the members of the store, at which they serve the HTTP/JSON gateway
    /// of the etcd API. Never empty.
    pub store: Vec<SocketAddr>,
    /// Time limit for each of these steps of a call: connecting, sending the request, and
    /// receiving the head and the body of the response.
    pub timeout_ms: u64,
    /// How often the store is asked for the newest revision of the configuration.
    pub config_poll_interval_ms: u64,
    /// How long customer keys are accepted after the store last confirmed the
    /// configuration, directly or through peers.
    pub offline_grace_s: u64,
    /// How long the registration of an instance lasts without renewal.
    pub registration_ttl_s: u64,
}

/// Calls to endpoints, and the care for their caches and models.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSettings {
    /// Time limit for establishing a connection.
    pub connect_timeout_ms: u64,
    /// Time without a byte from a model engine, before the response or within it, after
    /// which a call fails.
    pub engine_progress_timeout_ms: u64,
    /// The same for plain services.
    pub service_progress_timeout_ms: u64,
    /// How often the reports of load and of loaded models are fetched from endpoints.
    pub load_interval_ms: u64,
    /// Number of models that the engines of one availability zone may load at the same
    /// time.
    pub zone_loads_at_once: u64,
    /// How often the cache tags of an engine are listed to find those without an owner.
    pub cache_sweep_interval_ms: u64,
    /// How long a process without a successor must be gone before the cache of its
    /// programs is released.
    pub cache_orphan_ms: u64,
}

/// The division of the customers' rates among the instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaSettings {
    /// How long a call waits for its customer's rate before it is refused.
    pub wait_ms: u64,
    /// How long a part of the rate stays with the instance that borrowed it from another.
    pub loan_term_ms: u64,
    /// How long an instance may use its home share, its own part of each rate, without
    /// contact to the store.
    pub home_term_s: u64,
}

/// The scheduling and placement policies, each by its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// The order of waiting calls: `least-attained-service` or `first-come-first-served`.
    pub order: String,
    /// The division among customers: `fair-queueing` or `none`.
    pub fairness: String,
    /// The choice of an endpoint: `affinity`, `fewest-outstanding` or `round-robin`.
    pub placement: String,
}

/// Level and destination of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The lowest level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Path of the log file. Empty means standard error.
    pub file: String,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// All problems of the file. If it is not in INI form, that only.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        Settings::from_raw(RawSettings::read(path)?)
    }

    /// Checks the values of raw settings and fills in defaults.
    ///
    /// # Errors
    ///
    /// All problems, including unknown sections and keys.
    pub fn from_raw(raw: RawSettings) -> Result<Settings, SettingsError> {
        let mut reader = SettingsReader::new(raw);
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
