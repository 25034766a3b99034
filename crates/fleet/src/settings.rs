//! Settings of [`FleetState`](crate::FleetState).

use jayreel_model::Incarnation;
use jayreel_programs::TokenKey;

/// Settings of one process. They do not change while it runs.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Incarnation of this process.
    pub own: Incarnation,
    /// Availability zone of this instance.
    pub availability_zone: String,
    /// Address at which this process accepts connections of peers. The listener stays open
    /// until the process exits.
    pub peer_address: String,
    /// Key that signs and verifies program tokens. The same in the whole fleet.
    pub token_key: TokenKey,
    /// Percentage of a program's budget that may be spent before a grant is written to the
    /// store.
    pub first_tranche_percent: u8,
    /// Validity of a program token, in seconds from its creation.
    pub token_lifetime_s: u64,
    /// Time after which a loan of a customer's rate expires.
    pub loan_term_ms: u64,
    /// How long the home share may be used after the last renewal of the registration.
    pub home_term_ms: u64,
    /// Maximum time between the decision to send a call and its first byte on the
    /// connection.
    pub dispatch_deadline_ms: u64,
    /// Time for which the registration of a program's owner must be absent before another
    /// instance takes its programs over.
    pub takeover_delay_ms: u64,
    /// How long an idempotency key is remembered after its call ended.
    pub late_repeat_window_ms: u64,
    /// Time between two sweeps, each of which lists the cache tags of the engines that this
    /// instance is responsible for.
    pub cache_sweep_interval_ms: u64,
    /// How long the registration of a process without a successor must be absent before the
    /// cache of its programs is released.
    pub cache_orphan_ms: u64,
    /// Maximum number of concurrent model loads at all engines of an availability zone. It is
    /// divided among the instances that are responsible for these engines. 0 counts as 1.
    pub zone_loads: usize,
    /// Age from which an engine's report of a load in progress is ignored for
    /// [`FleetSettings::zone_loads`].
    pub model_report_valid_ms: u64,
    /// Maximum age of the last read of the registrations with which a call that has an
    /// idempotency key is admitted.
    pub registration_freshness_ms: u64,
}

impl FleetSettings {
    /// Default settings for the process `own`.
    pub fn new(
        own: Incarnation,
        availability_zone: impl Into<String>,
        peer_address: impl Into<String>,
        token_key: TokenKey,
    ) -> FleetSettings {
        FleetSettings {
            own,
            availability_zone: availability_zone.into(),
            peer_address: peer_address.into(),
            token_key,
            first_tranche_percent: 25,
            token_lifetime_s: 86_400,
            loan_term_ms: 5_000,
            home_term_ms: 7_200_000,
            dispatch_deadline_ms: 1_000,
            takeover_delay_ms: 5_000,
            late_repeat_window_ms: 900_000,
            cache_sweep_interval_ms: 10_000,
            cache_orphan_ms: 60_000,
            zone_loads: 4,
            model_report_valid_ms: 10_000,
            registration_freshness_ms: 10_000,
        }
    }
}
