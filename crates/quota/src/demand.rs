//! Measures how much of its share of a contract an instance uses.

/// Length of the windows in which calls are counted.
const WINDOW_MS: u64 = 1_000;

/// A share that was insufficient within this period counts as fully used.
const SHORTAGE_MEMORY_MS: u64 = 1_000;

/// The recent use of one customer's share. Counts only calls that got a token, because a
/// waiting call tries many times.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Demand {
    /// Start of the current window.
    window_started_ms: u64,
    /// Calls in the current window.
    taken: u64,
    /// Calls in the window before the current one.
    taken_previous: u64,
    last_shortage_ms: Option<u64>,
}

impl Demand {
    /// Records a call that got a token.
    pub fn record_taken(&mut self, now_ms: u64) {
        self.advance_window(now_ms);
        self.taken += 1;
    }

    /// Records a call that got no token.
    pub fn record_shortage(&mut self, now_ms: u64) {
        self.last_shortage_ms = Some(now_ms);
    }

    /// Whether the share was insufficient within the last second.
    pub fn had_recent_shortage(&self, now_ms: u64) -> bool {
        self.last_shortage_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < SHORTAGE_MEMORY_MS)
    }

    /// The call rate in thousandths of a call per second: the higher one of the current
    /// and the previous window.
    pub fn rate_mreq_per_s(&mut self, now_ms: u64) -> u64 {
        self.advance_window(now_ms);
        self.taken.max(self.taken_previous) * 1_000 * 1_000 / WINDOW_MS
    }

    fn advance_window(&mut self, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.window_started_ms) / WINDOW_MS;
        match windows {
            0 => return,
            1 => self.taken_previous = self.taken,
            _ => self.taken_previous = 0,
        }
        self.taken = 0;
        self.window_started_ms += windows * WINDOW_MS;
    }
}
