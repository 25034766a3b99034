//! Whether a turn fits into the budget of its program, decided by the instance that sends
//! it from the answers of a quorum.
//!
//! A reservation is first written to a quorum, whose answers list the charges that each
//! member holds. If the answers show a turn of the same program that has not ended, two
//! instances may be deciding at once, and neither may have seen the other everywhere. The
//! charges are then read from a quorum once more, after the own reservation is written. Of
//! the admitted turns the one whose second reading began last sees all others, so admitted
//! turns never exceed the budget together.

use std::collections::HashMap;

use crate::fact::{ChargeView, turn_digest};

/// Which reading of the charges a decision rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The answers to the reservation itself.
    Reserved,
    /// A reading that began after a quorum had written the reservation.
    Reread,
}

/// What to do with a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be sent.
    Admit,
    /// Charges must be read once more.
    Reread,
    /// The budget does not hold it. It is not sent.
    Exhausted,
}

/// The charges of other turns of a program, merged from several members.
#[derive(Debug)]
pub struct BudgetCheck {
    own: u64,
    charges: HashMap<u64, ChargeView>,
}

impl BudgetCheck {
    /// A tally for the turn that is being decided.
    pub fn new(turn: &str) -> BudgetCheck {
        BudgetCheck {
            own: turn_digest(turn),
            charges: HashMap::new(),
        }
    }

    /// Adds the answer of one member.
    pub fn add(&mut self, charges: &[ChargeView]) {
        let others = charges.iter().filter(|charge| charge.turn != self.own);
        for charge in others {
            let known = self.charges.entry(charge.turn).or_insert(*charge);
            *known = merge(*known, *charge);
        }
    }

    /// Tokens of all other turns: used by those that have ended, reserved by the rest.
    pub fn others_tokens(&self) -> u64 {
        let charges = self.charges.values();
        charges.map(|charge| u64::from(charge.tokens)).sum()
    }

    /// Decides the turn.
    pub fn decide(
        &self,
        phase: Phase,
        budget_tokens: u64,
        max_turn_tokens: u32,
    ) -> Decision {
        let total_tokens = self.others_tokens() + u64::from(max_turn_tokens);
        let has_pending = self.charges.values().any(|charge| !charge.is_settled);
        match phase {
            _ if total_tokens > budget_tokens => Decision::Exhausted,
            Phase::Reserved if has_pending => Decision::Reread,
            _ => Decision::Admit,
        }
    }
}

fn merge(a: ChargeView, b: ChargeView) -> ChargeView {
    match (a.is_settled, b.is_settled) {
        (true, false) => a,
        (false, true) => b,
        _ if a.tokens >= b.tokens => a,
        _ => b,
    }
}
