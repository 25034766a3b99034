//! The share of new programs to admit, controlled by the queueing time.
//!
//! As in CoDel, pressure above the bound has an effect only once it has lasted for some time. The
//! share then falls at a rate in proportion to the excess, and rises steadily below the bound.

/// Pressure above which new programs are rejected, in turns of queueing time. Programs of four
/// turns end in time if they take at most 1.2 times their time on idle endpoints plus 200 ms,
/// which is 0.4 turns of queueing for each turn of 240 ms. Half of it remains for slow endpoints
/// and for parts of prompts that are read again. Loads differ between
/// endpoints, so turns wait longer than the average load tells; the bound is therefore lower.
pub const DEFAULT_BOUND_TURNS: f64 = 0.15;

/// Pressure has an effect once it has been above the bound for this long, in milliseconds: a queue
/// that arose by chance is gone after a turn. With 250 ms, 13 of 8,685 programs were rejected at 85 %
/// of the capacity (model of `tests/model`, a single zone), with 350 ms 3.
const MIN_DURATION_MS: u64 = 350;

/// Time constant with which the pressure is smoothed, in milliseconds. Each single report moves
/// the pressure, and a share that follows every one of them is at one of its bounds most of the
/// time, where neither customers nor kinds make a difference.
const SMOOTHING_MS: f64 = 100.0;

/// The share is never lower. A few programs must begin, since only responses tell when the
/// pressure has gone down.
const MIN_SHARE: f64 = 0.1;

/// Rate at which the share falls, per second and turn of queueing time above the bound. With an
/// excess of 0.3 turns, as in a burst of twice the usual load, the share halves in 0.17 s.
const FALL_PER_S_TURN: f64 = 14.0;

/// Rate at which the share rises below the bound, per second: from its lower bound to 1 in less
/// time than the admitted programs take to end.
const RISE_PER_S: f64 = 1.0;

/// Excess over the bound that is counted at most, in turns.
const MAX_EXCESS_TURNS: f64 = 0.6;

/// The longest step for which the share falls, in milliseconds. A longer pause between two turns
/// says nothing about the pressure in it.
const MAX_FALL_STEP_MS: u64 = 250;

/// Control of the share of new programs to admit for one service.
#[derive(Clone, Debug)]
pub struct ShareControl {
    /// Pressure above which new programs are rejected.
    bound_turns: f64,
    /// From [`MIN_SHARE`] to 1.
    share: f64,
    /// Smoothed pressure.
    queueing_turns: f64,
    /// Since when the pressure has been above the bound.
    above_since_ms: Option<u64>,
    updated_ms: u64,
}

impl ShareControl {
    /// Control that admits everything, with the default bound.
    pub fn new(now_ms: u64) -> ShareControl {
        ShareControl::with_bound(now_ms, DEFAULT_BOUND_TURNS)
    }

    /// Control that admits everything until the pressure exceeds `bound_turns`.
    pub fn with_bound(now_ms: u64, bound_turns: f64) -> ShareControl {
        ShareControl {
            bound_turns,
            share: 1.0,
            queueing_turns: 0.0,
            above_since_ms: None,
            updated_ms: now_ms,
        }
    }

    /// Takes the current pressure, in turns of queueing time. `None` if it is not known: it then
    /// counts as 0.
    pub fn update(&mut self, now_ms: u64, queueing_turns: Option<f64>) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        let weight = 1.0 - (-(elapsed_ms as f64) / SMOOTHING_MS).exp();
        self.queueing_turns +=
            (queueing_turns.unwrap_or(0.0) - self.queueing_turns) * weight;
        let excess_turns = self.queueing_turns - self.bound_turns;
        if excess_turns <= 0.0 {
            self.above_since_ms = None;
            let rise = RISE_PER_S * elapsed_ms as f64 / 1_000.0;
            self.share = (self.share + rise).min(1.0);
            return;
        }
        let since_ms = *self.above_since_ms.get_or_insert(now_ms);
        if !self.is_limiting() && now_ms.saturating_sub(since_ms) < MIN_DURATION_MS {
            return;
        }
        let step_s = elapsed_ms.min(MAX_FALL_STEP_MS) as f64 / 1_000.0;
        let fall = FALL_PER_S_TURN * excess_turns.min(MAX_EXCESS_TURNS) * step_s;
        self.share = (self.share * (-fall).exp()).max(MIN_SHARE);
    }

    /// The share of new programs to admit, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether new programs are rejected.
    pub fn is_limiting(&self) -> bool {
        self.share < 1.0
    }
}
