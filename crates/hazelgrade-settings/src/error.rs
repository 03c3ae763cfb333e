//! The error of a field in the settings or in a message.

/// A field that is missing, of another type or out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct SettingsError {
    /// Path of the field with dots between its segments.
    pub field: String,
    /// What was expected.
    pub expected: String,
}

impl SettingsError {
    /// The error of a field that is not as `expected`.
    pub fn new(field: impl Into<String>, expected: impl Into<String>) -> SettingsError {
        SettingsError { field: field.into(), expected: expected.into() }
    }
}
