//! Settings of the scheduler, fixed at process start.

use jayreel_model::Incarnation;

/// Settings of one instance's scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// Name of the instance and number of this process run.
    pub incarnation: Incarnation,
    /// Availability zone in which this instance runs.
    pub availability_zone: String,
    /// Seed of the random generator for all random choices.
    pub seed: u64,
    /// Offline grace period: all keys are refused once the last contact with the store is
    /// older than this, since withdrawals of keys may have been missed.
    pub offline_grace_ms: u64,
    /// Maximum time that a call waits for its customer's rate limit before it is refused.
    pub quota_wait_ms: u64,
    /// Scheduling policies and their parameters.
    pub policies: PolicySettings,
}

impl SchedulerSettings {
    /// Default settings for one process run of an instance.
    pub fn new(
        incarnation: Incarnation,
        availability_zone: impl Into<String>,
        seed: u64,
    ) -> SchedulerSettings {
        SchedulerSettings {
            incarnation,
            availability_zone: availability_zone.into(),
            seed,
            offline_grace_ms: 7_200_000,
            quota_wait_ms: 800,
            policies: PolicySettings::default(),
        }
    }
}

/// Selection of the scheduling policies, and their parameters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// Selects the next call among the waiting calls of a customer.
    pub order: OrderKind,
    /// Selects the next customer among those with waiting calls.
    pub fairness: FairnessKind,
    /// Selects the endpoint of a call.
    pub placement: PlacementKind,
    /// Decides how long an idle program's cache is kept at engines.
    pub retention: RetentionKind,
    /// Decides which calls are refused on arrival because of overload.
    pub admission: AdmissionKind,
    /// Size of the lowest level of [`OrderKind::LeastAttainedService`], in weighted tokens
    /// of attained service. Each further level is twice as large. Programs of one level run
    /// in the order of their start. The lowest level should cover most programs, since
    /// small levels delay the completion of long programs.
    pub order_quantum_tokens: u64,
    /// Waiting time that moves a call one level closer to running, to prevent starvation.
    pub ageing_step_ms: u64,
    /// Time that an engine needs to process a prompt token that is not cached, in
    /// microseconds.
    pub prefill_us_per_token: u64,
    /// Cost of using an endpoint in another availability zone, as expected waiting time.
    pub zone_cost_ms: u64,
    /// Maximum time that a call waits for a busy endpoint that has its prompt prefix
    /// cached while another endpoint is free.
    pub affinity_hold_ms: u64,
    /// Cost of recomputing a program's cache, as the time of keeping it that costs the
    /// same.
    pub recompute_cost_ms: u64,
    /// Number of retries allowed per hundred calls.
    pub retry_percent: u32,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings {
            order: OrderKind::LeastAttainedService,
            fairness: FairnessKind::StartTimeFairQueueing,
            placement: PlacementKind::CacheAffinity,
            retention: RetentionKind::ReturnHistogram,
            admission: AdmissionKind::ExpectedWait,
            order_quantum_tokens: 16_000,
            ageing_step_ms: 2_000,
            prefill_us_per_token: 100,
            zone_cost_ms: 20,
            affinity_hold_ms: 2_000,
            recompute_cost_ms: 60_000,
            retry_percent: 10,
        }
    }
}

impl PolicySettings {
    /// Baseline for comparisons: round-robin placement, first come, first served, and no
    /// fairness between customers.
    pub fn round_robin_baseline() -> PolicySettings {
        PolicySettings {
            order: OrderKind::FirstComeFirstServed,
            fairness: FairnessKind::None,
            placement: PlacementKind::RoundRobin,
            retention: RetentionKind::KeepUntilEnd,
            admission: AdmissionKind::WaitBound,
            ..PolicySettings::default()
        }
    }

    /// Baseline for comparisons: like [`PolicySettings::round_robin_baseline`], but with
    /// the endpoint that has the fewest outstanding calls.
    pub fn fewest_outstanding_baseline() -> PolicySettings {
        PolicySettings {
            placement: PlacementKind::FewestOutstanding,
            ..PolicySettings::round_robin_baseline()
        }
    }
}

/// Implementations of [`crate::policy::OrderPolicy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Earliest arrival of the call first (baseline).
    FirstComeFirstServed,
    /// Earliest arrival of the program's first call first.
    OldestProgram,
    /// Least service received by the whole program first, adjusted by scheduling class and
    /// waiting time.
    LeastAttainedService,
}

/// Implementations of [`crate::policy::FairnessPolicy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FairnessKind {
    /// All customers share one queue (baseline).
    None,
    /// Start-time fair queueing, with costs in weighted tokens.
    StartTimeFairQueueing,
}

/// Implementations of [`crate::policy::PlacementPolicy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementKind {
    /// All endpoints in turn (baseline).
    RoundRobin,
    /// The endpoint with the fewest running calls of this instance (baseline).
    FewestOutstanding,
    /// The endpoint with the lowest expected time to first token, from cached prompt
    /// prefix, expected wait and availability zone.
    CacheAffinity,
}

/// Implementations of [`crate::policy::RetentionPolicy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetentionKind {
    /// Keep the cache until the program ends (baseline).
    KeepUntilEnd,
    /// Keep the cache for the time with the lowest expected cost, from a histogram of the
    /// pauses between calls in the program's class.
    ReturnHistogram,
}

/// Implementations of [`crate::policy::AdmissionPolicy`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionKind {
    /// Refuse no call on arrival, only after it has waited for `max_wait_ms` (baseline).
    WaitBound,
    /// Also refuse calls on arrival whose expected wait is far above `max_wait_ms`.
    ExpectedWait,
}
