//! Checks of a call against its program that change nothing.

use jayreel_model::{Incarnation, Ran, Refusal, RefusalReason};

use crate::admission::CallParams;
use crate::idempotency::{KeyDigest, KeyState};
use crate::program::Program;

/// A non-repeatable call runs only where all calls of the epoch that it names are known.
/// Without the header it names the incarnation that opened the program.
pub(crate) fn check_epoch(
    program: &Program,
    facts: &CallParams,
    own: &Incarnation,
) -> Result<(), Refusal> {
    let epoch = facts.epoch.as_ref().unwrap_or(&program.token.owner);
    if facts.repeatable || program.known_epochs.contains(epoch) {
        return Ok(());
    }
    Err(Refusal {
        reason: RefusalReason::OwnerUnavailable,
        ran: Ran::Unknown,
        retry_after_ms: None,
        message: format!(
            "the call may have run at {epoch}; repeat it with epoch {own} if it has not"
        ),
    })
}

pub(crate) fn check_key(
    program: &Program,
    facts: &CallParams,
) -> Result<Option<KeyDigest>, Refusal> {
    let Some(text) = &facts.idempotency_key else {
        return Ok(None);
    };
    let key = KeyDigest::of(&program.token.customer, text)?;
    match program.keys.get(&key) {
        None => Ok(Some(key)),
        // The key stays unknown for non-repeatable calls.
        Some(KeyState::Unknown) if facts.repeatable => Ok(None),
        Some(state) => Err(state.refusal()),
    }
}

pub(crate) fn check_turn(program: &Program, facts: &CallParams) -> Result<(), Refusal> {
    let expected = program.expected_turn().or(facts.turn).unwrap_or(0);
    if let Some(turn) = facts.turn.filter(|turn| *turn != expected) {
        return Err(turn_refusal(turn, expected));
    }
    if expected >= program.max_turns {
        return Err(Refusal::not_run(
            RefusalReason::BudgetExhausted,
            format!("the program may have {} turns", program.max_turns),
        ));
    }
    Ok(())
}

pub(crate) fn turn_refusal(turn: u32, expected: u32) -> Refusal {
    Refusal::not_run(
        RefusalReason::WrongTurn,
        format!("the call names turn {turn}, the next turn is {expected}"),
    )
}
