//! Shares of the rate limits that endpoints set.

use std::collections::VecDeque;

use jayreel_ledger::{EndpointLimit, EndpointLimits, LimitReport, SendGrant};
use test_case::test_case;

const MEMBERS: usize = 3;
const WINDOW_MS: u64 = 4_000;

fn heard(limit_per_s: Option<f64>, age_ms: u64) -> EndpointLimit {
    EndpointLimit {
        endpoint: "engine".to_string(),
        report: LimitReport {
            limit_per_s,
            age_ms,
        },
        cold: None,
    }
}

/// Asks all members for a token, one after another.
fn take(
    members: &mut [EndpointLimits],
    now_ms: u64,
    limit: &EndpointLimit,
    first: usize,
) -> bool {
    let count = members.len();
    (0..count).any(|offset| {
        let member = &mut members[(first + offset) % count];
        let grant = member.take(now_ms, std::slice::from_ref(limit), count);
        grant.granted.is_some()
    })
}

fn members() -> Vec<EndpointLimits> {
    (0..MEMBERS).map(|_| EndpointLimits::default()).collect()
}

/// The largest number of grants in a window.
fn most_in_window(grants_ms: &[u64]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at_ms in grants_ms {
        window.push_back(*at_ms);
        while window
            .front()
            .is_some_and(|first| first + WINDOW_MS <= *at_ms)
        {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

/// Far more instances ask than the limit allows, for 20 s. The members may be restarted in turn,
/// each a second after the one before. All of them together must grant no more than half as many
/// again as the limit and five in any four seconds, and without restarts most of the limit.
#[test_case(0.5, None; "low limit")]
#[test_case(8.8, None; "usual limit")]
#[test_case(120.0, None; "high limit")]
#[test_case(8.8, Some(1_000); "members are restarted")]
#[test_case(120.0, Some(1_000); "members are restarted at a high limit")]
fn members_together_keep_to_a_limit(limit_per_s: f64, restart_interval_ms: Option<u64>) {
    let mut members = members();
    let limit = heard(Some(limit_per_s), 0);
    let mut grants_ms = Vec::new();
    for now_ms in (10_000..30_000).step_by(2) {
        if let Some(interval_ms) = restart_interval_ms.filter(|ms| now_ms % ms == 0) {
            members[(now_ms / interval_ms) as usize % MEMBERS] =
                EndpointLimits::default();
        }
        if take(&mut members, now_ms, &limit, now_ms as usize / 2) {
            grants_ms.push(now_ms);
        }
    }
    let most = most_in_window(&grants_ms) as f64;
    let allowed = 1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
    assert!(most <= allowed, "{most} requests, {allowed} allowed");
    let least = match restart_interval_ms {
        None => (0.9 * limit_per_s * 20.0 - 5.0).max(1.0),
        Some(_) => 0.0,
    };
    assert!(grants_ms.len() as f64 >= least, "{}", grants_ms.len());
}

/// Only one of two endpoints has tokens. The other one must not block it, and the time until its
/// next token is reported.
#[test]
fn token_is_taken_from_the_first_endpoint_that_has_one() {
    let mut limits = EndpointLimits::default();
    let mut free = heard(None, 0);
    free.endpoint = "free".to_string();
    let grant = limits.take(1_000, &[heard(Some(2.0), 0), free], 1);
    let expected = SendGrant {
        granted: Some(1),
        waits_ms: vec![500],
    };
    assert_eq!(grant, expected);
}

/// A response that came before the one without a limit is reported after it. The limit stays
/// lifted.
#[test]
fn late_report_does_not_restore_a_lifted_limit() {
    let mut limits = EndpointLimits::default();
    assert!(limits.report(1_000, &heard(Some(2.0), 0)));
    assert!(limits.report(2_000, &heard(None, 100)));
    assert!(!limits.report(2_050, &heard(Some(2.0), 200)));
    assert!(limits.report(2_100, &heard(Some(2.0), 0)));
}

/// When a limit is lifted, the requests that wait elsewhere must not all come at once: at first
/// hardly more than before, after some seconds any number.
#[test]
fn lifted_limit_is_raised_step_by_step() {
    let mut members = members();
    let limited = heard(Some(10.0), 0);
    for now_ms in 1_000..3_000 {
        take(&mut members, now_ms, &limited, 0);
    }
    let lifted = heard(None, 0);
    let granted_in_second = |members: &mut [EndpointLimits], second: u64| {
        let times_ms = 3_000 + second * 1_000..4_000 + second * 1_000;
        let granted = times_ms.filter(|now_ms| take(members, *now_ms, &lifted, 0));
        granted.count()
    };
    let granted: Vec<usize> = (0..4)
        .map(|second| granted_in_second(&mut members, second))
        .collect();
    assert!((10..=25).contains(&granted[0]), "{granted:?}");
    assert!(granted.is_sorted(), "{granted:?}");
    assert_eq!(granted[3], 1_000, "no limit any more");
}

/// An endpoint that accepts nothing gets nothing until its limit is outdated.
#[test]
fn limit_of_zero_is_forgotten_after_a_while() {
    let mut limits = EndpointLimits::default();
    limits.report(1_000, &heard(Some(0.0), 0));
    let is_granted = |limits: &mut EndpointLimits, now_ms| {
        let late = heard(Some(0.0), now_ms - 1_000);
        limits.take(now_ms, &[late], 1).granted.is_some()
    };
    assert!(!is_granted(&mut limits, 1_100));
    assert!(!is_granted(&mut limits, 30_999));
    assert!(is_granted(&mut limits, 31_000));
    limits.expire(31_000);
    assert!(limits.is_empty());
}

/// Only what a member should tell entry instances is listed: limits, and lifted limits while they
/// are raised.
#[test]
fn current_limits_are_listed() {
    let mut limits = EndpointLimits::default();
    limits.report(1_000, &heard(Some(2.0), 300));
    assert_eq!(limits.current(1_500), [heard(Some(2.0), 800)]);
    limits.report(2_000, &heard(None, 0));
    assert_eq!(limits.current(2_500), [heard(None, 500)]);
    assert_eq!(limits.current(5_000), []);
}

/// Many endpoints are reported. The number of those remembered is bounded, and the newest are
/// kept.
#[test]
fn number_of_limits_is_bounded() {
    let mut limits = EndpointLimits::default();
    for number in 0..5_000 {
        let mut limit = heard(Some(1.0), 0);
        limit.endpoint = number.to_string();
        limits.report(1_000 + number, &limit);
    }
    assert_eq!(limits.len(), 4_096);
    assert_eq!(limits.evicted(), 5_000 - 4_096);
    let newest = limits.current(6_000);
    assert!(newest.iter().any(|limit| limit.endpoint == "4999"));
}
