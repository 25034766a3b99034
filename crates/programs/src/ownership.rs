//! Decides which instance serves a program, and when a crashed owner may be replaced.
//!
//! At first the owner of a program is the incarnation that opened it. When that stops or
//! crashes, a takeover record in the store names one successor for all of its programs.
//! Successors can be succeeded in turn.

use std::collections::BTreeMap;

use jayreel_model::{Incarnation, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

/// Retry delay suggested to callers while the owner of a program is unreachable.
const OWNER_RETRY_MS: u64 = 1_000;

/// The store key of an incarnation's [`TakeoverRecord`]. It is created once, in a
/// transaction that requires [`claim_requires_absent`], and never changed.
pub fn takeover_key(incarnation: &Incarnation) -> String {
    format!("takeovers/{incarnation}")
}

/// The store keys that must not exist when `own` creates the takeover record of `of`:
/// that record itself, and the takeover record of `own`. Without the second condition,
/// two processes that lost contact could each become the other's successor, and neither
/// would serve their programs.
pub fn claim_requires_absent(of: &Incarnation, own: &Incarnation) -> [String; 2] {
    [takeover_key(of), takeover_key(own)]
}

/// Names the successor of an incarnation. Stored under [`takeover_key`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TakeoverRecord {
    /// The incarnation that takes over all programs.
    pub successor: Incarnation,
    /// Whether the predecessor named the successor itself, on a planned stop.
    pub is_planned: bool,
}

/// The takeover records that an instance knows.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Takeovers {
    successors: BTreeMap<Incarnation, Incarnation>,
}

impl Takeovers {
    /// Adds the takeover record of `of`. Records never change, so a second one is
    /// ignored.
    pub fn learn(&mut self, of: Incarnation, record: &TakeoverRecord) {
        let successor = record.successor.clone();
        self.successors.entry(of).or_insert(successor);
    }

    /// Removes a record that was deleted from the store.
    pub fn forget(&mut self, of: &Incarnation) {
        self.successors.remove(of);
    }

    /// The direct successor of an incarnation, if one is known.
    pub fn successor(&self, of: &Incarnation) -> Option<&Incarnation> {
        self.successors.get(of)
    }

    /// The incarnation that serves the programs of `owner` now: the last in its chain of
    /// successors, or `owner` itself.
    pub fn responsible<'a>(&'a self, owner: &'a Incarnation) -> &'a Incarnation {
        let mut last = owner;
        // Bounds the loop if the records form a cycle.
        for _ in 0..self.successors.len() {
            match self.successors.get(last) {
                Some(next) => last = next,
                None => break,
            }
        }
        last
    }

    /// All incarnations whose programs `successor` serves, directly or through others,
    /// without itself. Their budget records must be passed to
    /// [`Programs::adopt`](crate::Programs::adopt).
    pub fn predecessors(&self, successor: &Incarnation) -> Vec<Incarnation> {
        self.successors
            .keys()
            .filter(|owner| *owner != successor && self.responsible(owner) == successor)
            .cloned()
            .collect()
    }
}

/// The liveness of an incarnation according to its heartbeats.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwnerLiveness {
    /// Replies to heartbeats.
    Alive,
    /// Does not reply to heartbeats, or another incarnation replies under its instance
    /// name.
    Dead,
    /// Replies to heartbeats and has announced a planned stop.
    Leaving,
    /// Missed heartbeats recently, but not for long enough to count as dead.
    Suspect,
}

/// What this instance knows about the incarnation that owns a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerStatus {
    /// Its liveness according to heartbeats.
    pub liveness: OwnerLiveness,
    /// For how long its registration has been absent from the store, its lease having
    /// ended, in milliseconds of uninterrupted contact of this instance with the store.
    /// `None` if the registration is present or there is no contact.
    pub registration_absent_ms: Option<u64>,
}

/// Looks up the status of other incarnations.
pub trait OwnerLookup {
    /// The status of an incarnation. An unknown one counts as `Dead`.
    fn owner(&self, incarnation: &Incarnation) -> OwnerStatus;
}

/// The inputs of [`decide`].
#[derive(Clone, Copy)]
pub struct OwnershipView<'a> {
    /// The incarnation of this process.
    pub own: &'a Incarnation,
    /// Known takeover records.
    pub takeovers: &'a Takeovers,
    /// Status of the other incarnations.
    pub owners: &'a dyn OwnerLookup,
    /// Time for which an owner's registration must have been absent before a takeover.
    pub takeover_delay_ms: u64,
}

/// What to do with a call of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Serve it here. [`Programs::admit`](crate::Programs::admit) checks whether a
    /// non-repeatable call may run after a takeover.
    Serve,
    /// Forward it to another instance. If that becomes unreachable before a byte was
    /// sent, the call is refused as not run; after that, the outcome of a non-repeatable
    /// call is `unknown`.
    Forward {
        /// The incarnation to forward to. Another incarnation of the same instance must
        /// refuse the call.
        to: Incarnation,
    },
    /// Create the takeover record of the owner, read the takeover records, and decide
    /// again.
    ClaimTakeover {
        /// The incarnation to take over from.
        of: Incarnation,
    },
    /// Refuse the call as not run.
    Refuse(Refusal),
}

/// Decides where a call of a program opened by `owner` is served. A call that was
/// forwarded here is never forwarded again, so that instances with different views cannot
/// forward it in a loop.
pub fn decide(
    view: OwnershipView<'_>,
    owner: &Incarnation,
    was_forwarded: bool,
) -> Decision {
    let responsible = view.takeovers.responsible(owner);
    if responsible == view.own {
        return Decision::Serve;
    }
    let status = view.owners.owner(responsible);
    match status.liveness {
        _ if was_forwarded => Decision::Refuse(not_responsible()),
        OwnerLiveness::Alive | OwnerLiveness::Leaving => Decision::Forward {
            to: responsible.clone(),
        },
        OwnerLiveness::Dead
            if may_claim(status, view.takeover_delay_ms)
                && view.takeovers.successor(view.own).is_none() =>
        {
            Decision::ClaimTakeover {
                of: responsible.clone(),
            }
        }
        OwnerLiveness::Dead | OwnerLiveness::Suspect => Decision::Refuse(unreachable()),
    }
}

/// Whether an owner has been gone for long enough to be taken over.
pub fn may_claim(status: OwnerStatus, takeover_delay_ms: u64) -> bool {
    let absent_ms = status.registration_absent_ms;
    status.liveness == OwnerLiveness::Dead
        && absent_ms.is_some_and(|absent_ms| absent_ms >= takeover_delay_ms)
}

/// The refusal of calls while the owner of their program is unreachable and not yet
/// replaced.
pub fn unreachable() -> Refusal {
    let message = "the owner of the program cannot be reached";
    Refusal::not_run(RefusalReason::OwnerUnavailable, message)
        .retry_after_ms(OWNER_RETRY_MS)
}

fn not_responsible() -> Refusal {
    let message = "the call was forwarded to an instance that does not own the program";
    Refusal::not_run(RefusalReason::OwnerUnavailable, message)
        .retry_after_ms(OWNER_RETRY_MS)
}
