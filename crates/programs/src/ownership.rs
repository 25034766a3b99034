//! Which instance serves a program.

use std::collections::BTreeMap;

use jayreel_model::{Incarnation, Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

/// Time after which a caller may ask again while an owner is unreachable.
const OWNER_RETRY_MS: u64 = 1_000;

/// The store key that names the successor of an incarnation. Created once and never
/// changed, in a transaction that requires [`claim_requires_absent`].
pub fn takeover_key(incarnation: &Incarnation) -> String {
    format!("takeovers/{incarnation}")
}

/// The store keys that must not exist when `own` creates the takeover record of `of`: that
/// record itself, and the claimant's own. Without the second, two processes that lost
/// contact could succeed each other, and nobody would serve their programs.
pub fn claim_requires_absent(of: &Incarnation, own: &Incarnation) -> [String; 2] {
    [takeover_key(of), takeover_key(own)]
}

/// The value under [`takeover_key`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TakeoverRecord {
    /// The one incarnation that is responsible for all programs of the other.
    pub successor: Incarnation,
    /// Whether the other incarnation named its successor itself.
    pub is_planned: bool,
}

/// The takeover records that an instance has read.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Takeovers {
    successors: BTreeMap<Incarnation, Incarnation>,
}

impl Takeovers {
    /// Takes note of a record. A record never changes, so the first one is kept.
    pub fn learn(&mut self, of: Incarnation, record: &TakeoverRecord) {
        let successor = record.successor.clone();
        self.successors.entry(of).or_insert(successor);
    }

    /// Forgets a record that was deleted from the store.
    pub fn forget(&mut self, of: &Incarnation) {
        self.successors.remove(of);
    }

    /// The direct successor of an incarnation.
    pub fn successor(&self, of: &Incarnation) -> Option<&Incarnation> {
        self.successors.get(of)
    }

    /// The incarnation that is responsible for the programs of `owner`: the last one in
    /// its line of successors.
    pub fn responsible<'a>(&'a self, owner: &'a Incarnation) -> &'a Incarnation {
        let mut last = owner;
        // A line longer than the number of records would be a cycle.
        for _ in 0..self.successors.len() {
            match self.successors.get(last) {
                Some(next) => last = next,
                None => break,
            }
        }
        last
    }

    /// All incarnations that `successor` is responsible for, itself excluded. Their budget
    /// records are to be adopted.
    pub fn predecessors(&self, successor: &Incarnation) -> Vec<Incarnation> {
        self.successors
            .keys()
            .filter(|owner| *owner != successor && self.responsible(owner) == successor)
            .cloned()
            .collect()
    }
}

/// What heartbeats say of an incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwnerLiveness {
    /// Answers heartbeats.
    Alive,
    /// Does not answer heartbeats, or another incarnation answers under its name.
    Dead,
    /// Answers heartbeats and announced a planned stop.
    Leaving,
    /// Missed some heartbeats.
    Suspect,
}

/// What an instance knows of the incarnation that owns a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerStatus {
    /// Its liveness.
    pub liveness: OwnerLiveness,
    /// For how long its registration has been absent beyond its lease, in milliseconds of
    /// uninterrupted store contact of this instance. `None` if it is present or if there
    /// is no store contact.
    pub registration_absent_ms: Option<u64>,
}

/// Knowledge of other incarnations.
pub trait OwnerLookup {
    /// What is known of an incarnation. One never heard of is `Dead`.
    fn owner(&self, incarnation: &Incarnation) -> OwnerStatus;
}

/// What an instance decides ownership by.
#[derive(Clone, Copy)]
pub struct OwnershipView<'a> {
    /// This process.
    pub own: &'a Incarnation,
    /// Known takeover records.
    pub takeovers: &'a Takeovers,
    /// Knowledge of other incarnations.
    pub owners: &'a dyn OwnerLookup,
    /// Time for which a registration must be absent before a takeover.
    pub takeover_delay_ms: u64,
}

/// What to do with a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Serve it here. [`Programs::admit`](crate::Programs::admit) applies the rule for
    /// non-repeatable calls after a takeover.
    Serve,
    /// Pass it to this instance. If it becomes unreachable before a byte was sent, the
    /// call is refused as not run; after that, a non-repeatable call is `unknown`.
    Forward {
        /// The incarnation to forward to. Another one under the same name must refuse.
        to: Incarnation,
    },
    /// Create the takeover record of this incarnation, read the records, and decide again.
    ClaimTakeover {
        /// The incarnation that is gone.
        of: Incarnation,
    },
    /// Refuse it as not run.
    Refuse(Refusal),
}

/// Decides where a call of a program opened by `owner` is served. A call that was forwarded
/// here is not forwarded again, so instances with different views cannot form a loop.
pub fn decide(
    view: OwnershipView<'_>,
    owner: &Incarnation,
    was_forwarded: bool,
) -> Decision {
    let responsible = view.takeovers.responsible(owner);
    if responsible == view.own {
        return Decision::Serve;
    }
    let fact = view.owners.owner(responsible);
    match fact.liveness {
        _ if was_forwarded => Decision::Refuse(not_responsible()),
        OwnerLiveness::Alive | OwnerLiveness::Leaving => Decision::Forward {
            to: responsible.clone(),
        },
        OwnerLiveness::Dead
            if may_claim(fact, view.takeover_delay_ms)
                && view.takeovers.successor(view.own).is_none() =>
        {
            Decision::ClaimTakeover {
                of: responsible.clone(),
            }
        }
        OwnerLiveness::Dead | OwnerLiveness::Suspect => Decision::Refuse(unreachable()),
    }
}

/// Whether a takeover may be claimed by compare-and-swap.
pub fn may_claim(fact: OwnerStatus, takeover_delay_ms: u64) -> bool {
    let absent_ms = fact.registration_absent_ms;
    fact.liveness == OwnerLiveness::Dead
        && absent_ms.is_some_and(|absent_ms| absent_ms >= takeover_delay_ms)
}

/// The refusal while the owner of a program is unreachable and not yet replaced.
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
