//! Tests of the scheduler and its policies, mostly through events and effects.
//!
//! Labels such as G10 name the guarantees in `docs/GUARANTEES.md`.

mod admission;
mod cache;
mod harness;
mod health;
mod lifecycle;
mod models;
mod order;
mod placement;
mod properties;
mod sharing;
mod simulation;
