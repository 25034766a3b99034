//! Tests of the changes of the group that storage instances propose.

mod support;

use jayreel_gateway::{MemberMonitor, Proposal};
use jayreel_ledger::Group;
use support::member;

/// Longest time that a member may take to hand over its records while the group waits for it, in
/// milliseconds.
const SETTLE_WAIT_MS: u64 = 20_000;

/// Time without a response after which a member is replaced, in milliseconds.
const REPLACE_AFTER_MS: u64 = 4_000;

fn group() -> Group {
    Group::first(&["a", "b", "c"].map(member), 1)
}

// Guards against a change of the group while a member that left hands over its records: an
// instance that joins then would wait for a member that loses its disk, and that one for it.
#[test]
fn spare_waits_until_the_group_is_settled() {
    let spare = member("d");
    let join = Some(Proposal::Join { leaving: None });
    let mut monitor = MemberMonitor::default();
    let reduced = group().replace(Some("a"), None);
    for now_ms in [0, SETTLE_WAIT_MS - 1] {
        let proposal = monitor.propose(now_ms, &reduced, &spare, &[], 2);
        assert_eq!(proposal, None, "at {now_ms} ms");
    }
    let settled = reduced.settle();
    let proposal = monitor.propose(SETTLE_WAIT_MS - 1, &settled, &spare, &[], 2);
    assert_eq!(proposal, join);
}

// Guards against a group that stays too small for good, because the member that left has failed.
#[test]
fn spare_joins_a_group_that_does_not_settle() {
    let spare = member("d");
    let mut monitor = MemberMonitor::default();
    let reduced = group().replace(Some("a"), None);
    assert_eq!(monitor.propose(5, &reduced, &spare, &[], 2), None);
    let proposal = monitor.propose(5 + SETTLE_WAIT_MS, &reduced, &spare, &[], 2);
    assert_eq!(proposal, Some(Proposal::Join { leaving: None }));
}

// Guards against a second member that leaves before the first one has handed over its records.
#[test]
fn members_leave_one_after_the_other() {
    let leaving = member("b");
    let retiring = ["a", "b"].map(str::to_string);
    let mut monitor = MemberMonitor::default();
    let reduced = group().replace(Some("a"), None);
    assert_eq!(monitor.propose(0, &reduced, &leaving, &retiring, 2), None);
    assert_eq!(
        monitor.propose(3_000, &reduced, &leaving, &retiring, 2),
        None
    );
    let settled = reduced.settle();
    let proposal = monitor.propose(3_500, &settled, &leaving, &retiring, 2);
    assert_eq!(proposal, Some(Proposal::Leave));
}

/// A group of the members b and c, and what a spare knows of it that has asked both for their status.
fn monitored_pair(have_responded: [bool; 2]) -> (Group, MemberMonitor) {
    let pair = group().replace(Some("a"), None).settle();
    let mut monitor = MemberMonitor::default();
    for (member, has_responded) in pair.members.iter().zip(have_responded) {
        monitor.record_status(0, &member.name, has_responded);
    }
    (pair, monitor)
}

// Guards against a group of two that serves no turn any more after one member is lost for good, and
// against a next version that still needs that member.
#[test]
fn spare_takes_the_place_of_a_silent_member_of_a_group_of_two() {
    let spare = member("d");
    let (pair, mut monitor) = monitored_pair([true, false]);
    for now_ms in [0, REPLACE_AFTER_MS - 1] {
        let proposal = monitor.propose(now_ms, &pair, &spare, &[], 1);
        assert_eq!(proposal, None, "at {now_ms} ms");
    }
    let proposal = monitor.propose(REPLACE_AFTER_MS, &pair, &spare, &[], 1);
    let leaving = Some("c".to_string());
    assert_eq!(proposal, Some(Proposal::Join { leaving }));
}

// Guards against a spare that waits for a member that responds but has lost its disk.
#[test]
fn spare_joins_a_group_of_two_of_which_one_catches_up() {
    let (pair, mut monitor) = monitored_pair([true, true]);
    let proposal = monitor.propose(0, &pair, &member("d"), &[], 1);
    assert_eq!(proposal, Some(Proposal::Join { leaving: None }));
}

// Guards against a change by a spare that reaches no member that holds all records.
#[test]
fn spare_waits_for_a_member_that_votes() {
    let (pair, mut monitor) = monitored_pair([false, false]);
    let proposal = monitor.propose(60_000, &pair, &member("d"), &[], 0);
    assert_eq!(proposal, None);
}
