//! Settings of an instance, from an INI file.
//!
//! Reading happens in two levels. [`RawSettings`] holds the raw text of each key.
//! [`Settings`] holds values that are checked and ready to use; nothing reads a raw key
//! after it is built. All faults of a file are reported together, each with file, section
//! and key.

mod error;
mod high;
mod low;
mod reader;
mod sections;

pub use crate::error::{Fault, SettingsError};
pub use crate::high::{
    AdminSettings, CallerSettings, EndpointSettings, InstanceSettings, LogSettings,
    PeerSettings, PlatformSettings, PolicySettings, QuotaSettings, Settings,
};
pub use crate::low::RawSettings;
