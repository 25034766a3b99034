//! What varies between runs: the policies under test, and the faults or floods during the run.

/// Policies that an instance uses. Round robin and fewest outstanding calls are the baselines.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Variant {
    /// Round robin with first come, first served.
    RoundRobin,
    /// Fewest outstanding calls with first come, first served.
    FewestOutstanding,
    /// The product's policies.
    Product,
}

impl Variant {
    pub(crate) const ALL: [Variant; 3] = [
        Variant::RoundRobin,
        Variant::FewestOutstanding,
        Variant::Product,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Variant::RoundRobin => "round-robin",
            Variant::FewestOutstanding => "fewest-outstanding",
            Variant::Product => "product",
        }
    }

    /// Lines for the section `policy` of the settings file. Empty for the product's defaults.
    pub(crate) fn settings(self) -> &'static str {
        match self {
            Variant::RoundRobin => {
                "order = first-come-first-served\nfairness = none\nplacement = round-robin"
            }
            Variant::FewestOutstanding => {
                "order = first-come-first-served\nfairness = none\nplacement = fewest-outstanding"
            }
            Variant::Product => "",
        }
    }
}

/// Faults and floods of a run. They begin at `trace::DISTURBANCE_START_MS`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Scenario {
    /// No faults and no flood.
    Calm,
    /// One customer sends five times its rate.
    Flood,
    /// The instances of one zone are killed, and its workers and services freeze.
    DeadZone,
    /// The store refuses connections for a while (`run::FAULT_DURATION_MS`).
    StoreOutage,
    /// Two workers freeze for a while (`run::FAULT_DURATION_MS`).
    FrozenWorkers,
}

impl Scenario {
    pub(crate) const ALL: [Scenario; 5] = [
        Scenario::Calm,
        Scenario::Flood,
        Scenario::DeadZone,
        Scenario::StoreOutage,
        Scenario::FrozenWorkers,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::Flood => "flood",
            Scenario::DeadZone => "dead-zone",
            Scenario::StoreOutage => "store-outage",
            Scenario::FrozenWorkers => "frozen-workers",
        }
    }
}
