//! Memory of a storage instance whose log is several times as large as its memory limit.
//!
//! The heap of the whole test process is counted, by its allocator. In scenario trouble-1 of
//! hk-clearance-grown each member held all turns in memory, and several times over at its start
//! and while it was copied: members ended 140 times because they exceeded their limit.

#[path = "support/stored.rs"]
mod stored;
mod support;

use bytes::Bytes;
use jayreel_gateway::storage::{Event, StorageLimits};
use jayreel_ledger::{
    CopyCursor, Group, LedgerRecord, MemberRequest, MemberResponse, TurnRecord,
};
use peak_alloc::PeakAlloc;
use stored::{Folder, StoredInstance};
use support::{member, turn_record};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Memory limit of each instance, in megabytes. Its log is five times as large.
const MEMORY_MB: u64 = 24;

/// The peak must stay below this share of the limit: the rest is for connections, code and
/// stacks.
const MAX_SHARE: f32 = 0.6;

const TURNS: usize = 7_200;
const TURN_BYTES: usize = 17_000;
const TURNS_PER_REQUEST: usize = 8;

fn group() -> Group {
    Group::first(&["a", "b", "c"].map(member), 1)
}

fn turn(number: usize) -> TurnRecord {
    let previous = (!number.is_multiple_of(10)).then(|| format!("turn-{}", number - 1));
    TurnRecord {
        previous,
        input: Bytes::from(vec![(number % 251) as u8; TURN_BYTES]),
        ..turn_record(&format!("turn-{number}"))
    }
}

/// Fails if the heap has exceeded the share of `instances` limits since the last call.
fn check_peak(step: &str, instances: f32) {
    let peak_mb = ALLOCATOR.peak_usage_as_mb();
    println!("step={step} peak_mb={peak_mb:.1}");
    let max_mb = MEMORY_MB as f32 * MAX_SHARE * instances;
    assert!(peak_mb < max_mb, "{step}: {peak_mb} MB of {max_mb} MB");
    ALLOCATOR.reset_peak_usage();
}

async fn started(
    name: &str,
    folder: &Folder,
    is_first_start: bool,
    limits: StorageLimits,
) -> StoredInstance {
    let mut instance = StoredInstance::open(name, &folder.0, is_first_start, limits);
    instance.apply(Event::GroupReceived(group())).await;
    instance
}

async fn store_all(instance: &mut StoredInstance) {
    for first in (0..TURNS).step_by(TURNS_PER_REQUEST) {
        let turns = (first..first + TURNS_PER_REQUEST).map(turn);
        let records = turns.map(LedgerRecord::Turn).collect();
        let response = instance.send(MemberRequest::StoreRecords(records)).await;
        assert_eq!(response, MemberResponse::Done);
    }
}

/// Reads every conversation.
async fn read_all(instance: &mut StoredInstance) {
    for last in (9..TURNS).step_by(10) {
        let request = MemberRequest::Chain {
            turn: format!("turn-{last}"),
            max_chain_turns: 256,
            max_bytes: u64::MAX,
        };
        match instance.send(request).await {
            MemberResponse::Chain(turns) => {
                assert_eq!(turns.len(), 10);
                assert_eq!(turns[0], turn(last));
            }
            other => panic!("{other:?}"),
        }
    }
}

async fn copy_all(from: &mut StoredInstance, to: &mut StoredInstance) {
    let mut cursor = Some(CopyCursor::START);
    while let Some(next) = cursor {
        let part = from.send(MemberRequest::CopyPart { cursor: next }).await;
        let MemberResponse::Part { turns, next, .. } = part else {
            panic!("{part:?}");
        };
        let mut missing = to.node.missing_turns(turns);
        while !missing.is_empty() {
            let response = from.send(MemberRequest::CopyTurns(missing.clone())).await;
            let MemberResponse::Turns { turns, covered } = response else {
                panic!("{response:?}");
            };
            missing.drain(..covered as usize);
            let records = turns.into_iter().map(LedgerRecord::Turn).collect();
            let source = "a".to_string();
            let event = Event::RecordsCopied {
                source,
                records,
                is_last: false,
            };
            to.apply(event).await;
        }
        cursor = next;
    }
}

#[tokio::test]
async fn memory_does_not_grow_with_the_log() {
    let folders = ["memory-a", "memory-b"].map(Folder::new);
    let limits = StorageLimits::new(240, MEMORY_MB);
    let mut instance = started("a", &folders[0], true, limits).await;
    store_all(&mut instance).await;
    let log_bytes = instance.node.usage().log_bytes;
    assert!(log_bytes > 4 * MEMORY_MB * 1_000_000, "{log_bytes}");
    check_peak("stored", 1.0);
    instance.close().await;
    let mut instance = started("a", &folders[0], false, limits).await;
    assert!(instance.node.is_voting());
    check_peak("started", 1.0);
    read_all(&mut instance).await;
    check_peak("read", 1.0);
    let mut target = started("b", &folders[1], false, limits).await;
    copy_all(&mut instance, &mut target).await;
    assert_eq!(target.node.usage().turns, TURNS as u64);
    check_peak("copied", 2.0);
    target.close().await;
    // Half of the conversations are used again, so that each segment is half needed.
    instance.now_ms = 59_000;
    for last in (9..TURNS).step_by(20) {
        let request = MemberRequest::Chain {
            turn: format!("turn-{last}"),
            max_chain_turns: 256,
            max_bytes: u64::MAX,
        };
        instance.send(request).await;
    }
    instance.now_ms = 60_001;
    for _ in 0..40 {
        instance.apply(Event::Tick).await;
    }
    let cleaned_bytes = instance.node.usage().log_bytes;
    assert!(cleaned_bytes < log_bytes, "{cleaned_bytes} of {log_bytes}");
    check_peak("cleaned", 1.0);
}
