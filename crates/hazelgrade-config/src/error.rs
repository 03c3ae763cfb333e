//! The error of a document: which file and line, which field, and what was expected.

use std::fmt::{Display, Formatter};

/// One error in a document.
///
/// Shown as `FILE:LINE:COLUMN: field FIELD: MESSAGE`, without the parts that do not apply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigError {
    /// The name of the file, as the caller passed it.
    pub file: String,
    /// Line, from 1; 0 where there is no text, as for a document made from a difference.
    pub line: usize,
    /// Column in bytes, from 1; 0 where there is no text.
    pub column: usize,
    /// Path of the field with dots between its segments; empty if the error concerns the whole text.
    pub field: String,
    /// What is wrong, or what was expected.
    pub message: String,
}

impl Display for ConfigError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.file)?;
        if self.line > 0 {
            write!(formatter, ":{}:{}", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(formatter, ": field {}", self.field)?;
        }
        write!(formatter, ": {}", self.message)
    }
}

/// The first `max` errors, one per line, and a last line with the number of those left out.
pub fn error_summary(errors: &[ConfigError], max: usize) -> String {
    let mut lines: Vec<String> = errors.iter().take(max).map(ConfigError::to_string).collect();
    if errors.len() > max {
        lines.push(format!("and {} more", errors.len() - max));
    }
    lines.join("\n")
}
