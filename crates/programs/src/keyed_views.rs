//! The history of which process was responsible for which idempotency key, as one process
//! knows it.

use std::collections::{BTreeMap, VecDeque};

use jayreel_model::Incarnation;
use serde::{Deserialize, Serialize};

use crate::idempotency::KeyDigest;
use crate::keyed_handover::KeyedClaim;

/// Times that decide whether a process knows about all runs of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct KeyedLimits {
    /// A process that was responsible for longer than this knows about all runs within
    /// the late repeat window.
    pub(crate) coverage_ms: u64,
    /// Maximum age of a view by which a call may be admitted.
    pub(crate) freshness_ms: u64,
}

/// The registered processes, among which keys were divided, over a period of time.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RegistrationView {
    /// When the first read that returned these processes was sent.
    pub(crate) since_ms: u64,
    /// When the last read that returned these processes was sent.
    pub(crate) last_read_ms: u64,
    /// Whether no process of the fleet existed before this view.
    pub(crate) is_first_ever: bool,
    /// The lease of this process's registration. A new lease means that the registration
    /// had ended in between.
    pub(crate) own_lease: Option<i64>,
    /// The processes by instance name.
    pub(crate) processes: BTreeMap<String, Incarnation>,
}

impl RegistrationView {
    /// The process responsible for a key.
    pub(crate) fn responsible(&self, digest: KeyDigest) -> Option<&Incarnation> {
        let name = responsible(self.processes.keys(), digest)?;
        self.processes.get(name)
    }
}

/// A claim of a stopped process, all parts of which have arrived.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct InheritedClaim {
    /// When the last part arrived.
    pub(crate) received_ms: u64,
    pub(crate) claim: KeyedClaim,
}

/// The views of one process and the claims that it received. All times come from its own
/// clock and are only compared with each other.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ViewHistory {
    pub(crate) own: Incarnation,
    /// Oldest first. Each view is valid until the next one begins.
    pub(crate) views: VecDeque<RegistrationView>,
    pub(crate) inherited: Vec<InheritedClaim>,
}

impl ViewHistory {
    /// Creates the history of a process that has not read the registrations yet.
    pub(crate) fn new(own: Incarnation) -> ViewHistory {
        ViewHistory {
            own,
            views: VecDeque::new(),
            inherited: Vec::new(),
        }
    }

    /// Whether this process knows about all runs of a key within the late repeat window:
    /// because it was responsible for long enough itself, or through the claim of the
    /// process that was responsible before it.
    pub(crate) fn knows_all_runs(
        &self,
        now_ms: u64,
        digest: KeyDigest,
        limits: KeyedLimits,
    ) -> bool {
        let newest_first = self.views.iter().rev();
        let own_views = newest_first
            .take_while(|view| self.is_own(view, digest))
            .count();
        let first_index = self.views.len() - own_views;
        let Some(first) = self.views.get(first_index) else {
            return false;
        };
        // Must be strictly longer: the other process may have run a call in the last
        // millisecond.
        let held_ms = now_ms.saturating_sub(first.since_ms);
        let before = first_index
            .checked_sub(1)
            .and_then(|index| self.views.get(index));
        first.is_first_ever
            || held_ms > limits.coverage_ms
            || before
                .is_some_and(|before| self.is_inherited(before, first, digest, limits))
    }

    /// Whether the process that was responsible in `before` has handed this key over.
    /// Requires that there was no gap between the two views, in which a third process
    /// could have been responsible.
    fn is_inherited(
        &self,
        before: &RegistrationView,
        first: &RegistrationView,
        digest: KeyDigest,
        limits: KeyedLimits,
    ) -> bool {
        let gap_ms = first.since_ms.saturating_sub(before.last_read_ms);
        let Some(predecessor) = before.responsible(digest) else {
            return false;
        };
        gap_ms <= limits.freshness_ms
            && self.inherited.iter().any(|inherited| {
                inherited.claim.of() == predecessor
                    && inherited.claim.covers(digest, &self.own, limits)
            })
    }

    /// Whether this process was responsible in a view under its current registration.
    /// While it was not registered, another process may have started to count its own
    /// time as responsible, and may never learn that this one came back.
    fn is_own(&self, view: &RegistrationView, digest: KeyDigest) -> bool {
        let responsible = view.responsible(digest);
        let own_lease = self.views.back().and_then(|newest| newest.own_lease);
        view.own_lease == own_lease
            && responsible.is_some_and(|process| process.instance == self.own.instance)
    }
}

/// The instance responsible for a key, by rendezvous hashing: the one with the highest
/// hash of name and key.
pub fn responsible<'a>(
    instances: impl IntoIterator<Item = &'a String>,
    key: KeyDigest,
) -> Option<&'a str> {
    instances
        .into_iter()
        .map(String::as_str)
        .max_by_key(|instance| key.weight_of(instance))
}
