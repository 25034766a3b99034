//! The configuration in the store: how instances follow it and how operators change it.
//!
//! Each customer, key, endpoint, profile and route is one record under [`CONFIG_PREFIX`].
//! Each instance holds a copy of all of them, whose revision never decreases
//! ([`ConfigurationFeed`]). Operators change single records by compare-and-swap
//! ([`ConfigurationEditor`]).

pub mod change;
pub mod editor;
mod entities;
pub mod feed;
mod follow;
pub mod layout;
pub mod state;
pub mod validate;

pub use crate::configuration::change::{EditId, EditOutcome};
pub use crate::configuration::editor::{
    Accepted, ConfigurationEditor, EditError, EditorSettings,
};
pub use crate::configuration::entities::GivenKey;
pub use crate::configuration::feed::{ConfigurationFeed, FeedSettings};
pub use crate::configuration::layout::{CONFIG_PREFIX, ConfigRecord, DELETED_KEY};
pub use crate::configuration::state::FeedState;
pub use crate::configuration::validate::Editable;
