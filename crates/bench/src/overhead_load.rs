//! An open-loop load generator: requests are due at a fixed rate, regardless of how fast
//! earlier ones are answered. The numbers of caller threads and of requests are bounded.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::overhead_fleet::CUSTOMER_KEY;

/// Stack size of a caller thread. Up to 500 of these threads run at the same time.
const CALLER_STACK_BYTES: usize = 512 * 1024;

/// Parameters of one run of the load generator.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Address that the requests are sent to: an instance or an engine.
    pub target: SocketAddr,
    /// Requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub requests: u64,
    /// Caller threads. A request that is due while all threads are busy is sent late. Its
    /// latency still counts from when it was due.
    pub callers: usize,
    /// Delay from the call of [`run`] until the first request is due.
    pub offset: Duration,
    /// Whether the requests ask for a streamed response.
    pub stream: bool,
}

/// Latencies and failures of the requests of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Time from when a request was due to the end of its response, in microseconds.
    pub total_us: Histogram<u64>,
    /// Time from when a request was due to the first byte of the response body, in
    /// microseconds.
    pub first_byte_us: Histogram<u64>,
    /// Requests without a complete response of status 200. A caller thread that panicked
    /// counts as one.
    pub failed: u64,
    /// Time from when the first request was due until all responses had ended.
    pub took: Duration,
}

impl Outcome {
    fn new() -> Outcome {
        Outcome {
            total_us: histogram(),
            first_byte_us: histogram(),
            failed: 0,
            took: Duration::ZERO,
        }
    }

    /// Adds the latencies and failures of another outcome. `took` is not changed.
    pub fn merge(&mut self, other: &Outcome) {
        // Merging histograms fails only if their ranges differ, and all have the same range.
        let _ = self.total_us.add(&other.total_us);
        let _ = self.first_byte_us.add(&other.first_byte_us);
        self.failed += other.failed;
    }

    /// A quantile of [`Outcome::total_us`], converted to milliseconds.
    pub fn total_ms(&self, quantile: f64) -> f64 {
        self.total_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// A quantile of [`Outcome::first_byte_us`], converted to milliseconds.
    pub fn first_byte_ms(&self, quantile: f64) -> f64 {
        self.first_byte_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds are valid")
}

/// Request body of a chat completion.
pub fn chat_body(stream: bool) -> String {
    json!({
        "model": "test-model",
        "stream": stream,
        "messages": [{ "role": "user", "content": "Summarise the case file." }],
    })
    .to_string()
}

/// Sends all requests and waits for their responses.
pub fn run(load: Load) -> Outcome {
    let next = AtomicU64::new(0);
    let start = Instant::now() + load.offset;
    let mut total = Outcome::new();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..load.callers)
            .filter_map(|_| {
                std::thread::Builder::new()
                    .stack_size(CALLER_STACK_BYTES)
                    .spawn_scoped(scope, || send_requests(load, start, &next))
                    .ok()
            })
            .collect();
        for caller in callers {
            match caller.join() {
                Ok(outcome) => total.merge(&outcome),
                Err(_) => total.failed += 1,
            }
        }
    });
    total.took = start.elapsed();
    total
}

/// Body of a caller thread. Takes the next request from `next` until all have been sent.
fn send_requests(load: Load, start: Instant, next: &AtomicU64) -> Outcome {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(60)))
        .build()
        .into();
    let url = format!("http://{}/v1/chat/completions", load.target);
    let body = chat_body(load.stream);
    let mut outcome = Outcome::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        if index >= load.requests {
            return outcome;
        }
        let due = start + Duration::from_secs_f64(index as f64 / load.rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        match send(&agent, &url, &body, due) {
            Some((first_byte, total)) => {
                let _ = outcome.first_byte_us.record(first_byte.as_micros() as u64);
                let _ = outcome.total_us.record(total.as_micros() as u64);
            }
            None => outcome.failed += 1,
        }
    }
}

/// Sends a request and reads the response to its end. Returns the times to the first byte and to
/// the end, both counted from `due`, or `None` unless the response is complete and has status 200.
fn send(
    agent: &ureq::Agent,
    url: &str,
    body: &str,
    due: Instant,
) -> Option<(Duration, Duration)> {
    let response = agent
        .post(url)
        .header("Authorization", format!("Bearer {CUSTOMER_KEY}"))
        .header("Content-Type", "application/json")
        .send(body)
        .ok()?;
    if response.status() != 200 {
        return None;
    }
    let mut reader = response.into_body().into_reader();
    let mut buffer = [0; 4_096];
    let mut first_byte = None;
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(_) => first_byte = first_byte.or(Some(due.elapsed())),
            Err(_) => return None,
        }
    }
    Some((first_byte?, due.elapsed()))
}
