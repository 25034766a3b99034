//! The turns that an entry instance has in memory: those that requests continue, and a cache of
//! those that it handled or read last.
//!
//! A turn is in memory once, however many requests continue it.

use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};

use jayreel_ledger::{TurnDigest, TurnRecord};

use crate::edge::memory::{Claim, MemoryAccount};

/// Size of the cache, in bytes: a few hundred conversations of ten turns of 3 KB.
const MAX_CACHE_BYTES: usize = 8 << 20;

/// Share of the memory limit for turns, as a divisor.
const TURNS_DIVISOR: usize = 4;

/// Memory of a turn besides its input and output, in bytes: identifiers and the entries of the
/// collections.
const OVERHEAD_BYTES: usize = 512;

/// There is not enough memory for a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutOfMemory {
    /// What it needs, in bytes.
    pub bytes: usize,
}

/// A turn in memory.
#[derive(Debug)]
pub struct HeldTurn {
    /// The turn.
    pub record: TurnRecord,
    claim: Claim,
}

/// Turns by identifier, within an account.
#[derive(Debug)]
pub struct TurnMemory {
    account: Rc<MemoryAccount>,
    /// All turns in memory, and some that are no longer.
    turns: HashMap<TurnDigest, Weak<HeldTurn>>,
    /// The cached turns, those that were inserted first at the front.
    cache: VecDeque<Rc<HeldTurn>>,
    /// Sum over `cache`. At most `MAX_CACHE_BYTES`.
    cached_bytes: usize,
}

impl TurnMemory {
    /// For a process with a memory limit in megabytes.
    pub fn new(memory_mb: u64) -> TurnMemory {
        let account = MemoryAccount::share_of(memory_mb, TURNS_DIVISOR, "turns");
        TurnMemory {
            account: Rc::new(account),
            turns: HashMap::new(),
            cache: VecDeque::new(),
            cached_bytes: 0,
        }
    }

    /// The account of all turns in memory.
    pub fn account(&self) -> &Rc<MemoryAccount> {
        &self.account
    }

    /// Memory of the cached turns, in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// The turn, if it is in memory.
    pub fn get(&self, turn: TurnDigest) -> Option<Rc<HeldTurn>> {
        self.turns.get(&turn)?.upgrade()
    }

    /// Claims memory for turns, and evicts cached turns that no request uses if necessary.
    ///
    /// # Errors
    ///
    /// If there is not enough memory even so.
    pub fn claim(&mut self, bytes: usize) -> Result<Claim, OutOfMemory> {
        self.make_room(bytes);
        Claim::of(&self.account, bytes).ok_or(OutOfMemory { bytes })
    }

    /// Adds a turn. If it is in memory already, that one is returned.
    ///
    /// # Errors
    ///
    /// If there is not enough memory.
    pub fn insert(&mut self, record: TurnRecord) -> Result<Rc<HeldTurn>, OutOfMemory> {
        let digest = TurnDigest::of(&record.turn);
        if let Some(turn) = self.get(digest) {
            return Ok(turn);
        }
        let claim = self.claim(size_bytes(&record))?;
        let turn = Rc::new(HeldTurn { record, claim });
        self.forget_dropped();
        self.turns.insert(digest, Rc::downgrade(&turn));
        self.cached_bytes += turn.claim.bytes();
        self.cache.push_back(Rc::clone(&turn));
        while self.cached_bytes > MAX_CACHE_BYTES {
            let Some(oldest) = self.cache.pop_front() else {
                break;
            };
            self.cached_bytes -= oldest.claim.bytes();
        }
        Ok(turn)
    }

    /// Evicts the oldest turns that no request uses until so many bytes can be claimed.
    fn make_room(&mut self, bytes: usize) {
        let missing_bytes = bytes.saturating_sub(self.account.room_bytes());
        if missing_bytes == 0 {
            return;
        }
        let mut evicted_bytes = 0;
        self.cache.retain(|turn| {
            let is_kept = evicted_bytes >= missing_bytes || Rc::strong_count(turn) > 1;
            evicted_bytes += if is_kept { 0 } else { turn.claim.bytes() };
            is_kept
        });
        self.cached_bytes -= evicted_bytes;
    }

    /// Removes the entries of turns that are no longer in memory once they are as many as the others.
    fn forget_dropped(&mut self) {
        if self.turns.len() == self.turns.capacity() {
            self.turns.retain(|_, turn| turn.strong_count() > 0);
            // Room for as many again, so that this is not repeated for each turn.
            self.turns.reserve(self.turns.len() + 1);
        }
    }
}

/// Memory that a turn uses, in bytes.
fn size_bytes(record: &TurnRecord) -> usize {
    record.input.len() + record.output.len() + 2 * record.turn.len() + OVERHEAD_BYTES
}
