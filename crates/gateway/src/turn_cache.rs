//! Cache of the turns that were stored last at a storage instance, so that most requests need no
//! read from the disk.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use jayreel_ledger::{TurnDigest, TurnRecord};

/// Turns by identifier. When the cache is full, the turns that were inserted first are evicted.
#[derive(Debug)]
pub(crate) struct TurnCache {
    turns: HashMap<TurnDigest, Rc<TurnRecord>>,
    insertion_order: VecDeque<TurnDigest>,
    /// Sum over `turns`. At most `max_bytes`.
    size_bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// Creates an empty cache for turns of up to `max_bytes` together.
    pub(crate) fn new(max_bytes: usize) -> TurnCache {
        TurnCache {
            turns: HashMap::new(),
            insertion_order: VecDeque::new(),
            size_bytes: 0,
            max_bytes,
        }
    }

    pub(crate) fn get(&self, turn: TurnDigest) -> Option<Rc<TurnRecord>> {
        self.turns.get(&turn).cloned()
    }

    /// Approximate memory that the turns use, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    pub(crate) fn insert(&mut self, record: TurnRecord) {
        let turn = TurnDigest::of(&record.turn);
        if self.turns.contains_key(&turn) {
            return;
        }
        self.size_bytes += size_bytes(&record);
        self.insertion_order.push_back(turn);
        self.turns.insert(turn, Rc::new(record));
        while self.size_bytes > self.max_bytes {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            if let Some(record) = self.turns.remove(&oldest) {
                self.size_bytes -= size_bytes(&record);
            }
        }
    }
}

/// Approximate memory that a record and its key use, in bytes.
fn size_bytes(record: &TurnRecord) -> usize {
    record.input.len() + record.output.len() + 2 * record.turn.len()
}
