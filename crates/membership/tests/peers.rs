//! Liveness of peers and what they tell.

use std::collections::BTreeSet;

use jayreel_membership::{Heartbeat, InstanceState, Liveness, Membership};
use jayreel_model::Incarnation;
use test_case::test_case;

const SECOND_MS: u64 = 1_000;

fn incarnation(instance: &str, number: u64) -> Incarnation {
    Incarnation {
        instance: instance.to_string(),
        number,
    }
}

fn heartbeat(instance: &str, number: u64, zone: &str) -> Heartbeat {
    Heartbeat {
        incarnation: incarnation(instance, number),
        availability_zone: zone.to_string(),
        peer_address: "127.0.0.1:1".to_string(),
        config_revision: 7,
        store_contact_age_ms: None,
        state: InstanceState::Serving,
        running_calls: 0,
        waiting_calls: 0,
    }
}

fn membership() -> Membership {
    Membership::new(incarnation("own", 1), "z1")
}

fn heard(membership: &mut Membership, now_ms: u64) {
    membership.record_heartbeat(now_ms, &heartbeat("peer", 1, "z1"));
}

fn liveness(membership: &Membership, now_ms: u64) -> Liveness {
    membership.liveness(now_ms, &incarnation("peer", 1))
}

/// Guards against calls to a silent peer, and against a peer that is given up too early.
#[test_case(1_999, Liveness::Alive)]
#[test_case(2_000, Liveness::Suspect)]
#[test_case(9_999, Liveness::Suspect)]
#[test_case(10_000, Liveness::Dead)]
fn silence_counts_by_the_clock(silent_ms: u64, expected: Liveness) {
    let mut membership = membership();
    heard(&mut membership, 0);
    assert_eq!(liveness(&membership, silent_ms), expected);
}

/// Guards against use of a peer after a single answer.
#[test]
fn a_return_needs_two_answers() {
    let mut membership = membership();
    heard(&mut membership, 0);
    heard(&mut membership, 3 * SECOND_MS);
    assert_eq!(liveness(&membership, 3 * SECOND_MS), Liveness::Suspect);
    heard(&mut membership, 4 * SECOND_MS);
    assert_eq!(liveness(&membership, 4 * SECOND_MS), Liveness::Alive);
}

/// Answers that a return needs after a silence that begins at `from_ms`.
fn answers_to_return(membership: &mut Membership, from_ms: u64) -> (u64, u64) {
    let mut now_ms = from_ms + 3 * SECOND_MS;
    for answers in 1..100 {
        heard(membership, now_ms);
        if liveness(membership, now_ms) == Liveness::Alive {
            return (answers, now_ms);
        }
        now_ms += SECOND_MS;
    }
    panic!("the peer never returns");
}

/// Guards against use of a flapping peer, and against one that can never return.
#[test]
fn each_return_within_a_minute_doubles_the_answers() {
    let mut membership = membership();
    heard(&mut membership, 0);
    let mut now_ms = 0;
    let mut needed = Vec::new();
    for _ in 0..6 {
        let (answers, at_ms) = answers_to_return(&mut membership, now_ms);
        needed.push(answers);
        now_ms = at_ms;
    }
    assert_eq!(needed, [2, 4, 8, 16, 16, 16]);
}

/// Guards against a peer that stays hard to return although it was stable since.
#[test]
fn a_minute_without_a_return_resets_the_damping() {
    let mut membership = membership();
    heard(&mut membership, 0);
    let (_, mut now_ms) = answers_to_return(&mut membership, 0);
    for _ in 0..61 {
        now_ms += SECOND_MS;
        heard(&mut membership, now_ms);
    }
    let (answers, _) = answers_to_return(&mut membership, now_ms);
    assert_eq!(answers, 2);
}

/// Guards against answers that count as a row although one was missing.
#[test]
fn a_silence_begins_the_row_again() {
    let mut membership = membership();
    heard(&mut membership, 0);
    heard(&mut membership, 3 * SECOND_MS);
    heard(&mut membership, 6 * SECOND_MS);
    assert_eq!(liveness(&membership, 6 * SECOND_MS), Liveness::Suspect);
}

/// Guards against new work for an instance that is about to stop.
#[test]
fn a_leaving_peer_gets_no_new_work() {
    let mut membership = membership();
    let leaving = Heartbeat {
        state: InstanceState::Leaving,
        ..heartbeat("peer", 1, "z1")
    };
    membership.record_heartbeat(0, &leaving);
    assert_eq!(liveness(&membership, 0), Liveness::Leaving);
    assert_eq!(membership.live_peers(0), Vec::<String>::new());
    assert_eq!(liveness(&membership, 10_000), Liveness::Dead);
}

/// Guards against new work for an instance that only the platform knows to be leaving.
#[test]
fn the_platforms_list_marks_peers_as_leaving() {
    let mut membership = membership();
    heard(&mut membership, 0);
    membership.set_listed_leaving(BTreeSet::from(["peer".to_string()]));
    assert_eq!(liveness(&membership, 0), Liveness::Leaving);
    membership.set_listed_leaving(BTreeSet::new());
    assert_eq!(liveness(&membership, 0), Liveness::Alive);
}

/// Guards against calls that cross zones although the own zone could serve them.
#[test]
fn peers_of_the_own_zone_come_first() {
    let mut membership = membership();
    for (name, zone) in [("a", "z2"), ("b", "z1"), ("c", "z3"), ("d", "z1")] {
        membership.record_heartbeat(0, &heartbeat(name, 1, zone));
    }
    assert_eq!(membership.live_peers(0), ["b", "d", "a", "c"]);
    assert_eq!(membership.position(0).0, 5, "with the own instance");
}

/// Guards against a late message that brings back a process that was replaced.
#[test]
fn a_replaced_process_is_dead() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 2), "z1".to_string())]);
    heard(&mut membership, 1);
    assert_eq!(liveness(&membership, 1), Liveness::Dead);
    assert_eq!(
        membership.incarnation("peer"),
        Some(&incarnation("peer", 2))
    );
}

/// Guards against a second process of a name, or one that started in an outage, that takes
/// the place of a registered one that answers.
#[test]
fn an_unregistered_process_does_not_displace_a_registered_one() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 1), "z1".to_string())]);
    for now_ms in (0..60).map(|s| s * SECOND_MS) {
        heard(&mut membership, now_ms);
        membership.record_heartbeat(now_ms + 1, &heartbeat("peer", 2, "z1"));
        assert_eq!(liveness(&membership, now_ms + 2), Liveness::Alive);
    }
}

/// Guards against a dead process that looks alive because another one of its name talks.
#[test]
fn only_its_own_messages_keep_a_process_alive() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 1), "z1".to_string())]);
    membership.record_heartbeat(9_999, &heartbeat("peer", 2, "z1"));
    assert_eq!(liveness(&membership, 10_000), Liveness::Dead);
}

/// Guards against a replacement that nobody knows because the registration of the dead
/// process cannot be read again, and against one that keeps the place when the registered
/// process answers after all.
#[test]
fn a_dead_process_is_followed_while_the_registrations_cannot_be_read() {
    let registered = [(incarnation("peer", 1), "z1".to_string())];
    let mut membership = membership();
    membership.record_registrations(0, 0, &registered);
    membership.record_registrations(6 * SECOND_MS, 6 * SECOND_MS, &registered);
    let newer = heartbeat("peer", 2, "z1");
    // Dead, but the registrations were read 5 s ago.
    membership.record_heartbeat(11 * SECOND_MS, &newer);
    assert_eq!(
        membership.incarnation("peer"),
        Some(&incarnation("peer", 1))
    );
    membership.record_heartbeat(12 * SECOND_MS, &newer);
    assert_eq!(
        membership.incarnation("peer"),
        Some(&incarnation("peer", 2))
    );
    heard(&mut membership, 13 * SECOND_MS);
    assert_eq!(
        membership.incarnation("peer"),
        Some(&incarnation("peer", 1))
    );
}

/// Guards against an engine without a caretaker, because the others leave it to an instance
/// that started in an outage and takes care of none.
#[test]
fn nothing_is_left_to_the_care_of_an_unregistered_instance() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 1), "z2".to_string())]);
    membership.record_heartbeat(0, &heartbeat("peer", 1, "z2"));
    membership.record_heartbeat(0, &heartbeat("new", 1, "z2"));
    membership.record_heartbeat(0, &heartbeat("newer", 1, "z3"));
    assert_eq!(membership.live_in_zone(0, "z2"), ["peer"]);
    assert_eq!(
        membership.live_in_zone(0, "z3"),
        ["peer", "own"],
        "none in the zone"
    );
}

/// Guards against heartbeats without end to a process that came and went during an outage,
/// when no read of the registrations removes it.
#[test]
fn a_dead_unregistered_peer_is_forgotten_without_the_store() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("old", 1), "z1".to_string())]);
    heard(&mut membership, SECOND_MS);
    membership.due_heartbeats(10 * SECOND_MS);
    assert!(membership.known_peers().contains(&"peer".to_string()));
    let peers = membership.due_heartbeats(11 * SECOND_MS);
    assert_eq!(peers, ["old"], "the registered one stays");
    assert_eq!(membership.incarnation("peer"), None);
}

/// Guards against a peer that is forgotten because the store lost its registration.
#[test]
fn a_peer_that_answers_is_kept_without_registration() {
    let mut membership = membership();
    heard(&mut membership, 0);
    membership.record_registrations(1_000, 1_000, &[]);
    assert_eq!(liveness(&membership, 1_000), Liveness::Alive);
    membership.record_registrations(10_000, 10_000, &[]);
    assert_eq!(membership.incarnation("peer"), None);
}

/// Guards against heartbeats that flood the peers.
#[test]
fn heartbeats_go_out_once_per_second() {
    let mut membership = membership();
    heard(&mut membership, 0);
    assert_eq!(membership.due_heartbeats(0), ["peer"]);
    assert_eq!(membership.due_heartbeats(999), Vec::<String>::new());
    assert_eq!(membership.due_heartbeats(1_000), ["peer"]);
}

/// Guards against a revision that goes back when heartbeats arrive out of order.
#[test]
fn the_highest_revision_counts() {
    let mut membership = membership();
    heard(&mut membership, 0);
    let older = Heartbeat {
        config_revision: 3,
        ..heartbeat("peer", 1, "z1")
    };
    membership.record_heartbeat(1, &older);
    assert_eq!(membership.newest_revision(), 7);
}
