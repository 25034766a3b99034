//! The liveness of peers, and which processes are known as peers.

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

/// Records a heartbeat of process 1 of `peer`.
fn hear_peer(membership: &mut Membership, now_ms: u64) {
    membership.record_heartbeat(now_ms, &heartbeat("peer", 1, "z1"));
}

/// The liveness of process 1 of `peer`.
fn liveness(membership: &Membership, now_ms: u64) -> Liveness {
    membership.liveness(now_ms, &incarnation("peer", 1))
}

/// Guards against forwarding calls to a silent peer, and against giving up a peer too
/// early.
#[test_case(1_999, Liveness::Alive)]
#[test_case(2_000, Liveness::Suspect)]
#[test_case(9_999, Liveness::Suspect)]
#[test_case(10_000, Liveness::Dead)]
fn silence_makes_a_peer_suspect_and_then_dead(silent_ms: u64, expected: Liveness) {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    assert_eq!(liveness(&membership, silent_ms), expected);
}

/// Guards against using a peer again after a single response.
#[test]
fn recovery_needs_two_answers() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    hear_peer(&mut membership, 3 * SECOND_MS);
    assert_eq!(liveness(&membership, 3 * SECOND_MS), Liveness::Suspect);
    hear_peer(&mut membership, 4 * SECOND_MS);
    assert_eq!(liveness(&membership, 4 * SECOND_MS), Liveness::Alive);
}

/// The number of responses that the peer needs to recover from a silence that begins at
/// `from_ms`, and the time of the last one.
fn answers_to_recover(membership: &mut Membership, from_ms: u64) -> (u64, u64) {
    let mut now_ms = from_ms + 3 * SECOND_MS;
    for answers in 1..100 {
        hear_peer(membership, now_ms);
        if liveness(membership, now_ms) == Liveness::Alive {
            return (answers, now_ms);
        }
        now_ms += SECOND_MS;
    }
    panic!("the peer never recovers");
}

/// Guards against using a flapping peer, and against one that can never recover.
#[test]
fn each_recovery_within_a_minute_doubles_the_answers_needed() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    let mut now_ms = 0;
    let mut needed = Vec::new();
    for _ in 0..6 {
        let (answers, at_ms) = answers_to_recover(&mut membership, now_ms);
        needed.push(answers);
        now_ms = at_ms;
    }
    assert_eq!(needed, [2, 4, 8, 16, 16, 16]);
}

/// Guards against a peer that still needs many responses although it has been stable since.
#[test]
fn a_minute_without_a_silence_resets_the_answers_needed() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    let (_, mut now_ms) = answers_to_recover(&mut membership, 0);
    for _ in 0..61 {
        now_ms += SECOND_MS;
        hear_peer(&mut membership, now_ms);
    }
    let (answers, _) = answers_to_recover(&mut membership, now_ms);
    assert_eq!(answers, 2);
}

/// Guards against responses that count as consecutive although there was a silence between
/// them.
#[test]
fn a_silence_restarts_the_count_of_answers() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    hear_peer(&mut membership, 3 * SECOND_MS);
    hear_peer(&mut membership, 6 * SECOND_MS);
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

/// Guards against new work for an instance that the platform lists as leaving and that
/// has not announced it itself.
#[test]
fn peers_on_the_platforms_list_are_leaving() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    membership.set_listed_leaving(BTreeSet::from(["peer".to_string()]));
    assert_eq!(liveness(&membership, 0), Liveness::Leaving);
    membership.set_listed_leaving(BTreeSet::new());
    assert_eq!(liveness(&membership, 0), Liveness::Alive);
}

/// Guards against calls that cross availability zones although the own zone could serve
/// them.
#[test]
fn peers_of_the_own_zone_come_first() {
    let mut membership = membership();
    for (name, zone) in [("a", "z2"), ("b", "z1"), ("c", "z3"), ("d", "z1")] {
        membership.record_heartbeat(0, &heartbeat(name, 1, zone));
    }
    assert_eq!(membership.live_peers(0), ["b", "d", "a", "c"]);
    assert_eq!(membership.position(0).0, 5, "with the own instance");
}

/// Guards against a late heartbeat that makes a replaced process a peer again.
#[test]
fn a_replaced_process_is_dead() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 2), "z1".to_string())]);
    hear_peer(&mut membership, 1);
    assert_eq!(liveness(&membership, 1), Liveness::Dead);
    assert_eq!(
        membership.incarnation("peer"),
        Some(&incarnation("peer", 2))
    );
}

/// Guards against a second process of the same name, or one that started during a store
/// outage, that replaces a registered process that still responds.
#[test]
fn an_unregistered_process_does_not_replace_a_live_registered_one() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 1), "z1".to_string())]);
    for now_ms in (0..60).map(|s| s * SECOND_MS) {
        hear_peer(&mut membership, now_ms);
        membership.record_heartbeat(now_ms + 1, &heartbeat("peer", 2, "z1"));
        assert_eq!(liveness(&membership, now_ms + 2), Liveness::Alive);
    }
}

/// Guards against a dead process that counts as alive because another process of the same
/// name sends heartbeats.
#[test]
fn only_its_own_heartbeats_keep_a_process_alive() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("peer", 1), "z1".to_string())]);
    membership.record_heartbeat(9_999, &heartbeat("peer", 2, "z1"));
    assert_eq!(liveness(&membership, 10_000), Liveness::Dead);
}

/// Guards against a replacement that stays unknown during a store outage, because the
/// registration of the dead process is still the last one read. Also guards against
/// keeping the replacement when the registered process responds after all.
#[test]
fn a_dead_process_is_replaced_while_the_registrations_cannot_be_read() {
    let registered = [(incarnation("peer", 1), "z1".to_string())];
    let mut membership = membership();
    membership.record_registrations(0, 0, &registered);
    membership.record_registrations(6 * SECOND_MS, 6 * SECOND_MS, &registered);
    let newer = heartbeat("peer", 2, "z1");
    // The process is dead, but the registrations were read 5 s ago, which is recent
    // enough.
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
    hear_peer(&mut membership, 13 * SECOND_MS);
    assert_eq!(
        membership.incarnation("peer"),
        Some(&incarnation("peer", 1))
    );
}

/// Guards against an engine that no instance looks after, because the others leave it to
/// an instance that started during a store outage and looks after none.
#[test]
fn an_unregistered_instance_is_not_listed_for_its_zone() {
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

/// Guards against sending heartbeats forever to a process that started and ended during a
/// store outage, when no read of the registrations removes it.
#[test]
fn a_dead_unregistered_peer_is_removed_without_the_store() {
    let mut membership = membership();
    membership.record_registrations(0, 0, &[(incarnation("old", 1), "z1".to_string())]);
    hear_peer(&mut membership, SECOND_MS);
    membership.due_heartbeats(10 * SECOND_MS);
    assert!(membership.known_peers().contains(&"peer".to_string()));
    let peers = membership.due_heartbeats(11 * SECOND_MS);
    assert_eq!(peers, ["old"], "the registered one stays");
    assert_eq!(membership.incarnation("peer"), None);
}

/// Guards against removing a peer that responds because the store lost its registration.
#[test]
fn a_peer_that_answers_is_kept_without_registration() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    membership.record_registrations(1_000, 1_000, &[]);
    assert_eq!(liveness(&membership, 1_000), Liveness::Alive);
    membership.record_registrations(10_000, 10_000, &[]);
    assert_eq!(membership.incarnation("peer"), None);
}

/// Guards against flooding the peers with heartbeats.
#[test]
fn heartbeats_go_out_once_per_second() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    assert_eq!(membership.due_heartbeats(0), ["peer"]);
    assert_eq!(membership.due_heartbeats(999), Vec::<String>::new());
    assert_eq!(membership.due_heartbeats(1_000), ["peer"]);
}

/// Guards against a configuration revision that decreases when heartbeats arrive out of
/// order.
#[test]
fn the_highest_revision_is_kept() {
    let mut membership = membership();
    hear_peer(&mut membership, 0);
    let older = Heartbeat {
        config_revision: 3,
        ..heartbeat("peer", 1, "z1")
    };
    membership.record_heartbeat(1, &older);
    assert_eq!(membership.newest_revision(), 7);
}
