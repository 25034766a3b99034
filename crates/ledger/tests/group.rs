//! Membership and catching up.

use jayreel_ledger::{CatchUp, Group, Member};

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

fn in_zone(name: &str, zone: &str) -> Member {
    Member {
        availability_zone: zone.to_string(),
        ..member(name)
    }
}

#[test]
fn first_group_survives_the_loss_of_a_zone() {
    let candidates = [
        in_zone("a1", "a"),
        in_zone("a2", "a"),
        in_zone("a3", "a"),
        in_zone("b1", "b"),
        in_zone("b2", "b"),
        in_zone("c1", "c"),
    ];
    let group = Group::first(&candidates, 2);
    assert_eq!(group.members.len(), 5);
    for zone in ["a", "b", "c"] {
        let others = group.members.iter().filter(|m| m.availability_zone != zone);
        assert!(others.count() >= group.quorum(), "zone {zone}");
    }
}

#[test]
fn turn_has_more_copies_than_disks_may_be_lost() {
    for (size, losses) in [(3, 1), (5, 2), (2, 1), (4, 1)] {
        let names: Vec<String> = (0..size).map(|n| n.to_string()).collect();
        let group = Group {
            version: 1,
            members: names.iter().map(|name| member(name)).collect(),
            previous: Vec::new(),
            tolerated_losses: losses,
        };
        assert!(group.copies() > losses, "{size} members");
        assert!(group.copies() + group.quorum() > size, "{size} members");
    }
}

/// A member that joined and voted, and whose disk was then lost, copied only from members of
/// the version before it joined. Turns that were kept since were answered with "no such
/// turn" (hunt-e2e4-11 of hoaphat-pension).
#[test]
fn joined_member_that_lost_its_disk_copies_from_the_present_members() {
    let first = Group::first(&members(&["a", "b", "d"]), 1);
    let group = first.replace(Some("a"), Some(member("c")));
    let mut catch_up = CatchUp::plan(&group, "c");
    catch_up.record("a");
    catch_up.record("b");
    assert!(
        !catch_up.is_complete(),
        "a fact may have copies at c and d only"
    );
    catch_up.record("d");
    assert!(catch_up.is_complete());
}

#[test]
fn new_member_copies_from_a_quorum_of_the_version_before() {
    let first = Group::first(&members(&["a", "b", "d"]), 1);
    let group = first.replace(Some("a"), Some(member("c")));
    let mut catch_up = CatchUp::plan(&group, "c");
    let missing: Vec<String> = catch_up.missing().into_iter().map(|m| m.name).collect();
    assert_eq!(missing, ["b", "d", "a"]);
    catch_up.record("b");
    assert!(!catch_up.is_complete());
    catch_up.record("d");
    assert!(catch_up.is_complete());
}
