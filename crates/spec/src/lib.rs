//! Models of the protocols, searched exhaustively in breadth-first order.
//!
//! The models drive the transition functions of the product's crates. Each model can be
//! built with a fault, for which its search must find a shortest trace; this shows that
//! the search reaches the situations in which the guarded rule matters.

pub mod configuration;
mod configuration_instance;
mod configuration_operator;
mod configuration_resolve;
pub mod home_weights;
pub mod home_weights_events;
pub mod home_weights_instance;
mod home_weights_loans;
pub mod home_weights_world;
pub mod ledger;
pub mod ownership;
pub mod ownership_budget;
pub mod ownership_calls;
pub mod ownership_keyed;
pub mod ownership_keyed_handover;
pub mod quota_loans;
pub mod quota_loans_events;
pub mod quota_loans_instance;
pub mod quota_loans_world;
pub mod quota_search;
mod shared;
