//! The number of hedged requests that may be sent.

use crate::settings::HedgingSettings;

/// Parts of a token. Counting in whole parts keeps the sum of many small shares exact.
const PARTS_PER_TOKEN: u64 = 1_000_000_000;

/// A token bucket that sends fill.
///
/// It is empty at first, so that after any number of sends the hedged requests are at most the
/// share of these. Within any period they are at most the share of the sends in it, plus the burst.
#[derive(Clone, Copy, Debug)]
pub struct HedgeBudget {
    /// At most `capacity_parts`.
    parts: u64,
    parts_per_send: u64,
    capacity_parts: u64,
}

impl HedgeBudget {
    /// An empty bucket.
    pub fn new(settings: HedgingSettings) -> HedgeBudget {
        let share = settings.max_extra_percent() / 100.0;
        HedgeBudget {
            parts: 0,
            parts_per_send: (share * PARTS_PER_TOKEN as f64) as u64,
            capacity_parts: u64::from(settings.max_burst()) * PARTS_PER_TOKEN,
        }
    }

    /// Adds the share of one send that is not hedged itself.
    pub fn record_send(&mut self) {
        self.parts = (self.parts + self.parts_per_send).min(self.capacity_parts);
    }

    /// Whether a hedged request may be sent now.
    pub fn has_token(&self) -> bool {
        self.parts >= PARTS_PER_TOKEN
    }

    /// Takes the token of one hedged request. Returns false if there is none.
    pub fn take(&mut self) -> bool {
        let is_granted = self.has_token();
        if is_granted {
            self.parts -= PARTS_PER_TOKEN;
        }
        is_granted
    }
}
