//! What operators set for hedged requests.

use std::fmt;

/// Largest share of hedged requests, in percent of all sends. Above it hedging takes more capacity
/// than the slowest requests are worth.
pub const MAX_EXTRA_PERCENT: f64 = 10.0;

/// Smallest burst, in requests. Without a whole token in the bucket none could be sent.
pub const MIN_BURST: u32 = 1;

/// Largest burst, in requests.
pub const MAX_BURST: u32 = 100;

/// Burst if the operators set none, in requests.
pub const DEFAULT_BURST: u32 = 4;

/// How many hedged requests may be sent. By default none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgingSettings {
    /// From 0 to [`MAX_EXTRA_PERCENT`].
    max_extra_percent: f64,
    /// From [`MIN_BURST`] to [`MAX_BURST`].
    max_burst: u32,
}

/// A setting is out of range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidHedging {
    /// `max_extra_percent`.
    ExtraPercent,
    /// `max_burst`.
    Burst,
}

impl fmt::Display for InvalidHedging {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidHedging::ExtraPercent => {
                write!(f, "must be a number from 0 to {MAX_EXTRA_PERCENT}")
            }
            InvalidHedging::Burst => {
                write!(f, "must be a whole number from {MIN_BURST} to {MAX_BURST}")
            }
        }
    }
}

impl std::error::Error for InvalidHedging {}

impl Default for HedgingSettings {
    fn default() -> HedgingSettings {
        HedgingSettings {
            max_extra_percent: 0.0,
            max_burst: DEFAULT_BURST,
        }
    }
}

impl HedgingSettings {
    /// Checks the bounds of both values.
    ///
    /// # Errors
    ///
    /// If a value is out of range, which a share that is not a number is too.
    pub fn new(
        max_extra_percent: f64,
        max_burst: u32,
    ) -> Result<HedgingSettings, InvalidHedging> {
        if !(0.0..=MAX_EXTRA_PERCENT).contains(&max_extra_percent) {
            return Err(InvalidHedging::ExtraPercent);
        }
        if !(MIN_BURST..=MAX_BURST).contains(&max_burst) {
            return Err(InvalidHedging::Burst);
        }
        Ok(HedgingSettings {
            max_extra_percent,
            max_burst,
        })
    }

    /// Whether any hedged request may be sent.
    pub fn is_enabled(&self) -> bool {
        self.max_extra_percent > 0.0
    }

    /// Share of hedged requests, in percent of all other sends.
    pub fn max_extra_percent(&self) -> f64 {
        self.max_extra_percent
    }

    /// Number of hedged requests that may be sent at once after a time without any.
    pub fn max_burst(&self) -> u32 {
        self.max_burst
    }
}
