//! Callers, which run the programs of a trace and record what they observe.
//!
//! Each program runs on its own thread, and so does each sub-agent.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use ureq::Agent;

use super::deployment::{Deployment, MODEL, ProgramKind, SYSTEM_TOKENS};
use super::fleet::{BalancerTarget, customer_key};
use super::outcome::{CallRecord, ProgramEnd, ProgramRecord, Records};
use super::trace::{ProgramPlan, Step, ideal_latency_ms, work};

/// Number of refusals (status 429 or 503) after which a call is given up.
const MAX_REFUSALS: u32 = 8;
/// Number of failed attempts after which a call is given up. Counts failures of the endpoint
/// and of the connection.
const MAX_ATTEMPTS: u32 = 4;
/// Time limit of one attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a sleeping caller checks whether the run has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a retry. A longer `Retry-After` of the response takes precedence.
const RETRY_PAUSE_MS: u64 = 100;
/// Number of tokens in a block of an engine's prefix cache. Only whole blocks are reused.
const BLOCK_TOKENS: u64 = 16;

/// State of a run, shared by all callers and the thread that starts them.
pub(crate) struct RunState {
    pub(crate) deployment: &'static Deployment,
    pub(crate) balancer_targets: Arc<Vec<BalancerTarget>>,
    pub(crate) records: Mutex<Records>,
    /// Set when the run ends. Callers then stop at their next step.
    pub(crate) stop: AtomicBool,
    /// Start of the run, from which the times of a trace count.
    pub(crate) started: Instant,
    /// Running programs of customers that do not flood.
    pub(crate) running: AtomicU64,
    /// Running programs of the flooding customer.
    pub(crate) flooding: AtomicU64,
}

impl RunState {
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the run has ended.
    pub(crate) fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Sleeps for this time, or until the run ends.
    fn sleep_ms(&self, ms: u64) {
        let end = Instant::now() + Duration::from_millis(ms);
        while !self.stopped() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(STOP_CHECK_INTERVAL));
        }
    }

    /// Picks a random instance among those that the load balancer considers healthy. Without
    /// any, picks the first one.
    fn pick_healthy(&self, rng: &mut SmallRng) -> usize {
        let healthy: Vec<usize> = (0..self.balancer_targets.len())
            .filter(|index| self.balancer_targets[*index].healthy.load(Ordering::SeqCst))
            .collect();
        match healthy.is_empty() {
            true => 0,
            false => healthy[rng.random_range(0..healthy.len())],
        }
    }
}

/// Why a program ended before its last step.
enum SessionError {
    /// The instance refused a call because the program's token budget was used up.
    BudgetExhausted,
    /// A call failed, with the code of the last error.
    Failed(String),
    /// The run ended.
    Unfinished,
}

/// A program or sub-agent that is being run.
struct Session<'a> {
    run_state: &'a RunState,
    customer: usize,
    profile: &'static str,
    /// Value of the header `Authorization`.
    authorization: String,
    http_agent: Agent,
    /// Index of the instance that calls are sent to.
    target: usize,
    rng: SmallRng,
    /// Token of the program, absent for single calls without a program.
    program: Option<String>,
    /// Chat history with the system prompt.
    messages: Vec<Value>,
    /// Tokens of the previous model call, prompt and answer together.
    history_tokens: u64,
    /// Calls to plain services so far. Used for their idempotency keys.
    calls: u64,
}

/// Runs a program and records it.
pub(crate) fn run(run_state: &RunState, plan: &ProgramPlan) {
    let start_ms = run_state.now_ms();
    let mut caller =
        Session::new(run_state, plan.customer, profile(plan.kind), plan.text_seed);
    let result = match plan.kind {
        ProgramKind::Question => caller.run_steps(&plan.steps),
        _ => caller.run_as_program(None, &plan.steps),
    };
    let end = match result {
        Ok(()) | Err(SessionError::BudgetExhausted) => ProgramEnd::Completed,
        Err(SessionError::Failed(code)) => ProgramEnd::Failed(code),
        Err(SessionError::Unfinished) => ProgramEnd::Unfinished,
    };
    run_state.lock().programs.push(ProgramRecord {
        customer: plan.customer,
        kind: plan.kind,
        start_ms,
        end_ms: run_state.now_ms(),
        end,
        ideal_ms: ideal_latency_ms(plan),
    });
}

/// The profile that programs and calls of this kind request.
fn profile(kind: ProgramKind) -> &'static str {
    match kind {
        ProgramKind::ShortTask | ProgramKind::Question => "interactive",
        ProgramKind::Summary | ProgramKind::Conversation => "standard",
        ProgramKind::Loop => "loop",
    }
}

/// Random text of the given number of tokens. Each token is a word of three letters and a
/// space.
fn random_text(rng: &mut SmallRng, tokens: usize) -> String {
    const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz";
    let mut text = String::with_capacity(tokens * 4);
    for _ in 0..tokens {
        let mut number: usize = rng.random_range(0..LETTERS.len().pow(3));
        for _ in 0..3 {
            text.push(char::from(LETTERS[number % LETTERS.len()]));
            number /= LETTERS.len();
        }
        text.push(' ');
    }
    text
}

impl<'a> Session<'a> {
    fn new(
        run_state: &'a RunState,
        customer: usize,
        profile: &'static str,
        text_seed: u64,
    ) -> Session<'a> {
        let mut rng = SmallRng::seed_from_u64(text_seed);
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .max_idle_connections(1)
            .build();
        let mut system_rng = SmallRng::seed_from_u64(customer as u64);
        let system = random_text(&mut system_rng, SYSTEM_TOKENS);
        let name = run_state.deployment.customers[customer].name;
        Session {
            target: run_state.pick_healthy(&mut rng),
            run_state,
            customer,
            profile,
            authorization: format!("Bearer {}", customer_key(name)),
            http_agent: config.into(),
            rng,
            program: None,
            messages: vec![json!({ "role": "system", "content": system })],
            history_tokens: 0,
            calls: 0,
        }
    }

    /// Opens a program, runs its steps and closes it. A program that the end of the run
    /// interrupts is not closed.
    fn run_as_program(
        &mut self,
        parent: Option<&str>,
        steps: &[Step],
    ) -> Result<(), SessionError> {
        let opened = self.open_program(parent)?;
        self.program = Some(opened.clone());
        let result = self.run_steps(steps);
        if !matches!(result, Err(SessionError::Unfinished)) {
            let path = format!("/v1/programs/{opened}");
            let _ = self.send("DELETE", &path, &[], "");
            let tag = cache_tag(&opened);
            self.run_state.lock().ended_tags.extend(tag);
        }
        result
    }

    fn run_steps(&mut self, steps: &[Step]) -> Result<(), SessionError> {
        for step in steps {
            match step {
                Step::Chat {
                    new_tokens,
                    answer_tokens,
                } => self.call_model(*new_tokens, *answer_tokens)?,
                Step::Service => self.call_service()?,
                Step::Pause { ms } => self.run_state.sleep_ms(*ms),
                Step::SubAgents(agents) => self.run_sub_agents(agents)?,
            }
        }
        Ok(())
    }

    /// Runs sub-agents in parallel, as child programs of this one, and waits for all.
    fn run_sub_agents(&mut self, agents: &[Vec<Step>]) -> Result<(), SessionError> {
        let parent = self.program.clone();
        let parent = parent.as_deref();
        let (run_state, customer, profile) =
            (self.run_state, self.customer, self.profile);
        let seeds: Vec<u64> = agents.iter().map(|_| self.rng.random()).collect();
        thread::scope(|scope| {
            let threads: Vec<_> = agents
                .iter()
                .zip(seeds)
                .map(|(steps, seed)| {
                    scope.spawn(move || {
                        let mut agent = Session::new(run_state, customer, profile, seed);
                        agent.run_as_program(parent, steps)
                    })
                })
                .collect();
            threads.into_iter().try_for_each(|thread| {
                thread.join().unwrap_or(Err(SessionError::Unfinished))
            })
        })
    }

    /// Opens a program and returns its token. A sub-agent names its parent instead of a profile.
    fn open_program(&mut self, parent: Option<&str>) -> Result<String, SessionError> {
        let mut headers = vec![("Jayreel-Profile", self.profile.to_string())];
        if let Some(parent) = parent {
            headers = vec![("Jayreel-Parent", parent.to_string())];
        }
        let answer =
            self.send_with_retries("POST", "/v1/programs", &headers, "{}", true)?;
        let id = answer["id"].as_str().map(str::to_string);
        id.ok_or_else(|| SessionError::Failed("no_program".to_string()))
    }

    /// Sends a model call with a new message, and records it if it succeeds.
    fn call_model(
        &mut self,
        new_tokens: usize,
        answer_tokens: u64,
    ) -> Result<(), SessionError> {
        let content = random_text(&mut self.rng, new_tokens);
        self.messages
            .push(json!({ "role": "user", "content": content }));
        let body = json!({
            "model": MODEL,
            "max_tokens": answer_tokens,
            "messages": self.messages,
        });
        let path = "/v1/chat/completions";
        let headers = match &self.program {
            Some(program) => vec![("Jayreel-Program", program.clone())],
            None => vec![("Jayreel-Profile", self.profile.to_string())],
        };
        let answer =
            self.send_with_retries("POST", path, &headers, &body.to_string(), true)?;
        let usage = &answer["usage"];
        let prompt = usage["prompt_tokens"].as_u64().unwrap_or(0);
        let cached = usage["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap_or(0);
        let generated = usage["completion_tokens"].as_u64().unwrap_or(0);
        let whole_blocks = self.history_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
        self.run_state.lock().calls.push(CallRecord {
            customer: self.customer,
            finished_ms: self.run_state.now_ms(),
            work: work(self.history_tokens, prompt, generated),
            recomputed_tokens: whole_blocks.saturating_sub(cached),
            history_tokens: whole_blocks,
        });
        let message = answer["choices"][0]["message"].clone();
        self.messages.push(message);
        self.history_tokens = prompt + generated;
        Ok(())
    }

    /// Sends a call to a plain service, with an idempotency key.
    fn call_service(&mut self) -> Result<(), SessionError> {
        self.calls += 1;
        let mut headers = vec![("Idempotency-Key", format!("call-{}", self.calls))];
        if let Some(program) = &self.program {
            headers.push(("Jayreel-Program", program.clone()));
        }
        self.send_with_retries("POST", "/tool/run", &headers, "{}", false)?;
        Ok(())
    }

    /// Sends a request until it succeeds or is given up. Repeats it after a refusal or failure
    /// only if it may run twice or the response says that it has not run.
    fn send_with_retries(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &str,
        may_run_twice: bool,
    ) -> Result<Value, SessionError> {
        let counts_against_rate = path != "/v1/programs";
        let (mut refusals, mut failures) = (0, 0);
        loop {
            if self.run_state.stopped() {
                return Err(SessionError::Unfinished);
            }
            let now_ms = self.run_state.now_ms();
            let within_rate = !counts_against_rate
                || self.run_state.lock().count_request(self.customer, now_ms);
            let (status, retry_after_s, answer) =
                match self.send(method, path, headers, body) {
                    Some(answer) => answer,
                    None => (0, 0, Value::Null),
                };
            if self.run_state.stopped() && !(200..300).contains(&status) {
                return Err(SessionError::Unfinished);
            }
            let error = &answer["error"];
            let code = error["code"].as_str().unwrap_or("connection").to_string();
            let has_not_run = error["ran"] == json!("no");
            match status {
                200..300 => return Ok(answer),
                409 if code == "budget_exhausted" => {
                    return Err(SessionError::BudgetExhausted);
                }
                429 | 503 => {
                    if counts_against_rate {
                        let mut records = self.run_state.lock();
                        records.record_refusal(self.customer, within_rate, &code);
                    }
                    refusals += 1;
                    if refusals >= MAX_REFUSALS || !(has_not_run || may_run_twice) {
                        return Err(SessionError::Failed(code));
                    }
                    let wait_ms = (retry_after_s * 1_000).max(RETRY_PAUSE_MS);
                    self.run_state.sleep_ms(wait_ms);
                }
                0 | 502 | 504 if may_run_twice || has_not_run => {
                    failures += 1;
                    if failures >= MAX_ATTEMPTS {
                        return Err(SessionError::Failed(code));
                    }
                    self.target = self.run_state.pick_healthy(&mut self.rng);
                    self.run_state.sleep_ms(RETRY_PAUSE_MS);
                }
                _ => return Err(SessionError::Failed(code)),
            }
        }
    }

    /// Sends a request once. Returns the status, the seconds in `Retry-After` (0 if it is
    /// absent) and the body, or `None` if the connection failed.
    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &str,
    ) -> Option<(u16, u64, Value)> {
        let delay = Duration::from_millis(self.run_state.deployment.caller_delay_ms);
        thread::sleep(delay * 2);
        let address = self.run_state.balancer_targets[self.target].address;
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("Authorization", &self.authorization)
            .header("Content-Type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(body.to_string()).ok()?;
        let mut response = self.http_agent.run(request).ok()?;
        let status = response.status().as_u16();
        let retry_after_s = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let text = response.body_mut().read_to_string().ok()?;
        let answer = serde_json::from_str(&text).unwrap_or(Value::Null);
        Some((status, retry_after_s, answer))
    }
}

/// The tag under which engines cache the prompts of a program, derived from the payload of the
/// program's token.
fn cache_tag(token: &str) -> Option<String> {
    let (payload, _) = token.split_once('.')?;
    let json = URL_SAFE_NO_PAD.decode(payload).ok()?;
    let value: Value = serde_json::from_slice(&json).ok()?;
    let owner = value["owner"].as_str()?;
    Some(format!("{owner}~{}", value["sequence"]))
}
