//! Rate and burst of each customer across the fleet.
//!
//! Each instance holds a part of every customer's contract: its home weight, less what it
//! has lent, plus what it has borrowed. All parts are weights in parts per million of the
//! contract, so a changed contract rescales loans together with home shares. At any time
//! the weights in use by all instances sum to at most 1,000,000 for each customer. Rate,
//! capacity and tokens of the instances therefore sum to at most the contract, and in any
//! window of length T at most burst + rate × T requests are sent.
//!
//! This crate does no I/O and reads no clock: each transition is passed `now_ms`, in
//! milliseconds of the instance's monotonic clock.

mod bucket;
mod demand;
mod home;
pub mod home_weights;
mod ledger;
mod lending;
mod loan;
mod quota;
mod settings;

pub use crate::loan::{LoanGrant, LoanId, LoanRequest, LoanReturn};
pub use crate::quota::{Quota, QuotaKey, Share, Take};
pub use crate::settings::QuotaSettings;

/// The whole of a contract, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;
