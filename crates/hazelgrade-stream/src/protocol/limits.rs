//! The longest lines, names and reasons.

/// The longest line, in bytes: the longest document with each of its characters escaped, and room for the rest.
pub const MAX_LINE_BYTES: usize = 2 * hazelgrade_config::MAX_DOCUMENT_BYTES + 16 * 1024;

/// The longest line from a subscriber, in bytes. Its messages are short; a reason is cut to fit.
pub const MAX_SUBSCRIBER_LINE_BYTES: usize = 16 * 1024;

/// The longest reason of a rejection or of a failed trial, in bytes.
const MAX_REASON_BYTES: usize = 2000;

/// The longest name of a node, program or lineage, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// The text, cut at a character boundary to the longest length of a reason.
pub(super) fn truncate_reason(text: &str) -> &str {
    let mut end = text.len().min(MAX_REASON_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
