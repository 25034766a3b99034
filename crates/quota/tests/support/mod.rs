//! Fixtures shared by the quota tests.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::collections::BTreeMap;

use jayreel_model::Customer;
use jayreel_quota::{Quota, QuotaKey, QuotaSettings, Take};

/// A time by which a home weight that was set at time 0 is in effect and the buckets are
/// full.
pub const WARM_MS: u64 = 1_000_000;

/// A configuration with one customer, named `c`.
pub fn contracts(rate_mreq_per_s: u64, burst_mreq: u64) -> BTreeMap<String, Customer> {
    let contract = Customer {
        rate_mreq_per_s,
        burst_mreq,
        weight: 1,
    };
    BTreeMap::from([("c".to_string(), contract)])
}

/// An instance whose home weight is in effect and whose buckets are full at [`WARM_MS`].
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

/// Takes and sends calls until there is no token left, and returns their number.
pub fn drain(quota: &mut Quota, now_ms: u64) -> u64 {
    let key = key(quota);
    let mut count = 0;
    while quota.take(now_ms, key) == Take::Taken {
        quota.sent(now_ms, key, now_ms);
        count += 1;
    }
    count
}

/// The weight that the instance uses itself.
pub fn weight_ppm(quota: &mut Quota, now_ms: u64) -> u32 {
    let key = key(quota);
    let share = quota.share(now_ms, key).expect("configured");
    share.home_ppm.saturating_sub(share.lent_ppm) + share.borrowed_ppm
}

/// The available tokens, in thousandths of a request.
pub fn tokens_mreq(quota: &mut Quota, now_ms: u64) -> u64 {
    let key = key(quota);
    quota.share(now_ms, key).expect("configured").tokens_mreq
}
