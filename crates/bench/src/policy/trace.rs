//! Generates traces of programs from a seed, and computes how long they would take in a system
//! in which no call has to wait.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::deployment::{
    BATCH_SLOWDOWN_US, Deployment, LOOP_BUDGET_TOKENS, PREFILL_US_PER_TOKEN, ProgramKind,
    SERVICE_MS, SYSTEM_TOKENS, TOKEN_US, WORKER_SLOTS,
};
use super::scenario::Scenario;

/// Time during which programs arrive.
pub(crate) const ARRIVALS_MS: u64 = 18_000;
/// Programs that start earlier are left out of the measures, since the load of the fleet is
/// still building up.
pub(crate) const WARM_UP_MS: u64 = 4_000;
/// Time at which faults and floods begin.
pub(crate) const DISTURBANCE_START_MS: u64 = 5_000;
/// Factor between a customer's rate limit and its mean request rate without a flood.
pub(crate) const RATE_FACTOR: u64 = 2;
/// Factor between the request rate of a flooding customer and its rate limit.
const FLOOD_FACTOR: u64 = 5;
/// A customer's burst is what its rate allows in this many seconds.
const BURST_S: u64 = 5;
/// Lowest rate limit of a customer, in requests per second.
const MIN_RATE: u64 = 2;
/// Lowest burst of a customer, in requests.
const MIN_BURST: u64 = 12;
/// Largest number of calls of a looping program.
const MAX_LOOPS: usize = 25;

/// One step of a program.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A model call. The prompt is the history with a new message of the caller.
    Chat {
        new_tokens: usize,
        answer_tokens: u64,
    },
    /// A call to a plain service. It must not run twice.
    Service,
    /// The caller sends nothing for this time.
    Pause { ms: u64 },
    /// Sub-agents that run in parallel, each with its own steps. The program waits for all.
    SubAgents(Vec<Vec<Step>>),
}

/// A program of a trace.
#[derive(Clone, Debug)]
pub(crate) struct ProgramPlan {
    /// Index among the customers of the deployment.
    pub(crate) customer: usize,
    pub(crate) kind: ProgramKind,
    /// Time since the start of the run.
    pub(crate) start_ms: u64,
    /// Seed of the prompts' random text.
    pub(crate) text_seed: u64,
    pub(crate) steps: Vec<Step>,
    /// Whether the program is part of a flood beyond the customer's usual demand.
    pub(crate) is_flood_excess: bool,
}

/// Rate limit of a customer, in thousandths of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    pub(crate) rate_mreq_per_s: u64,
    pub(crate) burst_mreq: u64,
}

/// All programs of a run, sorted by start, and the rate limits of the customers.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) programs: Vec<ProgramPlan>,
    pub(crate) rate_limits: Vec<RateLimit>,
}

/// Generates the trace of a seed. It does not depend on the variant, so that all variants face
/// the same programs.
pub(crate) fn generate(deployment: &Deployment, scenario: Scenario, seed: u64) -> Trace {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut programs = Vec::new();
    let mut rate_limits = Vec::new();
    for customer in 0..deployment.customers.len() {
        let base = generate_programs(deployment, customer, &mut rng);
        let requests: u64 = base.iter().map(|plan| count_requests(&plan.steps)).sum();
        let mean_mreq = requests * 1_000_000 / ARRIVALS_MS;
        let rate_mreq_per_s = (mean_mreq * RATE_FACTOR).max(MIN_RATE * 1_000);
        rate_limits.push(RateLimit {
            rate_mreq_per_s,
            burst_mreq: (rate_mreq_per_s * BURST_S).max(MIN_BURST * 1_000),
        });
        programs.extend(base);
    }
    if scenario == Scenario::Flood {
        for _ in 1..RATE_FACTOR * FLOOD_FACTOR {
            let excess =
                generate_programs(deployment, deployment.flooding_customer, &mut rng);
            let excess = excess
                .into_iter()
                .filter(|p| p.start_ms >= DISTURBANCE_START_MS);
            programs.extend(excess.map(|plan| ProgramPlan {
                is_flood_excess: true,
                ..plan
            }));
        }
    }
    programs.sort_by_key(|plan| plan.start_ms);
    Trace {
        programs,
        rate_limits,
    }
}

/// Generates programs of a customer until they amount to its share of the load.
fn generate_programs(
    deployment: &Deployment,
    customer: usize,
    rng: &mut SmallRng,
) -> Vec<ProgramPlan> {
    let load_percent = u64::from(deployment.customers[customer].load_percent);
    let slots_us = deployment.slots() as u64 * ARRIVALS_MS * 1_000;
    let target_us = slots_us * deployment.ideal_load_percent * load_percent / 10_000;
    let mut generated_us = 0;
    let mut plans = Vec::new();
    while generated_us < target_us {
        let kind = pick_kind(deployment.kinds, rng);
        let plan = ProgramPlan {
            customer,
            kind,
            start_ms: rng.random_range(0..ARRIVALS_MS),
            text_seed: rng.random(),
            steps: generate_steps(kind, rng),
            is_flood_excess: false,
        };
        generated_us += ideal_slot_us(&plan);
        plans.push(plan);
    }
    plans
}

/// Picks a kind with its probability. The percentages add up to 100.
fn pick_kind(kinds: &[(ProgramKind, u32)], rng: &mut SmallRng) -> ProgramKind {
    let mut number = rng.random_range(0..100);
    for (kind, percent) in kinds {
        if number < *percent {
            return *kind;
        }
        number -= percent;
    }
    kinds[0].0
}

/// Generates the steps of a program. The numbers are the ranges of each kind: see
/// [`generate_turns`] for their meaning.
fn generate_steps(kind: ProgramKind, rng: &mut SmallRng) -> Vec<Step> {
    match kind {
        ProgramKind::Question => vec![random_chat(200..600, 15..40, rng)],
        ProgramKind::ShortTask => {
            generate_turns(3..6, 300..800, 60..250, 20..50, 150..600, 0, rng)
        }
        ProgramKind::Summary => {
            generate_turns(5..11, 800..2_000, 150..500, 25..60, 100..300, 40, rng)
        }
        ProgramKind::Conversation => {
            generate_turns(6..14, 500..1_500, 100..400, 20..50, 300..900, 20, rng)
        }
        ProgramKind::Loop => (0..MAX_LOOPS)
            .flat_map(|_| [random_chat(100..200, 30..31, rng), Step::Pause { ms: 100 }])
            .collect(),
    }
}

type UsizeRange = std::ops::Range<usize>;

/// Generates a conversation of model calls. Before each later call is a service call or a
/// pause, with equal probability. With a probability of `sub_agent_percent`, sub-agents run
/// halfway through.
///
/// `count` is the number of model calls, `first` and `next` are the new tokens of the first call
/// and of later ones, `answer` the generated tokens, and `pause` the milliseconds of a pause.
fn generate_turns(
    count: UsizeRange,
    first: UsizeRange,
    next: UsizeRange,
    answer: std::ops::Range<u64>,
    pause: std::ops::Range<u64>,
    sub_agent_percent: u32,
    rng: &mut SmallRng,
) -> Vec<Step> {
    let count = rng.random_range(count);
    let mut steps = vec![random_chat(first, answer.clone(), rng)];
    let has_sub_agents = rng.random_range(0..100) < sub_agent_percent;
    for turn in 1..count {
        match rng.random_bool(0.5) {
            true => steps.push(Step::Service),
            false => steps.push(Step::Pause {
                ms: rng.random_range(pause.clone()),
            }),
        }
        if has_sub_agents && turn == count / 2 {
            let agents = rng.random_range(2..4);
            steps.push(Step::SubAgents(
                (0..agents).map(|_| sub_agent(rng)).collect(),
            ));
        }
        steps.push(random_chat(next.clone(), answer.clone(), rng));
    }
    steps
}

/// Generates the steps of a sub-agent.
fn sub_agent(rng: &mut SmallRng) -> Vec<Step> {
    let count = rng.random_range(2..4);
    (0..count)
        .flat_map(|_| [random_chat(100..400, 15..40, rng), Step::Pause { ms: 100 }])
        .collect()
}

fn random_chat(
    new: UsizeRange,
    answer: std::ops::Range<u64>,
    rng: &mut SmallRng,
) -> Step {
    Step::Chat {
        new_tokens: rng.random_range(new),
        answer_tokens: rng.random_range(answer),
    }
}

/// Number of requests in the steps that count against the customer's rate.
fn count_requests(steps: &[Step]) -> u64 {
    let count = |step: &Step| match step {
        Step::Chat { .. } | Step::Service => 1,
        Step::Pause { .. } => 0,
        Step::SubAgents(agents) => agents.iter().map(|agent| count_requests(agent)).sum(),
    };
    steps.iter().map(count).sum()
}

/// A model call as it would run in a system in which no call has to wait.
pub(crate) struct IdealCall {
    /// Time since the start of the run.
    pub(crate) finished_ms: u64,
    /// Time for which the call holds a worker slot.
    pub(crate) slot_us: u64,
    /// Weighted tokens in tenths, see [`work`].
    pub(crate) work: u64,
}

/// Work of a model call in tenths of weighted tokens, with its whole history cached. A cached
/// prompt token counts 0.1, any other prompt token 1, and a generated token 4.
pub(crate) fn work(history_tokens: u64, prompt: u64, generated: u64) -> u64 {
    history_tokens.min(prompt)
        + prompt.saturating_sub(history_tokens) * 10
        + generated * 40
}

/// The model calls of a program in a system in which no call has to wait.
pub(crate) fn ideal_calls(plan: &ProgramPlan) -> Vec<IdealCall> {
    let mut calls = Vec::new();
    let budget = match plan.kind {
        ProgramKind::Loop => LOOP_BUDGET_TOKENS,
        _ => u64::MAX,
    };
    ideal_steps(&plan.steps, plan.start_ms * 1_000, budget, &mut calls);
    calls
}

/// Latency of a program in a system in which no call has to wait.
pub(crate) fn ideal_latency_ms(plan: &ProgramPlan) -> u64 {
    let start_us = plan.start_ms * 1_000;
    let budget = match plan.kind {
        ProgramKind::Loop => LOOP_BUDGET_TOKENS,
        _ => u64::MAX,
    };
    let end_us = ideal_steps(&plan.steps, start_us, budget, &mut Vec::new());
    (end_us - start_us) / 1_000
}

/// Adds the model calls of the steps to `calls`, and returns when the last step ends. Stops at
/// a call for which `budget` has too few tokens left.
fn ideal_steps(
    steps: &[Step],
    start_us: u64,
    budget: u64,
    calls: &mut Vec<IdealCall>,
) -> u64 {
    let mut now_us = start_us;
    let mut history_tokens = 0;
    let mut used_tokens = 0;
    for step in steps {
        match step {
            Step::Pause { ms } => now_us += ms * 1_000,
            Step::Service => now_us += SERVICE_MS * 1_000,
            Step::SubAgents(agents) => {
                let ends = agents
                    .iter()
                    .map(|agent| ideal_steps(agent, now_us, u64::MAX, calls));
                now_us = ends.max().unwrap_or(now_us);
            }
            Step::Chat {
                new_tokens,
                answer_tokens,
            } => {
                let cached_tokens = match history_tokens {
                    0 => SYSTEM_TOKENS as u64,
                    _ => history_tokens,
                };
                let prompt = cached_tokens + *new_tokens as u64;
                // The product reserves a token of the budget for each byte of the prompt. A
                // token of the generated text has 4 bytes.
                if used_tokens + prompt * 4 + answer_tokens > budget {
                    break;
                }
                used_tokens += prompt + answer_tokens;
                let slowdown_us = BATCH_SLOWDOWN_US * (WORKER_SLOTS as u64 - 1);
                let slot_us = (prompt - cached_tokens) * PREFILL_US_PER_TOKEN
                    + answer_tokens * (TOKEN_US + slowdown_us);
                now_us += slot_us;
                calls.push(IdealCall {
                    finished_ms: now_us / 1_000,
                    slot_us,
                    work: work(history_tokens, prompt, *answer_tokens),
                });
                history_tokens = prompt + answer_tokens;
            }
        }
    }
    now_us
}

/// Time for which the calls of a program hold worker slots if no call has to wait.
fn ideal_slot_us(plan: &ProgramPlan) -> u64 {
    ideal_calls(plan).iter().map(|call| call.slot_us).sum()
}
