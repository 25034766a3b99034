//! Helpers to drive the state machine of an instance with a disk without a network.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use jayreel_gateway::storage::{ConnectionKey, Effect, Event, Node};
use jayreel_ledger::{
    Answer, Ask, Member, ProgramKey, RateTolerance, Request, Reservation, TurnRecord,
};

/// Length of the window over which customers' rates are checked, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// Rate check without slack.
pub const TOLERANCE: RateTolerance = RateTolerance {
    window_ms: WINDOW_MS,
    slack_requests: 0.0,
};

/// A member whose availability zone has the same name, so that no two share a zone.
pub fn member(name: &str) -> Member {
    Member {
        name: name.to_string(),
        availability_zone: name.to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

/// Record of a finished turn that continues no other.
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
        most_tokens: 100,
    }
}

/// Delivers a request to an instance and returns the resulting effects.
pub fn ask(node: &mut Node, now_ms: u64, group_version: u64, ask: Ask) -> Vec<Effect> {
    let request = Request {
        id: 1,
        group_version,
        ask,
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

/// The answers that the effects send.
pub fn answers(effects: &[Effect]) -> Vec<Answer> {
    let replies = effects.iter().filter_map(|effect| match effect {
        Effect::Reply { reply, .. } => Some(reply.answer.clone()),
        Effect::Append { .. } => None,
    });
    replies.collect()
}

/// The number of the first append among the effects, if any.
pub fn appended(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Append { number, .. } => Some(*number),
        Effect::Reply { .. } => None,
    })
}
