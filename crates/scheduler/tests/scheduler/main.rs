//! Tests of the reducer and its policies, driven only through events.

mod admission;
mod cache;
mod health;
mod lifecycle;
mod models;
mod order;
mod placement;
mod properties;
mod sharing;
mod simulation;
mod world;
