//! Shares of the rates of cold endpoints, as members grant them. An endpoint that gets more than
//! its rate allows, in any second and from all members together, crashes.

use std::collections::VecDeque;

use jayreel_ledger::{
    ColdReport, ColdTolerance, EndpointLimit, EndpointLimits, LimitReport, SendGrant,
};
use test_case::test_case;

const COLD_PER_S: f64 = 28.0;

/// What an instance says that has seen the endpoint being cold for another `left_ms`.
fn cold_at(per_s: f64, left_ms: i64) -> EndpointLimit {
    EndpointLimit {
        cold: Some(ColdReport {
            left_ms,
            per_s,
            was_in_use: false,
        }),
        ..EndpointLimit::unlimited("new")
    }
}

fn cold(left_ms: i64) -> EndpointLimit {
    cold_at(COLD_PER_S, left_ms)
}

fn cold_report(left_ms: i64) -> ColdReport {
    ColdReport {
        left_ms,
        per_s: COLD_PER_S,
        was_in_use: false,
    }
}

fn members(count: usize, tolerance: ColdTolerance) -> Vec<EndpointLimits> {
    (0..count).map(|_| EndpointLimits::new(tolerance)).collect()
}

fn allowed(per_s: f64, tolerance: ColdTolerance) -> usize {
    (per_s * tolerance.overrun + tolerance.slack_requests) as usize
}

/// The largest number of grants in any second.
fn most_in_second(grants_ms: &[u64]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at_ms in grants_ms {
        window.push_back(*at_ms);
        while window.front().is_some_and(|first| first + 1_000 <= *at_ms) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

/// Asks all members for a token, one after another.
fn take(
    members: &mut [EndpointLimits],
    now_ms: u64,
    limit: &EndpointLimit,
    first: usize,
    shares: usize,
) -> bool {
    let count = members.len();
    (0..count).any(|offset| {
        let member = &mut members[(first + offset) % count];
        let grant = member.take(now_ms, std::slice::from_ref(limit), shares);
        grant.granted.is_some()
    })
}

/// Far more instances ask than the endpoint can handle, from the moment when it joins. Only the
/// requests for tokens tell the members that it is cold. A member may be restarted every 300 ms.
#[test_case(COLD_PER_S, 5, 1.5, 5.0, false; "usual rate")]
#[test_case(COLD_PER_S, 5, 1.5, 5.0, true; "members are restarted")]
#[test_case(COLD_PER_S, 1, 1.5, 5.0, false; "one member")]
#[test_case(COLD_PER_S, 9, 1.5, 0.0, false; "many members and no slack")]
#[test_case(1.0, 3, 1.5, 5.0, false; "low rate")]
#[test_case(400.0, 5, 1.1, 0.0, true; "high rate and small tolerance")]
fn members_together_keep_to_the_rate_of_a_cold_endpoint(
    per_s: f64,
    count: usize,
    overrun: f64,
    slack_requests: f64,
    restarts: bool,
) {
    let tolerance = ColdTolerance {
        overrun,
        slack_requests,
    };
    let mut members = members(count, tolerance);
    let (from_ms, until_ms) = (10_000, 20_000);
    let mut grants_ms = Vec::new();
    for now_ms in from_ms..until_ms {
        if restarts && now_ms % 300 == 0 {
            members[(now_ms / 300) as usize % count] = EndpointLimits::new(tolerance);
        }
        let limit = cold_at(per_s, (until_ms - now_ms) as i64);
        if take(&mut members, now_ms, &limit, now_ms as usize, count) {
            grants_ms.push(now_ms);
        }
    }
    let (most, allowed) = (most_in_second(&grants_ms), allowed(per_s, tolerance));
    assert!(most <= allowed, "{most} requests, {allowed} allowed");
    assert!(!grants_ms.is_empty(), "the endpoint gets nothing");
}

/// The rate is used: an endpoint that takes its part of the load late leaves the others
/// overloaded.
#[test]
fn most_of_the_rate_of_a_cold_endpoint_is_granted() {
    let mut members = members(5, ColdTolerance::default());
    let granted = (10_000..20_000).filter(|now_ms| {
        let limit = cold(20_000 - *now_ms as i64);
        take(&mut members, *now_ms, &limit, *now_ms as usize, 5)
    });
    let granted = granted.count();
    assert!((260..=285).contains(&granted), "{granted} of 280");
}

/// A third member joins and grants at once, while the two others do not know of it yet.
#[test_case(3, 4)]
#[test_case(5, 6)]
fn rate_holds_while_some_members_know_of_a_larger_group(before: usize, after: usize) {
    let tolerance = ColdTolerance::default();
    let mut members = members(after, tolerance);
    let mut grants_ms = Vec::new();
    for now_ms in 10_000..20_000_u64 {
        let limit = cold(20_000 - now_ms as i64);
        for (number, member) in members.iter_mut().enumerate() {
            let shares = match number < before {
                true => before,
                false if now_ms < 13_000 => continue,
                false => after,
            };
            let grant = member.take(now_ms, std::slice::from_ref(&limit), shares);
            if grant.granted.is_some() {
                grants_ms.push(now_ms);
            }
        }
    }
    let most = most_in_second(&grants_ms);
    assert!(most <= allowed(COLD_PER_S, tolerance), "{most} requests");
}

/// After the cold time the requests that wait elsewhere must not all come at once: hardly more
/// than before at first, after three seconds any number.
#[test]
fn rate_rises_step_by_step_after_the_cold_time() {
    let mut members = members(5, ColdTolerance::default());
    let mut granted_in_second = |second: u64| {
        let times_ms = 10_000 + second * 1_000..11_000 + second * 1_000;
        let granted = times_ms.filter(|now_ms| {
            let limit = cold(12_000 - *now_ms as i64);
            take(&mut members, *now_ms, &limit, 0, 5)
        });
        granted.count()
    };
    let granted: Vec<usize> = (0..6).map(&mut granted_in_second).collect();
    assert!((22..=35).contains(&granted[1]), "{granted:?}");
    assert!((30..=56).contains(&granted[2]), "{granted:?}");
    assert!(granted[2..].is_sorted(), "{granted:?}");
    assert!(granted[4] < 250, "{granted:?}");
    assert_eq!(granted[5], 1_000, "no limit any more");
}

/// An endpoint becomes cold again just after its cold time. The bucket may not be full from the
/// higher rate, and the old rate applies at once.
#[test]
fn endpoint_that_becomes_cold_again_starts_without_tokens() {
    let mut limits = EndpointLimits::new(ColdTolerance::default());
    let take = |limits: &mut EndpointLimits, now_ms, left_ms| {
        limits.take(now_ms, &[cold(left_ms)], 1).granted.is_some()
    };
    assert!(limits.report_cold(1_000, "new", cold_report(1_000)));
    assert!(take(&mut limits, 2_500, -500));
    assert!(limits.report_cold(2_600, "new", cold_report(3_000)));
    assert!(!take(&mut limits, 2_600, 3_000));
    let granted = (2_600..3_600_u64)
        .filter(|now_ms| take(&mut limits, *now_ms, 5_600 - *now_ms as i64));
    assert!((26..=28).contains(&granted.count()));
}

/// An endpoint becomes cold while it gets many requests without tokens, or at a raised rate. What
/// it has got in the last second may be all that it can handle, so it gets nothing for a second.
/// Whoever says first that it is cold may not know that it was in use.
#[test_case(false, 1_000, true; "it was in use")]
#[test_case(false, 1_200, true; "that is reported later")]
#[test_case(true, 4_500, false; "the rate was raised")]
fn endpoint_that_becomes_cold_in_use_gets_nothing_for_a_second(
    was_cold: bool,
    reported_ms: u64,
    was_in_use: bool,
) {
    let mut limits = EndpointLimits::new(ColdTolerance::default());
    if was_cold {
        limits.report_cold(0, "new", cold_report(2_000));
    }
    let first_ms = reported_ms / 500 * 500;
    limits.report_cold(first_ms, "new", cold_report(10_000));
    let used = ColdReport {
        was_in_use,
        ..cold_report((10_000 + first_ms - reported_ms) as i64)
    };
    limits.report_cold(reported_ms, "new", used);
    let times_ms = reported_ms..first_ms + 3_000;
    let granted_ms: Vec<u64> = times_ms
        .filter(|now_ms| {
            let limit = cold((first_ms + 10_000 - now_ms) as i64);
            limits.take(*now_ms, &[limit], 5).granted.is_some()
        })
        .collect();
    let first = granted_ms.first().expect("tokens after the pause");
    assert!(
        (first_ms + 1_000..first_ms + 1_200).contains(first),
        "{first}"
    );
    assert!(granted_ms.len() >= 10, "{granted_ms:?}");
}

/// Instances repeat each other's reports, each a network delay later. The cold time must end all
/// the same.
#[test]
fn repeated_reports_do_not_extend_a_cold_time() {
    let mut limits = EndpointLimits::new(ColdTolerance::default());
    assert!(limits.report_cold(1_000, "new", cold_report(3_000)));
    for now_ms in (1_100..4_000).step_by(100) {
        let listed = limits.current(now_ms - 100);
        let listed = listed[0].cold.expect("it is cold");
        assert!(!limits.report_cold(now_ms, "new", listed));
    }
    assert_eq!(limits.current(6_999).len(), 1, "the rate is rising");
    assert_eq!(limits.current(7_000), []);
    assert_eq!(limits.cold(7_000), 0);
    let late = limits.report_cold(7_100, "new", cold_report(-3_000));
    assert!(!late, "a late report of a cold time that is over");
    limits.expire(7_100);
    assert!(limits.is_empty());
}

/// Reports overtake each other. An earlier end, or one a little later, changes nothing.
#[test]
fn latest_end_of_a_cold_time_counts() {
    let mut limits = EndpointLimits::default();
    assert!(limits.report_cold(1_000, "new", cold_report(3_000)));
    assert!(!limits.report_cold(1_100, "new", cold_report(500)));
    assert!(!limits.report_cold(1_100, "new", cold_report(3_100)));
    let left_ms = |limits: &EndpointLimits, now_ms| {
        let listed = limits.current(now_ms);
        listed[0].cold.expect("it is cold").left_ms
    };
    assert_eq!(left_ms(&limits, 1_100), 2_900);
    assert!(limits.report_cold(1_200, "new", cold_report(3_100)));
    assert_eq!(left_ms(&limits, 1_200), 3_100);
}

/// An endpoint that is cold and names a limit of its own gets the smaller rate.
#[test_case(10.0, 9..=11)]
#[test_case(90.0, 26..=29)]
fn smaller_one_of_both_limits_applies(
    named_per_s: f64,
    expected: std::ops::RangeInclusive<usize>,
) {
    let mut limits = EndpointLimits::default();
    let granted = (10_000..11_000).filter(|now_ms| {
        let limit = EndpointLimit {
            report: LimitReport {
                limit_per_s: Some(named_per_s),
                age_ms: 0,
            },
            ..cold(20_000 - *now_ms as i64)
        };
        limits.take(*now_ms, &[limit], 1).granted.is_some()
    });
    let granted = granted.count();
    assert!(expected.contains(&granted), "{granted}");
}

/// Values that only a faulty or hostile instance sends.
#[test_case(i64::MAX, 28.0; "cold for ever")]
#[test_case(i64::MIN, 28.0; "cold long ago")]
#[test_case(3_000, 0.0; "no rate")]
#[test_case(3_000, -1.0; "negative rate")]
#[test_case(3_000, f64::NAN; "rate that is no number")]
#[test_case(3_000, f64::INFINITY; "infinite rate")]
#[test_case(3_000, f64::MIN_POSITIVE; "smallest rate")]
fn odd_reports_are_survived(left_ms: i64, per_s: f64) {
    let mut limits = EndpointLimits::default();
    limits.take(1_000, &[cold_at(per_s, left_ms)], 3);
    limits.take(1_500, &[cold_at(per_s, left_ms)], 3);
    limits.current(1_500);
    let grant = limits.take(700_000, &[EndpointLimit::unlimited("new")], 3);
    let free = SendGrant {
        granted: Some(0),
        waits_ms: Vec::new(),
    };
    assert_eq!(grant, free, "ten minutes later nothing is left");
}
