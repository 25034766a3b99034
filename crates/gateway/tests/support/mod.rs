//! Helpers for tests that drive storage instances directly, without a network or a disk.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use jayreel_gateway::storage::{ConnectionKey, Effect, Event, Node};
use jayreel_ledger::{
    Member, MemberRequest, MemberResponse, ProgramKey, RateTolerance, Request,
    Reservation, TurnRecord,
};

/// Length of the window that customers' rate limits apply to, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// Enforces rate limits exactly, without tolerated requests beyond them.
pub const TOLERANCE: RateTolerance = RateTolerance {
    window_ms: WINDOW_MS,
    slack_requests: 0.0,
};

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
        Effect::Append { .. } => None,
    });
    bodies.collect()
}

/// The number of the first append among the effects, if there is one.
pub fn append_number(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Append { number, .. } => Some(*number),
        Effect::Reply { .. } => None,
    })
}
