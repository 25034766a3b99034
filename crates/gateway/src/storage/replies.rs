//! Memory of replies that wait to be sent. A receiver that does not read loses its connection; while
//! all replies together take too much, requests for turns are rejected.

use std::cell::Cell;
use std::rc::Rc;

use jayreel_ledger::{MemberResponse, Reply, SharedEndpoints};
use serde::Serialize;

/// Approximate size of a reply without turns, in bytes.
const SMALL_REPLY_BYTES: usize = 256;

/// Largest share of the memory limit for replies that one connection may take, as a divisor.
const CONNECTION_DIVISOR: usize = 4;

/// Memory of replies that wait to be sent, on one connection or on all.
#[derive(Debug)]
pub(super) struct ReplyBudget {
    used_bytes: Cell<usize>,
    max_bytes: usize,
    /// The budget of all connections, if this is that of one.
    parent: Option<Rc<ReplyBudget>>,
}

impl ReplyBudget {
    /// The budget of all connections.
    pub(super) fn new(max_bytes: usize) -> ReplyBudget {
        ReplyBudget {
            used_bytes: Cell::new(0),
            max_bytes,
            parent: None,
        }
    }

    /// The budget of one connection. What it uses counts towards that of all.
    pub(super) fn of_connection(all: &Rc<ReplyBudget>) -> ReplyBudget {
        ReplyBudget {
            used_bytes: Cell::new(0),
            max_bytes: all.max_bytes / CONNECTION_DIVISOR,
            parent: Some(Rc::clone(all)),
        }
    }

    pub(super) fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.used_bytes.get() > self.max_bytes
    }

    fn claim(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
        if let Some(parent) = &self.parent {
            parent.claim(bytes);
        }
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() - bytes);
        if let Some(parent) = &self.parent {
            parent.release(bytes);
        }
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
        budget.claim(bytes);
        let budget = Rc::clone(budget);
        QueuedReply {
            reply,
            _charge: Charge { budget, bytes },
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

fn endpoints_bytes(shared: &SharedEndpoints) -> usize {
    let changes = shared.changes.as_ref();
    let suspects = shared.suspects.suspects.as_deref();
    changes.map_or(0, |changes| changes.content.len())
        + shared.limits.len() * SMALL_REPLY_BYTES
        + suspects.map_or(0, size_of_val)
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
        MemberResponse::Endpoints(shared) => endpoints_bytes(shared),
        _ => 0,
    };
    SMALL_REPLY_BYTES + content_bytes
}
