//! Reads the operator's configuration file.

use crate::program::files;
use hazelgrade_config::{OperatorConfig, error_summary};
use std::path::Path;

/// Errors of a file that are listed in the error text.
const MAX_ERRORS_SHOWN: usize = 20;

/// Reads the operator's configuration file.
///
/// # Errors
/// Returns a text that names the file, line and field of each error, or the cause if the file cannot be read.
pub fn read(path: &Path) -> Result<OperatorConfig, String> {
    let file = path.display().to_string();
    let text = files::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    OperatorConfig::read(&text, &file).map_err(|errors| error_summary(&errors, MAX_ERRORS_SHOWN))
}
