//! The raw keys of a settings file.

use std::collections::BTreeMap;
use std::path::Path;

use ini::Ini;

use crate::error::{Fault, SettingsError};

/// The text of each key, by section. Nothing is checked beyond the INI syntax.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawSettings {
    /// The file as given by the user, for messages.
    pub file: String,
    /// Section name to key to text. Keys before the first section have an empty section.
    pub sections: BTreeMap<String, BTreeMap<String, String>>,
}

impl RawSettings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// One fault if the file cannot be read or is not an INI file.
    pub fn read(path: &Path) -> Result<RawSettings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| whole_file(&file, format!("cannot be read: {error}")))?;
        RawSettings::parse(&file, &text)
    }

    /// Parses text. `file` names its source in messages.
    ///
    /// # Errors
    ///
    /// One fault if the text is not in INI form or names a key twice.
    pub fn parse(file: &str, text: &str) -> Result<RawSettings, SettingsError> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|error| whole_file(file, format!("is not in INI form: {error}")))?;
        let mut low = RawSettings {
            file: file.to_string(),
            sections: BTreeMap::new(),
        };
        for (section, properties) in ini.iter() {
            low.add_section(section.unwrap_or_default(), properties.iter())?;
        }
        Ok(low)
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
                let fault = Fault {
                    file: self.file.clone(),
                    section: section.to_string(),
                    key: key.to_string(),
                    message: "is set twice".to_string(),
                };
                return Err(SettingsError {
                    faults: vec![fault],
                });
            }
        }
        Ok(())
    }
}

fn whole_file(file: &str, message: String) -> SettingsError {
    let fault = Fault {
        file: file.to_string(),
        section: String::new(),
        key: String::new(),
        message,
    };
    SettingsError {
        faults: vec![fault],
    }
}
