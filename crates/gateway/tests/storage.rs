//! Tests of a storage instance: when it replies, when it votes, and what survives a restart.

mod support;

use std::collections::HashMap;

use bytes::Bytes;
use jayreel_gateway::storage::{ConfigurationUpdate, Effect, Event, Node};
use jayreel_gateway::{EndpointEntry, EndpointRead, EndpointSnapshot};
use jayreel_ledger::{
    ColdReport, CopyCursor, EndpointLimit, Group, LedgerRecord, LogEntry, MemberRequest,
    MemberResponse, QuotaPurpose, QuotaRequest, RateLimit,
};
use support::{
    append_number, decode_heads, member, node, reservation, responses, send, turn_record,
};
use test_case::test_case;

/// A request for a turn and up to nine before it.
fn chain(turn: String) -> MemberRequest {
    MemberRequest::Chain {
        turn,
        max_chain_turns: 10,
        max_bytes: u64::MAX,
    }
}

fn group() -> Group {
    Group::first(&["a", "b", "c"].map(member), 1)
}

/// A member of the first group, which votes at once.
fn founding_member(name: &str) -> Node {
    let mut founder = node(name, true, 0, &[]);
    founder.apply(0, Event::GroupReceived(group()));
    founder
}

/// A turn must survive a power failure right after it was confirmed as stored.
#[test]
fn reply_waits_for_the_disk() {
    let mut node = founding_member("a");
    let effects = send(&mut node, 1, 1, MemberRequest::StoreTurn(turn_record("t")));
    assert!(responses(&effects).is_empty());
    let number = append_number(&effects).expect("the turn is written");
    let effects = node.apply(2, Event::Synced { through: number });
    assert_eq!(responses(&effects), [MemberResponse::Done]);
}

/// A request that is repeated because its reply was lost gets its reply at once if its records
/// are on disk already.
#[test]
fn repeated_request_does_not_wait_for_the_next_write() {
    let mut node = founding_member("a");
    let effects = send(&mut node, 1, 1, MemberRequest::StoreTurn(turn_record("t")));
    let number = append_number(&effects).expect("the turn is written");
    node.apply(2, Event::Synced { through: number });
    let effects = send(&mut node, 1, 1, MemberRequest::StoreTurn(turn_record("t")));
    assert_eq!(responses(&effects), [MemberResponse::Done]);
    assert_eq!(append_number(&effects), None);
}

#[test]
fn charges_list_the_turns_of_a_program() {
    let mut node = founding_member("a");
    let effects = send(
        &mut node,
        1,
        1,
        MemberRequest::Reserve(reservation("program", "t1")),
    );
    let number = append_number(&effects).expect("the reservation is written");
    node.apply(2, Event::Synced { through: number });
    let effects = send(
        &mut node,
        1,
        1,
        MemberRequest::Charges(reservation("program", "t1").program),
    );
    match &responses(&effects)[..] {
        [MemberResponse::Charges(charges)] => {
            assert_eq!(charges.len(), 1);
            assert_eq!(charges[0].tokens, 100);
            assert!(!charges[0].is_settled);
        }
        other => panic!("{other:?}"),
    }
}

/// Quorums of different versions of the group need not share a member, so a member must reject
/// requests for a version once it knows the next one.
#[test]
fn requests_for_a_superseded_version_are_rejected() {
    let mut node = founding_member("a");
    let next = group().replace(Some("b"), Some(member("d")));
    node.apply(1, Event::GroupReceived(next.clone()));
    assert!(node.is_voting(), "it was complete in the previous version");
    let effects = send(
        &mut node,
        1,
        1,
        MemberRequest::Reserve(reservation("program", "t")),
    );
    assert_eq!(responses(&effects), [MemberResponse::GroupSuperseded(next)]);
}

/// An instance could use a copy from a member that knows a newer version to vote in the older
/// one, which that member has promised not to do.
#[test]
fn records_are_not_copied_across_versions() {
    let mut node = founding_member("a");
    let next = group().replace(Some("b"), Some(member("d")));
    node.apply(1, Event::GroupReceived(next.clone()));
    let effects = send(
        &mut node,
        1,
        1,
        MemberRequest::CopyPart {
            cursor: CopyCursor::START,
        },
    );
    assert_eq!(responses(&effects), [MemberResponse::GroupSuperseded(next)]);
}

/// A member that lost its disk must not respond as if there were no charges and no turns.
#[test]
fn member_with_an_empty_disk_votes_only_after_copying() {
    let mut node = node("a", false, 0, &[]);
    node.apply(0, Event::GroupReceived(group()));
    assert!(!node.is_voting());
    let turn = "t".to_string();
    let effects = send(&mut node, 1, 1, chain(turn));
    assert_eq!(responses(&effects), [MemberResponse::NotVoting]);
    for source in ["b", "c"] {
        assert!(!node.is_voting());
        let records = vec![LedgerRecord::Turn(turn_record("t"))];
        node.apply(
            1,
            Event::RecordsCopied {
                source: source.to_string(),
                records,
                is_last: true,
            },
        );
    }
    assert!(node.is_voting());
    let turn = "t".to_string();
    let effects = send(&mut node, 1, 1, chain(turn));
    let [Effect::Read { key, locations }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(locations.len(), 1, "the copied turn is on the disk");
    let turns = vec![Some(turn_record("t"))];
    let effects = node.apply(2, Event::TurnsRead { key: *key, turns });
    assert_eq!(
        responses(&effects),
        [MemberResponse::Chain(vec![turn_record("t")])]
    );
}

/// A restarted member may vote as soon as another instance announces the group to it. In
/// scenario scale-1 of dvcra-council-reports, after a kill of all processes, members responded
/// only after they had next read the store.
#[test]
fn member_votes_once_the_group_is_announced() {
    let records = [LedgerRecord::Complete { group_version: 1 }];
    let mut node = node("a", false, 0, &records);
    assert!(!node.is_voting());
    let effects = send(&mut node, 1, 1, MemberRequest::AdoptGroup(group()));
    assert_eq!(responses(&effects), [MemberResponse::Done]);
    assert!(node.is_voting());
}

/// A `Complete` record is valid only for the log of the member that wrote it.
#[test]
fn complete_record_is_not_copied() {
    let mut node = node("a", false, 0, &[]);
    node.apply(0, Event::GroupReceived(group()));
    let records = vec![LedgerRecord::Complete { group_version: 1 }];
    send(&mut node, 1, 1, MemberRequest::StoreRecords(records));
    assert!(!node.has_voted());
}

/// Requests quota from an instance. Returns the number of requests granted and the records that
/// it appended.
fn take_quota(node: &mut Node, now_ms: u64, requests: u32) -> (u32, Vec<LedgerRecord>) {
    let quota_request = QuotaRequest {
        customer: "customer".to_string(),
        program: None,
        requests,
        budget: None,
        quota_purpose: QuotaPurpose::ContinueProgram,
        limit: RateLimit {
            rate_per_s: 30.0,
            burst: 30.0,
        },
    };
    let request = MemberRequest::TakeQuota {
        configuration_version: 1,
        quota_requests: vec![quota_request],
    };
    let effects = send(node, now_ms, 1, request);
    let heads = effects.iter().flat_map(|effect| match effect {
        Effect::Append { frames, .. } => decode_heads(frames),
        _ => Vec::new(),
    });
    let records = heads.map(|head| match head {
        LogEntry::Granted {
            at_ms,
            customer,
            count,
        } => LedgerRecord::Granted {
            at_ms,
            customer,
            count,
        },
        other => panic!("{other:?}"),
    });
    let records = records.collect();
    match &responses(&effects)[..] {
        [MemberResponse::Quota(granted)] => (granted[0], records),
        other => panic!("{other:?}"),
    }
}

/// After all processes were killed and restarted within a second, earlier grants still count
/// against the customer's rate.
#[test]
fn grants_survive_a_kill() {
    let mut founder = founding_member("a");
    let (granted, grants) = take_quota(&mut founder, 10_000, 500);
    assert_eq!(granted, 60);
    let mut records = vec![LedgerRecord::Complete { group_version: 1 }];
    records.extend(grants);
    let mut node = node("a", false, 200, &records);
    node.apply(200, Event::GroupReceived(group()));
    assert_eq!(take_quota(&mut node, 5_199, 500).0, 0);
    assert_eq!(take_quota(&mut node, 5_200, 500).0, 60);
}

/// A member that takes the place of another does not know what that one granted.
#[test]
fn new_member_grants_nothing_for_a_window() {
    let mut node = node("d", false, 0, &[]);
    let first = Group::first(&["a", "b", "c"].map(member), 1);
    let mut next = first.replace(Some("a"), Some(member("d")));
    next.version = 1;
    node.apply(20_000, Event::GroupReceived(next));
    for source in ["b", "c"] {
        node.apply(
            20_000,
            Event::RecordsCopied {
                source: source.to_string(),
                records: Vec::new(),
                is_last: true,
            },
        );
    }
    assert!(node.is_voting());
    assert_eq!(take_quota(&mut node, 24_999, 1).0, 0);
    assert_eq!(take_quota(&mut node, 25_000, 1).0, 1);
}

/// The records that say what an instance knows about its votes.
fn vote_records(effects: &[Effect]) -> Vec<LogEntry> {
    let heads = effects.iter().flat_map(|effect| match effect {
        Effect::Append { frames, .. } => decode_heads(frames),
        _ => Vec::new(),
    });
    let is_about_votes = |head: &LogEntry| {
        matches!(
            head,
            LogEntry::Complete { .. } | LogEntry::VotesRecorded { .. }
        )
    };
    heads.filter(is_about_votes).collect()
}

// Guards against a spare that forgets with a restart that it has not voted in the group that it
// joined: it would wait for a member that waits for it.
#[test]
fn spare_that_joins_knows_after_a_restart_that_it_has_not_voted() {
    let mut spare = node("d", false, 0, &[]);
    let effects = spare.apply(0, Event::NewestGroupRead(group()));
    let recorded = LogEntry::VotesRecorded { from_version: 2 };
    assert_eq!(vote_records(&effects), [recorded]);
    let records = [LedgerRecord::VotesRecorded { from_version: 2 }];
    let mut spare = node("d", false, 0, &records);
    assert!(spare.has_recorded_votes());
    let next = group().replace(Some("a"), Some(member("d")));
    spare.apply(0, Event::GroupReceived(next));
    for source in ["a", "b"] {
        assert!(!spare.is_voting());
        let copied = Event::RecordsCopied {
            source: source.to_string(),
            records: Vec::new(),
            is_last: true,
        };
        spare.apply(1, copied);
    }
    assert!(spare.is_voting(), "c is not needed");
}

// Guards against a member that lost its disk and takes an old announcement for the newest group:
// only a read of the store since its start proves in which versions it has not voted.
#[test]
fn announced_group_does_not_prove_that_a_member_has_not_voted() {
    let mut member_with_lost_disk = node("d", false, 0, &[]);
    member_with_lost_disk.apply(0, Event::GroupReceived(group()));
    assert!(!member_with_lost_disk.has_recorded_votes());
    let next = group().replace(Some("a"), Some(member("d")));
    member_with_lost_disk.apply(0, Event::NewestGroupRead(next));
    for source in ["a", "b"] {
        let copied = Event::RecordsCopied {
            source: source.to_string(),
            records: Vec::new(),
            is_last: true,
        };
        member_with_lost_disk.apply(1, copied);
    }
    assert!(
        !member_with_lost_disk.is_voting(),
        "it may have voted with c"
    );
}

fn cold_limit(left_ms: i64) -> EndpointLimit {
    EndpointLimit {
        cold: Some(ColdReport {
            left_ms,
            per_s: 28.0,
            was_in_use: false,
        }),
        ..EndpointLimit::unlimited("new")
    }
}

fn voting_node() -> Node {
    let records = [LedgerRecord::Complete { group_version: 1 }];
    let mut node = node("a", false, 0, &records);
    node.apply(0, Event::GroupReceived(group()));
    assert!(node.is_voting());
    node
}

/// A member that has just started has no reports. It knows from the registry and the configuration
/// which endpoints are cold, whichever it reads first, and tells entry instances.
#[test_case(true)]
#[test_case(false)]
fn restarted_member_knows_cold_endpoints_from_the_registry(reads_registry_first: bool) {
    let mut node = voting_node();
    let entry = EndpointEntry {
        id: "new".to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "a".to_string(),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(1),
        cold_left_ms: 3_000,
    };
    let unlimited = EndpointEntry {
        id: "other".to_string(),
        service: "others".to_string(),
        ..entry.clone()
    };
    let registry = Event::EndpointsRead(EndpointRead::Listed {
        snapshot: EndpointSnapshot {
            revision: 1,
            entries: vec![entry, unlimited],
            unreadable: 0,
        },
        was_connected: true,
    });
    let configuration = Event::ConfigurationRead {
        read_began_ms: 0,
        revision: 1,
        content: Some(ConfigurationUpdate {
            stored: Bytes::new(),
            version: 1,
            limits: Vec::new(),
            cold_rates: HashMap::from([("engines".to_string(), 28.0)]),
        }),
    };
    let mut events = [registry, configuration];
    if !reads_registry_first {
        events.reverse();
    }
    for event in events {
        node.apply(1_000, event);
    }
    let known = node.endpoint_limits().current(1_500);
    assert_eq!(known, [cold_limit(2_500)]);
}

/// A member that was cut off while the group grew would grant too large a share.
#[test]
fn member_with_an_older_group_grants_no_tokens_of_cold_endpoints() {
    let mut node = voting_node();
    let take = |node: &mut Node, group_version, limit| {
        let body = MemberRequest::TakeSend(vec![limit]);
        responses(&send(node, 5_000, group_version, body))
    };
    let outdated = take(&mut node, 2, cold_limit(3_000));
    assert_eq!(outdated, [MemberResponse::Unavailable]);
    let unlimited = EndpointLimit::unlimited("old");
    let granted = take(&mut node, 2, unlimited.clone());
    assert!(
        matches!(&granted[..], [MemberResponse::Send(grant)] if grant.granted == Some(0))
    );
    let empty = take(&mut node, 1, cold_limit(3_000));
    assert!(
        matches!(&empty[..], [MemberResponse::Send(grant)] if grant.granted.is_none())
    );
}
