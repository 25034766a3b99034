//! Random and mutated input for the decoders of bytes from outside: event streams, frames of other
//! instances, and the log on disk.
//!
//! The seed is fixed, so that CI tries the same input each time. `JAYREEL_SEED` and `JAYREEL_CASES`
//! change it for a run by hand.

#[path = "support/stored.rs"]
mod stored;
mod support;

use std::fs;

use jayreel_gateway::EventReader;
use jayreel_gateway::storage::{Event, StorageLimits};
use jayreel_ledger::{
    CopyCursor, Group, LedgerRecord, MemberRequest, MemberResponse, QuotaPurpose,
    QuotaRequest, RateLimit, Reply, Request, TurnDigest,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use stored::{Folder, StoredInstance};
use support::{frames, member, node, reservation, turn_record};

fn number(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: number("JAYREEL_CASES", 256) as u32,
        rng_seed: RngSeed::Fixed(number("JAYREEL_SEED", 20_261_205)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A change to a sequence of bytes. Positions count from the start and wrap around.
#[derive(Clone, Debug)]
enum Mutation {
    Flip(usize, u8),
    Cut(usize),
    Insert(usize, Vec<u8>),
    Remove(usize, usize),
    Repeat(usize, usize),
}

fn mutations() -> impl Strategy<Value = Vec<Mutation>> {
    let position = any::<usize>;
    let mutation = prop_oneof![
        (position(), 1..=255_u8).prop_map(|(at, bits)| Mutation::Flip(at, bits)),
        position().prop_map(Mutation::Cut),
        (position(), vec(any::<u8>(), 1..20))
            .prop_map(|(at, bytes)| Mutation::Insert(at, bytes)),
        (position(), 1..40_usize).prop_map(|(at, count)| Mutation::Remove(at, count)),
        (position(), 1..80_usize).prop_map(|(at, count)| Mutation::Repeat(at, count)),
    ];
    vec(mutation, 1..6)
}

fn mutate(mut bytes: Vec<u8>, mutations: &[Mutation]) -> Vec<u8> {
    for mutation in mutations {
        let length = bytes.len().max(1);
        let range = |at: usize, count: usize, bytes: &[u8]| {
            let start = (at % length).min(bytes.len());
            start..(start + count).min(bytes.len())
        };
        match mutation {
            Mutation::Flip(at, bits) => {
                if let Some(byte) = bytes.get_mut(at % length) {
                    *byte ^= bits;
                }
            }
            Mutation::Cut(at) => bytes.truncate(at % length),
            Mutation::Insert(at, more) => {
                let at = (at % length).min(bytes.len());
                bytes.splice(at..at, more.iter().copied());
            }
            Mutation::Remove(at, count) => {
                bytes.drain(range(*at, *count, &bytes));
            }
            Mutation::Repeat(at, count) => {
                let range = range(*at, *count, &bytes);
                let copy = bytes[range.clone()].to_vec();
                bytes.splice(range.end..range.end, copy);
            }
        }
    }
    bytes
}

/// The content of a log with turns and other records.
fn log_records() -> Vec<LedgerRecord> {
    let turns =
        (0..8).map(|number| LedgerRecord::Turn(turn_record(&format!("t{number}"))));
    let mut records: Vec<LedgerRecord> = turns.collect();
    records.push(LedgerRecord::Reserved(reservation("program", "t1")));
    records.push(LedgerRecord::Granted {
        at_ms: 7,
        customer: "customer".to_string(),
        count: 3,
    });
    records.push(LedgerRecord::Complete { group_version: 1 });
    records
}

/// Requests of other instances, one of each kind that carries much content.
fn requests() -> Vec<MemberRequest> {
    let group = Group::first(&["a", "b", "c"].map(member), 1);
    vec![
        MemberRequest::AdoptGroup(group.replace(Some("b"), Some(member("d")))),
        MemberRequest::Reserve(reservation("program", "t")),
        MemberRequest::StoreTurn(turn_record("t")),
        MemberRequest::StoreRecords(log_records()),
        MemberRequest::Chain {
            turn: "t".to_string(),
            max_chain_turns: 10,
            max_bytes: u64::MAX,
        },
        MemberRequest::CopyPart {
            cursor: CopyCursor::Turns { from_sequence: 3 },
        },
        MemberRequest::CopyTurns(vec![TurnDigest::of("t"); 3]),
        MemberRequest::TakeQuota {
            configuration_version: 1,
            quota_requests: vec![QuotaRequest {
                customer: "customer".to_string(),
                program: Some("program".to_string()),
                requests: 1,
                quota_purpose: QuotaPurpose::StartProgram,
                budget: None,
                limit: RateLimit {
                    rate_per_s: 10.0,
                    burst: 10.0,
                },
            }],
        },
    ]
}

proptest! {
    #![proptest_config(config())]

    /// All bytes of a stream are passed on in order, however they arrive, and the events do not
    /// depend on that.
    #[test]
    fn events_contain_the_bytes_of_the_stream(
        pieces in vec(
            prop_oneof![
                Just(b"id: 1\n".to_vec()),
                Just(b"data: x\n".to_vec()),
                Just(b"\n".to_vec()),
                Just(b"\r\n".to_vec()),
                Just(b":\n\n".to_vec()),
                vec(any::<u8>(), 0..30),
            ],
            0..40,
        ),
    ) {
        let mut in_pieces = EventReader::default();
        let mut events = Vec::new();
        for piece in &pieces {
            events.extend(in_pieces.push(piece).expect("the stream is short"));
        }
        let stream = pieces.concat();
        let mut at_once = EventReader::default();
        let whole = at_once.push(&stream).expect("the stream is short");
        prop_assert_eq!(&events, &whole);
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        prop_assert!(stream.starts_with(&raw));
        prop_assert_eq!(in_pieces.is_at_boundary(), raw.len() == stream.len());
    }

    /// A mutated frame is rejected, or handled like a request, without an end of the process.
    #[test]
    fn mutated_request_does_not_end_the_process(
        kind in 0..8_usize,
        mutations in mutations(),
    ) {
        let request = Request {
            id: 1,
            group_version: 1,
            body: requests().swap_remove(kind),
        };
        let bytes = postcard::to_stdvec(&request).expect("a request can be encoded");
        let bytes = mutate(bytes, &mutations);
        let mut instance = node("a", true, 0, &log_records());
        let group = Group::first(&["a", "b", "c"].map(member), 1);
        instance.apply(0, Event::GroupReceived(group));
        if let Ok(request) = postcard::from_bytes::<Request>(&bytes) {
            let connection = Default::default();
            let event = Event::RequestReceived { connection, request };
            instance.apply(1, event);
            instance.apply(2, Event::Tick);
        }
        // The same bytes as a reply are decoded or rejected.
        let _ = postcard::from_bytes::<Reply>(&bytes);
    }
}

proptest! {
    #![proptest_config(Config { cases: config().cases / 4, ..config() })]

    /// Whatever has happened to the log, an instance starts, and what it reads is what was written.
    #[test]
    fn mutated_log_yields_only_what_was_written(
        segment in 1..3_u32,
        mutations in mutations(),
    ) {
        let folder = Folder::new("mutated");
        let content = frames(&log_records());
        fs::write(folder.segment(1), &content).expect("a segment");
        fs::write(folder.segment(2), &content).expect("a segment");
        let mutated = mutate(content, &mutations);
        fs::write(folder.segment(segment), mutated).expect("a segment");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let limits = StorageLimits { cache_bytes: 0, ..support::limits() };
            let mut instance = StoredInstance::open("a", &folder.0, false, limits);
            let group = Group::first(&["a", "b", "c"].map(member), 1);
            instance.apply(Event::GroupReceived(group)).await;
            for number in 0..8 {
                let turn = format!("t{number}");
                let request = MemberRequest::Chain {
                    turn: turn.clone(),
                    max_chain_turns: 1,
                    max_bytes: u64::MAX,
                };
                match instance.send(request).await {
                    MemberResponse::Chain(turns) => {
                        for found in turns {
                            assert_eq!(found, turn_record(&turn));
                        }
                    }
                    MemberResponse::NotVoting | MemberResponse::Unavailable => {}
                    other => panic!("{other:?}"),
                }
            }
            instance.close().await;
        });
    }
}
