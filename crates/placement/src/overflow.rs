//! When requests leave the own availability zone.

/// Share of the cost of crossing at which requests return to the own zone. Below 1, so that zones
/// with nearly equal times don't exchange requests back and forth.
const RETURN_SHARE: f64 = 0.6;

/// Whether the requests of one service currently go to other zones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Overflow {
    is_active: bool,
}

impl Overflow {
    /// Decides anew, from the best expected time in the own zone and in the others. A zone without
    /// usable endpoints has no time.
    ///
    /// Overflow begins when the own zone is slower by more than `cost`, and ends when it is slower
    /// by less than 0.6 of that.
    pub fn update(&mut self, own: Option<f64>, others: Option<f64>, cost: f64) {
        self.is_active = match (own, others) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(own), Some(others)) => own - others > self.cost(cost),
        };
    }

    /// Whether requests currently go to other zones.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// The cost of crossing that currently applies.
    pub fn cost(&self, cost: f64) -> f64 {
        match self.is_active {
            true => cost * RETURN_SHARE,
            false => cost,
        }
    }
}
