//! Memory of replies that wait to be sent. No more requests are read from a connection whose replies
//! take too much; while all replies together take too much, requests for turns are rejected.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jayreel_ledger::{MemberResponse, Reply, SharedEndpoints};
use serde::Serialize;
use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::metered::Activity;

/// Approximate size of a reply without turns, in bytes.
const SMALL_REPLY_BYTES: usize = 256;

/// Share of the memory limit for replies at which no more requests are read from a connection, as
/// a divisor. A single reply may be longer.
const CONNECTION_DIVISOR: usize = 4;

/// A connection loses its replies if nothing could be written to it for this long, in
/// milliseconds. Longer than an instance takes to restart.
const STALLED_MS: u64 = 5_000;

/// Interval at which a connection with too many replies is checked, in milliseconds.
const STALL_CHECK_MS: u64 = 500;

/// Memory of replies that wait to be sent, on one connection or on all.
#[derive(Debug)]
pub(super) struct ReplyBudget {
    used_bytes: Cell<usize>,
    max_bytes: usize,
    /// The budget of all connections, if this is that of one.
    parent: Option<Rc<ReplyBudget>>,
    /// Notified when memory is released. At most one task waits for it.
    released: Notify,
}

impl ReplyBudget {
    /// The budget of all connections.
    pub(super) fn new(max_bytes: usize) -> ReplyBudget {
        ReplyBudget {
            used_bytes: Cell::new(0),
            max_bytes,
            parent: None,
            released: Notify::new(),
        }
    }

    /// The budget of one connection. What it uses counts towards that of all.
    pub(super) fn of_connection(all: &Rc<ReplyBudget>) -> ReplyBudget {
        ReplyBudget {
            used_bytes: Cell::new(0),
            max_bytes: all.max_bytes / CONNECTION_DIVISOR,
            parent: Some(Rc::clone(all)),
            released: Notify::new(),
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
        self.released.notify_one();
        if let Some(parent) = &self.parent {
            parent.release(bytes);
        }
    }

    /// Waits until the replies of a connection fit into its budget. Returns false if its receiver
    /// has stopped reading.
    pub(super) async fn wait_for_room(&self, sending: &Activity) -> bool {
        let interval = Duration::from_millis(STALL_CHECK_MS);
        let began_ms = now_ms();
        while self.is_exceeded() {
            let waited_ms = now_ms().saturating_sub(began_ms);
            if waited_ms.min(sending.idle_ms()) >= STALLED_MS {
                return false;
            }
            // After a timeout the receiver is checked again.
            let _ = tokio::time::timeout(interval, self.released.notified()).await;
        }
        true
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
