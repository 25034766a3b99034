//! Fixtures shared by the tests of the quota.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::collections::BTreeMap;

use jayreel_model::Customer;
use jayreel_quota::{Quota, QuotaKey, QuotaSettings, Take};

/// From the setting of a weight until it counts and full buckets.
pub const WARM_MS: u64 = 1_000_000;

/// Contracts of one customer named `c`.
pub fn contracts(rate_mreq_per_s: u64, burst_mreq: u64) -> BTreeMap<String, Customer> {
    let contract = Customer {
        rate_mreq_per_s,
        burst_mreq,
        weight: 1,
    };
    BTreeMap::from([("c".to_string(), contract)])
}

/// An instance with full buckets at [`WARM_MS`].
pub fn warm(name: &str, weight_ppm: u32, rate_mreq_per_s: u64, burst_mreq: u64) -> Quota {
    let mut quota = Quota::new(QuotaSettings::new(format!("{name}.1")));
    quota.set_customers(0, &contracts(rate_mreq_per_s, burst_mreq));
    quota.set_home_weight(0, weight_ppm, u64::MAX);
    quota.expire(WARM_MS);
    quota
}

pub fn key(quota: &Quota) -> QuotaKey {
    quota.quota_key("c").expect("configured")
}

/// Takes and sends calls until the bucket is short, and returns their number.
pub fn drain(quota: &mut Quota, now_ms: u64) -> u64 {
    let key = key(quota);
    let mut count = 0;
    while quota.take(now_ms, key) == Take::Taken {
        quota.sent(now_ms, key, now_ms);
        count += 1;
    }
    count
}

/// Rate and capacity in parts per million of the contract.
pub fn weight_ppm(quota: &mut Quota, now_ms: u64) -> u32 {
    let key = key(quota);
    let share = quota.share(now_ms, key).expect("configured");
    share.home_ppm.saturating_sub(share.lent_ppm) + share.borrowed_ppm
}

pub fn tokens_mreq(quota: &mut Quota, now_ms: u64) -> u64 {
    let key = key(quota);
    quota.share(now_ms, key).expect("configured").tokens_mreq
}
