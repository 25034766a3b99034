//! Load estimate of an endpoint: the calls of this instance, which are known exactly, plus
//! the calls of other instances, which are derived from delayed load reports.

use std::collections::VecDeque;

use crate::event::LoadReport;

/// Length of the history of this instance's calls at an endpoint. Reports that are older than
/// this are ignored, because the calls of this instance at that time are not known any more.
const HISTORY_MS: u64 = 10_000;
/// Age after which a report is no longer used.
const REPORT_VALID_MS: u64 = 5_000;

/// Load estimate of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    /// Number of calls of this instance that occupy a slot.
    own_in_flight: u32,
    /// Time of each change of `own_in_flight` and the value after it, oldest first. The
    /// oldest entry may be older than `HISTORY_MS`, so that the value at the start of the
    /// history is known.
    history: VecDeque<(u64, u32)>,
    report: Option<ReportedLoad>,
}

/// The part of a load report that concerns other instances.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    measured_at_ms: u64,
    /// Number of calls of other instances at that time.
    others: u32,
}

impl Load {
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Records that a call of this instance took a slot.
    pub fn add(&mut self, now_ms: u64) {
        self.own_in_flight += 1;
        self.record_change(now_ms);
    }

    /// Records that a call of this instance freed its slot.
    pub fn remove(&mut self, now_ms: u64) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.record_change(now_ms);
    }

    fn record_change(&mut self, now_ms: u64) {
        self.history.push_back((now_ms, self.own_in_flight));
        let start = now_ms.saturating_sub(HISTORY_MS);
        while self.history.len() > 1 && self.history[1].0 <= start {
            self.history.pop_front();
        }
    }

    /// Records a load report. Ignored if it is older than `HISTORY_MS` or was measured before
    /// the last one.
    pub fn record_report(&mut self, now_ms: u64, report: LoadReport) {
        let measured_at_ms = now_ms.saturating_sub(report.age_ms);
        let newer = self
            .report
            .is_none_or(|known| known.measured_at_ms <= measured_at_ms);
        if report.age_ms > HISTORY_MS || !newer {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        self.report = Some(ReportedLoad {
            measured_at_ms,
            others: total.saturating_sub(self.own_at(measured_at_ms)),
        });
    }

    /// Number of calls of this instance at a time within the history.
    fn own_at(&self, at_ms: u64) -> u32 {
        let last_change = self.history.iter().rev().find(|(time, _)| *time <= at_ms);
        last_change.map_or(0, |(_, own)| *own)
    }

    /// Maximum number of concurrent calls of this instance since `since_ms`, which must be at
    /// most `HISTORY_MS` ago.
    pub fn max_own_since(&self, since_ms: u64) -> u32 {
        let later = self.history.iter().rev();
        let later = later.take_while(|(time, _)| *time > since_ms);
        let most_later = later.map(|(_, own)| *own).max().unwrap_or(0);
        self.own_at(since_ms).max(most_later)
    }

    /// Number of calls of other instances. `None` without a report newer than
    /// `REPORT_VALID_MS`.
    pub fn others(&self, now_ms: u64) -> Option<u32> {
        let valid =
            |report: &ReportedLoad| now_ms < report.measured_at_ms + REPORT_VALID_MS;
        self.report.filter(valid).map(|report| report.others)
    }

    /// Time since the last report was measured. `None` without a report newer than
    /// `REPORT_VALID_MS`.
    pub fn report_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.others(now_ms)?;
        let report = self.report?;
        Some(now_ms.saturating_sub(report.measured_at_ms))
    }

    /// Estimated number of calls of all instances. Counts only those of this instance if
    /// there is no valid report.
    pub fn outstanding(&self, now_ms: u64) -> u32 {
        let others = self.others(now_ms).unwrap_or(0);
        self.own_in_flight.saturating_add(others)
    }
}
