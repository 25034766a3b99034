//! Cache of the turns that this instance has handled or read, so that most prompts can be built
//! without a request to the storage group.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use jayreel_ledger::TurnRecord;

/// Maximum size of the cache, in bytes: a few hundred conversations of ten turns of 3 KB.
const MAX_CACHE_BYTES: usize = 8 << 20;

/// Turns by identifier. When the cache is full, the turns that were inserted first are evicted.
#[derive(Debug, Default)]
pub(crate) struct TurnCache {
    turns: HashMap<String, Rc<TurnRecord>>,
    /// Identifiers in the order of insertion.
    insertion_order: VecDeque<String>,
    size_bytes: usize,
}

impl TurnCache {
    pub(crate) fn get(&self, turn: &str) -> Option<Rc<TurnRecord>> {
        self.turns.get(turn).cloned()
    }

    pub(crate) fn insert(&mut self, record: TurnRecord) {
        if self.turns.contains_key(&record.turn) {
            return;
        }
        self.size_bytes += size_bytes(&record);
        self.insertion_order.push_back(record.turn.clone());
        self.turns.insert(record.turn.clone(), Rc::new(record));
        while self.size_bytes > MAX_CACHE_BYTES {
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

/// Builds the prompt of a turn: all earlier input and output, oldest first, then the new input.
/// `chain` holds the earlier turns, newest first.
pub(crate) fn build_prompt(chain: &[Rc<TurnRecord>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let earlier_bytes: usize = chain.iter().map(|turn| size_bytes(turn)).sum();
    let mut prompt = BytesMut::with_capacity(earlier_bytes + input.len());
    for turn in chain.iter().rev() {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(input);
    prompt.freeze()
}
