//! Exhaustive searches of the budget ledger: no turns are admitted beyond the budget, and
//! each seeded fault leads to a violation.

use jayreel_spec::ledger::{Fault, GroupChange, Scope, World};
use jayreel_spec::quota_search::search;
use test_case::test_case;

const BASE: Scope = Scope {
    turns: 3,
    budget_tokens: 2,
    disk_losses: 0,
    responses_may_be_lost: true,
    change: None,
    member_may_be_lost: false,
    requires_progress: false,
    fault: None,
};
const LOST_DISK: Scope = Scope {
    turns: 2,
    budget_tokens: 1,
    disk_losses: 1,
    ..BASE
};
const CHANGED_GROUP: Scope = Scope {
    turns: 2,
    budget_tokens: 1,
    change: Some(GroupChange::Replace),
    ..BASE
};
const CHANGED_GROUP_AND_LOST_DISK: Scope = Scope {
    disk_losses: 1,
    responses_may_be_lost: false,
    ..CHANGED_GROUP
};
const REDUCED_GROUP_AND_LOST_DISK: Scope = Scope {
    change: Some(GroupChange::Leave),
    ..CHANGED_GROUP_AND_LOST_DISK
};

const JOINED_PAIR_AND_LOST_DISK: Scope = Scope {
    change: Some(GroupChange::JoinPair),
    ..CHANGED_GROUP_AND_LOST_DISK
};
const REPLACED_IN_PAIR_AND_LOST_DISK: Scope = Scope {
    change: Some(GroupChange::ReplaceInPair),
    ..CHANGED_GROUP_AND_LOST_DISK
};

#[test_case("three turns at once", BASE)]
#[test_case("a disk is lost", LOST_DISK)]
#[test_case("the group changes", CHANGED_GROUP)]
#[test_case("the group changes and a disk is lost", CHANGED_GROUP_AND_LOST_DISK)]
#[test_case("a member leaves and a disk is lost", REDUCED_GROUP_AND_LOST_DISK)]
#[test_case(
    "a spare joins two members and a disk is lost",
    JOINED_PAIR_AND_LOST_DISK
)]
#[test_case(
    "a spare replaces one of two members and a disk is lost",
    REPLACED_IN_PAIR_AND_LOST_DISK
)]
fn budget_is_not_exceeded(name: &str, scope: Scope) {
    let outcome = search(name, World::new(scope));
    assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
    assert!(outcome.states > 1_000, "{} states", outcome.states);
}

// Guards against members that wait for each other: a member that joins and one that loses its disk
// meanwhile must both vote again, whatever the order of the messages.
#[test_case(GroupChange::Replace)]
#[test_case(GroupChange::Leave)]
#[test_case(GroupChange::JoinPair)]
#[test_case(GroupChange::ReplaceInPair)]
fn members_that_catch_up_do_not_wait_for_each_other(change: GroupChange) {
    let scope = Scope {
        turns: 1,
        change: Some(change),
        requires_progress: true,
        ..CHANGED_GROUP_AND_LOST_DISK
    };
    let outcome = search("members that catch up", World::new(scope));
    assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
    assert!(outcome.states > 1_000, "{} states", outcome.states);
}

// Guards against a group of two that serves no turn any more after one member is lost for good: a
// spare must be able to join or to take its place, without turns beyond the budget.
#[test_case(GroupChange::JoinPair)]
#[test_case(GroupChange::ReplaceInPair)]
fn pair_that_loses_a_member_goes_on_with_a_spare(change: GroupChange) {
    let scope = Scope {
        change: Some(change),
        disk_losses: 0,
        responses_may_be_lost: true,
        member_may_be_lost: true,
        requires_progress: true,
        ..CHANGED_GROUP_AND_LOST_DISK
    };
    let outcome = search("a pair loses a member", World::new(scope));
    assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
    assert!(outcome.states > 1_000, "{} states", outcome.states);
}

/// The combination of a group change, a lost disk and lost responses. Run by hand, since it
/// takes minutes.
#[test]
#[ignore = "takes minutes"]
fn budget_is_not_exceeded_with_all_failures() {
    let scope = Scope {
        responses_may_be_lost: true,
        ..CHANGED_GROUP_AND_LOST_DISK
    };
    let outcome = search(
        "a change, a lost disk and lost responses",
        World::new(scope),
    );
    assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
}

#[test_case(BASE, Fault::NoReread)]
#[test_case(LOST_DISK, Fault::VoteWithoutCopy)]
#[test_case(CHANGED_GROUP, Fault::OldVersionAccepted)]
#[test_case(CHANGED_GROUP_AND_LOST_DISK, Fault::StaleGroup)]
#[test_case(LOST_DISK, Fault::NoCopyDelay)]
fn seeded_fault_is_found(scope: Scope, fault: Fault) {
    let scope = Scope {
        fault: Some(fault),
        ..scope
    };
    let outcome = search("seeded fault", World::new(scope));
    assert!(
        outcome.violation.is_some(),
        "{fault:?} not found in {} states",
        outcome.states
    );
}
