//! The maximum lengths of lines, names and reasons.

/// The maximum length of a line, in bytes: the longest document with every character escaped, and the other fields of
/// an offer.
pub const MAX_LINE_BYTES: usize = 2 * hazelgrade_config::MAX_DOCUMENT_BYTES + 16 * 1024;

/// The maximum length of a line from a subscriber, in bytes. Messages of subscribers are short, and reasons are
/// truncated.
pub const MAX_SUBSCRIBER_LINE_BYTES: usize = 16 * 1024;

/// The maximum length of the reason of a rejection or of a failed trial, in bytes.
const MAX_REASON_BYTES: usize = 2000;

/// The maximum length of the name of a node, program or lineage, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// Truncates a text at a character boundary to the maximum length of a reason.
pub(super) fn truncate_reason(text: &str) -> &str {
    let mut end = text.len().min(MAX_REASON_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
