//! The documents that a group publishes.

use hazelgrade_config::{Document, Version};
use hazelgrade_fakes::documents::{BOOK, DocumentError, JobClassEntry, READ, document};

/// A document's digest as the control service shows it in its status.
pub(super) fn shown_digest(document: &Document) -> String {
    let version = Version { number: 0, digest: document.digest() }.to_string();
    version.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// The document with this number, which differs from all others by a job class of its own. With a harmful one the job
/// class `read` has limits that no job keeps.
pub(super) fn numbered_document(number: u64, harmful: bool) -> Result<Document, DocumentError> {
    let own_name = own_job_class(number);
    let own: JobClassEntry = (&own_name, 1000, 3000, 1);
    let read = if harmful { ("read", 2, 10, 1) } else { READ };
    document(&[read, BOOK, own], 1, "")
}

/// The name of the job class that only the document with this number has.
pub(super) fn own_job_class(number: u64) -> String {
    format!("v{number}")
}
