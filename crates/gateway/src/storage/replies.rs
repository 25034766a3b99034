//! Memory of replies that wait to be sent.

use std::cell::Cell;
use std::rc::Rc;

use jayreel_ledger::{MemberResponse, Reply};
use serde::Serialize;

/// Approximate size of a reply without turns, in bytes.
const SMALL_REPLY_BYTES: usize = 256;

/// Memory of all replies that wait to be sent.
#[derive(Debug)]
pub(super) struct ReplyBudget {
    used_bytes: Cell<usize>,
    max_bytes: usize,
}

impl ReplyBudget {
    pub(super) fn new(max_bytes: usize) -> ReplyBudget {
        ReplyBudget {
            used_bytes: Cell::new(0),
            max_bytes,
        }
    }

    pub(super) fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.used_bytes.get() > self.max_bytes
    }
}

/// A reply in the queue of a connection. Counts towards the budget until it is dropped.
#[derive(Serialize)]
#[serde(transparent)]
pub(super) struct QueuedReply {
    reply: Reply,
    #[serde(skip)]
    _charge: Charge,
}

/// Gives memory back to the budget when it is dropped.
struct Charge {
    budget: Rc<ReplyBudget>,
    bytes: usize,
}

impl QueuedReply {
    pub(super) fn new(reply: Reply, budget: &Rc<ReplyBudget>) -> QueuedReply {
        let bytes = size_bytes(&reply.body);
        budget.used_bytes.set(budget.used_bytes.get() + bytes);
        let budget = Rc::clone(budget);
        QueuedReply {
            reply,
            _charge: Charge { budget, bytes },
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let used_bytes = &self.budget.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}

fn size_bytes(response: &MemberResponse) -> usize {
    let content_bytes = match response {
        MemberResponse::Chain(turns) | MemberResponse::Turns { turns, .. } => {
            let turns = turns.iter();
            turns
                .map(|turn| SMALL_REPLY_BYTES + turn.input.len() + turn.output.len())
                .sum()
        }
        MemberResponse::Part { charges, turns, .. } => {
            charges.len() * SMALL_REPLY_BYTES + size_of_val(turns.as_slice())
        }
        MemberResponse::Configuration(shared) => {
            shared.content.as_ref().map_or(0, |content| content.len())
        }
        MemberResponse::Endpoints(shared) => shared.content.len(),
        _ => 0,
    };
    SMALL_REPLY_BYTES + content_bytes
}
