//! Admission control of new programs while the endpoints of a service are under pressure.
//!
//! The load addressed: for some seconds about twice the usual number of programs begin, or one
//! customer sends several times its usual rate. Turns then wait at the endpoints beyond what
//! their programs can afford, and programs fail after most of their turns have run. A program
//! that is rejected at its first turn costs its caller one attempt, one that fails later wastes
//! all turns before. So programs that have begun are always admitted, and new ones only within
//! the capacity that those leave.
//!
//! Each entry instance decides alone, from the loads that endpoints report in their responses.
//! The state is lost with the process; an instance without reports admits everything.
//!
//! - [`Pressure`]: expected queueing time at the endpoints of a service.
//! - [`ShareControl`]: the share of new programs to admit, a function of the pressure over time.
//! - [`WorkCounters`]: recent work by customer and kind, and who is rejected first.
//! - [`SeenPrograms`]: the programs that this instance has seen.
//! - [`ProgramAdmission`]: the decision for one turn.
//!
//! Nothing here does I/O, reads a clock or draws random numbers: all of it is passed in.

mod controller;
mod pressure;
mod programs;
mod share;
mod work;

pub use controller::{
    Decision, ProgramAdmission, Rejection, RejectionReason, ServiceState, Turn,
};
pub use pressure::{EndpointLoad, Pressure};
pub use programs::{ProgramKey, ProgramState, SeenPrograms};
pub use share::{DEFAULT_BOUND_TURNS, ShareControl};
pub use work::{Claimant, Shares, WorkCounters};
