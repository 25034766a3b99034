//! Scheduling policies. Each trait has a default implementation and one or more simple
//! baselines that measurements compare it with.

mod admission;
mod fairness;
mod order;
mod placement;
mod retention;

pub use self::admission::{AdmissionPolicy, AdmissionRequest, ExpectedWait, WaitBound};
pub use self::fairness::{FairnessPolicy, NoFairness, StartTimeFairQueueing};
pub use self::order::{
    FirstComeFirstServed, LeastAttainedService, OldestProgram, OrderPolicy, QueuedCall,
    Rank,
};
pub use self::placement::{
    CacheAffinity, Candidate, FewestOutstanding, Placement, PlacementPolicy,
    PlacementRequest, RoundRobin,
};
pub use self::retention::{KeepUntilEnd, RetentionPolicy, ReturnHistogram};

use slotmap::new_key_type;

use crate::settings::{
    AdmissionKind, FairnessKind, OrderKind, PlacementKind, PolicySettings, RetentionKind,
};

new_key_type! {
    /// Identifies a customer within the scheduler. The null key stands for the calls on open
    /// routes, which have no customer.
    pub struct CustomerId;
}

/// Creates the order policy that the settings select.
pub(crate) fn order(settings: &PolicySettings) -> Box<dyn OrderPolicy> {
    match settings.order {
        OrderKind::FirstComeFirstServed => Box::new(FirstComeFirstServed),
        OrderKind::OldestProgram => Box::new(OldestProgram),
        OrderKind::LeastAttainedService => Box::new(LeastAttainedService {
            quantum_tokens: settings.order_quantum_tokens,
            ageing_step_ms: settings.ageing_step_ms,
        }),
    }
}

/// Creates the fairness policy that the settings select. Each endpoint group needs its own.
pub(crate) fn fairness(settings: &PolicySettings) -> Box<dyn FairnessPolicy> {
    match settings.fairness {
        FairnessKind::None => Box::new(NoFairness),
        FairnessKind::StartTimeFairQueueing => Box::<StartTimeFairQueueing>::default(),
    }
}

/// Creates the placement policy that the settings select. Each endpoint group needs its own.
pub(crate) fn placement(settings: &PolicySettings) -> Box<dyn PlacementPolicy> {
    match settings.placement {
        PlacementKind::RoundRobin => Box::<RoundRobin>::default(),
        PlacementKind::FewestOutstanding => Box::new(FewestOutstanding),
        PlacementKind::CacheAffinity => Box::new(CacheAffinity {
            prefill_us_per_token: settings.prefill_us_per_token,
            zone_cost_ms: settings.zone_cost_ms,
            hold_ms: settings.affinity_hold_ms,
        }),
    }
}

/// Creates the retention policy that the settings select.
pub(crate) fn retention(settings: &PolicySettings) -> Box<dyn RetentionPolicy> {
    match settings.retention {
        RetentionKind::KeepUntilEnd => Box::new(KeepUntilEnd),
        RetentionKind::ReturnHistogram => {
            Box::new(ReturnHistogram::new(settings.recompute_cost_ms))
        }
    }
}

/// Creates the admission policy that the settings select.
pub(crate) fn admission(settings: &PolicySettings) -> Box<dyn AdmissionPolicy> {
    match settings.admission {
        AdmissionKind::WaitBound => Box::new(WaitBound),
        AdmissionKind::ExpectedWait => Box::new(ExpectedWait),
    }
}
