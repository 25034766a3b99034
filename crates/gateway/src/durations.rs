//! How long requests of each route take, to tell which ones end before an instance stops.

use std::collections::HashMap;

/// Weight of a new duration in the average, and of its difference from the average in the
/// deviation, as divisors. The estimator of TCP's retransmission timeout.
const AVERAGE_DIVISOR: f64 = 8.0;
const DEVIATION_DIVISOR: f64 = 4.0;

/// Number of deviations above the average that a request is expected to take.
const DEVIATIONS: f64 = 4.0;

/// Largest number of routes. Beyond it all are forgotten, since names change with the
/// configuration.
const MAX_ROUTES: usize = 1_024;

/// The moving average of the durations of one route.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    average_ms: f64,
    /// Average difference from the average. At least 0.
    deviation_ms: f64,
}

/// The durations of requests by route.
#[derive(Debug, Default)]
pub struct Durations {
    /// At most `MAX_ROUTES`.
    by_route: HashMap<String, Estimate>,
}

impl Durations {
    /// Records the time from sending a request to the end of its response.
    pub fn record(&mut self, route: &str, elapsed_ms: u64) {
        let elapsed_ms = elapsed_ms as f64;
        if let Some(estimate) = self.by_route.get_mut(route) {
            let difference_ms = elapsed_ms - estimate.average_ms;
            let deviation_change_ms = difference_ms.abs() - estimate.deviation_ms;
            estimate.average_ms += difference_ms / AVERAGE_DIVISOR;
            estimate.deviation_ms += deviation_change_ms / DEVIATION_DIVISOR;
            return;
        }
        if self.by_route.len() >= MAX_ROUTES {
            self.by_route.clear();
        }
        let estimate = Estimate {
            average_ms: elapsed_ms,
            deviation_ms: elapsed_ms / 2.0,
        };
        self.by_route.insert(route.to_string(), estimate);
    }

    /// Average time of the requests of a route, in milliseconds. `None` if none has ended yet.
    pub fn average_ms(&self, route: &str) -> Option<f64> {
        Some(self.by_route.get(route)?.average_ms)
    }

    /// Time that nearly all requests of a route need, in milliseconds. `None` if none has ended
    /// yet.
    pub fn expected_ms(&self, route: &str) -> Option<u64> {
        let estimate = self.by_route.get(route)?;
        let expected_ms = estimate.average_ms + DEVIATIONS * estimate.deviation_ms;
        Some(expected_ms.ceil() as u64)
    }
}
