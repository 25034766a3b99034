//! Formatting of values in log lines.

use std::fmt;

/// Formats an optional value for a log line; an absent one as `none`.
pub(crate) struct OrNone<T>(pub(crate) Option<T>);

impl<T: fmt::Display> fmt::Display for OrNone<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => write!(f, "{value}"),
            None => f.write_str("none"),
        }
    }
}
