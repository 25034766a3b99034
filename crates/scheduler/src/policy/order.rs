//! Order policies: which of a customer's waiting calls runs next.

use std::fmt::Debug;

use jayreel_model::ClassOfService;

/// Number of levels that calls of a class start above interactive calls, see
/// [`LeastAttainedService`].
const STANDARD_LEVEL_OFFSET: u64 = 1;
const BATCH_LEVEL_OFFSET: u64 = 3;

/// The properties of a waiting call that an [`OrderPolicy`] uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedCall {
    /// Scheduling class of the call's profile.
    pub class: ClassOfService,
    /// Cost of all ended calls of the program and its sub-agents, in weighted tokens (see
    /// [`crate::cost`]). 0 for a call without program.
    pub attained_tokens: u64,
    /// Arrival of the first call of the program or its sub-agents. For a call without
    /// program, the time since when it waits.
    pub program_started_at_ms: u64,
    /// Time that the call has waited so far.
    pub waited_ms: u64,
    /// Number of the call in the order of arrival at this instance.
    pub sequence: u64,
}

/// Sort key of a waiting call, compared lexicographically. The lowest rank runs first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u64, pub u64, pub u64);

/// Orders the waiting calls of a customer, here and in the engine's own queue.
pub trait OrderPolicy: Debug + Send {
    /// Sort key of a waiting call.
    fn rank(&self, call: &QueuedCall) -> Rank;

    /// Priority that is sent to the engine with the call. Lower values run first.
    fn engine_priority(&self, call: &QueuedCall) -> i32;
}

/// Baseline: orders calls by their own arrival.
#[derive(Clone, Copy, Debug)]
pub struct FirstComeFirstServed;

impl OrderPolicy for FirstComeFirstServed {
    fn rank(&self, call: &QueuedCall) -> Rank {
        Rank(0, 0, call.sequence)
    }

    fn engine_priority(&self, _call: &QueuedCall) -> i32 {
        0
    }
}

/// Orders calls by the arrival of the first call of their program.
#[derive(Clone, Copy, Debug)]
pub struct OldestProgram;

impl OrderPolicy for OldestProgram {
    fn rank(&self, call: &QueuedCall) -> Rank {
        Rank(0, call.program_started_at_ms, call.sequence)
    }

    fn engine_priority(&self, call: &QueuedCall) -> i32 {
        class_level_offset(call.class) as i32
    }
}

/// Multi-level least attained service: programs that have received less service run first.
///
/// The level of a call rises with the service that its whole program has received; each
/// level covers twice as much service as the one below. Programs of one level run in the
/// order of their start: taking turns among them would delay the completion of all of them.
#[derive(Clone, Copy, Debug)]
pub struct LeastAttainedService {
    /// Service covered by the lowest level, in weighted tokens. At least 1.
    pub quantum_tokens: u64,
    /// Waiting time that moves a call one level closer to running. Prevents starvation. At
    /// least 1.
    pub ageing_step_ms: u64,
}

impl LeastAttainedService {
    /// Level of a call. 0 runs first.
    fn level(&self, call: &QueuedCall) -> u64 {
        let quanta = call.attained_tokens / self.quantum_tokens.max(1);
        let attained_level = u64::from((quanta + 1).ilog2());
        let aged_levels = call.waited_ms / self.ageing_step_ms.max(1);
        (class_level_offset(call.class) + attained_level).saturating_sub(aged_levels)
    }
}

impl OrderPolicy for LeastAttainedService {
    fn rank(&self, call: &QueuedCall) -> Rank {
        Rank(self.level(call), call.program_started_at_ms, call.sequence)
    }

    fn engine_priority(&self, call: &QueuedCall) -> i32 {
        self.level(call) as i32
    }
}

fn class_level_offset(class: ClassOfService) -> u64 {
    match class {
        ClassOfService::Interactive => 0,
        ClassOfService::Standard => STANDARD_LEVEL_OFFSET,
        ClassOfService::Batch => BATCH_LEVEL_OFFSET,
    }
}
