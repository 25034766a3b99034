//! Read-only checks of a call against the state of its program.

use jayreel_model::{Incarnation, Ran, Refusal, RefusalReason};

use crate::admission::CallParams;
use crate::idempotency::{KeyDigest, KeyState};
use crate::program::Program;

/// Refuses a non-repeatable call unless all calls of the epoch (incarnation) that it
/// names are known here. A call without the `Jayreel-Epoch` header names the incarnation
/// that opened the program.
pub(crate) fn check_epoch(
    program: &Program,
    params: &CallParams,
    own: &Incarnation,
) -> Result<(), Refusal> {
    let epoch = params.epoch.as_ref().unwrap_or(&program.token.owner);
    if params.repeatable || program.known_epochs.contains(epoch) {
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

/// Returns the digest under which the call's idempotency key is to be stored, or a
/// refusal if the key was used before.
pub(crate) fn check_key(
    program: &Program,
    params: &CallParams,
) -> Result<Option<KeyDigest>, Refusal> {
    let Some(text) = &params.idempotency_key else {
        return Ok(None);
    };
    let key = KeyDigest::of(&program.token.customer, text)?;
    match program.keys.get(&key) {
        None => Ok(Some(key)),
        // A repeatable call may run again, but does not replace the stored outcome: a
        // non-repeatable call with this key must still be refused.
        Some(KeyState::Unknown) if params.repeatable => Ok(None),
        Some(state) => Err(state.refusal()),
    }
}

/// Refuses a call that names another turn than the next free one, or exceeds the turn
/// limit.
pub(crate) fn check_turn(program: &Program, params: &CallParams) -> Result<(), Refusal> {
    let expected = program.expected_turn().or(params.turn).unwrap_or(0);
    if let Some(turn) = params.turn.filter(|turn| *turn != expected) {
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
