//! Helpers for tests that drive storage instances directly, without a network or a disk.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use jayreel_gateway::storage::{
    ConnectionKey, Effect, Event, Node, NodeOptions, RecoveredLog, StorageLimits,
};
use jayreel_ledger::{
    ColdTolerance, FRAME_HEADER_BYTES, FrameHeader, FrameLocation, LedgerRecord,
    LogEntry, Member, MemberRequest, MemberResponse, ProgramKey, RateTolerance, Request,
    Reservation, TurnRecord, encode_frame,
};

/// Length of the window that customers' rate limits apply to, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// Enforces rate limits exactly, without tolerated requests beyond them.
pub const TOLERANCE: RateTolerance = RateTolerance {
    window_ms: WINDOW_MS,
    slack_requests: 0.0,
};

/// Space of an instance with a disk of 100 MB and a memory of 100 MB.
pub fn limits() -> StorageLimits {
    StorageLimits::new(100, 100)
}

/// An instance that starts with these records in its log, in one segment.
pub fn node(
    name: &str,
    is_first_start: bool,
    now_ms: u64,
    records: &[LedgerRecord],
) -> Node {
    let mut log = RecoveredLog::default();
    let mut offset = 0;
    for record in records {
        let frame_bytes = frames(std::slice::from_ref(record)).len() as u32;
        let location = FrameLocation {
            segment: 1,
            offset,
            frame_bytes,
        };
        log.add(now_ms, LogEntry::of(record), location);
        offset += frame_bytes;
    }
    let options = NodeOptions {
        name: name.to_string(),
        is_first_start,
        cold_tolerance: ColdTolerance::default(),
        tolerance: TOLERANCE,
        limits: limits(),
    };
    Node::new(options, now_ms, log)
}

/// Encodes records as the content of a segment.
pub fn frames(records: &[LedgerRecord]) -> Vec<u8> {
    let mut frames = Vec::new();
    for record in records {
        encode_frame(record, &mut frames).expect("a record can be encoded");
    }
    frames
}

/// Decodes the heads of the frames in a buffer.
pub fn decode_heads(mut frames: &[u8]) -> Vec<LogEntry> {
    let mut heads = Vec::new();
    while let Some((header, rest)) = frames.split_first_chunk::<FRAME_HEADER_BYTES>() {
        let header = FrameHeader::decode(header).expect("an intact header");
        let (head, rest) = rest.split_at(header.head_bytes as usize);
        heads.push(header.decode_head(head).expect("an intact head"));
        frames = &rest[header.body_bytes as usize..];
    }
    heads
}

/// A member in an availability zone of its own.
pub fn member(name: &str) -> Member {
    Member {
        name: name.to_string(),
        availability_zone: name.to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

/// The first turn of a conversation, finished.
pub fn turn_record(turn: &str) -> TurnRecord {
    TurnRecord {
        turn: turn.to_string(),
        customer: "customer".to_string(),
        previous: None,
        input: Bytes::from_static(b"input"),
        output: Bytes::from_static(b"output\n"),
        retention_ms: 60_000,
    }
}

/// A reservation of 100 tokens for a turn of a program.
pub fn reservation(program: &str, turn: &str) -> Reservation {
    Reservation {
        program: ProgramKey::new("customer", program),
        turn: turn.to_string(),
        max_turn_tokens: 100,
    }
}

/// Sends a request to an instance, and returns the effects.
pub fn send(
    node: &mut Node,
    now_ms: u64,
    group_version: u64,
    body: MemberRequest,
) -> Vec<Effect> {
    let request = Request {
        id: 1,
        group_version,
        body,
    };
    let connection = ConnectionKey::default();
    node.apply(
        now_ms,
        Event::RequestReceived {
            connection,
            request,
        },
    )
}

/// The responses among the effects, in order.
pub fn responses(effects: &[Effect]) -> Vec<MemberResponse> {
    let bodies = effects.iter().filter_map(|effect| match effect {
        Effect::Reply { reply, .. } => Some(reply.body.clone()),
        _ => None,
    });
    bodies.collect()
}

/// The number of the first append among the effects, if there is one.
pub fn append_number(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Append { number, .. } => Some(*number),
        _ => None,
    })
}
