//! Tests of the log of a storage instance on a real disk: what is read after a restart, what
//! damage leads to, and how space is freed.

#[path = "support/stored.rs"]
mod stored;
mod support;

use std::fs;
use std::io::Write;

use bytes::Bytes;
use jayreel_gateway::storage::{Event, StorageLimits};
use jayreel_ledger::{
    CopyCursor, Group, LedgerRecord, MemberRequest, MemberResponse, TurnDigest,
    TurnRecord,
};
use stored::{Folder, StoredInstance};
use support::{frames, member, reservation, turn_record};

/// Time after which turns of 60 s are removed, in milliseconds.
const EXPIRED_MS: u64 = 60_001;

/// A small disk: segments of 16 KB, of which 60 fit.
fn small_limits() -> StorageLimits {
    StorageLimits {
        disk_bytes: 60 * (16 << 10),
        segment_bytes: 16 << 10,
        ..support::limits()
    }
}

/// Limits without a cache, so that each turn is read from the disk.
fn uncached(limits: StorageLimits) -> StorageLimits {
    StorageLimits {
        cache_bytes: 0,
        ..limits
    }
}

fn group() -> Group {
    Group::first(&["a", "b", "c"].map(member), 1)
}

/// A turn with an input of 1,000 bytes, which continues another one.
fn long_turn(turn: &str, previous: Option<&str>) -> TurnRecord {
    let byte = turn.as_bytes().last().copied().unwrap_or(b'.');
    TurnRecord {
        previous: previous.map(str::to_string),
        input: Bytes::from(vec![byte; 1_000]),
        ..turn_record(turn)
    }
}

/// A member of the first group, which votes at once.
async fn founder(folder: &Folder, limits: StorageLimits) -> StoredInstance {
    let mut instance = StoredInstance::open("a", &folder.0, true, limits);
    instance.apply(Event::GroupReceived(group())).await;
    instance
}

/// Starts the member again.
async fn restarted(folder: &Folder, limits: StorageLimits) -> StoredInstance {
    let mut instance = StoredInstance::open("a", &folder.0, false, limits);
    instance.apply(Event::GroupReceived(group())).await;
    instance
}

async fn store(instance: &mut StoredInstance, turn: &TurnRecord) {
    let response = instance.send(MemberRequest::StoreTurn(turn.clone())).await;
    assert_eq!(response, MemberResponse::Done, "{}", turn.turn);
}

async fn chain(instance: &mut StoredInstance, turn: &str) -> MemberResponse {
    chain_within(instance, turn, u64::MAX).await
}

async fn chain_within(
    instance: &mut StoredInstance,
    turn: &str,
    max_bytes: u64,
) -> MemberResponse {
    let request = MemberRequest::Chain {
        turn: turn.to_string(),
        max_chain_turns: 256,
        max_bytes,
    };
    instance.send(request).await
}

#[tokio::test]
async fn conversation_is_read_from_the_disk_after_a_restart() {
    let folder = Folder::new("restart");
    let limits = uncached(small_limits());
    let mut instance = founder(&folder, limits).await;
    let mut turns: Vec<TurnRecord> = Vec::new();
    for number in 0..40 {
        let previous = turns.last().map(|turn| turn.turn.clone());
        let turn = long_turn(&format!("turn-{number}"), previous.as_deref());
        store(&mut instance, &turn).await;
        turns.push(turn);
    }
    turns.reverse();
    let expected = MemberResponse::Chain(turns.clone());
    assert_eq!(chain(&mut instance, "turn-39").await, expected);
    instance.close().await;
    assert!(folder.segments().len() > 1, "several segments");
    let mut instance = restarted(&folder, limits).await;
    assert!(instance.node.is_voting());
    assert_eq!(chain(&mut instance, "turn-39").await, expected);
}

// Guards against a response that holds a whole long conversation in memory. The entry
// instance asks for the rest.
#[tokio::test]
async fn response_with_a_long_conversation_is_bounded() {
    let folder = Folder::new("long-chain");
    let mut instance = founder(&folder, uncached(support::limits())).await;
    let mut previous: Option<String> = None;
    for number in 0..20 {
        let turn = TurnRecord {
            input: Bytes::from(vec![b'x'; 100_000]),
            previous: previous.clone(),
            ..turn_record(&format!("turn-{number}"))
        };
        store(&mut instance, &turn).await;
        previous = Some(turn.turn);
    }
    let MemberResponse::Chain(turns) = chain(&mut instance, "turn-19").await else {
        panic!("no chain");
    };
    assert_eq!(turns.len(), 6, "the first six reach 512 KiB");
    assert_eq!(turns[0].turn, "turn-19");
    assert_eq!(turns[5].turn, "turn-14");
}

// Guards against turns that an entry instance has no memory for: it must know the size before they are
// sent.
#[tokio::test]
async fn turns_beyond_the_memory_of_the_sender_are_not_sent() {
    let folder = Folder::new("too-large");
    let mut instance = founder(&folder, uncached(support::limits())).await;
    let (one, two) = (long_turn("one", None), long_turn("two", Some("one")));
    store(&mut instance, &one).await;
    store(&mut instance, &two).await;
    let newest = MemberResponse::Chain(vec![two.clone()]);
    assert_eq!(chain_within(&mut instance, "two", 2_000).await, newest);
    let response = chain_within(&mut instance, "two", 1_000).await;
    let MemberResponse::TurnTooLarge { frame_bytes } = response else {
        panic!("{response:?}");
    };
    assert!((1_001..2_000).contains(&frame_bytes), "{frame_bytes}");
    let response = chain_within(&mut instance, "two", frame_bytes).await;
    assert_eq!(response, newest);
    let both = MemberResponse::Chain(vec![two, one]);
    assert_eq!(chain_within(&mut instance, "two", 4_000).await, both);
}

/// The stored turns `t1` and `t2`, if they can be read.
async fn readable_turns(folder: &Folder) -> Vec<TurnRecord> {
    let limits = uncached(support::limits());
    let mut instance = StoredInstance::open("a", &folder.0, false, limits);
    instance.apply(Event::GroupReceived(group())).await;
    let mut turns = Vec::new();
    for turn in ["t1", "t2"] {
        match chain(&mut instance, turn).await {
            MemberResponse::Chain(found) => turns.extend(found),
            MemberResponse::NotVoting => {}
            other => panic!("{other:?}"),
        }
    }
    instance.close().await;
    turns
}

/// A power failure may tear the end of the log at any byte. The records before it must be read,
/// and a damaged one must not.
#[tokio::test]
async fn torn_log_yields_the_intact_records() {
    let folder = Folder::new("torn");
    let turns = ["t1", "t2"].map(turn_record);
    let records = turns.clone().map(LedgerRecord::Turn);
    let bytes = frames(&records);
    let first_bytes = frames(&records[..1]).len();
    for length in 0..bytes.len() {
        fs::write(folder.segment(1), &bytes[..length]).expect("a segment");
        let expected = usize::from(length >= first_bytes);
        let read = readable_turns(&folder).await;
        assert_eq!(read, turns[..expected], "cut at {length}");
        let left = fs::metadata(folder.segment(1)).expect("a segment").len();
        assert_eq!(left as usize, expected * first_bytes, "cut at {length}");
    }
    for index in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 0x40;
        fs::write(folder.segment(1), &damaged).expect("a segment");
        let read = readable_turns(&folder).await;
        let expected = usize::from(index >= first_bytes);
        assert_eq!(read, turns[..expected], "byte {index}");
    }
}

// Guards against damage in the middle of the log that goes unnoticed: the instance would vote
// without records that it has confirmed.
#[tokio::test]
async fn damaged_head_in_a_sealed_segment_leads_to_a_copy() {
    let folder = Folder::new("damaged-head");
    let mut instance = founder(&folder, small_limits()).await;
    for number in 0..40 {
        store(&mut instance, &long_turn(&format!("turn-{number}"), None)).await;
    }
    instance.close().await;
    let mut bytes = fs::read(folder.segment(1)).expect("a segment");
    bytes[3_000] ^= 1;
    let head = bytes.len() - 1_000 - "output\n".len() - 4;
    bytes[head] ^= 1;
    fs::write(folder.segment(1), bytes).expect("a segment");
    let instance = restarted(&folder, small_limits()).await;
    assert!(!instance.node.is_voting());
    assert_eq!(instance.node.copy_sources().len(), 2);
}

// Guards against a damaged body that is sent to a caller, or that makes a turn seem never to
// have existed.
#[tokio::test]
async fn damaged_body_in_a_sealed_segment_leads_to_a_copy() {
    let folder = Folder::new("damaged-body");
    let limits = uncached(small_limits());
    let mut instance = founder(&folder, limits).await;
    for number in 0..40 {
        store(&mut instance, &long_turn(&format!("turn-{number}"), None)).await;
    }
    instance.close().await;
    let mut bytes = fs::read(folder.segment(1)).expect("a segment");
    let last = bytes.len() - 100;
    bytes[last] ^= 1;
    fs::write(folder.segment(1), &bytes).expect("a segment");
    let mut instance = restarted(&folder, limits).await;
    assert!(
        instance.node.is_voting(),
        "bodies are checked when they are read"
    );
    let damaged = (0..40).map(|number| format!("turn-{number}")).find(|turn| {
        let location = instance.node.location(TurnDigest::of(turn));
        location.is_some_and(|at| {
            at.segment == 1 && (at.offset + at.frame_bytes) as usize == bytes.len()
        })
    });
    let damaged = damaged.expect("the last turn of the segment");
    assert_eq!(
        chain(&mut instance, &damaged).await,
        MemberResponse::Unavailable
    );
    assert!(!instance.node.is_voting());
    assert_eq!(
        chain(&mut instance, &damaged).await,
        MemberResponse::NotVoting
    );
    for source in ["b", "c"] {
        let event = Event::RecordsCopied {
            source: source.to_string(),
            records: vec![LedgerRecord::Turn(long_turn(&damaged, None))],
            is_last: true,
        };
        instance.apply(event).await;
    }
    assert!(instance.node.is_voting());
    instance.close().await;
    let mut instance = restarted(&folder, limits).await;
    let expected = MemberResponse::Chain(vec![long_turn(&damaged, None)]);
    assert_eq!(chain(&mut instance, &damaged).await, expected);
}

// Guards against a log that only grows: turns that have expired must leave the disk, and what
// is still needed beside them must not.
#[tokio::test]
async fn segments_of_expired_turns_are_removed() {
    let folder = Folder::new("expired");
    let limits = small_limits();
    let mut instance = founder(&folder, limits).await;
    let reserved = reservation("program", "turn-0");
    instance.send(MemberRequest::Reserve(reserved)).await;
    for number in 0..100 {
        store(&mut instance, &long_turn(&format!("turn-{number}"), None)).await;
    }
    let before = folder.segments();
    instance.now_ms = EXPIRED_MS;
    for _ in 0..before.len() {
        instance.apply(Event::Tick).await;
    }
    instance.close().await;
    assert_eq!(folder.segments(), before[before.len() - 1..]);
    let mut instance = restarted(&folder, limits).await;
    assert!(
        instance.node.is_voting(),
        "the record of its vote was moved"
    );
    let program = reservation("program", "turn-0").program;
    match instance.send(MemberRequest::Charges(program)).await {
        MemberResponse::Charges(charges) => assert_eq!(charges.len(), 1),
        other => panic!("{other:?}"),
    }
}

// Guards against a segment that stays on the disk as a whole because of a few turns, while
// space is short.
#[tokio::test]
async fn needed_turns_move_when_space_is_short() {
    let folder = Folder::new("moved");
    let limits = uncached(small_limits());
    let mut instance = founder(&folder, limits).await;
    // Every fourth turn is used again later and so kept longer.
    for number in 0..500 {
        store(&mut instance, &long_turn(&format!("turn-{number}"), None)).await;
    }
    let full_bytes = instance.node.usage().log_bytes;
    assert!(full_bytes > limits.disk_bytes / 2);
    instance.now_ms = EXPIRED_MS - 1_000;
    for number in (0..500).step_by(4) {
        chain(&mut instance, &format!("turn-{number}")).await;
    }
    instance.now_ms = EXPIRED_MS;
    for _ in 0..40 {
        instance.apply(Event::Tick).await;
    }
    let usage = instance.node.usage();
    assert_eq!(usage.turns, 125);
    assert!(usage.log_bytes <= limits.disk_bytes / 2, "{usage:?}");
    for number in (0..500).step_by(4) {
        let turn = format!("turn-{number}");
        let expected = MemberResponse::Chain(vec![long_turn(&turn, None)]);
        assert_eq!(chain(&mut instance, &turn).await, expected);
    }
    instance.close().await;
    let mut instance = restarted(&folder, limits).await;
    for number in (0..500).step_by(4) {
        let turn = format!("turn-{number}");
        let expected = MemberResponse::Chain(vec![long_turn(&turn, None)]);
        assert_eq!(chain(&mut instance, &turn).await, expected);
    }
}

// Guards against a process that fills its disk and ends. New turns must be refused before they
// run, while those that run can still be stored.
#[tokio::test]
async fn full_disk_refuses_new_turns_and_stores_running_ones() {
    let folder = Folder::new("full");
    let limits = uncached(small_limits());
    let mut instance = founder(&folder, limits).await;
    let mut stored = 0;
    let reserve = |number: usize| {
        MemberRequest::Reserve(reservation("program", &format!("turn-{number}")))
    };
    while matches!(
        instance.send(reserve(stored)).await,
        MemberResponse::Charges(_)
    ) {
        store(&mut instance, &long_turn(&format!("turn-{stored}"), None)).await;
        stored += 1;
    }
    assert_eq!(
        instance.send(reserve(stored)).await,
        MemberResponse::StorageFull
    );
    for number in stored..stored + 20 {
        store(&mut instance, &long_turn(&format!("turn-{number}"), None)).await;
    }
    let mut next = stored + 20;
    loop {
        let turn = long_turn(&format!("turn-{next}"), None);
        match instance.send(MemberRequest::StoreTurn(turn)).await {
            MemberResponse::Done => next += 1,
            MemberResponse::StorageFull => break,
            other => panic!("{other:?}"),
        }
    }
    let usage = instance.node.usage();
    assert!(usage.log_bytes <= limits.disk_bytes, "{usage:?}");
    assert!(usage.rejected_disk_full >= 2, "{usage:?}");
    for number in 0..next {
        let turn = format!("turn-{number}");
        let expected = MemberResponse::Chain(vec![long_turn(&turn, None)]);
        assert_eq!(chain(&mut instance, &turn).await, expected);
    }
    // Once the turns have expired, new ones are accepted again.
    instance.now_ms = 2 * EXPIRED_MS;
    for _ in 0..60 {
        instance.apply(Event::Tick).await;
    }
    let response = instance.send(reserve(next)).await;
    assert!(
        matches!(response, MemberResponse::Charges(_)),
        "{response:?}"
    );
}

/// Copies everything from one instance to another like the background task of a storage
/// instance, and ends after `max_requests`. Returns the number of turns received.
async fn copy(
    from: &mut StoredInstance,
    to: &mut StoredInstance,
    max_requests: usize,
) -> usize {
    let mut requests = 0;
    let mut received = 0;
    let mut cursor = Some(CopyCursor::START);
    while let Some(next) = cursor {
        let part = from.send(MemberRequest::CopyPart { cursor: next }).await;
        let MemberResponse::Part {
            charges,
            turns,
            next,
            is_complete: true,
            ..
        } = part
        else {
            panic!("{part:?}");
        };
        let mut missing = to.node.missing_turns(turns);
        deliver(to, charges, false).await;
        while !missing.is_empty() {
            requests += 1;
            if requests > max_requests {
                return received;
            }
            let response = from.send(MemberRequest::CopyTurns(missing.clone())).await;
            let MemberResponse::Turns { turns, covered } = response else {
                panic!("{response:?}");
            };
            received += turns.len();
            missing.drain(..covered as usize);
            deliver(
                to,
                turns.into_iter().map(LedgerRecord::Turn).collect(),
                false,
            )
            .await;
        }
        cursor = next;
    }
    deliver(to, Vec::new(), true).await;
    received
}

async fn deliver(to: &mut StoredInstance, records: Vec<LedgerRecord>, is_last: bool) {
    let source = "a".to_string();
    let event = Event::RecordsCopied {
        source,
        records,
        is_last,
    };
    to.apply(event).await;
}

// Guards against a copy that starts over after each interruption, and so never ends on a
// machine that is interrupted more often than a copy takes.
#[tokio::test]
async fn copy_that_broke_off_continues_with_the_missing_turns() {
    let folders = ["copied-a", "copied-b"].map(Folder::new);
    let limits = uncached(support::limits());
    let mut source = founder(&folders[0], limits).await;
    for number in 0..2_000 {
        store(&mut source, &long_turn(&format!("turn-{number}"), None)).await;
    }
    let mut received = 0;
    // The target is killed after each request: its log holds what it has copied so far.
    for _ in 0..10 {
        let mut target = StoredInstance::open("b", &folders[1].0, false, limits);
        target.apply(Event::GroupReceived(group())).await;
        received += copy(&mut source, &mut target, 1).await;
        target.close().await;
    }
    assert_eq!(received, 2_000, "no turn is copied twice");
    let target = StoredInstance::open("b", &folders[1].0, false, limits);
    assert_eq!(target.node.usage().turns, 2_000);
}

// Guards against a message with many large turns, which would exceed the limit for a frame: the
// receiver closes the connection, and a leaving instance never gets rid of its records.
#[tokio::test]
async fn turns_are_handed_over_in_messages_of_bounded_size() {
    let folder = Folder::new("handed");
    let mut instance = founder(&folder, uncached(support::limits())).await;
    let mut digests = vec![TurnDigest::of("unknown")];
    for number in 0..10 {
        let name = format!("turn-{number}");
        digests.push(TurnDigest::of(&name));
        let turn = TurnRecord {
            input: Bytes::from(vec![b'x'; 400_000]),
            ..turn_record(&name)
        };
        store(&mut instance, &turn).await;
    }
    let mut left = digests.as_slice();
    let mut messages = Vec::new();
    while !left.is_empty() {
        let (turns, covered) = instance.node.next_locations(left);
        messages.push(turns.len());
        left = &left[covered..];
    }
    assert_eq!(messages, [2, 2, 2, 2, 2]);
}

/// Encodes records in the first format of the log.
fn legacy_frames(records: &[LedgerRecord]) -> Vec<u8> {
    let mut frames = Vec::new();
    for record in records {
        let content = postcard::to_stdvec(record).expect("a record can be encoded");
        frames.extend_from_slice(&(content.len() as u32).to_le_bytes());
        frames.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
        frames.extend_from_slice(&content);
    }
    frames
}

#[tokio::test]
async fn log_of_the_first_format_is_taken_over() {
    let folder = Folder::new("legacy");
    let turns = ["t1", "t2", "t3"].map(|turn| long_turn(turn, None));
    let mut first = turns[..2].to_vec();
    first.dedup();
    let mut records: Vec<LedgerRecord> =
        first.into_iter().map(LedgerRecord::Turn).collect();
    records.push(LedgerRecord::Complete { group_version: 1 });
    fs::write(folder.0.join("facts-00000001.log"), legacy_frames(&records))
        .expect("a file");
    let second = [
        LedgerRecord::Reserved(reservation("program", "t3")),
        LedgerRecord::Turn(turns[2].clone()),
    ];
    let mut file = fs::File::create(folder.0.join("facts-00000002.log")).expect("a file");
    file.write_all(&legacy_frames(&second)).expect("a file");
    file.write_all(b"torn").expect("a file");
    drop(file);
    for start in 0..2 {
        let mut instance = restarted(&folder, uncached(small_limits())).await;
        assert!(instance.node.is_voting(), "start {start}");
        for turn in &turns {
            let expected = MemberResponse::Chain(vec![turn.clone()]);
            assert_eq!(chain(&mut instance, &turn.turn).await, expected);
        }
        let program = reservation("program", "t3").program;
        match instance.send(MemberRequest::Charges(program)).await {
            MemberResponse::Charges(charges) => assert_eq!(charges.len(), 1),
            other => panic!("{other:?}"),
        }
        instance.close().await;
        assert!(!folder.0.join("facts-00000001.log").exists());
        assert!(!folder.0.join("facts-00000002.log").exists());
    }
}
