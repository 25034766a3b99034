//! The part of a customer's rate that one member of the group hands out.
//!
//! Each member owns an equal part of each customer's rate and burst and answers for it
//! alone, so the sum over the group never exceeds the limit, whoever is reachable. Instances
//! take tokens where they need them.
//!
//! The limit is agreed over a window: so many requests a second in it, and a burst. Programs
//! send unevenly, so a request of a program that has begun is granted as long as the window
//! has room. New programs are granted by a token bucket, which all grants drain, so that a
//! customer above its limit begins as many programs as it can finish.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// A customer's limit over all instances. A rate of 0 means no limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
}

/// How limits are judged: over any window, and with some requests beyond them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateTolerance {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Requests of one customer beyond its limit that are tolerated in a window.
    pub slack_requests: f64,
}

/// What tokens are taken for.
///
/// Answers the pattern of a customer that sends several times its limit in programs of many
/// requests: if each request has the same chance, most programs begin and hardly any ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaPurpose {
    /// A request of a program that has begun.
    ContinueProgram,
    /// The first request of a program, or one without a program.
    StartProgram,
    /// Requests that have not come yet.
    Prefetch,
}

/// Part of the bucket that new programs leave, so that programs which have begun go on.
const BEGIN_KEPT_PART: f64 = 0.5;

/// Part of the bucket that tokens in advance leave, more than new programs, which are there.
const ADVANCE_KEPT_PART: f64 = 0.7;

/// Part of the tolerated requests that programs which have begun may use. They are repaid before
/// new ones begin. The rest is for rounding and for requests that reach an endpoint in a later
/// window than they were granted in.
const SLACK_PART: f64 = 0.5;

/// Smallest capacity of a bucket, in requests: without one whole token none is ever given.
const LEAST_CAPACITY: f64 = 1.0;

/// While less than this part of the window is used, programs begin whatever the bucket holds:
/// the buckets of many members are small, and small customers' hold one token. The rest is for
/// what programs that have begun send; with half, too many begin (`tests/program_load.rs`).
const UNCONTENDED_PART: f64 = 0.3;

/// Nothing is kept for programs that have begun in this time after a start, in milliseconds:
/// there are none, or all of them begin anew.
const NO_KEEPING_MS: u64 = 3_000;

#[derive(Debug)]
struct Account {
    /// Falls below 0 while programs that have begun use the window's room.
    tokens: f64,
    updated_ms: u64,
    /// Time and number of grants in the window, oldest first.
    granted: VecDeque<(u64, u32)>,
}

impl Account {
    fn in_window(&mut self, now_ms: u64, window_ms: u64) -> u32 {
        while self
            .granted
            .front()
            .is_some_and(|(at_ms, _)| at_ms + window_ms <= now_ms)
        {
            self.granted.pop_front();
        }
        self.granted.iter().map(|(_, count)| count).sum()
    }
}

/// The parts of all customers' rates that one member hands out.
#[derive(Debug)]
pub struct RateShare {
    tolerance: RateTolerance,
    started_ms: u64,
    /// Nothing is granted before: what was granted in the window is not known.
    blocked_until_ms: u64,
    accounts: HashMap<String, Account>,
    limits: HashMap<String, RateLimit>,
    configuration_version: u64,
}

impl RateShare {
    /// The share of a member that starts.
    pub fn new(now_ms: u64, tolerance: RateTolerance) -> RateShare {
        RateShare {
            tolerance,
            started_ms: now_ms,
            blocked_until_ms: 0,
            accounts: HashMap::new(),
            limits: HashMap::new(),
            configuration_version: 0,
        }
    }

    /// The window in which limits hold, in milliseconds.
    pub fn window_ms(&self) -> u64 {
        self.tolerance.window_ms
    }

    /// Grants nothing until all grants before `since_ms` have left the window.
    pub fn block_since(&mut self, since_ms: u64) {
        let until_ms = since_ms + self.window_ms();
        self.blocked_until_ms = self.blocked_until_ms.max(until_ms);
    }

    /// A grant from before the start still counts in the window.
    pub fn restore(&mut self, at_ms: u64, customer: &str, count: u32) {
        let account = self.account(at_ms, customer);
        account.granted.push_back((at_ms, count));
    }

    /// Learns a limit, from which on tokens accrue. Limits of older configurations than the
    /// newest seen are ignored.
    pub fn learn(&mut self, now_ms: u64, version: u64, customer: &str, limit: RateLimit) {
        if version < self.configuration_version {
            return;
        }
        self.configuration_version = version;
        self.limits.insert(customer.to_string(), limit);
        self.account(now_ms, customer);
    }

    fn account(&mut self, now_ms: u64, customer: &str) -> &mut Account {
        self.accounts
            .entry(customer.to_string())
            .or_insert_with(|| Account {
                tokens: LEAST_CAPACITY,
                updated_ms: now_ms,
                granted: VecDeque::new(),
            })
    }

    /// Takes up to `requests` tokens of a customer. `parts` is the number of members that
    /// share the limit.
    pub fn take(
        &mut self,
        now_ms: u64,
        customer: &str,
        requests: u32,
        parts: usize,
        quota_purpose: QuotaPurpose,
    ) -> u32 {
        let Some(limit) = self.limits.get(customer).copied() else {
            return 0;
        };
        if now_ms < self.blocked_until_ms {
            return 0;
        }
        let parts = parts.max(1) as f64;
        let window_ms = self.window_ms();
        let slack = (SLACK_PART * self.tolerance.slack_requests / parts).floor();
        let keeps = now_ms >= self.started_ms + NO_KEEPING_MS;
        let rate_per_ms = limit.rate_per_s / 1_000.0 / parts;
        let capacity = (limit.burst / parts).max(LEAST_CAPACITY);
        let in_window = rate_per_ms * window_ms as f64;
        let account = self.account(now_ms, customer);
        let elapsed_ms = now_ms.saturating_sub(account.updated_ms) as f64;
        account.tokens = (account.tokens + elapsed_ms * rate_per_ms).min(capacity);
        account.updated_ms = account.updated_ms.max(now_ms);
        let used = f64::from(account.in_window(now_ms, window_ms));
        // Rounded up, which the agreed slack covers: small customers would lose most of it.
        let room = (in_window + limit.burst / parts).ceil() - used;
        // A full bucket gives one token whatever it is for.
        let in_bucket =
            |kept_part: f64| account.tokens - (kept_part * capacity).min(capacity - 1.0);
        let uncontended = UNCONTENDED_PART * (in_window + limit.burst / parts);
        let free = match quota_purpose {
            QuotaPurpose::ContinueProgram => room + slack,
            _ if !keeps => account.tokens,
            QuotaPurpose::StartProgram => {
                in_bucket(BEGIN_KEPT_PART).max(uncontended - used)
            }
            QuotaPurpose::Prefetch => in_bucket(ADVANCE_KEPT_PART),
        };
        let granted = free
            .min(room + slack)
            .max(0.0)
            .floor()
            .min(f64::from(requests));
        account.tokens = (account.tokens - granted).max(-in_window);
        let granted = granted as u32;
        if granted > 0 {
            account.granted.push_back((now_ms, granted));
        }
        granted
    }
}
