//! Turns that this instance has handled, so that most chains need no question.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use jayreel_ledger::TurnRecord;

/// Content that is kept, in bytes. A few hundred conversations of ten turns of 3 KB.
const MOST_BYTES: usize = 8 << 20;

/// Turns by identifier, the oldest dropped first.
#[derive(Debug, Default)]
pub(crate) struct TurnCache {
    turns: HashMap<String, Rc<TurnRecord>>,
    order: VecDeque<String>,
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
        self.order.push_back(record.turn.clone());
        self.turns.insert(record.turn.clone(), Rc::new(record));
        while self.size_bytes > MOST_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(record) = self.turns.remove(&oldest) {
                self.size_bytes -= size_bytes(&record);
            }
        }
    }
}

fn size_bytes(record: &TurnRecord) -> usize {
    record.input.len() + record.output.len() + 2 * record.turn.len()
}

/// The prompt of a turn: all earlier input and output, oldest first, then the new input.
pub(crate) fn prompt(chain: &[Rc<TurnRecord>], input: &Bytes) -> Bytes {
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
