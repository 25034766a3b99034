//! Problems in a settings file, in the form in which they are printed for the operator.

use std::fmt;

/// One problem in a settings file, such as a missing key or a value out of range.
///
/// Its `Display` form is one line: `FILE: [SECTION] KEY: MESSAGE`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The path of the file as the user gave it.
    pub file: String,
    /// The section. Empty for a problem of the whole file.
    pub section: String,
    /// The key. Empty for a problem of the whole section or file.
    pub key: String,
    /// What is wrong or what is expected, as the rest of a sentence that begins with the
    /// key or the file.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// All problems of a settings file. The `Display` form has one line for each.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Never empty, in the order in which the checks found them.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
