//! The part of a customer's rate that one member of the group hands out.
//!
//! Each member owns an equal part of each customer's rate and burst and answers for it
//! alone, so the sum over the group never exceeds the limit, whoever is reachable. Instances
//! take tokens where they need them. A member that starts begins with an almost empty bucket:
//! what it handed out before is unknown.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// A customer's limit over all instances. A rate of 0 means no limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateLimit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
}

/// Smallest capacity of a bucket, in requests: without one whole token none is ever given.
const LEAST_CAPACITY: f64 = 1.0;

/// What tokens are taken for.
///
/// Answers the pattern of a customer that sends several times its limit in programs of many
/// requests: if each request has the same chance, most programs begin and hardly any ends.
/// The last part of a bucket is kept for programs that have begun.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUse {
    /// A request of a program that has begun.
    GoOn,
    /// The first request of a program, or one without a program.
    Begin,
    /// Requests that have not come yet.
    Advance,
}

impl QuotaUse {
    /// Part of a bucket that is kept for more urgent uses.
    fn kept_part(self) -> f64 {
        match self {
            QuotaUse::GoOn => 0.0,
            QuotaUse::Begin => 0.7,
            QuotaUse::Advance => 0.8,
        }
    }
}

/// A member that starts has this many tokens of each customer. All members together stay
/// within the agreed slack of 20 requests, also if they start twice in one window.
const FIRST_TOKENS: f64 = 3.0;

/// Nothing is kept for programs that have begun in this time after a start, in milliseconds:
/// there are none, or all of them begin anew.
const NO_KEEPING_MS: u64 = 3_000;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    created_ms: u64,
    updated_ms: u64,
}

/// The buckets of one member.
#[derive(Debug, Default)]
pub struct RateShare {
    buckets: HashMap<String, Bucket>,
    limits: HashMap<String, RateLimit>,
    configuration_version: u64,
}

impl RateShare {
    /// Learns a limit, from which on tokens accrue. Limits of older configurations than the
    /// newest seen are ignored.
    pub fn learn(&mut self, now_ms: u64, version: u64, customer: &str, limit: RateLimit) {
        if version < self.configuration_version {
            return;
        }
        self.configuration_version = version;
        self.limits.insert(customer.to_string(), limit);
        self.bucket(now_ms, customer);
    }

    fn bucket(&mut self, now_ms: u64, customer: &str) -> &mut Bucket {
        self.buckets.entry(customer.to_string()).or_insert(Bucket {
            tokens: FIRST_TOKENS,
            created_ms: now_ms,
            updated_ms: now_ms,
        })
    }

    /// Takes up to `requests` whole tokens of a customer. `parts` is the number of members
    /// that share the limit.
    pub fn take(
        &mut self,
        now_ms: u64,
        customer: &str,
        requests: u32,
        parts: usize,
        quota_use: QuotaUse,
    ) -> u32 {
        let Some(limit) = self.limits.get(customer).copied() else {
            return 0;
        };
        let parts = parts.max(1) as f64;
        let rate_per_ms = limit.rate_per_s / 1_000.0 / parts;
        let capacity = (limit.burst / parts).max(LEAST_CAPACITY);
        let bucket = self.bucket(now_ms, customer);
        let elapsed_ms = now_ms.saturating_sub(bucket.updated_ms) as f64;
        bucket.tokens = (bucket.tokens + elapsed_ms * rate_per_ms).min(capacity);
        bucket.updated_ms = now_ms;
        // A full bucket gives one token whatever it is for.
        let kept = match now_ms < bucket.created_ms + NO_KEEPING_MS {
            true => 0.0,
            false => (quota_use.kept_part() * capacity).min(capacity - 1.0),
        };
        let free = (bucket.tokens - kept).max(0.0);
        let granted = free.floor().min(f64::from(requests));
        bucket.tokens -= granted;
        granted as u32
    }
}
