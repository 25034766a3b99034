//! Priority of a turn at a model engine, derived from its program's deadline.
//!
//! In a burst, engines have more turns than slots. If every program waited a little at each
//! turn, all of them would miss their deadlines. Engines admit turns by priority, so programs
//! with little time left go first, and programs that are already late go last. Among programs
//! with similar time left, the one on the more urgent route goes first.

/// Priority of a turn whose program has missed its deadline. Its result is late in any case.
const LATE_PRIORITY: u8 = 9;

/// Priority of a turn without a program or with a program that has no deadline.
const NO_DEADLINE_PRIORITY: u8 = 5;

/// Thresholds of the time left, in milliseconds, that separate the four priority levels: 1, 3, 5
/// and 7 on a route of lower urgency, one less on the most urgent one. The levels stand for
/// about one, two, four and eight turns that are left.
const LEVEL_THRESHOLDS_MS: [u64; 3] = [600, 1_500, 4_000];

/// Priority that a turn gets at the engine, from 0 (most urgent) to 9. `rank` is the configured
/// priority of the customer or route, of which 0 is the most urgent and all others are treated
/// alike. `time_left_ms` is the time until the program's deadline, if it has one.
pub fn engine_priority(rank: u8, time_left_ms: Option<u64>) -> u8 {
    let Some(time_left_ms) = time_left_ms else {
        return NO_DEADLINE_PRIORITY;
    };
    if time_left_ms == 0 {
        return LATE_PRIORITY;
    }
    let level = LEVEL_THRESHOLDS_MS
        .iter()
        .filter(|threshold_ms| time_left_ms > **threshold_ms)
        .count();
    let less_urgent = u8::from(rank > 0);
    u8::try_from(2 * level).unwrap_or(LATE_PRIORITY) + less_urgent
}
