//! Frees disk space: removes segments in which nothing is needed, and moves what is needed in
//! others to the newest segment.

use jayreel_ledger::{LedgerRecord, TurnRecord};

use super::node::{Effect, Node};
use super::reads::{MAX_RESPONSE_BYTES, PendingRead, ReadPurpose};

/// Maximum number of turns that are moved at once.
const MAX_MOVED_TURNS: usize = 64;

impl Node {
    /// Cleans the next segment if one should be cleaned. One segment is cleaned at a time, a few
    /// turns at once.
    pub(super) fn clean(&mut self, now_ms: u64) -> Vec<Effect> {
        if self.reads.values().any(PendingRead::is_cleaning) {
            return Vec::new();
        }
        let next = self
            .log
            .next_to_clean(|segment| self.state.live_bytes(segment));
        match next {
            Some(segment) => self.clean_segment(now_ms, segment),
            None => Vec::new(),
        }
    }

    /// Moves the next turns of a segment, or removes it if none is left.
    fn clean_segment(&mut self, now_ms: u64, segment: u32) -> Vec<Effect> {
        let mut turns = self.state.turns_in(segment, MAX_MOVED_TURNS);
        let mut size_bytes = 0;
        turns.retain(|(_, location)| {
            let fits = size_bytes < MAX_RESPONSE_BYTES;
            size_bytes += u64::from(location.frame_bytes);
            fits
        });
        match turns.is_empty() {
            true => self.drop_segment(segment),
            false => self.read_turns(now_ms, turns, ReadPurpose::Clean { segment }),
        }
    }

    /// Writes turns of a segment to the newest one, and continues with the rest.
    pub(super) fn move_turns(
        &mut self,
        now_ms: u64,
        segment: u32,
        turns: Vec<TurnRecord>,
    ) -> Vec<Effect> {
        let records: Vec<LedgerRecord> =
            turns.into_iter().map(LedgerRecord::Turn).collect();
        let Some(append) = self.append(&records) else {
            return Vec::new();
        };
        let mut effects = vec![append];
        effects.extend(self.clean_segment(now_ms, segment));
        effects
    }

    /// Writes the small records of a segment to the newest one, and removes it.
    fn drop_segment(&mut self, segment: u32) -> Vec<Effect> {
        let records = self.state.small_records_in(segment);
        let (to_segment, _) = self.log.next_position();
        let mut effects: Vec<Effect> = self.append(&records).into_iter().collect();
        self.state.move_grants(segment, to_segment);
        self.log.record_drop(segment);
        log::info!(
            "event=segment_dropped segment={segment} moved_records={} log_bytes={}",
            records.len(),
            self.log.total_bytes()
        );
        effects.push(Effect::DropSegment { segment });
        effects
    }
}
