//! The text of each key of a settings file, before any check of its value.

use std::collections::BTreeMap;
use std::path::Path;

use ini::Ini;

use crate::error::{Problem, SettingsError};

/// The text of each key, by section. Only the INI syntax and the uniqueness of keys are
/// checked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawSettings {
    /// The path of the file as the user gave it, for messages.
    pub file: String,
    /// Maps section name and key to the text of the value. Keys before the first section
    /// are in a section with an empty name.
    pub sections: BTreeMap<String, BTreeMap<String, String>>,
}

impl RawSettings {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// One problem if the file cannot be read, is not in INI form or sets a key twice.
    pub fn read(path: &Path) -> Result<RawSettings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| file_error(&file, format!("cannot be read: {error}")))?;
        RawSettings::parse(&file, &text)
    }

    /// Parses the text of a settings file. `file` names its source in messages.
    ///
    /// # Errors
    ///
    /// One problem if the text is not in INI form or sets a key twice.
    pub fn parse(file: &str, text: &str) -> Result<RawSettings, SettingsError> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|error| file_error(file, format!("is not in INI form: {error}")))?;
        let mut raw = RawSettings {
            file: file.to_string(),
            sections: BTreeMap::new(),
        };
        for (section, properties) in ini.iter() {
            raw.add_section(section.unwrap_or_default(), properties.iter())?;
        }
        Ok(raw)
    }

    fn add_section<'a>(
        &mut self,
        section: &str,
        properties: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<(), SettingsError> {
        let keys = self.sections.entry(section.to_string()).or_default();
        for (key, value) in properties {
            let previous = keys.insert(key.to_string(), value.to_string());
            if previous.is_some() {
                let problem = Problem {
                    file: self.file.clone(),
                    section: section.to_string(),
                    key: key.to_string(),
                    message: "is set twice".to_string(),
                };
                return Err(SettingsError {
                    problems: vec![problem],
                });
            }
        }
        Ok(())
    }
}

/// An error with one problem that concerns the whole file.
fn file_error(file: &str, message: String) -> SettingsError {
    let problem = Problem {
        file: file.to_string(),
        section: String::new(),
        key: String::new(),
        message,
    };
    SettingsError {
        problems: vec![problem],
    }
}
