//! Settings of an instance, read from an INI file at its start.
//!
//! Reading has two steps. [`RawSettings`] holds the text of each key as the file has it.
//! [`Settings`] holds checked values with defaults filled in; after it is built, nothing
//! reads a raw key. All problems of a file are reported together, each with file, section
//! and key, so that an operator can fix them in one pass.
//!
//! [`EdgeOptions`] is the smaller file of an entry instance on the users' platform.

mod edge_options;
mod error;
mod raw;
mod reader;
mod sections;
mod settings;

pub use crate::edge_options::EdgeOptions;
pub use crate::error::{Problem, SettingsError};
pub use crate::raw::RawSettings;
pub use crate::settings::{
    AdminSettings, CallerSettings, EndpointSettings, InstanceSettings, LogSettings,
    PeerSettings, PlatformSettings, PolicySettings, QuotaSettings, Settings,
};
