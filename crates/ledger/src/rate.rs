//! Rate limiting of customers: the share of each customer's rate that one member grants.
//!
//! Each member owns an equal share of each customer's rate and burst and grants from it
//! without contacting others, so the sum over the group never exceeds the limit, whichever
//! members are reachable. Entry instances take tokens from any member.
//!
//! A limit applies over a sliding window: the rate times the window's length, plus a burst.
//! Programs send their requests unevenly, so a request of a program that has started is
//! granted as long as the window has room. Requests that start a program are granted from a
//! token bucket that all grants drain, so that a customer above its limit starts only as many
//! programs as it can finish.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Rate limit of a customer, over all instances together. A rate of 0 means no limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    /// Sustained requests per second.
    pub rate_per_s: f64,
    /// Requests that may arrive at once in addition to the rate.
    pub burst: f64,
}

/// How strictly limits are enforced: the window they apply to, and the requests beyond them
/// that are tolerated in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateTolerance {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Requests of one customer beyond its limit that are tolerated in a window, over all
    /// members together.
    pub slack_requests: f64,
}

/// What tokens are taken for.
///
/// The distinction is needed when a customer sends several times its limit in programs of
/// many requests: if every request had the same chance, most programs would start and hardly
/// any would finish.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaPurpose {
    /// A request of a program that has started.
    ContinueProgram,
    /// The first request of a program, or a request without a program.
    StartProgram,
    /// Tokens buffered for requests that are expected but have not arrived.
    Prefetch,
}

/// Fraction of the bucket that requests which start a program leave for programs that have
/// started.
const START_RESERVE_FRACTION: f64 = 0.5;

/// Fraction of the bucket that prefetches leave. Larger than [`START_RESERVE_FRACTION`], because
/// the requests that start a program have already arrived.
const PREFETCH_RESERVE_FRACTION: f64 = 0.7;

/// Fraction of the tolerated requests beyond the limit that programs which have started may
/// use. New programs wait until these are repaid. The rest covers rounding, and requests that
/// reach an endpoint in a later window than they were granted in.
const USABLE_SLACK_FRACTION: f64 = 0.5;

/// Smallest capacity of a bucket, in tokens. A bucket that cannot hold one whole token would
/// never grant anything.
const MIN_BUCKET_TOKENS: f64 = 1.0;

/// While less than this fraction of the window is used, programs may start even if the bucket
/// is empty: with many members the buckets are small, and those of small customers hold one
/// token. The rest of the window is left to programs that have started. With half of it, too
/// many programs started (`crates/gateway/tests/program_load.rs`).
const UNCONTENDED_FRACTION: f64 = 0.3;

/// Time after a start in which nothing is reserved for programs that have started, in
/// milliseconds: there are none yet, or all of them start again.
const NO_RESERVE_MS: u64 = 3_000;

/// Bucket and window of one customer.
#[derive(Debug)]
struct CustomerUsage {
    /// Content of the bucket. Negative while programs that have started use more than the
    /// rate, which the window allows.
    tokens: f64,
    /// When the bucket was last refilled.
    updated_ms: u64,
    /// Time in milliseconds and number of requests of each grant in the window, oldest first.
    grants: VecDeque<(u64, u32)>,
}

impl CustomerUsage {
    /// Returns the number of requests granted in the window that ends now. Drops older grants.
    fn granted_in_window(&mut self, now_ms: u64, window_ms: u64) -> u32 {
        while self
            .grants
            .front()
            .is_some_and(|(at_ms, _)| at_ms + window_ms <= now_ms)
        {
            self.grants.pop_front();
        }
        self.grants.iter().map(|(_, count)| count).sum()
    }
}

/// The shares of all customers' rates that one member grants.
#[derive(Debug)]
pub struct RateShare {
    tolerance: RateTolerance,
    started_ms: u64,
    /// Nothing is granted before this time, because the grants in the window are unknown.
    blocked_until_ms: u64,
    /// Usage by name of the customer.
    customers: HashMap<String, CustomerUsage>,
    /// Limits by name of the customer.
    limits: HashMap<String, RateLimit>,
    /// Newest version of the configuration that limits came from.
    configuration_version: u64,
}

impl RateShare {
    /// Creates the share of a member that starts at `now_ms`, without limits and grants.
    pub fn new(now_ms: u64, tolerance: RateTolerance) -> RateShare {
        RateShare {
            tolerance,
            started_ms: now_ms,
            blocked_until_ms: 0,
            customers: HashMap::new(),
            limits: HashMap::new(),
            configuration_version: 0,
        }
    }

    /// Length of the window that limits apply to, in milliseconds.
    pub fn window_ms(&self) -> u64 {
        self.tolerance.window_ms
    }

    /// Grants nothing until all grants from before `since_ms` have left the window.
    pub fn block_since(&mut self, since_ms: u64) {
        let until_ms = since_ms + self.window_ms();
        self.blocked_until_ms = self.blocked_until_ms.max(until_ms);
    }

    /// Adds a grant from before the start, read from the log, so that it counts in the window.
    /// Grants must be added in the order of their times.
    pub fn restore(&mut self, at_ms: u64, customer: &str, count: u32) {
        let usage = self.usage(at_ms, customer);
        usage.grants.push_back((at_ms, count));
    }

    /// Sets the limit of a customer, whose bucket fills from then on. Ignored if `version` is
    /// older than the newest configuration seen.
    pub fn set_limit(
        &mut self,
        now_ms: u64,
        version: u64,
        customer: &str,
        limit: RateLimit,
    ) {
        if version < self.configuration_version {
            return;
        }
        self.configuration_version = version;
        self.limits.insert(customer.to_string(), limit);
        self.usage(now_ms, customer);
    }

    fn usage(&mut self, now_ms: u64, customer: &str) -> &mut CustomerUsage {
        self.customers
            .entry(customer.to_string())
            .or_insert_with(|| CustomerUsage {
                tokens: MIN_BUCKET_TOKENS,
                updated_ms: now_ms,
                grants: VecDeque::new(),
            })
    }

    /// Grants up to `requests` requests of a customer, and returns how many. `shares` is the
    /// number of members that the limit is divided among. Grants nothing to a customer without
    /// a known limit.
    pub fn take(
        &mut self,
        now_ms: u64,
        customer: &str,
        requests: u32,
        shares: usize,
        quota_purpose: QuotaPurpose,
    ) -> u32 {
        let Some(limit) = self.limits.get(customer).copied() else {
            return 0;
        };
        if now_ms < self.blocked_until_ms {
            return 0;
        }
        let shares = shares.max(1) as f64;
        let window_ms = self.window_ms();
        let slack =
            (USABLE_SLACK_FRACTION * self.tolerance.slack_requests / shares).floor();
        let has_reserve = now_ms >= self.started_ms + NO_RESERVE_MS;
        let rate_per_ms = limit.rate_per_s / 1_000.0 / shares;
        let capacity = (limit.burst / shares).max(MIN_BUCKET_TOKENS);
        let rate_in_window = rate_per_ms * window_ms as f64;
        let usage = self.usage(now_ms, customer);
        let elapsed_ms = now_ms.saturating_sub(usage.updated_ms) as f64;
        usage.tokens = (usage.tokens + elapsed_ms * rate_per_ms).min(capacity);
        usage.updated_ms = usage.updated_ms.max(now_ms);
        let used = f64::from(usage.granted_in_window(now_ms, window_ms));
        // Rounded up, because rounding down would take most of the share of a small customer.
        // The tolerated slack covers the difference.
        let room = (rate_in_window + limit.burst / shares).ceil() - used;
        // The reserve leaves at least one token, so that a full bucket always grants one.
        let above_reserve =
            |reserve: f64| usage.tokens - (reserve * capacity).min(capacity - 1.0);
        let uncontended = UNCONTENDED_FRACTION * (rate_in_window + limit.burst / shares);
        let available = match quota_purpose {
            QuotaPurpose::ContinueProgram => room + slack,
            _ if !has_reserve => usage.tokens,
            QuotaPurpose::StartProgram => {
                above_reserve(START_RESERVE_FRACTION).max(uncontended - used)
            }
            QuotaPurpose::Prefetch => above_reserve(PREFETCH_RESERVE_FRACTION),
        };
        let granted = available
            .min(room + slack)
            .max(0.0)
            .floor()
            .min(f64::from(requests));
        usage.tokens = (usage.tokens - granted).max(-rate_in_window);
        let granted = granted as u32;
        if granted > 0 {
            usage.grants.push_back((now_ms, granted));
        }
        granted
    }
}
