//! The share of new programs to admit, controlled by the queueing time.
//!
//! As in CoDel, pressure above the bound has an effect only once it has lasted for some time. The
//! share then falls in proportion to the excess and rises slowly below the bound. A second factor
//! follows the excess at once, so that queues stay bounded until the share has settled.

/// Pressure above which new programs are rejected, in turns of queueing time. Programs of four
/// turns end in time if they take at most 1.2 times their time on idle endpoints plus 200 ms,
/// which is 0.4 turns for each turn of 240 ms. Half of it remains for slow endpoints and for
/// parts of prompts that are read again.
pub(crate) const PRESSURE_BOUND_TURNS: f64 = 0.2;

/// Pressure has an effect once it has been above the bound for this long, in milliseconds: about
/// half a turn, in which a queue that arose by chance is gone.
const MIN_DURATION_MS: u64 = 120;

/// The controlled share is never lower. A few programs must begin, since only their responses
/// tell when the pressure has gone down.
const MIN_SHARE: f64 = 0.1;

/// Rate at which the share falls, per second, with a pressure of twice the bound.
const FALL_PER_S: f64 = 0.8;

/// Rate at which the share rises below the bound, per second.
const RISE_PER_S: f64 = 0.25;

/// The excess over the bound, relative to the bound, at which the second factor reaches its
/// minimum.
const FULL_EXCESS: f64 = 2.0;

/// Excess that is counted at most, relative to the bound.
const MAX_EXCESS: f64 = 3.0;

/// The longest step for which the share falls, in milliseconds. A longer pause between two turns
/// says nothing about the pressure in it.
const MAX_FALL_STEP_MS: u64 = 250;

/// Control of the share of new programs to admit for one service.
#[derive(Clone, Debug)]
pub struct ShareControl {
    /// From [`MIN_SHARE`] to 1.
    share: f64,
    /// The second factor, from [`MIN_SHARE`] to 1.
    damping: f64,
    /// Since when the pressure has been above the bound.
    above_since_ms: Option<u64>,
    updated_ms: u64,
}

impl ShareControl {
    /// Control that admits everything.
    pub fn new(now_ms: u64) -> ShareControl {
        ShareControl {
            share: 1.0,
            damping: 1.0,
            above_since_ms: None,
            updated_ms: now_ms,
        }
    }

    /// Takes the current pressure, in turns of queueing time. `None` if it is not known: the share
    /// then rises as below the bound.
    pub fn update(&mut self, now_ms: u64, queueing_turns: Option<f64>) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        let queueing_turns = queueing_turns.unwrap_or(0.0);
        let excess = (queueing_turns - PRESSURE_BOUND_TURNS) / PRESSURE_BOUND_TURNS;
        if excess <= 0.0 {
            self.above_since_ms = None;
            self.damping = 1.0;
            let rise = RISE_PER_S * elapsed_ms as f64 / 1_000.0;
            self.share = (self.share + rise).min(1.0);
            return;
        }
        let since_ms = *self.above_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) < MIN_DURATION_MS && self.share >= 1.0 {
            return;
        }
        let excess = excess.min(MAX_EXCESS);
        let step_s = elapsed_ms.min(MAX_FALL_STEP_MS) as f64 / 1_000.0;
        self.share = (self.share * (-FALL_PER_S * excess * step_s).exp()).max(MIN_SHARE);
        self.damping = (1.0 - excess / FULL_EXCESS).max(MIN_SHARE);
    }

    /// The share of new programs to admit, from 0 to 1.
    pub fn share(&self) -> f64 {
        (self.share * self.damping).max(MIN_SHARE)
    }

    /// Whether new programs are rejected.
    pub fn is_limiting(&self) -> bool {
        self.share() < 1.0
    }
}
