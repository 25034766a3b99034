//! The state of a single program and its calls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use jayreel_model::{Incarnation, Profile, RequestId};

use crate::admission::CallParams;
use crate::idempotency::{KeyDigest, KeyState};
use crate::token::{CacheTag, ProgramToken};

/// Identifies a program within this process. Ids are never reused within a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProgramId(pub u64);

/// A call that was admitted and has not ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct RunningCall {
    pub(crate) request_id: RequestId,
    pub(crate) key: Option<KeyDigest>,
    pub(crate) reserved_tokens: u64,
    pub(crate) turn: u32,
}

/// A call in a program's queue, waiting for an earlier call or for a budget grant.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct WaitingCall {
    pub(crate) params: CallParams,
    pub(crate) key: Option<KeyDigest>,
}

/// The state of one program. At most one of its calls runs at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Program {
    pub(crate) token: ProgramToken,
    pub(crate) parent: Option<ProgramId>,
    pub(crate) max_turns: u32,
    pub(crate) idle_timeout_ms: u64,
    /// Incarnations all of whose calls to this program are known here. A non-repeatable
    /// call runs only if the incarnation that it names is one of them, because otherwise
    /// it may already have run there.
    pub(crate) known_epochs: BTreeSet<Incarnation>,
    /// Turn of the next call to run. `None` after a takeover without a handover, until
    /// the first call runs here and sets it.
    pub(crate) next_turn: Option<u32>,
    pub(crate) keys: BTreeMap<KeyDigest, KeyState>,
    pub(crate) running: Option<RunningCall>,
    /// Calls in arrival order. Empty unless a call runs or `needs_grant` is set.
    pub(crate) waiting: VecDeque<WaitingCall>,
    /// Whether the first waiting call needs a larger budget grant.
    pub(crate) needs_grant: bool,
    pub(crate) last_activity_ms: u64,
    /// Set when the program was closed while a call was running. The program ends with
    /// that call.
    pub(crate) closing: bool,
    /// Whether the budget's exhaustion, and so the release of the cache, was already
    /// reported.
    pub(crate) exhausted: bool,
}

impl Program {
    pub(crate) fn new(
        token: ProgramToken,
        parent: Option<ProgramId>,
        epoch: Incarnation,
        now_ms: u64,
    ) -> Program {
        Program {
            token,
            parent,
            max_turns: 0,
            idle_timeout_ms: 0,
            known_epochs: BTreeSet::from([epoch]),
            next_turn: Some(0),
            keys: BTreeMap::new(),
            running: None,
            waiting: VecDeque::new(),
            needs_grant: false,
            last_activity_ms: now_ms,
            closing: false,
            exhausted: false,
        }
    }

    /// Copies the limits of the profile, which may have changed since the last call.
    pub(crate) fn apply_profile(&mut self, profile: &Profile) {
        self.max_turns = profile.max_turns;
        self.idle_timeout_ms = profile.idle_timeout_ms;
    }

    pub(crate) fn cache_tag(&self) -> CacheTag {
        self.token.cache_tag()
    }

    /// The turn of the next call to arrive, after those already waiting. `None` if
    /// unknown.
    pub(crate) fn expected_turn(&self) -> Option<u32> {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.next_turn.map(|turn| turn.saturating_add(waiting))
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.running.is_some() || !self.waiting.is_empty()
    }

    /// Removes the first waiting call and frees its idempotency key.
    pub(crate) fn drop_first(&mut self) -> Option<WaitingCall> {
        self.needs_grant = false;
        let call = self.waiting.pop_front()?;
        if let Some(key) = call.key {
            self.keys.remove(&key);
        }
        Some(call)
    }

    pub(crate) fn is_idle(&self, now_ms: u64) -> bool {
        let idle_ms = now_ms.saturating_sub(self.last_activity_ms);
        !self.is_busy() && idle_ms >= self.idle_timeout_ms
    }
}
