//! Options of an entry instance on the users' platform, which the platform's own settings file does
//! not have.

use std::path::Path;

use jayreel_hedging::{
    DEFAULT_BURST, HedgingSettings, MAX_BURST, MAX_EXTRA_PERCENT, MIN_BURST,
};

use crate::error::SettingsError;
use crate::raw::RawSettings;
use crate::reader::SettingsReader;

/// All options of an entry instance. By default every feature that they enable is off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EdgeOptions {
    /// Section `hedging`: second sends of slow requests.
    pub hedging: HedgingSettings,
}

impl EdgeOptions {
    /// Reads and checks the options file at `path`.
    ///
    /// # Errors
    ///
    /// All problems of the file. If it is not in INI form or sets a key twice, that only.
    pub fn read(path: &Path) -> Result<EdgeOptions, SettingsError> {
        EdgeOptions::from_raw(RawSettings::read(path)?)
    }

    /// Checks the values of raw settings and fills in defaults.
    ///
    /// # Errors
    ///
    /// All problems, including unknown sections and keys.
    pub fn from_raw(raw: RawSettings) -> Result<EdgeOptions, SettingsError> {
        let mut reader = SettingsReader::new(raw);
        reader.check_sections(&["", "hedging"]);
        let options = EdgeOptions {
            hedging: hedging(&mut reader),
        };
        reader.finish(options)
    }
}

fn hedging(reader: &mut SettingsReader) -> HedgingSettings {
    let section = "hedging";
    let max_extra_percent =
        reader.decimal(section, "max_extra_percent", 0.0, 0.0, MAX_EXTRA_PERCENT);
    let max_burst = reader.number(
        section,
        "max_burst",
        u64::from(DEFAULT_BURST),
        u64::from(MIN_BURST),
        u64::from(MAX_BURST),
    );
    let max_burst = u32::try_from(max_burst).unwrap_or(MAX_BURST);
    // The reader has reported values out of range.
    HedgingSettings::new(max_extra_percent, max_burst).unwrap_or_default()
}
