//! Tests of the turns that an entry instance has in memory, and of the account that limits them.

use std::rc::Rc;

use bytes::Bytes;
use jayreel_gateway::edge::{Claim, MemoryAccount, OutOfMemory, ReleaseRate, TurnMemory};
use jayreel_ledger::{TurnDigest, TurnRecord};
use test_case::test_case;

/// Memory limit of the process, in megabytes. A quarter of it is for turns.
const MEMORY_MB: u64 = 40;

/// Length of a turn that fits nine times into that quarter.
const LONG_BYTES: usize = 1_050_000;

fn turn(name: &str, bytes: usize) -> TurnRecord {
    TurnRecord {
        turn: name.to_string(),
        customer: "customer".to_string(),
        previous: None,
        input: Bytes::from(vec![b'i'; bytes]),
        output: Bytes::new(),
        retention_ms: 60_000,
    }
}

// Guards against a turn that is counted, and kept, once for each request that continues it.
#[test]
fn turn_is_in_memory_once() {
    let mut turns = TurnMemory::new(MEMORY_MB);
    let one = turns.insert(turn("one", LONG_BYTES)).expect("room");
    let room_bytes = turns.account().room_bytes();
    let again = turns.insert(turn("one", LONG_BYTES)).expect("room");
    assert!(Rc::ptr_eq(&one, &again));
    assert_eq!(turns.account().room_bytes(), room_bytes);
}

// Guards against cached turns that keep out those that requests need.
#[test]
fn cached_turns_make_room_for_requests() {
    let mut turns = TurnMemory::new(MEMORY_MB);
    let used = turns.insert(turn("used", LONG_BYTES)).expect("room");
    for number in 0..7 {
        let name = format!("cached-{number}");
        turns.insert(turn(&name, LONG_BYTES)).expect("room");
    }
    let claims: Vec<Claim> = (0..8)
        .map(|number| {
            turns
                .claim(LONG_BYTES)
                .unwrap_or_else(|_| panic!("{number}"))
        })
        .collect();
    assert!(turns.get(TurnDigest::of("cached-6")).is_none());
    let found = turns.get(TurnDigest::of("used")).expect("it is in use");
    assert!(Rc::ptr_eq(&used, &found));
    let refused = turns.claim(LONG_BYTES).map(drop);
    assert_eq!(refused, Err(OutOfMemory { bytes: LONG_BYTES }));
    drop(claims);
    assert!(turns.claim(LONG_BYTES).is_ok());
}

// Guards against turns that are evicted from the cache while requests use them: a second copy would be
// read, and the first one would not be counted.
#[test]
fn turn_in_use_is_found_after_its_eviction() {
    let mut turns = TurnMemory::new(MEMORY_MB);
    let first = turns.insert(turn("first", LONG_BYTES)).expect("room");
    for number in 0..8 {
        let name = format!("later-{number}");
        turns.insert(turn(&name, LONG_BYTES)).expect("room");
    }
    let found = turns.get(TurnDigest::of("first")).expect("it is in use");
    assert!(Rc::ptr_eq(&first, &found));
    drop((first, found));
    assert!(turns.get(TurnDigest::of("first")).is_none());
}

// Guards against entries of turns that have left the memory: a process would grow with each turn.
#[test]
fn many_short_turns_stay_within_the_cache() {
    let mut turns = TurnMemory::new(MEMORY_MB);
    for number in 0..100_000 {
        let name = format!("turn-{number}");
        turns.insert(turn(&name, 1_000)).expect("room");
    }
    assert!(turns.cached_bytes() <= 8 << 20);
    assert!(turns.get(TurnDigest::of("turn-0")).is_none());
    assert!(turns.get(TurnDigest::of("turn-99999")).is_some());
}

#[test]
fn dropped_claims_are_given_back() {
    let account = Rc::new(MemoryAccount::share_of(1, 1, "test"));
    let mut claim = Claim::of(&account, 600_000).expect("room");
    assert!(!claim.resize(1_000_001));
    assert!(claim.resize(1_000_000));
    assert!(Claim::of(&account, 1).is_none());
    assert!(claim.resize(400_000));
    assert!(account.has_room_for(600_000));
    drop(claim);
    assert_eq!(account.room_bytes(), 1_000_000);
}

// Guards against a Retry-After that does not come from the room. `releases` are times, in milliseconds,
// and bytes.
#[test_case(&[], 20_000, 1_000, None; "nothing was released")]
#[test_case(&[(1_000, 1_000)], 20_000, 1_000, None; "nothing was released lately")]
#[test_case(&[(10_000, 1_000), (10_100, 1_000)], 10_200, 2_500, Some(250); "in one window")]
#[test_case(&[(10_000, 1_000), (11_000, 1_000)], 11_100, 10_000, Some(5_500); "in two windows")]
fn time_for_room_follows_the_rate_of_releases(
    releases: &[(u64, usize)],
    now_ms: u64,
    bytes: usize,
    expected_ms: Option<u64>,
) {
    let mut rate = ReleaseRate::default();
    for (released_ms, released_bytes) in releases {
        rate.record(*released_ms, *released_bytes);
    }
    assert_eq!(rate.time_for_ms(now_ms, bytes), expected_ms);
}
