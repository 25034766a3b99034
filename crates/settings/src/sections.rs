//! Reads and checks each section of the settings: the defaults and bounds of all keys,
//! and the rules between keys.

use std::net::SocketAddr;

use jayreel_model::KeyHash;

use crate::reader::SettingsReader;
use crate::settings::{
    AdminSettings, CallerSettings, EndpointSettings, InstanceSettings, LogSettings,
    PeerSettings, PlatformSettings, PolicySettings, QuotaSettings, Settings,
};

/// Largest value of most settings in milliseconds.
const HOUR_MS: u64 = 3_600_000;
const DAY_S: u64 = 86_400;

/// Most addresses in `seeds`. An instance that has no configuration yet contacts each of
/// them once a second.
const MAX_SEEDS: usize = 48;

pub(crate) fn instance(reader: &mut SettingsReader) -> InstanceSettings {
    let section = "instance";
    InstanceSettings {
        name: reader.name(section, "name"),
        availability_zone: reader.name(section, "availability_zone"),
        drain_notice_ms: reader.number(section, "drain_notice_ms", 3_000, 0, HOUR_MS),
        drain_limit_s: reader.number(section, "drain_limit_s", 0, 0, DAY_S),
    }
}

pub(crate) fn callers(reader: &mut SettingsReader) -> CallerSettings {
    let section = "callers";
    CallerSettings {
        listen: reader.address(section, "listen", "127.0.0.1:8080"),
        max_body_bytes: reader.number(
            section,
            "max_body_bytes",
            4_000_000,
            1_000,
            100_000_000,
        ),
        max_connections: reader.number(section, "max_connections", 4_000, 1, 100_000),
        head_timeout_ms: reader.number(section, "head_timeout_ms", 10_000, 1, HOUR_MS),
        body_timeout_ms: reader.number(section, "body_timeout_ms", 30_000, 1, HOUR_MS),
        write_timeout_ms: reader.number(section, "write_timeout_ms", 30_000, 1, HOUR_MS),
        idle_timeout_ms: reader.number(section, "idle_timeout_ms", 75_000, 1, HOUR_MS),
    }
}

pub(crate) fn admin(reader: &mut SettingsReader) -> AdminSettings {
    let section = "admin";
    let listen = reader.address(section, "listen", "127.0.0.1:8081");
    let texts = reader.list(section, "key_hashes");
    if texts.is_empty() {
        reader.add_problem(
            section,
            "key_hashes",
            "needs at least one blake3 hash of a key",
        );
    }
    let mut key_hashes = Vec::new();
    for text in texts {
        match KeyHash::try_from(text) {
            Ok(hash) => key_hashes.push(hash),
            Err(_) => reader.add_problem(
                section,
                "key_hashes",
                "must be blake3 hashes of 64 hexadecimal digits",
            ),
        }
    }
    AdminSettings { listen, key_hashes }
}

pub(crate) fn peers(reader: &mut SettingsReader) -> PeerSettings {
    let section = "peers";
    let listen = reader.address(section, "listen", "127.0.0.1:8082");
    let text = reader.text(section, "fleet_secret", "");
    let fleet_secret = match KeyHash::try_from(text) {
        Ok(hash) => hash.0,
        Err(_) => {
            reader.add_problem(section, "fleet_secret", "must be 64 hexadecimal digits");
            [0; 32]
        }
    };
    PeerSettings {
        listen,
        advertise: reader.addresses(section, "advertise").first().copied(),
        seeds: seeds(reader, section),
        fleet_secret,
        timeout_ms: reader.number(section, "timeout_ms", 2_000, 1, HOUR_MS),
    }
}

/// Checks that the seeds are few, distinct and addresses that can be connected to.
fn seeds(reader: &mut SettingsReader, section: &str) -> Vec<SocketAddr> {
    let key = "seeds";
    let seeds = reader.addresses(section, key);
    if seeds.len() > MAX_SEEDS {
        let message = format!("must be at most {MAX_SEEDS} addresses");
        reader.add_problem(section, key, message);
    }
    for (index, seed) in seeds.iter().enumerate() {
        if seed.ip().is_unspecified() || seed.port() == 0 {
            reader.add_problem(
                section,
                key,
                format!("{seed} is not an address of a peer"),
            );
        }
        if seeds[..index].contains(seed) {
            reader.add_problem(section, key, format!("{seed} is listed twice"));
        }
    }
    seeds
}

pub(crate) fn platform(reader: &mut SettingsReader) -> PlatformSettings {
    let section = "platform";
    let store = reader.addresses(section, "store");
    if store.is_empty() {
        reader.add_problem(
            section,
            "store",
            "needs at least one IP address with a port",
        );
    }
    PlatformSettings {
        store,
        timeout_ms: reader.number(section, "timeout_ms", 3_000, 1, HOUR_MS),
        config_poll_interval_ms: reader.number(
            section,
            "config_poll_interval_ms",
            2_000,
            50,
            HOUR_MS,
        ),
        offline_grace_s: reader.number(section, "offline_grace_s", 7_200, 1, 30 * DAY_S),
        registration_ttl_s: reader.number(section, "registration_ttl_s", 10, 1, 3_600),
    }
}

pub(crate) fn endpoints(reader: &mut SettingsReader) -> EndpointSettings {
    let section = "endpoints";
    EndpointSettings {
        connect_timeout_ms: reader.number(
            section,
            "connect_timeout_ms",
            1_000,
            1,
            HOUR_MS,
        ),
        engine_progress_timeout_ms: reader.number(
            section,
            "engine_progress_timeout_ms",
            30_000,
            1,
            HOUR_MS,
        ),
        service_progress_timeout_ms: reader.number(
            section,
            "service_progress_timeout_ms",
            30_000,
            1,
            HOUR_MS,
        ),
        load_interval_ms: reader.number(section, "load_interval_ms", 1_000, 10, HOUR_MS),
        zone_loads_at_once: reader.number(section, "zone_loads_at_once", 4, 1, 10_000),
        cache_sweep_interval_ms: reader.number(
            section,
            "cache_sweep_interval_ms",
            10_000,
            100,
            HOUR_MS,
        ),
        cache_orphan_ms: reader.number(
            section,
            "cache_orphan_ms",
            60_000,
            1_000,
            HOUR_MS,
        ),
    }
}

pub(crate) fn quota(reader: &mut SettingsReader) -> QuotaSettings {
    let section = "quota";
    QuotaSettings {
        wait_ms: reader.number(section, "wait_ms", 2_000, 0, HOUR_MS),
        loan_term_ms: reader.number(section, "loan_term_ms", 5_000, 100, HOUR_MS),
        home_term_s: reader.number(section, "home_term_s", 7_200, 1, 30 * DAY_S),
    }
}

pub(crate) fn policy(reader: &mut SettingsReader) -> PolicySettings {
    let section = "policy";
    PolicySettings {
        order: reader.choice(
            section,
            "order",
            "least-attained-service",
            &["least-attained-service", "first-come-first-served"],
        ),
        fairness: reader.choice(
            section,
            "fairness",
            "fair-queueing",
            &["fair-queueing", "none"],
        ),
        placement: reader.choice(
            section,
            "placement",
            "affinity",
            &["affinity", "fewest-outstanding", "round-robin"],
        ),
    }
}

pub(crate) fn log(reader: &mut SettingsReader) -> LogSettings {
    let section = "log";
    LogSettings {
        level: reader.choice(
            section,
            "level",
            "info",
            &["error", "warn", "info", "debug", "trace"],
        ),
        file: reader.text(section, "file", ""),
    }
}

/// Checks that the listeners have different addresses, unless the port is 0, and that
/// peers are told an address that they can connect to.
pub(crate) fn check_addresses(reader: &mut SettingsReader, settings: &Settings) {
    let listeners = [
        ("callers", settings.callers.listen),
        ("admin", settings.admin.listen),
        ("peers", settings.peers.listen),
    ];
    for (index, (section, address)) in listeners.iter().enumerate() {
        let is_duplicate = listeners[..index]
            .iter()
            .any(|(_, other)| other == address && address.port() != 0);
        if is_duplicate {
            reader.add_problem(section, "listen", "is the address of another listener");
        }
    }
    let peer_address = settings.peers.advertise.unwrap_or(settings.peers.listen);
    if peer_address.ip().is_unspecified() {
        let message = "must be an address that peers can reach, or set advertise";
        reader.add_problem("peers", "listen", message);
    }
}
