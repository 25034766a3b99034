//! Decides whether a turn fits into the budget of its program. The entry instance that handles
//! the turn decides, from the responses of a quorum.
//!
//! It first writes a reservation to a quorum; each response lists the charges that the member
//! holds. If a response shows another turn of the program that has not ended, two instances
//! may be deciding concurrently, and each may have missed the other's reservation on some
//! members. The instance then reads the charges from a quorum once more, now that its own
//! reservation is written. Among concurrently admitted turns, the one whose second read
//! started last sees all others, so the admitted turns together never exceed the budget.

use std::collections::HashMap;

use crate::record::{ChargeView, turn_digest};

/// Which responses a decision is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The responses to the reservation itself.
    Reserved,
    /// A read that started after a quorum had written the reservation.
    Reread,
}

/// What to do with a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The turn fits into the budget and may be sent.
    Admit,
    /// Another turn is pending: read the charges once more and decide again.
    Reread,
    /// The turn could exceed the budget and must not be sent.
    Exhausted,
}

/// Checks one turn against the budget of its program. Merges the charges of the program's
/// other turns from the responses of several members.
#[derive(Debug)]
pub struct BudgetCheck {
    own_digest: u64,
    other_charges: HashMap<u64, ChargeView>,
}

impl BudgetCheck {
    /// Starts a check of the turn with this request identifier, without any charges.
    pub fn new(turn: &str) -> BudgetCheck {
        BudgetCheck {
            own_digest: turn_digest(turn),
            other_charges: HashMap::new(),
        }
    }

    /// Merges the charges that one member reported. The turn's own charge is ignored.
    pub fn add(&mut self, charges: &[ChargeView]) {
        let others = charges
            .iter()
            .filter(|charge| charge.turn != self.own_digest);
        for charge in others {
            let known = self.other_charges.entry(charge.turn).or_insert(*charge);
            *known = merge_charges(*known, *charge);
        }
    }

    /// Tokens charged to the program's other turns: used tokens of those that have ended,
    /// reserved tokens of the rest.
    pub fn other_turns_tokens(&self) -> u64 {
        let charges = self.other_charges.values();
        charges.map(|charge| u64::from(charge.tokens)).sum()
    }

    /// Decides whether the turn, which generates at most `max_turn_tokens`, fits into the
    /// budget beside the turns seen so far.
    pub fn decide(
        &self,
        phase: Phase,
        budget_tokens: u64,
        max_turn_tokens: u32,
    ) -> Decision {
        let total_tokens = self.other_turns_tokens() + u64::from(max_turn_tokens);
        let mut others = self.other_charges.values();
        let has_pending = others.any(|charge| !charge.is_settled);
        match phase {
            _ if total_tokens > budget_tokens => Decision::Exhausted,
            Phase::Reserved if has_pending => Decision::Reread,
            _ => Decision::Admit,
        }
    }
}

/// Merges two reports about one turn: a settled one supersedes an open one, otherwise the
/// larger amount counts.
fn merge_charges(a: ChargeView, b: ChargeView) -> ChargeView {
    match (a.is_settled, b.is_settled) {
        (true, false) => a,
        (false, true) => b,
        _ if a.tokens >= b.tokens => a,
        _ => b,
    }
}
