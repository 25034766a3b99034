//! Tests of the group's membership and of what a member copies before it votes.

use jayreel_ledger::{CatchUp, Group, Member, MembershipState, VoteHistory};
use test_case::test_case;

/// Of an instance that has not been a member, with its first disk.
const NEVER_VOTED: VoteHistory = VoteHistory {
    complete_version: None,
    recorded_from: Some(1),
};

/// A member in an availability zone of its own.
fn member(name: &str) -> Member {
    Member {
        name: name.to_string(),
        availability_zone: format!("zone-{name}"),
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn members(names: &[&str]) -> Vec<Member> {
    names.iter().map(|name| member(name)).collect()
}

/// The first version of a group of `size` members.
fn group_of(size: usize, tolerated_losses: usize) -> Group {
    Group {
        version: 1,
        members: (0..size).map(|n| member(&n.to_string())).collect(),
        previous: Vec::new(),
        tolerated_losses,
    }
}

fn member_in_zone(name: &str, zone: &str) -> Member {
    Member {
        availability_zone: zone.to_string(),
        ..member(name)
    }
}

#[test]
fn first_group_survives_the_loss_of_a_zone() {
    let candidates = [
        member_in_zone("a1", "a"),
        member_in_zone("a2", "a"),
        member_in_zone("a3", "a"),
        member_in_zone("b1", "b"),
        member_in_zone("b2", "b"),
        member_in_zone("c1", "c"),
    ];
    let group = Group::first(&candidates, 2);
    assert_eq!(group.members.len(), 5);
    for zone in ["a", "b", "c"] {
        let others = group.members.iter().filter(|m| m.availability_zone != zone);
        assert!(others.count() >= group.quorum(), "zone {zone}");
    }
}

#[test]
fn copies_of_a_turn_survive_tolerated_losses_and_meet_every_quorum() {
    for (size, losses) in [(3, 1), (5, 2), (2, 1), (4, 1)] {
        let group = group_of(size, losses);
        assert!(group.copies() > losses, "{size} members");
        assert!(group.copies() + group.quorum() > size, "{size} members");
    }
}

// Guards against a group of two that can't change after one member is lost for good, and against a
// change by members that don't hold all records together.
#[test_case(1, 0, 1)]
#[test_case(2, 0, 2; "two members without tolerated losses may have one copy")]
#[test_case(2, 1, 1)]
#[test_case(3, 1, 2)]
#[test_case(4, 1, 3; "four members may have two copies")]
#[test_case(4, 2, 2)]
#[test_case(5, 2, 3)]
fn group_changes_if_those_who_vote_hold_all_records(
    size: usize,
    losses: usize,
    needed: usize,
) {
    let group = group_of(size, losses);
    assert_eq!(group.quorum_to_change(), needed);
    assert!(needed + group.quorum() > size, "a vote may be missed");
    assert!(needed + group.copies() > size, "a turn may be missed");
}

// Guards against records that only one of the members that stay holds: until they are handed over, a
// change needs a quorum, and who joins copies from a quorum of the members before.
#[test]
fn spare_that_joins_a_group_that_is_not_settled_copies_all_members() {
    let first = Group::first(&members(&["a", "b", "c"]), 1);
    let reduced = first.replace(Some("c"), None);
    assert_eq!(reduced.quorum_to_change(), 2);
    let group = reduced.replace(None, Some(member("d")));
    let mut plan = plan_of(&group, "d", NEVER_VOTED);
    plan.mark_copied("a");
    assert!(!plan.is_complete(), "a record may have its only copy on b");
    plan.mark_copied("b");
    assert!(plan.is_complete());
}

// Guards against a member that waits for one that is lost for good: either of two holds all records.
#[test]
fn spare_copies_from_one_member_of_a_group_of_two() {
    let pair = Group::first(&members(&["a", "b"]), 1);
    for leaving in [None, Some("b")] {
        let group = pair.replace(leaving, Some(member("d")));
        let mut plan = plan_of(&group, "d", NEVER_VOTED);
        assert!(!plan.is_complete());
        plan.mark_copied("a");
        assert!(plan.is_complete(), "{leaving:?}");
    }
}

/// A member that joins, votes and then loses its disk must copy from the present members.
/// When it copied only from those of the version before it joined, turns stored since then
/// were reported as missing (scenario hunt-e2e4-11 of hoaphat-pension).
#[test]
fn member_that_lost_its_disk_after_joining_copies_from_present_members() {
    let first = Group::first(&members(&["a", "b", "d"]), 1);
    let group = first.replace(Some("a"), Some(member("c")));
    let mut catch_up = CatchUp::plan(&group, "c", true);
    catch_up.mark_copied("a");
    catch_up.mark_copied("b");
    assert!(
        !catch_up.is_complete(),
        "a record may have copies on c and d only"
    );
    catch_up.mark_copied("d");
    assert!(catch_up.is_complete());
}

#[test]
fn new_member_copies_from_a_quorum_of_the_previous_version() {
    let first = Group::first(&members(&["a", "b", "d"]), 1);
    let group = first.replace(Some("a"), Some(member("c")));
    let mut catch_up = CatchUp::plan(&group, "c", false);
    let missing: Vec<String> = catch_up.missing().into_iter().map(|m| m.name).collect();
    assert_eq!(missing, ["b", "d", "a"]);
    catch_up.mark_copied("b");
    assert!(!catch_up.is_complete());
    catch_up.mark_copied("d");
    assert!(catch_up.is_complete());
}

/// The plan of an instance that is a member of `group` but does not hold all its records.
fn plan_of(group: &Group, name: &str, votes: VoteHistory) -> CatchUp {
    match MembershipState::for_new_group(group, name, votes) {
        MembershipState::CatchingUp(plan) => plan,
        state => panic!("{state:?}"),
    }
}

// Guards against two members that wait for each other for good: one that has just joined, and one
// that loses its disk before the other has copied all records.
#[test]
fn new_member_does_not_wait_for_one_that_lost_its_disk() {
    let first = Group::first(&members(&["a", "b", "c"]), 1);
    let group = first.replace(Some("a"), Some(member("d")));
    let mut joining = plan_of(&group, "d", NEVER_VOTED);
    joining.mark_copied("a");
    joining.mark_copied("b");
    assert!(joining.is_complete(), "without c, which lost its disk");
    let lost = VoteHistory {
        complete_version: None,
        recorded_from: Some(3),
    };
    let mut recovering = plan_of(&group, "c", lost);
    recovering.mark_copied("b");
    assert!(!recovering.is_complete(), "it may have voted with d");
    recovering.mark_copied("d");
    assert!(recovering.is_complete());
}

// Guards against a member that takes itself for new although it may have voted: its disk was lost
// after the group had this version.
#[test]
fn member_that_lost_its_disk_may_have_voted() {
    let lost_in_version_2 = VoteHistory {
        complete_version: None,
        recorded_from: Some(3),
    };
    assert!(lost_in_version_2.may_have_voted(1));
    assert!(lost_in_version_2.may_have_voted(2));
    assert!(!lost_in_version_2.may_have_voted(3));
    assert!(VoteHistory::default().may_have_voted(3));
}

// Guards against a member that votes while the one that leaves still has records of which the
// other copies were on the lost disk.
#[test]
fn member_that_lost_its_disk_copies_from_one_that_leaves() {
    let first = Group::first(&members(&["a", "b", "c"]), 1);
    let group = first.replace(Some("a"), None);
    assert!(!group.is_settled());
    let lost = VoteHistory {
        complete_version: None,
        recorded_from: Some(3),
    };
    let mut catch_up = plan_of(&group, "c", lost);
    catch_up.mark_copied("b");
    assert!(
        !catch_up.is_complete(),
        "a record may have copies on a and c only"
    );
    catch_up.mark_copied("a");
    assert!(catch_up.is_complete());
}

// Guards against a member that waits for one that left for good: once that one has handed over its
// records, they are not needed from it.
#[test]
fn settled_group_does_not_need_the_member_that_left() {
    let first = Group::first(&members(&["a", "b", "c"]), 1);
    let group = first.replace(Some("a"), None).settle();
    assert!(group.is_settled());
    assert!(!group.contains("a"));
    let lost = VoteHistory {
        complete_version: None,
        recorded_from: Some(4),
    };
    let mut catch_up = plan_of(&group, "c", lost);
    catch_up.mark_copied("b");
    assert!(catch_up.is_complete());
}
