//! Options of an entry instance on the users' platform, which the platform's own settings file does
//! not have.

use std::path::Path;

use jayreel_hedging::{
    DEFAULT_BURST, HedgingSettings, MAX_BURST, MAX_EXTRA_PERCENT, MIN_BURST,
};

use crate::error::SettingsError;
use crate::raw::RawSettings;
use crate::reader::SettingsReader;

/// Upper bound of the queueing time that operators may set, in turns: three waiting turns for each
/// slot fill the queue of an endpoint.
const MAX_QUEUEING_TURNS: f64 = 3.0;

/// All options of an entry instance. By default every feature that they enable is off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EdgeOptions {
    /// Section `hedging`: second sends of slow requests.
    pub hedging: HedgingSettings,
    /// Section `admission`: expected queueing time at endpoints, in turns, above which new programs
    /// are rejected where capacity is scarce. `None` to admit all.
    pub max_queueing_turns: Option<f64>,
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
        reader.check_sections(&["", "admission", "hedging"]);
        let options = EdgeOptions {
            hedging: hedging(&mut reader),
            max_queueing_turns: max_queueing_turns(&mut reader),
        };
        reader.finish(options)
    }
}

fn max_queueing_turns(reader: &mut SettingsReader) -> Option<f64> {
    let key = "max_queueing_turns";
    let turns = reader.decimal("admission", key, 0.0, 0.0, MAX_QUEUEING_TURNS);
    (turns > 0.0).then_some(turns)
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
