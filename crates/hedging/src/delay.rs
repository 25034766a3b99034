//! How long to wait for a response before a request is sent a second time.

use std::collections::HashMap;
use std::fmt;

use hdrhistogram::Histogram;

/// Quantile of the time to first byte after which a request counts as slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Responses without which the quantile is not used. Two of them lie above it, so that a single slow
/// one does not set it.
pub const MIN_SAMPLES: u64 = 40;

/// Largest number of responses in one period. The estimate then follows a change of load within as
/// many responses.
const MAX_SAMPLES: u64 = 1_000;

/// Length of a period, in milliseconds. Responses count for one to two periods: long enough for
/// [`MIN_SAMPLES`] of a route with two requests a second, short enough to follow the load.
const PERIOD_MS: u64 = 30_000;

/// Lower bound of the delay, in milliseconds. Below it the difference between two sends is the
/// scheduling of the processes, not the endpoint.
const MIN_DELAY_MS: u64 = 5;

/// Times above this, in milliseconds, count as this. Longer than the longest time limit of a route.
const MAX_TIME_MS: u64 = 60_000;

/// Precision of the histograms, in decimal digits. Two need 2.5 KB each.
const PRECISION_DIGITS: u8 = 2;

/// Routes whose times are kept, of 5 KB each. Beyond it all are forgotten, since names change with
/// the configuration.
const MAX_ROUTES: usize = 256;

type TimeHistogram = Histogram<u16>;

/// Times to first byte of one route in the current period and the one before.
struct RouteTimes {
    current: TimeHistogram,
    previous: TimeHistogram,
    /// When the current period began.
    began_ms: u64,
}

impl RouteTimes {
    fn new(now_ms: u64) -> RouteTimes {
        let histogram = || {
            TimeHistogram::new_with_bounds(1, MAX_TIME_MS, PRECISION_DIGITS)
                .expect("the bounds are valid")
        };
        RouteTimes {
            current: histogram(),
            previous: histogram(),
            began_ms: now_ms,
        }
    }

    /// Begins a new period if the current one is over.
    fn advance(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.began_ms);
        let is_full = self.current.len() >= MAX_SAMPLES;
        if age_ms < PERIOD_MS && !is_full {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.began_ms = match age_ms {
            _ if age_ms >= 2 * PERIOD_MS => {
                self.previous.reset();
                now_ms
            }
            _ if is_full => now_ms,
            _ => self.began_ms + PERIOD_MS,
        };
    }

    fn delay_ms(&self) -> Option<u64> {
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        let mut all = self.current.clone();
        all.add(&self.previous)
            .expect("both histograms have the same bounds");
        Some(all.value_at_quantile(SLOW_QUANTILE).max(MIN_DELAY_MS))
    }
}

/// The hedging delay of each route, learned from the times to first byte of its responses.
#[derive(Default)]
pub struct RouteDelays {
    /// At most `MAX_ROUTES`.
    by_route: HashMap<String, RouteTimes>,
}

impl fmt::Debug for RouteDelays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouteDelays")
            .field("routes", &self.by_route.len())
            .finish_non_exhaustive()
    }
}

impl RouteDelays {
    /// Records the time to the first byte of a response.
    ///
    /// A send that is cancelled because the other one has won is recorded with the time for which it
    /// had run: without the slowest sends the quantile would fall with each hedged request.
    pub fn record(&mut self, now_ms: u64, route: &str, first_byte_ms: u64) {
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                self.by_route.clear();
            }
            let times = RouteTimes::new(now_ms);
            self.by_route.insert(route.to_string(), times);
        }
        if let Some(times) = self.by_route.get_mut(route) {
            times.advance(now_ms);
            times.current.saturating_record(first_byte_ms.max(1));
        }
    }

    /// Time after which a request of a route counts as slow, in milliseconds. `None` while too few
    /// responses are known.
    pub fn delay_ms(&mut self, now_ms: u64, route: &str) -> Option<u64> {
        let times = self.by_route.get_mut(route)?;
        times.advance(now_ms);
        times.delay_ms()
    }
}
