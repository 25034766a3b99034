//! How long the work of one request takes at an endpoint, relative to the typical request of its
//! service.

/// Weight of the newest answer in the estimate.
const ANSWER_WEIGHT: f64 = 0.1;

/// Weight of the first answers, which replace the assumption of a typical speed.
const FIRST_ANSWERS: u32 = 5;

/// Range of one observation. A request that waited for something else than the endpoint must not
/// dominate the estimate.
const OBSERVATION_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Time constant, in milliseconds, with which the estimate returns to a typical speed without
/// answers, so that an endpoint that was slow is tried again. An instance sends an endpoint a
/// request every two seconds, and learns nothing from those that had to wait.
const DECAY_MS: f64 = 60_000.0;

/// Time after which a reported work factor no longer holds, in milliseconds. Other work slows a
/// machine for about this long.
const WORK_FACTOR_LIFETIME_MS: f64 = 600.0;

/// Bounds of a reported work factor. One beyond them is an error of the endpoint.
const WORK_FACTOR_BOUNDS: (f64, f64) = (0.1, 20.0);

/// The relative time per request of one endpoint, learned from its answers. Unlike a slowness that
/// is at least 1, it also tells how much faster than others an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Valid at `updated_ms`.
    relative_time: f64,
    updated_ms: u64,
    answers: u32,
}

impl Default for SpeedEstimate {
    /// A typical speed.
    fn default() -> SpeedEstimate {
        SpeedEstimate {
            relative_time: 1.0,
            updated_ms: 0,
            answers: 0,
        }
    }
}

impl SpeedEstimate {
    /// Takes an answer whose request took `observed` times as long as is typical for the service,
    /// waiting and the endpoint's work factor excluded.
    pub fn learn(&mut self, now_ms: u64, observed: f64) {
        if !observed.is_finite() {
            return;
        }
        let (min, max) = OBSERVATION_BOUNDS;
        let before = self.relative_time(now_ms);
        let weight = match self.answers < FIRST_ANSWERS {
            true => 1.0 / f64::from(self.answers + 2),
            false => ANSWER_WEIGHT,
        };
        self.relative_time = before + (observed.clamp(min, max) - before) * weight;
        self.updated_ms = now_ms;
        self.answers = self.answers.saturating_add(1);
    }

    /// The relative time per request, below 1 for an endpoint that is faster than typical.
    pub fn relative_time(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        1.0 + (self.relative_time - 1.0) * (-age_ms / DECAY_MS).exp()
    }
}

/// How long work currently takes on the machine of an endpoint, relative to the usual time there,
/// by the endpoint's own report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkFactor {
    /// As reported at `reported_ms`. 1 as usual, 2 for work that takes twice as long.
    factor: f64,
    reported_ms: u64,
}

impl WorkFactor {
    /// The factor that an endpoint reports. `None` if it is not a positive number.
    pub fn new(now_ms: u64, factor: f64) -> Option<WorkFactor> {
        let (min, max) = WORK_FACTOR_BOUNDS;
        let is_usable = factor.is_finite() && factor > 0.0;
        is_usable.then(|| WorkFactor {
            factor: factor.clamp(min, max),
            reported_ms: now_ms,
        })
    }

    /// The factor expected now. It returns to 1 linearly within 600 ms of the report.
    pub fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        let weight = (1.0 - age_ms / WORK_FACTOR_LIFETIME_MS).max(0.0);
        1.0 + (self.factor - 1.0) * weight
    }
}
