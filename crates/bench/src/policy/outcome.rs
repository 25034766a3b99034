//! Records of the callers, and the measures of a run that are computed from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::deployment::{Deployment, ProgramKind};
use super::scenario::Scenario;
use super::trace::{ARRIVALS_MS, RATE_FACTOR, RateLimit, Trace, WARM_UP_MS, ideal_calls};

/// Only work that an unloaded system would finish this long before the end of the arrivals
/// counts as demand. Allows for the usual time of a call.
const CALL_TIME_ALLOWANCE_MS: u64 = 2_000;

/// How a program ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ProgramEnd {
    /// All steps were completed, or the budget was used up.
    Completed,
    /// A call failed, with the code of the last error.
    Failed(String),
    /// The program was still running when the run ended.
    Unfinished,
}

/// A program that was started.
#[derive(Clone, Debug)]
pub(crate) struct ProgramRecord {
    pub(crate) customer: usize,
    pub(crate) kind: ProgramKind,
    pub(crate) start_ms: u64,
    pub(crate) end_ms: u64,
    pub(crate) end: ProgramEnd,
    /// Latency in a system in which no call has to wait.
    pub(crate) ideal_ms: u64,
}

/// A model call that succeeded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallRecord {
    pub(crate) customer: usize,
    pub(crate) finished_ms: u64,
    /// Weighted tokens in tenths, as if the whole history had been cached.
    pub(crate) work: u64,
    /// Tokens of the program's previous call that the engine computed again because they were
    /// not in its cache.
    pub(crate) recomputed_tokens: u64,
    /// Tokens of the program's previous call, in whole cache blocks.
    pub(crate) history_tokens: u64,
}

/// A token bucket with a customer's rate limit, applied to the requests as they are sent. Shows
/// which refusals were wrongful.
#[derive(Clone, Debug)]
struct TokenBucket {
    rate_limit: RateLimit,
    /// Requests that may be sent now, in thousandths.
    available_mreq: u64,
    /// Time of the last refill, since the start of the run.
    updated_at_ms: u64,
}

impl TokenBucket {
    /// Adds what the rate has allowed since the last refill.
    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let gained = elapsed_ms * self.rate_limit.rate_mreq_per_s / 1_000;
        self.available_mreq =
            (self.available_mreq + gained).min(self.rate_limit.burst_mreq);
    }

    /// Takes one request from the bucket. Returns whether the bucket held one.
    fn try_take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        let is_within_rate = self.available_mreq >= 1_000;
        if is_within_rate {
            self.available_mreq -= 1_000;
        }
        is_within_rate
    }
}

/// Everything that callers record in a run.
#[derive(Debug)]
pub(crate) struct Records {
    buckets: Vec<TokenBucket>,
    pub(crate) programs: Vec<ProgramRecord>,
    pub(crate) calls: Vec<CallRecord>,
    /// Refusals of requests that were within the customer's rate, by customer and error code.
    pub(crate) wrongful_refusals: BTreeMap<(usize, String), u64>,
    /// Cache tags of programs that have ended.
    pub(crate) ended_tags: BTreeSet<String>,
    /// Programs that were not started because too many were running.
    pub(crate) not_started: u64,
    /// Samples of the running calls, in thousandths of all slots.
    pub(crate) busy_permille: Vec<u64>,
    /// Samples of the calls that wait in the engines, in thousandths of all slots.
    pub(crate) queued_permille: Vec<u64>,
}

impl Records {
    pub(crate) fn new(rate_limits: &[RateLimit]) -> Records {
        let bucket = |rate_limit: &RateLimit| TokenBucket {
            rate_limit: *rate_limit,
            available_mreq: rate_limit.burst_mreq,
            updated_at_ms: 0,
        };
        Records {
            buckets: rate_limits.iter().map(bucket).collect(),
            programs: Vec::new(),
            calls: Vec::new(),
            wrongful_refusals: BTreeMap::new(),
            ended_tags: BTreeSet::new(),
            not_started: 0,
            busy_permille: Vec::new(),
            queued_permille: Vec::new(),
        }
    }

    /// Counts a request against the customer's rate when it is sent. Returns whether it is
    /// within the rate.
    pub(crate) fn count_request(&mut self, customer: usize, now_ms: u64) -> bool {
        self.buckets[customer].try_take(now_ms)
    }

    /// Records a refusal with status 429 or 503. A refused request does not count against the
    /// rate.
    pub(crate) fn record_refusal(
        &mut self,
        customer: usize,
        within_rate: bool,
        code: &str,
    ) {
        if within_rate {
            self.buckets[customer].available_mreq += 1_000;
            let key = (customer, code.to_string());
            *self.wrongful_refusals.entry(key).or_default() += 1;
        }
    }
}

/// The measures of one run.
#[derive(Clone, Debug)]
pub(crate) struct Measures {
    /// Percentiles of the program latencies.
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    pub(crate) p99_ms: u64,
    /// 95th percentile of the latencies in a system in which no call has to wait.
    pub(crate) ideal_p95_ms: u64,
    /// Median ratio of the latency to that in a system in which no call has to wait, in
    /// thousandths. First for the half of the programs with the shorter latencies there, then
    /// for the others.
    pub(crate) slowdown_permille: (u64, u64),
    /// Number of programs in the percentiles. `failed` and `cut` count those of them that
    /// failed or were still running at the end of the run.
    pub(crate) programs: u64,
    pub(crate) failed: u64,
    pub(crate) cut: u64,
    /// Tokens of earlier calls that were computed again, as a number and in thousandths of all
    /// tokens of earlier calls.
    pub(crate) recomputed_tokens: u64,
    pub(crate) recomputed_permille: u64,
    /// Tokens of ended programs that the engines still cache after the run.
    pub(crate) leftover_cache_tokens: u64,
    /// The lowest ratio of a customer's service to its fair share, in thousandths.
    pub(crate) worst_share_permille: u64,
    pub(crate) worst_customer: &'static str,
    /// Refusals of requests within the rate, by error code, without the flooding customer.
    pub(crate) wrongful_refusals: BTreeMap<String, u64>,
    pub(crate) failures: BTreeMap<String, u64>,
    pub(crate) busy_permille: u64,
    pub(crate) queued_permille: u64,
    pub(crate) not_started: u64,
}

/// Computes the measures of a run. `cached` holds the cache tags of the engines after the run,
/// with their numbers of tokens.
pub(crate) fn measure(
    deployment: &'static Deployment,
    scenario: Scenario,
    trace: &Trace,
    records: &Records,
    cached: &[(String, u64)],
) -> Measures {
    let flooding_customer =
        (scenario == Scenario::Flood).then_some(deployment.flooding_customer);
    let counted: Vec<&ProgramRecord> = records
        .programs
        .iter()
        .filter(|p| Some(p.customer) != flooding_customer && p.start_ms >= WARM_UP_MS)
        // The latency of a looping program does not matter, since nobody waits for it.
        .filter(|p| p.kind != ProgramKind::Loop)
        .collect();
    let mut latencies: Vec<u64> = counted.iter().map(|p| p.end_ms - p.start_ms).collect();
    latencies.sort_unstable();
    let mut ideals: Vec<u64> = counted.iter().map(|p| p.ideal_ms).collect();
    ideals.sort_unstable();
    let mut failures: BTreeMap<String, u64> = BTreeMap::new();
    for program in &counted {
        if let ProgramEnd::Failed(code) = &program.end {
            *failures.entry(code.clone()).or_default() += 1;
        }
    }
    let mut wrongful_refusals: BTreeMap<String, u64> = BTreeMap::new();
    for ((customer, code), count) in &records.wrongful_refusals {
        if Some(*customer) != flooding_customer {
            *wrongful_refusals.entry(code.clone()).or_default() += count;
        }
    }
    let recomputed: u64 = records.calls.iter().map(|c| c.recomputed_tokens).sum();
    let history: u64 = records.calls.iter().map(|c| c.history_tokens).sum();
    let ended = |tag: &String| records.ended_tags.contains(tag);
    let held = cached.iter().filter(|(tag, _)| ended(tag));
    let (worst_share_permille, worst_customer) =
        worst_served(deployment, flooding_customer, trace, records);
    Measures {
        p50_ms: percentile(&latencies, 50),
        p95_ms: percentile(&latencies, 95),
        p99_ms: percentile(&latencies, 99),
        ideal_p95_ms: percentile(&ideals, 95),
        slowdown_permille: slowdowns(&counted, percentile(&ideals, 50)),
        programs: counted.len() as u64,
        failed: failures.values().sum(),
        cut: counted
            .iter()
            .filter(|p| p.end == ProgramEnd::Unfinished)
            .count() as u64,
        recomputed_tokens: recomputed,
        recomputed_permille: recomputed * 1_000 / history.max(1),
        leftover_cache_tokens: held.map(|(_, tokens)| tokens).sum(),
        worst_share_permille,
        worst_customer,
        wrongful_refusals,
        failures,
        busy_permille: mean(&records.busy_permille),
        queued_permille: mean(&records.queued_permille),
        not_started: records.not_started,
    }
}

fn mean(samples: &[u64]) -> u64 {
    samples.iter().sum::<u64>() / (samples.len() as u64).max(1)
}

/// Median ratios of the latency to the ideal latency, in thousandths: for the programs with an
/// ideal latency up to `median_ideal_ms`, and for the others.
fn slowdowns(programs: &[&ProgramRecord], median_ideal_ms: u64) -> (u64, u64) {
    let median = |long: bool| {
        let half = programs
            .iter()
            .filter(|p| (p.ideal_ms > median_ideal_ms) == long);
        let mut slowdowns: Vec<u64> = half
            .map(|p| (p.end_ms - p.start_ms) * 1_000 / p.ideal_ms.max(1))
            .collect();
        slowdowns.sort_unstable();
        percentile(&slowdowns, 50)
    };
    (median(false), median(true))
}

/// The nearest-rank percentile, or 0 without any values.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

/// The lowest ratio of service to fair share among the customers that do not flood, in
/// thousandths, and the customer that has it.
fn worst_served(
    deployment: &'static Deployment,
    flooding_customer: Option<usize>,
    trace: &Trace,
    records: &Records,
) -> (u64, &'static str) {
    let mut service = vec![0; deployment.customers.len()];
    for call in &records.calls {
        if call.finished_ms <= ARRIVALS_MS {
            service[call.customer] += call.work;
        }
    }
    let mut demand = vec![0; deployment.customers.len()];
    for plan in trace.programs.iter().filter(|plan| !plan.is_flood_excess) {
        let due = ideal_calls(plan)
            .into_iter()
            .filter(|call| call.finished_ms + CALL_TIME_ALLOWANCE_MS <= ARRIVALS_MS);
        demand[plan.customer] += due.map(|call| call.work).sum::<u64>();
    }
    // The flooding customer is entitled to its rate, but not to the part of the flood beyond
    // it.
    flooding_customer.inspect(|customer| demand[*customer] *= RATE_FACTOR);
    let fair = fair_shares(deployment, &demand, service.iter().sum());
    let ratios = (0..service.len())
        .filter(|c| Some(*c) != flooding_customer)
        .map(|c| {
            let ratio = (service[c] * 1_000).checked_div(fair[c]).unwrap_or(1_000);
            (ratio.min(1_000), deployment.customers[c].name)
        });
    ratios.min().unwrap_or((1_000, ""))
}

/// Divides `total` among the customers in proportion to their weights (max-min fairness). No
/// customer gets more than its demand, and what it leaves goes to the others.
fn fair_shares(deployment: &Deployment, demand: &[u64], total: u64) -> Vec<u64> {
    let mut share = vec![0; demand.len()];
    let mut unfilled: Vec<usize> = (0..demand.len()).collect();
    let mut remaining = total;
    loop {
        let weight = |c: usize| u64::from(deployment.customers[c].load_percent);
        let weights: u64 = unfilled.iter().map(|c| weight(*c)).sum();
        let weighted_part = |c: usize| remaining * weight(c) / weights.max(1);
        let (satisfied, unsatisfied): (Vec<usize>, Vec<usize>) = unfilled
            .iter()
            .partition(|c| demand[**c] <= weighted_part(**c));
        if satisfied.is_empty() {
            unsatisfied
                .iter()
                .for_each(|c| share[*c] = weighted_part(*c));
            return share;
        }
        for customer in satisfied {
            share[customer] = demand[customer];
            remaining -= demand[customer];
        }
        unfilled = unsatisfied;
    }
}
