//! Reads documents from files. Errors are returned as text that names the file, the line and the field.

use super::files;
use hazelgrade_config::{Document, Kind, error_summary};
use hazelgrade_identity::AccessPolicy;
use std::path::Path;

/// The number of errors of one document that an error text lists.
pub const MAX_ERRORS_SHOWN: usize = 5;

/// Reads a document of the given kind. An identity document must also form a valid access policy.
pub fn read(kind: Kind, path: &Path) -> Result<Document, String> {
    let file = path.display().to_string();
    let text = files::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    let document = Document::read_as(kind, &text, &file);
    let document = document.map_err(|errors| error_summary(&errors, MAX_ERRORS_SHOWN))?;
    if kind == Kind::Identity {
        AccessPolicy::from_document(&document).map_err(|error| format!("{file}: {error}"))?;
    }
    Ok(document)
}
