//! Small models of the protocols, checked by exhaustive breadth-first search.
//!
//! The models call the same transition functions as the product; they add only the
//! network, the store, clocks and failures. Each model can also be built with a seeded
//! fault, which breaks one rule of the protocol. The tests require that the search then
//! finds a violation, which shows that it reaches the states in which the rule matters.
//!
//! There are three search functions, each with its own form of model:
//! [`ownership::explore`], [`quota_search::search`] and [`configuration::explore`].

pub mod configuration;
mod configuration_instance;
mod configuration_operator;
mod configuration_resolve;
pub mod home_weights;
pub mod home_weights_events;
pub mod home_weights_instance;
mod home_weights_loans;
pub mod home_weights_world;
mod intern;
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
