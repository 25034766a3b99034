//! How urgent a turn is for a model engine.
//!
//! Answers the pattern of a burst in which engines have more turns than slots: if each
//! program waits a little at each turn, all of them end late. Engines admit the more urgent
//! first, so turns of programs that have little time left go first, those of programs that
//! are late already go last, and of two alike the one of the more urgent route.

/// Priority of a program whose time is over. Its result is late whatever happens.
const LATE: u8 = 9;

/// Priority of a turn without a program's deadline.
const UNKNOWN: u8 = 5;

/// Time left, in milliseconds, up to which a program has each of the priorities 1, 3, 5 and
/// 7 on a route that is not the most urgent: about one, two, four and eight turns.
const STEPS_MS: [u64; 3] = [600, 1_500, 4_000];

/// Priority for the engine, 0 to 9, where 0 is the most urgent. `rank` is that of the route
/// or the customer, where 0 is the most urgent.
pub fn engine_priority(rank: u8, time_left_ms: Option<u64>) -> u8 {
    let Some(time_left_ms) = time_left_ms else {
        return UNKNOWN;
    };
    if time_left_ms == 0 {
        return LATE;
    }
    let step = STEPS_MS
        .iter()
        .filter(|step_ms| time_left_ms > **step_ms)
        .count();
    let less_urgent = u8::from(rank > 0);
    u8::try_from(2 * step).unwrap_or(LATE) + less_urgent
}
