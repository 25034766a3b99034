//! The two simulated deployments, with their current sizes and with times that are scaled down.
//!
//! A generated token takes 10 ms instead of about 40 ms, pauses are a quarter of real
//! ones, and histories reach thousands instead of tens of thousands of tokens. Prefill
//! keeps the 100 µs per token that the product's policies assume.

/// Time that an engine takes for a prompt token that is not cached, in microseconds.
pub(crate) const PREFILL_US_PER_TOKEN: u64 = 100;
/// Time for each generated token of a call that runs alone on its worker, in microseconds.
pub(crate) const TOKEN_US: u64 = 10_000;
/// Added to [`TOKEN_US`] for each other call that runs on the worker at the same time.
pub(crate) const BATCH_SLOWDOWN_US: u64 = 500;
/// Number of calls that a worker runs at the same time.
pub(crate) const WORKER_SLOTS: usize = 4;
/// Size of a worker's prefix cache in tokens.
pub(crate) const WORKER_CACHE_TOKENS: u64 = 40_000;
/// Number of calls that a plain service runs at the same time.
pub(crate) const SERVICE_SLOTS: usize = 4;
/// Time that a plain service takes for a call, in milliseconds.
pub(crate) const SERVICE_MS: u64 = 120;
/// Length of the system prompt that all programs of a customer share, in tokens.
pub(crate) const SYSTEM_TOKENS: usize = 256;
/// Token budget of the profile `loop`.
pub(crate) const LOOP_BUDGET_TOKENS: u64 = 16_000;
/// Name of the model that all workers serve.
pub(crate) const MODEL: &str = "bench-model";
/// Number of instances in a run.
pub(crate) const INSTANCES: usize = 6;

/// A customer of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CustomerPlan {
    pub(crate) name: &'static str,
    /// Share of the total load in percent. Also the customer's weight in fair queueing.
    pub(crate) load_percent: u32,
}

/// Kinds of agent programs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProgramKind {
    /// A few short turns while a person waits.
    ShortTask,
    /// A single call, sent without opening a program.
    Question,
    /// A growing history with tool calls and sometimes sub-agents.
    Summary,
    /// Many turns, with pauses by a person between them.
    Conversation,
    /// Calls the model over and over until the token budget is used up.
    Loop,
}

/// A simulated deployment.
#[derive(Debug)]
pub(crate) struct Deployment {
    /// The value of `--deployment`.
    pub(crate) name: &'static str,
    pub(crate) zones: &'static [&'static str],
    /// Number of model engines.
    pub(crate) workers: usize,
    /// Number of plain services.
    pub(crate) services: usize,
    /// Names of the endpoint groups of the workers and of the services.
    pub(crate) worker_group: &'static str,
    pub(crate) service_group: &'static str,
    /// Network delay between callers and instances in one direction.
    pub(crate) caller_delay_ms: u64,
    pub(crate) customers: &'static [CustomerPlan; 8],
    /// Index of the customer that exceeds its rate in the scenario `flood`.
    pub(crate) flooding_customer: usize,
    /// Kinds of programs with their frequency in percent.
    pub(crate) kinds: &'static [(ProgramKind, u32)],
    /// Load that the trace generator aims for: the percentage of all worker slots that the
    /// calls would occupy if every prefix was cached.
    pub(crate) ideal_load_percent: u64,
}

impl Deployment {
    /// Number of calls that all workers together run at the same time.
    pub(crate) fn slots(&self) -> usize {
        self.workers * WORKER_SLOTS
    }

    /// The zone of the instance, worker or service with this index.
    pub(crate) fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }
}

const fn customer(name: &'static str, load_percent: u32) -> CustomerPlan {
    CustomerPlan { name, load_percent }
}

/// Derwent Valley Civic Records Authority.
pub(crate) const DERWENT_VALLEY: Deployment = Deployment {
    name: "derwent-valley",
    zones: &["hobart-a", "glenorchy-b", "kingston-c"],
    workers: 8,
    services: 4,
    worker_group: "drafting-models",
    service_group: "records-office",
    caller_delay_ms: 1,
    customers: &[
        customer("land-titles", 28),
        customer("planning", 22),
        customer("archives", 16),
        customer("courts", 10),
        customer("licensing", 8),
        customer("libraries", 6),
        customer("parks", 5),
        customer("harbour", 5),
    ],
    flooding_customer: 1,
    kinds: &[
        (ProgramKind::ShortTask, 62),
        (ProgramKind::Summary, 33),
        (ProgramKind::Loop, 5),
    ],
    ideal_load_percent: 85,
};

/// Thanh Long Actuarial Services.
pub(crate) const THANH_LONG: Deployment = Deployment {
    name: "thanh-long",
    zones: &["hn-a", "hn-b", "hn-c", "hn-d"],
    workers: 9,
    services: 4,
    worker_group: "forecast-llm",
    service_group: "filing-app",
    caller_delay_ms: 3,
    customers: &[
        customer("life", 26),
        customer("marine", 22),
        customer("motor", 18),
        customer("health", 10),
        customer("property", 8),
        customer("travel", 6),
        customer("crop", 5),
        customer("pension", 5),
    ],
    flooding_customer: 1,
    kinds: &[
        (ProgramKind::Question, 66),
        (ProgramKind::Conversation, 30),
        (ProgramKind::Loop, 4),
    ],
    ideal_load_percent: 85,
};

/// All deployments, in the order of their runs.
pub(crate) const ALL: [&Deployment; 2] = [&DERWENT_VALLEY, &THANH_LONG];
