//! Tests of a storage instance: when it replies, when it votes, and what survives a restart.

mod support;

use jayreel_gateway::storage::{Disk, Effect, Event, Node};
use jayreel_ledger::{
    Group, LedgerRecord, MemberRequest, MemberResponse, QuotaPurpose, QuotaRequest,
    RateLimit, decode_frames, encode_frame,
};
use support::{
    TOLERANCE, append_number, member, reservation, responses, send, turn_record,
};

/// A request for a turn and up to nine before it.
fn chain(turn: String) -> MemberRequest {
    MemberRequest::Chain {
        turn,
        max_chain_turns: 10,
    }
}

fn group() -> Group {
    Group::first(&["a", "b", "c"].map(member), 1)
}

/// A member of the first group, which votes at once.
fn founding_member(name: &str) -> Node {
    let mut node = Node::new(name, true, 0, TOLERANCE, &[]);
    node.apply(0, Event::GroupReceived(group()));
    node
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
    let effects = send(&mut node, 1, 1, MemberRequest::CopyPart { cursor: 0 });
    assert_eq!(responses(&effects), [MemberResponse::GroupSuperseded(next)]);
}

/// A member that lost its disk must not respond as if there were no charges and no turns.
#[test]
fn member_with_an_empty_disk_votes_only_after_copying() {
    let mut node = Node::new("a", false, 0, TOLERANCE, &[]);
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
    let mut node = Node::new("a", false, 0, TOLERANCE, &records);
    assert!(!node.is_voting());
    let effects = send(&mut node, 1, 1, MemberRequest::AdoptGroup(group()));
    assert_eq!(responses(&effects), [MemberResponse::Done]);
    assert!(node.is_voting());
}

/// A `Complete` record is valid only for the log of the member that wrote it.
#[test]
fn complete_record_is_not_copied() {
    let mut node = Node::new("a", false, 0, TOLERANCE, &[]);
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
    let records = effects.iter().flat_map(|effect| match effect {
        Effect::Append { frames, .. } => decode_frames(frames).0,
        Effect::Reply { .. } => Vec::new(),
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
    let mut node = founding_member("a");
    let (granted, grants) = take_quota(&mut node, 10_000, 500);
    assert_eq!(granted, 60);
    let mut records = vec![LedgerRecord::Complete { group_version: 1 }];
    records.extend(grants);
    let mut node = Node::new("a", false, 200, TOLERANCE, &records);
    node.apply(200, Event::GroupReceived(group()));
    assert_eq!(take_quota(&mut node, 5_199, 500).0, 0);
    assert_eq!(take_quota(&mut node, 5_200, 500).0, 60);
}

/// A member that takes the place of another does not know what that one granted.
#[test]
fn new_member_grants_nothing_for_a_window() {
    let mut node = Node::new("d", false, 0, TOLERANCE, &[]);
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

/// Encodes records as the content of a log file.
fn frames(records: &[LedgerRecord]) -> Vec<u8> {
    let mut frames = Vec::new();
    for record in records {
        encode_frame(record, &mut frames).expect("a record can be encoded");
    }
    frames
}

/// A power failure may tear the end of the log at any byte. The records before it must be read,
/// and a damaged one must not.
#[test]
fn torn_log_yields_the_intact_records() {
    let records = [
        LedgerRecord::Turn(turn_record("t1")),
        LedgerRecord::Turn(turn_record("t2")),
    ];
    let bytes = frames(&records);
    let first_bytes = frames(&records[..1]).len();
    for length in 0..bytes.len() {
        let (read, intact_bytes) = decode_frames(&bytes[..length]);
        let expected = usize::from(length >= first_bytes);
        assert_eq!(read.len(), expected, "cut at {length}");
        assert_eq!(intact_bytes, expected * first_bytes);
    }
    for index in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 0x40;
        let (read, _) = decode_frames(&damaged);
        assert!(read.len() < 2, "byte {index}");
        assert!(
            read.iter()
                .zip(&records)
                .all(|(read, record)| read == record)
        );
    }
}

/// A temporary folder, removed when dropped.
struct Folder(std::path::PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let name = format!("jayreel-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder for the test");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // An error only leaves the folder behind, which does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::test]
async fn log_is_read_again_after_restarts_and_a_replacement() {
    let folder = Folder::new("log");
    let (disk, records, mut synced) =
        Disk::open(&folder.0).expect("the folder can be used");
    assert!(records.is_empty());
    disk.append(1, true, frames(&[LedgerRecord::Turn(turn_record("t1"))]));
    assert_eq!(synced.recv().await, Some(1));
    disk.close();
    let (disk, records, mut synced) =
        Disk::open(&folder.0).expect("the folder can be used");
    assert_eq!(records, [LedgerRecord::Turn(turn_record("t1"))]);
    disk.replace(frames(&[LedgerRecord::Turn(turn_record("t2"))]));
    disk.append(2, true, frames(&[LedgerRecord::Turn(turn_record("t3"))]));
    assert_eq!(synced.recv().await, Some(2));
    disk.close();
    let (_, records, _) = Disk::open(&folder.0).expect("the folder can be used");
    assert_eq!(
        records,
        [
            LedgerRecord::Turn(turn_record("t2")),
            LedgerRecord::Turn(turn_record("t3"))
        ]
    );
}
