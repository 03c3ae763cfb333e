//! Reads documents from files, with errors as text that names file, line and field.

use hazelgrade_config::{Document, Kind, error_summary};
use hazelgrade_identity::AccessPolicy;
use std::path::Path;

/// Errors of one document that are shown.
pub const MAX_ERRORS_SHOWN: usize = 5;

/// Reads a document of a kind; one of identities must also make a valid policy.
pub fn read(kind: Kind, path: &Path) -> Result<Document, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    let document = Document::read_as(kind, &text, &file);
    let document = document.map_err(|errors| error_summary(&errors, MAX_ERRORS_SHOWN))?;
    if kind == Kind::Identity {
        AccessPolicy::from_document(&document).map_err(|error| format!("{file}: {error}"))?;
    }
    Ok(document)
}
