//! Model of the calls of one program while ownership of the program moves.
//!
//! It checks that a non-repeatable call runs at most once, that a call which was refused as
//! "not run" never runs, and that calls run in order.
//!
//! Process 0 opened the program. All decisions are made by `decide`, `Takeovers` and
//! `Programs` of `jayreel-programs`. The model adds the failures, any of which may occur at
//! any step:
//!
//! - Requests are delayed and reordered.
//! - A process has a wrong view of the liveness of another one, or the registration of a
//!   running process lapses.
//! - A process is paused between its decision on a call and the dispatch, for less or for
//!   more than the dispatch deadline.
//! - The connection of a forwarded call breaks before or after the call was sent.
//! - The connection to the endpoint breaks before, during or after the run.
//! - Process 0 crashes while its requests still run at the endpoint, and another process
//!   starts under its name.
//! - The handover of a planned stop arrives late, twice or never.
//! - A process does not read the takeover records.
//! - The caller gives up on a request and repeats the call.
//!
//! Some failures need no step of their own. A crash without restart, a pause, a partition
//! and a lost message are processes or messages without further steps. A delayed claim has
//! the effect of one that is made later. A delayed response has the effect of a later repeat,
//! and a lost one that of a caller that has given up before.
//!
//! A search is bounded to 2 or 3 processes, one or two calls, and a number of requests. The
//! program has no sub-agents and uses no tokens.

mod caller;
mod model;
mod process;
mod takeover;
mod world;

pub use self::model::{CallsModel, Fault, Property};
pub use self::world::State;
