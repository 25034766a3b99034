//! Converts the settings of an instance into the settings of its components.

use std::net::TcpListener;
use std::time::SystemTime;

use crossbeam::channel::Receiver;
use eyre::WrapErr;
use jayreel_fleet::{FleetSettings, Reducer, RegisteredInstance};
use jayreel_model::{Incarnation, KeyHash};
use jayreel_peer::{FleetSecret, PeerConfig, PeerDeadlines, PeerEvent, TcpPeerNetwork};
use jayreel_programs::TokenKey;
use jayreel_scheduler::settings::{FairnessKind, OrderKind, PlacementKind};
use jayreel_scheduler::{PolicySettings, SchedulerSettings};
use jayreel_server::ServerSettings;
use jayreel_server::admin::{AdminKey, AdminSettings};
use jayreel_settings::Settings;
use jayreel_store::RegistrationSettings;

use crate::clock::Clock;

/// Added to three polling intervals to get the age at which an engine's report of its models
/// is no longer valid, so that the reports of slow engines stay valid.
const MODEL_REPORT_MARGIN_MS: u64 = 5_000;

/// A new incarnation of the instance: its name with a random number, which distinguishes
/// this process from earlier ones of the same name.
pub(super) fn incarnation(settings: &Settings) -> Incarnation {
    // JSON parsers that store numbers as floating point keep 53 bits exactly.
    let number = rand::random::<u64>() >> 11;
    Incarnation {
        instance: settings.instance.name.clone(),
        number,
    }
}

/// Binds the listener for peers and starts the peer network.
///
/// # Errors
///
/// If the address cannot be bound.
pub(super) fn start_peers(
    settings: &Settings,
    own: &Incarnation,
) -> eyre::Result<(TcpPeerNetwork, Receiver<PeerEvent>)> {
    let listen = settings.peers.listen;
    let listener = TcpListener::bind(listen)
        .wrap_err_with(|| format!("cannot listen on {listen} for peers"))?;
    let call_ms = settings.peers.timeout_ms;
    let config = PeerConfig {
        own: own.clone(),
        listener,
        secret: FleetSecret::derive(&KeyHash(settings.peers.fleet_secret).to_string()),
        deadlines: PeerDeadlines {
            call_ms,
            ..PeerDeadlines::default()
        },
    };
    TcpPeerNetwork::start(config).wrap_err("cannot start the peer network")
}

/// A reducer with the state of a process that has just started.
pub(super) fn reducer(
    settings: &Settings,
    own: &Incarnation,
    registered: &RegisteredInstance,
    clock: Clock,
) -> Reducer {
    let zone = settings.instance.availability_zone.clone();
    let mut scheduler = SchedulerSettings::new(own.clone(), zone.clone(), rand::random());
    scheduler.offline_grace_ms = settings.platform.offline_grace_s * 1_000;
    scheduler.quota_wait_ms = settings.quota.wait_ms;
    scheduler.policies = policies(settings);
    let secret = KeyHash(settings.peers.fleet_secret).to_string();
    let mut fleet = FleetSettings::new(
        own.clone(),
        zone,
        registered.peer_address.clone(),
        TokenKey::derive(&secret),
    );
    fleet.loan_term_ms = settings.quota.loan_term_ms;
    fleet.home_term_ms = settings.quota.home_term_s * 1_000;
    fleet.cache_sweep_interval_ms = settings.endpoints.cache_sweep_interval_ms;
    fleet.cache_orphan_ms = settings.endpoints.cache_orphan_ms;
    let load_interval_ms = settings.endpoints.load_interval_ms;
    fleet.zone_loads =
        usize::try_from(settings.endpoints.zone_loads_at_once).unwrap_or(usize::MAX);
    fleet.model_report_valid_ms = 3 * load_interval_ms + MODEL_REPORT_MARGIN_MS;
    let unix_ms = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        });
    Reducer::new(scheduler, fleet, unix_ms.saturating_sub(clock.now_ms()))
}

/// The scheduling policies that the settings name. [`Settings::read`] has checked the names.
fn policies(settings: &Settings) -> PolicySettings {
    PolicySettings {
        order: match settings.policy.order.as_str() {
            "first-come-first-served" => OrderKind::FirstComeFirstServed,
            _ => OrderKind::LeastAttainedService,
        },
        fairness: match settings.policy.fairness.as_str() {
            "none" => FairnessKind::None,
            _ => FairnessKind::StartTimeFairQueueing,
        },
        placement: match settings.policy.placement.as_str() {
            "fewest-outstanding" => PlacementKind::FewestOutstanding,
            "round-robin" => PlacementKind::RoundRobin,
            _ => PlacementKind::CacheAffinity,
        },
        ..PolicySettings::default()
    }
}

/// Lease time of the registration, and its renewal interval of 30 % of that.
pub(super) fn registration_settings(settings: &Settings) -> RegistrationSettings {
    let ttl_s = settings.platform.registration_ttl_s;
    RegistrationSettings {
        ttl_s,
        renew_interval_ms: ttl_s * 300,
        ..RegistrationSettings::default()
    }
}

/// Keys and limits of the administration API. The metrics need no key.
pub(super) fn admin_settings(settings: &Settings) -> AdminSettings {
    let keys = settings.admin.key_hashes.iter().enumerate();
    AdminSettings {
        keys: keys
            .map(|(index, hash)| AdminKey {
                name: format!("operator-{}", index + 1),
                hash: *hash,
            })
            .collect(),
        open_metrics: true,
        limits: ServerSettings::default(),
    }
}

/// Limits of the server for callers.
pub(super) fn server_settings(settings: &Settings) -> ServerSettings {
    let callers = &settings.callers;
    ServerSettings {
        max_body_bytes: callers.max_body_bytes,
        max_connections: usize::try_from(callers.max_connections).unwrap_or(usize::MAX),
        head_timeout_ms: callers.head_timeout_ms,
        body_idle_timeout_ms: callers.body_timeout_ms,
        write_timeout_ms: callers.write_timeout_ms,
        keep_alive_timeout_ms: callers.idle_timeout_ms,
        ..ServerSettings::default()
    }
}
