//! An instance with a disk: when it answers, when it votes, what survives.

mod support;

use jayreel_gateway::storage::{Disk, Effect, Event, Node};
use jayreel_ledger::{
    Group, LedgerRecord, MemberRequest, MemberResponse, QuotaPurpose, QuotaRequest,
    RateLimit, decode_frames, encode_frame,
};
use support::{TOLERANCE, answers, appended, ask, member, record, reservation};

fn chain(turn: String) -> MemberRequest {
    MemberRequest::Chain {
        turn,
        max_chain_turns: 10,
    }
}

fn group() -> Group {
    Group::first(&["a", "b", "c"].map(member), 1)
}

fn founder(name: &str) -> Node {
    let mut node = Node::new(name, true, 0, TOLERANCE, &[]);
    node.apply(0, Event::GroupLearned(group()));
    node
}

/// A turn that was told to be kept must survive the loss of power right after.
#[test]
fn reply_waits_for_the_disk() {
    let mut node = founder("a");
    let effects = ask(&mut node, 1, 1, MemberRequest::StoreTurn(record("t")));
    assert!(answers(&effects).is_empty());
    let number = appended(&effects).expect("the turn is written");
    let effects = node.apply(2, Event::Synced { through: number });
    assert_eq!(answers(&effects), [MemberResponse::Done]);
}

/// A question that was repeated because its answer was lost is answered at once if what it
/// tells is on disk.
#[test]
fn repeated_question_does_not_wait_for_the_next_write() {
    let mut node = founder("a");
    let effects = ask(&mut node, 1, 1, MemberRequest::StoreTurn(record("t")));
    let number = appended(&effects).expect("the turn is written");
    node.apply(2, Event::Synced { through: number });
    let effects = ask(&mut node, 1, 1, MemberRequest::StoreTurn(record("t")));
    assert_eq!(answers(&effects), [MemberResponse::Done]);
    assert_eq!(appended(&effects), None);
}

#[test]
fn charges_list_the_turns_of_a_program() {
    let mut node = founder("a");
    let effects = ask(
        &mut node,
        1,
        1,
        MemberRequest::Reserve(reservation("program", "t1")),
    );
    let number = appended(&effects).expect("the reservation is written");
    node.apply(2, Event::Synced { through: number });
    let effects = ask(
        &mut node,
        1,
        1,
        MemberRequest::Charges(reservation("program", "t1").program),
    );
    match &answers(&effects)[..] {
        [MemberResponse::Charges(charges)] => {
            assert_eq!(charges.len(), 1);
            assert_eq!(charges[0].tokens, 100);
            assert!(!charges[0].is_settled);
        }
        other => panic!("{other:?}"),
    }
}

/// Two quorums of different versions need not meet, so a version ends before the next begins.
#[test]
fn closed_version_is_not_answered() {
    let mut node = founder("a");
    let next = group().replace(Some("b"), Some(member("d")));
    node.apply(1, Event::GroupLearned(next.clone()));
    assert!(node.is_voting(), "it was complete in the version before");
    let effects = ask(
        &mut node,
        1,
        1,
        MemberRequest::Reserve(reservation("program", "t")),
    );
    assert_eq!(answers(&effects), [MemberResponse::GroupSuperseded(next)]);
}

/// A copy taken from a member that knows a newer version could be used to vote in the older
/// one, which that member has promised to end.
#[test]
fn copy_is_not_given_across_versions() {
    let mut node = founder("a");
    let next = group().replace(Some("b"), Some(member("d")));
    node.apply(1, Event::GroupLearned(next.clone()));
    let effects = ask(&mut node, 1, 1, MemberRequest::CopyPart { cursor: 0 });
    assert_eq!(answers(&effects), [MemberResponse::GroupSuperseded(next)]);
}

/// A member whose disk was lost knows neither charges nor turns; it must not say so.
#[test]
fn member_with_an_empty_disk_votes_only_after_copying() {
    let mut node = Node::new("a", false, 0, TOLERANCE, &[]);
    node.apply(0, Event::GroupLearned(group()));
    assert!(!node.is_voting());
    let turn = "t".to_string();
    let effects = ask(&mut node, 1, 1, chain(turn));
    assert_eq!(answers(&effects), [MemberResponse::NotVoting]);
    for source in ["b", "c"] {
        assert!(!node.is_voting());
        let facts = vec![LedgerRecord::Turn(record("t"))];
        node.apply(
            1,
            Event::Copied {
                source: source.to_string(),
                facts,
                is_last: true,
            },
        );
    }
    assert!(node.is_voting());
    let turn = "t".to_string();
    let effects = ask(&mut node, 1, 1, chain(turn));
    assert_eq!(
        answers(&effects),
        [MemberResponse::Chain(vec![record("t")])]
    );
}

/// After a kill of all processes members waited for their next look at the store before they
/// answered (scale-1 of dvcra-council-reports): being told the group is enough.
#[test]
fn member_votes_as_soon_as_it_is_told_the_group() {
    let facts = [LedgerRecord::Complete { group_version: 1 }];
    let mut node = Node::new("a", false, 0, TOLERANCE, &facts);
    assert!(!node.is_voting());
    let effects = ask(&mut node, 1, 1, MemberRequest::AdoptGroup(group()));
    assert_eq!(answers(&effects), [MemberResponse::Done]);
    assert!(node.is_voting());
}

/// A part of the copy that completeness was claimed for must not come from another log.
#[test]
fn mark_of_completeness_is_not_copied() {
    let mut node = Node::new("a", false, 0, TOLERANCE, &[]);
    node.apply(0, Event::GroupLearned(group()));
    let facts = vec![LedgerRecord::Complete { group_version: 1 }];
    ask(&mut node, 1, 1, MemberRequest::StoreRecords(facts));
    assert!(!node.has_voted());
}

fn take(node: &mut Node, now_ms: u64, requests: u32) -> (u32, Vec<LedgerRecord>) {
    let want = QuotaRequest {
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
    let take = MemberRequest::TakeQuota {
        configuration_version: 1,
        wants: vec![want],
    };
    let effects = ask(node, now_ms, 1, take);
    let facts = effects.iter().flat_map(|effect| match effect {
        Effect::Append { frames, .. } => decode_frames(frames).0,
        Effect::Reply { .. } => Vec::new(),
    });
    let facts = facts.collect();
    match &answers(&effects)[..] {
        [MemberResponse::Quota(granted)] => (granted[0], facts),
        other => panic!("{other:?}"),
    }
}

/// All processes are killed and are back within a second: what was granted before still
/// counts against the customer's rate.
#[test]
fn grants_survive_a_kill() {
    let mut node = founder("a");
    let (granted, granted_facts) = take(&mut node, 10_000, 500);
    assert_eq!(granted, 60);
    let mut facts = vec![LedgerRecord::Complete { group_version: 1 }];
    facts.extend(granted_facts);
    let mut node = Node::new("a", false, 200, TOLERANCE, &facts);
    node.apply(200, Event::GroupLearned(group()));
    assert_eq!(take(&mut node, 5_199, 500).0, 0);
    assert_eq!(take(&mut node, 5_200, 500).0, 60);
}

/// A member takes the place of another, whose grants nobody knows.
#[test]
fn new_member_grants_nothing_for_a_window() {
    let mut node = Node::new("d", false, 0, TOLERANCE, &[]);
    let first = Group::first(&["a", "b", "c"].map(member), 1);
    let mut next = first.replace(Some("a"), Some(member("d")));
    next.version = 1;
    node.apply(20_000, Event::GroupLearned(next));
    for source in ["b", "c"] {
        node.apply(
            20_000,
            Event::Copied {
                source: source.to_string(),
                facts: Vec::new(),
                is_last: true,
            },
        );
    }
    assert!(node.is_voting());
    assert_eq!(take(&mut node, 24_999, 1).0, 0);
    assert_eq!(take(&mut node, 25_000, 1).0, 1);
}

fn frames(facts: &[LedgerRecord]) -> Vec<u8> {
    let mut frames = Vec::new();
    for fact in facts {
        encode_frame(fact, &mut frames).expect("a fact can be encoded");
    }
    frames
}

/// After a loss of power the end of the log may be torn at any byte.
#[test]
fn torn_log_gives_the_whole_facts_before() {
    let facts = [
        LedgerRecord::Turn(record("t1")),
        LedgerRecord::Turn(record("t2")),
    ];
    let bytes = frames(&facts);
    let first = frames(&facts[..1]).len();
    for length in 0..bytes.len() {
        let (read, whole) = decode_frames(&bytes[..length]);
        let expected = usize::from(length >= first);
        assert_eq!(read.len(), expected, "cut at {length}");
        assert_eq!(whole, expected * first);
    }
    for index in 0..bytes.len() {
        let mut spoiled = bytes.clone();
        spoiled[index] ^= 0x40;
        let (read, _) = decode_frames(&spoiled);
        assert!(read.len() < 2, "byte {index}");
        assert!(read.iter().zip(&facts).all(|(read, fact)| read == fact));
    }
}

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
        // A folder that is left behind does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::test]
async fn log_is_read_again_after_restarts_and_a_replacement() {
    let folder = Folder::new("log");
    let (disk, facts, mut synced) =
        Disk::open(&folder.0).expect("the folder can be used");
    assert!(facts.is_empty());
    disk.append(1, true, frames(&[LedgerRecord::Turn(record("t1"))]));
    assert_eq!(synced.recv().await, Some(1));
    disk.close();
    let (disk, facts, mut synced) =
        Disk::open(&folder.0).expect("the folder can be used");
    assert_eq!(facts, [LedgerRecord::Turn(record("t1"))]);
    disk.replace(frames(&[LedgerRecord::Turn(record("t2"))]));
    disk.append(2, true, frames(&[LedgerRecord::Turn(record("t3"))]));
    assert_eq!(synced.recv().await, Some(2));
    disk.close();
    let (_, facts, _) = Disk::open(&folder.0).expect("the folder can be used");
    assert_eq!(
        facts,
        [
            LedgerRecord::Turn(record("t2")),
            LedgerRecord::Turn(record("t3"))
        ]
    );
}
