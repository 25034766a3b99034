//! Instances with disks for tests without a network.

#![allow(dead_code, reason = "each test file uses a part")]

use bytes::Bytes;
use jayreel_gateway::storage::{ConnectionKey, Effect, Event, Node};
use jayreel_ledger::{
    Member, MemberRequest, MemberResponse, ProgramKey, RateTolerance, Request,
    Reservation, TurnRecord,
};

/// Window in which customers' rates are agreed.
pub const WINDOW_MS: u64 = 5_000;

/// How customers' rates are judged.
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

/// A finished turn without one before it.
pub fn record(turn: &str) -> TurnRecord {
    TurnRecord {
        turn: turn.to_string(),
        customer: "customer".to_string(),
        previous: None,
        input: Bytes::from_static(b"input"),
        output: Bytes::from_static(b"output\n"),
        keep_ms: 60_000,
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

/// Asks an instance a question.
pub fn ask(
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
        Event::Asked {
            connection,
            request,
        },
    )
}

/// The answers among effects.
pub fn answers(effects: &[Effect]) -> Vec<MemberResponse> {
    let replies = effects.iter().filter_map(|effect| match effect {
        Effect::Reply { reply, .. } => Some(reply.body.clone()),
        Effect::Append { .. } => None,
    });
    replies.collect()
}

/// The number of the append among effects.
pub fn appended(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Append { number, .. } => Some(*number),
        Effect::Reply { .. } => None,
    })
}
