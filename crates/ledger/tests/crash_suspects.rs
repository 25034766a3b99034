//! Counting of the crashes in which requests were lost.

use jayreel_ledger::{
    CrashReport, CrashSuspects, EndpointRun, Fingerprint, RequestFingerprints,
    RequestIdentity, SharedSuspects, Suspect, SuspectsVersion,
};
use test_case::test_case;

const DEADLY: &[u8] = b"deadly";

fn request(customer: &str, body: &[u8]) -> RequestFingerprints {
    RequestFingerprints::of(&RequestIdentity {
        method: "POST",
        host: "host.example",
        target: "/chat/1",
        customer,
        body,
    })
}

fn exact(body: &[u8]) -> Fingerprint {
    request("customer", body).exact
}

fn run(number: u64) -> EndpointRun {
    EndpointRun::new("engine", Some(number))
}

fn crash(number: u64, requests: &[Fingerprint]) -> CrashReport {
    CrashReport {
        run: run(number),
        requests: requests.to_vec(),
        families: Vec::new(),
    }
}

fn family_crash(number: u64, family: Fingerprint) -> CrashReport {
    CrashReport {
        run: run(number),
        requests: Vec::new(),
        families: vec![family],
    }
}

fn listed(suspects: &CrashSuspects, now_ms: u64) -> Vec<Suspect> {
    let shared = suspects.share(now_ms, SuspectsVersion::default());
    shared.suspects.expect("the list is new")
}

/// A request crashes three endpoints, and is given up. Those that were lost with it in one or two
/// of the crashes are not.
#[test]
fn request_is_given_up_after_three_crashes() {
    let mut suspects = CrashSuspects::new(1);
    let (deadly, first, second) = (exact(DEADLY), exact(b"first"), exact(b"second"));
    assert_eq!(suspects.report(1_000, &crash(1, &[deadly, first])), []);
    assert_eq!(
        suspects.report(1_100, &crash(2, &[first, deadly, second])),
        []
    );
    assert_eq!(suspects.report(1_200, &crash(3, &[deadly])), [deadly]);
    assert_eq!(suspects.given_up(), 1);
    assert_eq!(suspects.crashes(first), 2);
    assert_eq!(suspects.report(1_300, &crash(4, &[deadly, first])), []);
    assert_eq!(suspects.crashes(first), 2, "the crash is explained");
}

/// Several entry instances lose a request in the same crash, or one reports it in parts.
#[test_case(1_499, 1; "reports of the same crash")]
#[test_case(1_500, 2; "the same entry in the registry after a restart")]
fn one_crash_counts_once(second_ms: u64, expected: u32) {
    let mut suspects = CrashSuspects::new(1);
    suspects.report(1_000, &crash(1, &[exact(DEADLY)]));
    suspects.report(second_ms, &crash(1, &[exact(DEADLY)]));
    assert_eq!(suspects.crashes(exact(DEADLY)), expected);
}

/// A request is lost in two crashes of others and then ends well. It begins anew.
#[test]
fn request_that_ends_well_is_cleared() {
    let mut suspects = CrashSuspects::new(1);
    let innocent = exact(b"innocent");
    for number in 0..2 {
        suspects.report(1_000 + number, &crash(number, &[innocent]));
    }
    suspects.clear(2_000, innocent);
    assert_eq!(suspects.crashes(innocent), 0);
    suspects.report(2_000, &crash(2, &[innocent]));
    assert_eq!(suspects.crashes(innocent), 1);
}

// Guards against an innocent request that stays given up: copies of it were lost when several endpoints
// crashed together, and others end well after that. Late reports of the crash and instances that still
// know it as given up must not change that.
#[test]
fn request_that_ends_well_after_it_was_given_up_is_cleared() {
    let mut suspects = CrashSuspects::new(1);
    let innocent = exact(b"innocent");
    for number in 0..3 {
        suspects.report(1_000, &crash(number, &[innocent]));
    }
    let [given_up] = listed(&suspects, 1_000)[..] else {
        panic!("it is given up");
    };
    suspects.clear(1_100, innocent);
    assert_eq!(suspects.given_up(), 0);
    let cleared = Suspect {
        fingerprint: innocent,
        crashes: 0,
        age_ms: 0,
    };
    assert_eq!(listed(&suspects, 1_100), [cleared], "the others are told");
    suspects.report(1_200, &crash(3, &[innocent]));
    suspects.restore(1_300, &[given_up]);
    suspects.clear(1_400, innocent);
    assert_eq!(suspects.crashes(innocent), 0);
    suspects.expire(61_099);
    assert_eq!(suspects.len(), 1);
    suspects.expire(61_100);
    assert!(suspects.is_empty());
}

// Guards against the family of a request that crashes endpoints, cleared by a request that is only alike.
#[test]
fn family_that_was_given_up_is_not_cleared() {
    let mut suspects = CrashSuspects::new(1);
    let family = request("customer", DEADLY).family;
    for number in 0..3 {
        suspects.report(1_000 + number * 1_000, &family_crash(number, family));
    }
    assert_eq!(suspects.given_up(), 1);
    suspects.clear(5_000, family);
    assert_eq!(suspects.given_up(), 1);
}

/// Each turn of a program sends its conversation again, a little longer. The exact fingerprints
/// differ, but they are of one family. Requests of another customer or to another path are not.
#[test]
fn longer_turns_of_one_conversation_are_of_one_family() {
    let conversation = [b'x'; 400];
    let first = request("customer", &conversation[..300]);
    let second = request("customer", &conversation);
    assert_ne!(first.exact, second.exact);
    assert_eq!(first.family, second.family);
    let other_customer = request("other", &conversation);
    assert_ne!(second.family, other_customer.family);
    assert_ne!(second.exact, other_customer.exact);
    let other_start = request("customer", &[b'y'; 400]);
    assert_ne!(second.family, other_start.family);
}

/// Many requests may be of one family. Its second crash counts only after the time in which each
/// instance can clear it; then each crash counts.
#[test]
fn family_is_given_up_only_after_instances_could_object() {
    let family = request("customer", DEADLY).family;
    let mut suspects = CrashSuspects::new(1);
    let times_ms = [(1_000, 1), (1_100, 1), (1_299, 1), (1_300, 2), (1_310, 3)];
    for (number, (now_ms, expected)) in (0..).zip(times_ms) {
        suspects.report(now_ms, &family_crash(number, family));
        assert_eq!(suspects.crashes(family), expected, "at {now_ms}");
        assert_eq!(listed(&suspects, now_ms).len(), 1, "told from the start");
    }
}

/// Entry instances read the list only when it has changed: for requests from the second crash on,
/// and when a suspect is cleared.
#[test]
fn unchanged_suspects_are_not_listed_again() {
    let mut suspects = CrashSuspects::new(1);
    let request = exact(DEADLY);
    let known = |suspects: &CrashSuspects| {
        suspects.share(5_000, SuspectsVersion::default()).version
    };
    let start = known(&suspects);
    suspects.report(1_000, &crash(1, &[request]));
    assert_eq!(known(&suspects), start);
    suspects.report(1_001, &crash(2, &[request]));
    let twice = known(&suspects);
    assert_ne!(twice, start);
    let unchanged = SharedSuspects {
        version: twice,
        suspects: None,
        is_complete: true,
    };
    assert_eq!(suspects.share(5_000, twice), unchanged);
    suspects.clear(2_000, request);
    assert_ne!(known(&suspects), twice);
}

/// A member is restarted and gets back what entry instances know, with its age. Suspects that were
/// not given up are not taken.
#[test]
fn given_up_requests_are_restored() {
    let suspect = |body: &[u8], crashes| Suspect {
        fingerprint: exact(body),
        crashes,
        age_ms: 100,
    };
    let mut suspects = CrashSuspects::new(1);
    let given_up = suspect(DEADLY, 3);
    suspects.restore(1_000, &[given_up, suspect(b"innocent", 2)]);
    assert_eq!(listed(&suspects, 1_000), [given_up]);
    suspects.expire(600_899);
    assert_eq!(suspects.len(), 1);
    suspects.expire(600_900);
    assert!(suspects.is_empty());
}

/// Suspicions age out, and their number is bounded; those with the most crashes are kept.
#[test]
fn number_and_age_of_suspects_are_bounded() {
    let mut suspects = CrashSuspects::new(1);
    for number in 0..3 {
        suspects.report(1_000 + number, &crash(number, &[exact(DEADLY)]));
    }
    for number in 0..5_000_u64 {
        let lost = exact(&number.to_le_bytes());
        suspects.report(2_000, &crash(number, &[lost]));
    }
    assert_eq!(suspects.len(), 4_096);
    assert_eq!(suspects.evicted(), 5_001 - 4_096);
    assert_eq!(suspects.crashes(exact(DEADLY)), 3);
    suspects.expire(62_000);
    assert_eq!(suspects.len(), 1, "only the one that was given up");
}
