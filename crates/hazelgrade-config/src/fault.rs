//! What is wrong with a document: where, which field, and what was expected.

use std::fmt::{Display, Formatter, Result};

/// One fault. The line and column count from 1; both are 0 where there is no text, as in a difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    pub line: usize,
    pub column: usize,
    /// The path of the field with dots between its parts; empty if the text as a whole is meant.
    pub field: String,
    pub message: String,
}

impl Display for Fault {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        write!(to, "{}", self.file)?;
        if self.line > 0 {
            write!(to, ":{}:{}", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(to, ": field {}", self.field)?;
        }
        write!(to, ": {}", self.message)
    }
}

/// Several faults as lines, the first `most` of them.
pub fn lines(faults: &[Fault], most: usize) -> String {
    let mut lines: Vec<String> = faults.iter().take(most).map(Fault::to_string).collect();
    if faults.len() > most {
        lines.push(format!("and {} more", faults.len() - most));
    }
    lines.join("\n")
}
