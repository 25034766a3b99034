//! Integration tests of the `jayreel` binary.
//!
//! Each test starts one or more processes of the binary and simulates the store, the engines
//! and the plain services. Codes such as `G7` in comments name the requirement that a test
//! covers.

mod util;

mod faults;
mod feature;
mod keys;
mod models;
mod operators;
mod outage;
mod owners;
mod programs;
mod quota;
mod stop;
