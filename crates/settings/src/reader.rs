//! Takes checked values out of [`RawSettings`] and collects faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::error::{Fault, SettingsError};
use crate::low::RawSettings;

/// Reads each known key once. What is left at the end is unknown.
pub(crate) struct Reader {
    low: RawSettings,
    faults: Vec<Fault>,
}

impl Reader {
    pub(crate) fn new(low: RawSettings) -> Reader {
        Reader {
            low,
            faults: Vec::new(),
        }
    }

    /// Reports the keys that nobody read, and returns `value` if there was no fault.
    pub(crate) fn finish<T>(mut self, value: T) -> Result<T, SettingsError> {
        let left: BTreeMap<_, _> = std::mem::take(&mut self.low.sections);
        for (section, keys) in left {
            for key in keys.into_keys() {
                self.fault(&section, &key, "is not a known key");
            }
        }
        match self.faults.is_empty() {
            true => Ok(value),
            false => Err(SettingsError {
                faults: self.faults,
            }),
        }
    }

    pub(crate) fn fault(&mut self, section: &str, key: &str, message: impl Into<String>) {
        self.faults.push(Fault {
            file: self.low.file.clone(),
            section: section.to_string(),
            key: key.to_string(),
            message: message.into(),
        });
    }

    fn raw(&mut self, section: &str, key: &str) -> Option<String> {
        let keys = self.low.sections.get_mut(section)?;
        let value = keys.remove(key);
        if keys.is_empty() {
            self.low.sections.remove(section);
        }
        value
    }

    /// Text with a default.
    pub(crate) fn text(&mut self, section: &str, key: &str, default: &str) -> String {
        self.raw(section, key)
            .unwrap_or_else(|| default.to_string())
    }

    /// A name: letters, digits, `-` and `_`, at most 64 of them.
    pub(crate) fn name(&mut self, section: &str, key: &str) -> String {
        let Some(text) = self.raw(section, key) else {
            self.fault(section, key, "is required");
            return String::new();
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if text.is_empty() || text.len() > 64 || !text.chars().all(allowed) {
            self.fault(
                section,
                key,
                "must be 1 to 64 letters, digits, hyphens or underscores",
            );
        }
        text
    }

    /// A whole number within bounds.
    pub(crate) fn number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        min: u64,
        max: u64,
    ) -> u64 {
        let Some(text) = self.raw(section, key) else {
            return default;
        };
        match text.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let message = format!("must be a whole number from {min} to {max}");
                self.fault(section, key, message);
                default
            }
        }
    }

    /// An IP address with a port.
    pub(crate) fn address(
        &mut self,
        section: &str,
        key: &str,
        default: &str,
    ) -> SocketAddr {
        let text = self.text(section, key, default);
        self.parsed(section, key, &text, "must be an IP address with a port")
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// A comma-separated list of IP addresses with ports. May be empty.
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
                self.parsed(section, key, item, "must be IP addresses with ports")
            })
            .collect()
    }

    /// A comma-separated list. May be empty.
    pub(crate) fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key, "");
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items.map(str::to_string).collect()
    }

    /// One of several words.
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
            self.fault(section, key, message);
        }
        text
    }

    fn parsed<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        message: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(section, key, message);
        }
        value
    }
}
