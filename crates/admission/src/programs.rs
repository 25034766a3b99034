//! The programs that one instance has seen, a bounded set with expiry.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A program is remembered for at least this time after its last turn, in milliseconds, and for
/// at most twice as long. A program lasts a few seconds, and its tool calls less than that.
const GENERATION_MS: u64 = 20_000;

/// Number of programs in one generation, 16 bytes each.
const MAX_GENERATION_PROGRAMS: usize = 4_096;

/// Identifies a program. Two programs may have the same key, but hardly ever do; the second one
/// then counts as begun.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ProgramKey(u64);

impl ProgramKey {
    /// The key of a customer's program.
    pub fn new(customer: &str, program: &str) -> ProgramKey {
        let mut hasher = DefaultHasher::new();
        (customer, program).hash(&mut hasher);
        ProgramKey(hasher.finish())
    }
}

/// What this instance decided about a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramState {
    /// A turn of it was admitted, or it had begun elsewhere.
    Begun,
    /// All of its turns were rejected. It may try again.
    Rejected,
}

/// The programs seen lately, in two generations: the older one is dropped as a whole.
#[derive(Debug, Default)]
pub struct SeenPrograms {
    /// At most [`MAX_GENERATION_PROGRAMS`].
    newer: HashMap<ProgramKey, ProgramState>,
    older: HashMap<ProgramKey, ProgramState>,
    /// When `newer` was begun.
    began_ms: u64,
}

impl SeenPrograms {
    /// What was decided about a program. `None` if it has not been seen, or long ago.
    pub fn state(&mut self, now_ms: u64, program: ProgramKey) -> Option<ProgramState> {
        self.expire(now_ms);
        let state = self
            .newer
            .get(&program)
            .or_else(|| self.older.get(&program));
        state.copied()
    }

    /// Records a turn of a program and what was decided.
    pub fn record(&mut self, now_ms: u64, program: ProgramKey, state: ProgramState) {
        self.expire(now_ms);
        let is_full = self.newer.len() >= MAX_GENERATION_PROGRAMS;
        if is_full && !self.newer.contains_key(&program) {
            self.begin_generation(now_ms);
        }
        self.newer.insert(program, state);
    }

    /// Number of programs that are remembered.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether no program is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn expire(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.began_ms);
        if age_ms >= 2 * GENERATION_MS {
            self.newer.clear();
        }
        if age_ms >= GENERATION_MS {
            self.begin_generation(now_ms);
        }
    }

    fn begin_generation(&mut self, now_ms: u64) {
        self.older = std::mem::take(&mut self.newer);
        self.began_ms = now_ms;
    }
}
