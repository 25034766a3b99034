//! Converts the texts of [`RawSettings`] to checked values and collects the problems.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::error::{Problem, SettingsError};
use crate::raw::RawSettings;

/// Reads and removes each known key. Keys that remain at the end are unknown.
///
/// A method that finds a problem records it and returns a substitute value, so that the
/// remaining settings are checked too. [`SettingsReader::finish`] discards the values in
/// that case.
pub(crate) struct SettingsReader {
    raw: RawSettings,
    problems: Vec<Problem>,
}

impl SettingsReader {
    pub(crate) fn new(raw: RawSettings) -> SettingsReader {
        SettingsReader {
            raw,
            problems: Vec::new(),
        }
    }

    /// Reports the keys that were not read as unknown. Returns `value` if there was no
    /// problem, and all problems otherwise.
    pub(crate) fn finish<T>(mut self, value: T) -> Result<T, SettingsError> {
        let unread: BTreeMap<_, _> = std::mem::take(&mut self.raw.sections);
        for (section, keys) in unread {
            for key in keys.into_keys() {
                self.add_problem(&section, &key, "is not a known key");
            }
        }
        match self.problems.is_empty() {
            true => Ok(value),
            false => Err(SettingsError {
                problems: self.problems,
            }),
        }
    }

    /// Records a problem with `key` of `section`.
    pub(crate) fn add_problem(
        &mut self,
        section: &str,
        key: &str,
        message: impl Into<String>,
    ) {
        self.problems.push(Problem {
            file: self.raw.file.clone(),
            section: section.to_string(),
            key: key.to_string(),
            message: message.into(),
        });
    }

    /// Reports sections that are not in `known` and have no keys. The keys of others are reported
    /// at the end.
    pub(crate) fn check_sections(&mut self, known: &[&str]) {
        let sections = self.raw.sections.iter();
        let unknown: Vec<String> = sections
            .filter(|(name, keys)| keys.is_empty() && !known.contains(&name.as_str()))
            .map(|(name, _)| name.clone())
            .collect();
        for section in unknown {
            self.add_problem(&section, "", "is not a known section");
        }
    }

    /// Removes the text of a key, and its section once that is empty. `None` if the key
    /// is not set.
    fn take(&mut self, section: &str, key: &str) -> Option<String> {
        let keys = self.raw.sections.get_mut(section)?;
        let value = keys.remove(key);
        if keys.is_empty() {
            self.raw.sections.remove(section);
        }
        value
    }

    /// Reads any text, or `default` if the key is not set.
    pub(crate) fn text(&mut self, section: &str, key: &str, default: &str) -> String {
        self.take(section, key)
            .unwrap_or_else(|| default.to_string())
    }

    /// Reads a required name of 1 to 64 ASCII letters, digits, hyphens and underscores.
    pub(crate) fn name(&mut self, section: &str, key: &str) -> String {
        let Some(text) = self.take(section, key) else {
            self.add_problem(section, key, "is required");
            return String::new();
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if text.is_empty() || text.len() > 64 || !text.chars().all(allowed) {
            self.add_problem(
                section,
                key,
                "must be 1 to 64 letters, digits, hyphens or underscores",
            );
        }
        text
    }

    /// Reads an integer from `min` to `max`, inclusive, or `default` if the key is not
    /// set.
    pub(crate) fn number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        min: u64,
        max: u64,
    ) -> u64 {
        let Some(text) = self.take(section, key) else {
            return default;
        };
        match text.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let message = format!("must be a whole number from {min} to {max}");
                self.add_problem(section, key, message);
                default
            }
        }
    }

    /// Reads a number from `min` to `max`, inclusive, or `default` if the key is not set.
    pub(crate) fn decimal(
        &mut self,
        section: &str,
        key: &str,
        default: f64,
        min: f64,
        max: f64,
    ) -> f64 {
        let Some(text) = self.take(section, key) else {
            return default;
        };
        match text.parse::<f64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let message = format!("must be a number from {min} to {max}");
                self.add_problem(section, key, message);
                default
            }
        }
    }

    /// Reads an `IP:PORT`, or parses `default` if the key is not set.
    pub(crate) fn address(
        &mut self,
        section: &str,
        key: &str,
        default: &str,
    ) -> SocketAddr {
        let text = self.text(section, key, default);
        self.parse(section, key, &text, "must be an IP address with a port")
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Reads a comma-separated list of `IP:PORT`, empty if the key is not set. Empty
    /// items are skipped.
    pub(crate) fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        let text = self.text(section, key, "");
        let items: Vec<&str> = text
            .split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .collect();
        items
            .into_iter()
            .filter_map(|item| {
                self.parse(section, key, item, "must be IP addresses with ports")
            })
            .collect()
    }

    /// Reads a comma-separated list of texts, empty if the key is not set. Empty items
    /// are skipped.
    pub(crate) fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key, "");
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items.map(str::to_string).collect()
    }

    /// Reads one of the words in `choices`, or `default` if the key is not set.
    pub(crate) fn choice(
        &mut self,
        section: &str,
        key: &str,
        default: &str,
        choices: &[&str],
    ) -> String {
        let text = self.text(section, key, default);
        if !choices.contains(&text.as_str()) {
            let message = format!("must be one of {}", choices.join(", "));
            self.add_problem(section, key, message);
        }
        text
    }

    /// Parses `text`, or records a problem with `message`.
    fn parse<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        message: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.add_problem(section, key, message);
        }
        value
    }
}
