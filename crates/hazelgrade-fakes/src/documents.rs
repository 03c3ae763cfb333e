//! Documents for tests and the demo.

use hazelgrade_config::{ConfigError, Document, error_summary};

/// A job class by its name, latency objective in ms, deadline in ms, and priority weight.
pub type JobClassEntry<'a> = (&'a str, u32, u32, u32);

/// The job class `read`.
pub const READ: JobClassEntry = ("read", 1000, 3000, 1);
/// The job class `book`, with twice the priority weight.
pub const BOOK: JobClassEntry = ("book", 1000, 3000, 2);

/// Errors that are shown of a document.
const SHOWN_ERRORS: usize = 5;

/// A document that cannot be read. Its text names the first five errors and counts the others.
#[derive(Debug, thiserror::Error)]
#[error("{}", error_summary(.errors, SHOWN_ERRORS))]
pub struct DocumentError {
    /// What is wrong, each with file, line and field.
    pub errors: Vec<ConfigError>,
}

/// A document in TOML with these job classes, so many tenants, and further lines at its end.
pub fn text(job_classes: &[JobClassEntry], tenants: usize, rest: &str) -> String {
    let mut text = String::new();
    for (name, latency_objective, deadline, priority_weight) in job_classes {
        text.push_str(&format!(
            "[use_case.{name}]\ngoal_ms = {latency_objective}\ncut_off_ms = {deadline}\nearnings = {priority_weight}\npart_without_call = 0.5\n\n"
        ));
    }
    for tenant in 0..tenants {
        text.push_str(&format!("[customer.c{tenant}]\nquota_per_s = {}\n\n", 100 + tenant));
    }
    text.push_str(rest);
    text
}

/// The same, read.
///
/// # Errors
///
/// [`DocumentError`] with every error of the document.
pub fn document(
    job_classes: &[JobClassEntry],
    tenants: usize,
    rest: &str,
) -> Result<Document, DocumentError> {
    Document::read(&text(job_classes, tenants, rest), "a fake document")
        .map_err(|errors| DocumentError { errors })
}
