//! What an entry instance knows about requests that may crash endpoints.

use jayreel_gateway::SuspectTable;
use jayreel_ledger::{
    EndpointRun, RequestFingerprints, RequestIdentity, SharedSuspects, Suspect,
    SuspectsVersion,
};

fn request(body: &[u8]) -> RequestFingerprints {
    RequestFingerprints::of(&RequestIdentity {
        method: "POST",
        host: "host.example",
        target: "/chat/1",
        customer: "customer",
        body,
    })
}

fn shared(sequence: u64, suspects: &[Suspect]) -> SharedSuspects {
    SharedSuspects {
        version: SuspectsVersion { start: 1, sequence },
        suspects: Some(suspects.to_vec()),
        is_complete: true,
    }
}

fn given_up(request: &RequestFingerprints) -> Suspect {
    Suspect {
        fingerprint: request.exact,
        crashes: 3,
        age_ms: 100,
    }
}

/// A member that was restarted lists nothing. The instance still refuses the request, gives it
/// back, and reads the whole list until the member has it.
#[test]
fn request_stays_given_up_when_a_member_forgets_it() {
    let mut table = SuspectTable::default();
    let deadly = request(b"deadly");
    table.apply(1_000, shared(5, &[given_up(&deadly)]));
    assert!(table.is_given_up(&deadly));
    let mut expected = given_up(&deadly);
    expected.age_ms = 300;
    assert_eq!(table.apply(1_200, shared(0, &[])), [expected]);
    assert!(table.is_given_up(&deadly));
    assert_eq!(table.version(), SuspectsVersion::default());
    assert_eq!(table.apply(1_400, shared(1, &[expected])), []);
    assert_eq!(table.version().sequence, 1);
}

/// Many requests of one customer begin alike, and one of them crashes endpoints. As long as others
/// end well, their family is not suspected, here or at the members.
#[test]
fn family_with_a_good_end_is_not_suspected() {
    let mut table = SuspectTable::default();
    let run = EndpointRun::new("engine", None);
    let lost = [request(b"deadly")];
    let report = table.crash_report(1_000, run, &lost);
    assert_eq!(report.families, [lost[0].family]);
    let mut alike = request(b"harmless");
    alike.family = lost[0].family;
    table.record_good_end(2_000, &alike);
    let report = table.crash_report(2_001, run, &lost);
    assert!(report.families.is_empty());
    assert_eq!(report.requests, [lost[0].exact]);
    let suspected_elsewhere = Suspect {
        fingerprint: lost[0].family,
        crashes: 1,
        age_ms: 0,
    };
    table.apply(3_000, shared(1, &[suspected_elsewhere]));
    assert_eq!(table.clear_good_ends(3_000), [lost[0].family]);
    assert!(!table.is_suspect(&lost[0]));
    let report = table.crash_report(62_001, run, &lost);
    assert_eq!(report.families.len(), 1, "the good end was long ago");
}

/// A suspect that ends well is cleared. One that was given up stays so for ten minutes.
#[test]
fn good_end_clears_suspects_only() {
    let mut table = SuspectTable::default();
    let (innocent, deadly) = (request(b"innocent"), request(b"deadly"));
    table.learn(1_000, innocent.exact, 2);
    table.learn(1_000, deadly.exact, 3);
    assert_eq!(table.record_good_end(1_100, &innocent), [innocent.exact]);
    assert!(!table.is_suspect(&innocent));
    assert!(table.is_given_up(&deadly));
    table.expire(600_999);
    assert!(table.is_given_up(&deadly));
    table.expire(601_000);
    assert!(!table.is_given_up(&deadly));
}

/// A family that was given up stays so, whichever request of it ends well.
#[test]
fn good_end_does_not_clear_a_family_that_was_given_up() {
    let mut table = SuspectTable::default();
    let deadly = request(b"deadly");
    table.learn(1_000, deadly.family, 3);
    assert_eq!(table.record_good_end(1_100, &deadly), []);
    assert_eq!(table.clear_good_ends(1_200), []);
    assert!(table.is_given_up(&deadly));
}

// Guards against an innocent request that stays given up: it was lost when several endpoints crashed
// together, although it had ended well at others before, or ends well after that.
#[test]
fn good_end_clears_a_request_that_was_given_up() {
    let innocent = request(b"innocent");
    let lost = [innocent];
    let run = EndpointRun::new("engine", None);

    let mut before = SuspectTable::default();
    before.record_good_end(1_000, &innocent);
    let report = before.crash_report(2_000, run, &lost);
    assert!(report.requests.is_empty(), "it does not crash endpoints");
    before.apply(2_000, shared(1, &[given_up(&innocent)]));
    assert_eq!(before.clear_good_ends(2_100), [innocent.exact]);
    assert!(!before.is_given_up(&innocent));

    let mut after = SuspectTable::default();
    after.learn(1_000, innocent.exact, 3);
    assert_eq!(after.record_good_end(2_000, &innocent), [innocent.exact]);
    assert!(!after.is_given_up(&innocent));

    let mut other = SuspectTable::default();
    other.apply(1_000, shared(1, &[given_up(&innocent)]));
    let cleared = Suspect {
        fingerprint: innocent.exact,
        crashes: 0,
        age_ms: 0,
    };
    let forgotten = other.apply(2_000, shared(2, &[cleared]));
    assert_eq!(forgotten, [], "it is not given back");
    assert!(!other.is_given_up(&innocent));
}
