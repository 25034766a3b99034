//! Limits each customer's request rate and burst across the whole fleet.
//!
//! A customer's contract is its rate and burst. Each instance holds a share of every
//! contract: its home weight, which is stored in the home weight record, less what it has
//! lent to other instances, plus what it has borrowed from them. All shares are weights
//! in parts per million of the contract, so when a contract changes, loans are rescaled
//! together with home weights.
//!
//! At any time the weights in use by all instances sum to at most 1,000,000 for each
//! customer. Rate, capacity and tokens of the instances therefore sum to at most the
//! contract, and in any window of length T at most burst + rate × T requests are sent.
//!
//! This crate does no I/O and reads no clock. Methods that depend on the time take
//! `now_ms`, in milliseconds of the instance's monotonic clock.

mod bucket;
mod customer_quota;
mod demand;
mod home;
pub mod home_weights;
mod lending;
mod loan;
mod quota;
mod settings;

pub use crate::loan::{LoanGrant, LoanId, LoanRequest, LoanReturn};
pub use crate::quota::{Quota, QuotaKey, Share, Take};
pub use crate::settings::QuotaSettings;

/// The whole of a contract, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;
