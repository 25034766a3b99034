//! Placement policies: which endpoint of a group runs a call.

use std::fmt::Debug;

use rand::RngExt;
use rand::rngs::SmallRng;

/// Extra service time of a call at an endpoint whose slots are all in use, in thousandths of
/// the mean service time. Engines process concurrent calls in one batch, which slows each of
/// them down.
const FULL_BATCH_SLOWDOWN_PERMILLE: u64 = 250;

/// Candidates whose cost exceeds the lowest cost by at most this percentage, or by
/// [`NEAR_BEST_MS`] if that is more, count as equally good. Load reports lag, so smaller
/// differences carry no information, and always choosing the best candidate would send the
/// calls of all instances to the same endpoint.
const NEAR_BEST_PERCENT: u64 = 10;
/// Lower bound of the tolerance above, in milliseconds.
const NEAR_BEST_MS: u64 = 5;

/// Load of all candidates, in percent of their slots, above which recomputing a cached prefix
/// is assumed to take capacity from other calls.
const CONTENDED_ABOVE_PERCENT: u64 = 50;

/// Weight of the time that a recomputation takes from other calls, in percent per percent of
/// load above [`CONTENDED_ABOVE_PERCENT`]. At full load the weight is 500 percent.
const RECOMPUTE_WEIGHT_SLOPE: u64 = 10;

/// An active endpoint that serves the call's target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Whether this instance may send another call there now.
    pub has_capacity: bool,
    /// Number of calls of this instance at the endpoint.
    pub own_in_flight: u32,
    /// Estimated number of calls of all instances at the endpoint.
    pub outstanding: u32,
    /// Number of calls that the endpoint runs concurrently. At least 1.
    pub slots: u32,
    /// Whether the endpoint is in the availability zone of this instance.
    pub same_zone: bool,
    /// Estimated number of prompt tokens that the endpoint has in its prefix cache.
    pub cached_tokens: u64,
}

/// The properties of a waiting call that a [`PlacementPolicy`] uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRequest {
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Time that the call has waited so far.
    pub waited_ms: u64,
    /// Mean service time of calls in the endpoint group. 0 if none was observed yet.
    pub mean_service_ms: u64,
}

/// Decision about a waiting call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send the call to the candidate with this index, which has capacity.
    Candidate(usize),
    /// Leave the call in the queue.
    Hold,
}

/// Selects the endpoint of a call. One instance per group.
pub trait PlacementPolicy: Debug + Send {
    /// Selects one of the candidates that have capacity, or leaves the call in the queue.
    fn place(
        &mut self,
        call: &PlacementRequest,
        candidates: &[Candidate],
        rng: &mut SmallRng,
    ) -> Placement;
}

/// Baseline: uses all endpoints in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl PlacementPolicy for RoundRobin {
    fn place(
        &mut self,
        _call: &PlacementRequest,
        candidates: &[Candidate],
        _rng: &mut SmallRng,
    ) -> Placement {
        let count = candidates.len();
        let chosen = (0..count)
            .map(|offset| (self.next + offset) % count)
            .find(|index| candidates[*index].has_capacity);
        match chosen {
            Some(index) => {
                self.next = index + 1;
                Placement::Candidate(index)
            }
            None => Placement::Hold,
        }
    }
}

/// Baseline: uses the endpoint with the fewest calls of this instance, at random among equals.
#[derive(Clone, Copy, Debug)]
pub struct FewestOutstanding;

impl PlacementPolicy for FewestOutstanding {
    fn place(
        &mut self,
        _call: &PlacementRequest,
        candidates: &[Candidate],
        rng: &mut SmallRng,
    ) -> Placement {
        let costs = candidates.iter().enumerate();
        let costs: Vec<(usize, u64)> = costs
            .filter(|(_, candidate)| candidate.has_capacity)
            .map(|(index, candidate)| (index, u64::from(candidate.own_in_flight)))
            .collect();
        random_near_lowest(&costs, |lowest| lowest, rng)
    }
}

/// Uses the endpoint with the lowest expected time to first token, weighing a cached prompt
/// prefix against the expected wait and the cost of another availability zone.
#[derive(Clone, Copy, Debug)]
pub struct CacheAffinity {
    /// Time that an engine needs to process a prompt token that is not cached, in
    /// microseconds.
    pub prefill_us_per_token: u64,
    /// Cost of an endpoint in another availability zone, as expected time.
    pub zone_cost_ms: u64,
    /// Maximum time that a call waits for a busy endpoint while another one is free.
    pub hold_ms: u64,
}

impl CacheAffinity {
    fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(self.prefill_us_per_token) / 1_000
    }

    /// Cost of a candidate in milliseconds: the expected time until the first token, plus
    /// the weighted time that recomputing tokens cached elsewhere takes from other calls.
    fn cost_ms(
        &self,
        call: &PlacementRequest,
        candidate: &Candidate,
        contention: &Contention,
    ) -> u64 {
        let uncached = call.prompt_tokens.saturating_sub(candidate.cached_tokens);
        let prefill_ms = self.prefill_ms(uncached);
        let recomputed = contention.most_cached_tokens - candidate.cached_tokens;
        let recompute_ms =
            self.prefill_ms(recomputed) * contention.recompute_percent / 100;
        let zone_ms = match candidate.same_zone {
            true => 0,
            false => self.zone_cost_ms,
        };
        expected_wait_ms(call, candidate) + prefill_ms + recompute_ms + zone_ms
    }
}

impl PlacementPolicy for CacheAffinity {
    fn place(
        &mut self,
        call: &PlacementRequest,
        candidates: &[Candidate],
        rng: &mut SmallRng,
    ) -> Placement {
        let contention = Contention::of(candidates);
        let costs = |usable: fn(&Candidate) -> bool| -> Vec<(usize, u64)> {
            let usable = candidates.iter().enumerate().filter(|(_, c)| usable(c));
            usable
                .map(|(index, candidate)| {
                    (index, self.cost_ms(call, candidate, &contention))
                })
                .collect()
        };
        let free = costs(|candidate| candidate.has_capacity);
        let busy = costs(|candidate| !candidate.has_capacity);
        let lowest = |costs: &[(usize, u64)]| costs.iter().map(|(_, cost)| *cost).min();
        let busy_is_better = match (lowest(&free), lowest(&busy)) {
            (Some(free), Some(busy)) => busy < free,
            _ => false,
        };
        let service_time_known = call.mean_service_ms > 0;
        if busy_is_better && service_time_known && call.waited_ms < self.hold_ms {
            return Placement::Hold;
        }
        random_near_lowest(&free, near_best, rng)
    }
}

/// Effect on other calls if a prefix is recomputed although a candidate has it cached.
struct Contention {
    /// Longest cached prefix of the prompt at any candidate.
    most_cached_tokens: u64,
    /// Weight of the recomputation time that other calls lose. Grows with the load of the
    /// candidates; 0 while enough slots are free.
    recompute_percent: u64,
}

impl Contention {
    fn of(candidates: &[Candidate]) -> Contention {
        let sum = |of: fn(&Candidate) -> u32| -> u64 {
            candidates.iter().map(|one| u64::from(of(one))).sum()
        };
        let used = sum(|one| one.outstanding.min(one.slots));
        let load_percent = used * 100 / sum(|one| one.slots).max(1);
        let above = load_percent.saturating_sub(CONTENDED_ABOVE_PERCENT);
        let cached = candidates.iter().map(|one| one.cached_tokens);
        Contention {
            most_cached_tokens: cached.max().unwrap_or(0),
            recompute_percent: above * RECOMPUTE_WEIGHT_SLOPE,
        }
    }
}

/// Expected delay at a candidate: the time until a slot is free, plus the slowdown caused by
/// calls that run concurrently.
fn expected_wait_ms(call: &PlacementRequest, candidate: &Candidate) -> u64 {
    let slots = u64::from(candidate.slots.max(1));
    let outstanding = u64::from(candidate.outstanding);
    let ahead = match candidate.has_capacity {
        true => (outstanding + 1).saturating_sub(slots),
        false => (outstanding + 1).saturating_sub(slots).max(1),
    };
    let queue_ms = ahead * call.mean_service_ms / slots;
    let batch_ms = outstanding.min(slots) * call.mean_service_ms / slots;
    queue_ms + batch_ms * FULL_BATCH_SLOWDOWN_PERMILLE / 1_000
}

/// Highest cost that counts as equally good as the lowest cost.
fn near_best(lowest_ms: u64) -> u64 {
    lowest_ms + (lowest_ms * NEAR_BEST_PERCENT / 100).max(NEAR_BEST_MS)
}

/// Picks a random candidate among those whose cost is at most `limit` of the lowest cost.
/// `costs` holds pairs of candidate index and cost. Without candidates the call is held.
fn random_near_lowest(
    costs: &[(usize, u64)],
    limit: impl Fn(u64) -> u64,
    rng: &mut SmallRng,
) -> Placement {
    let Some(lowest) = costs.iter().map(|(_, cost)| *cost).min() else {
        return Placement::Hold;
    };
    let limit = limit(lowest);
    let near: Vec<usize> = costs
        .iter()
        .filter(|(_, cost)| *cost <= limit)
        .map(|(index, _)| *index)
        .collect();
    Placement::Candidate(near[rng.random_range(0..near.len())])
}
