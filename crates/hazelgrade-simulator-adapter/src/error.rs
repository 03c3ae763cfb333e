//! Errors of the input.

use hazelgrade_settings::SettingsError;
use std::io;
use thiserror::Error;

/// What is wrong with one line.
#[derive(Debug, Error)]
pub enum LineError {
    /// A field doesn't have the expected form.
    #[error("field {field}: expected {expected}")]
    Field { field: &'static str, expected: &'static str },
    /// The line is not one of the protocol's messages.
    #[error("field message: expected a known message name, found {0:?}")]
    UnknownMessage(String),
    /// The settings of a launch are wrong; the text names the field.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl LineError {
    /// The error of a field that doesn't have the expected form.
    pub fn field<T>(field: &'static str, expected: &'static str) -> Result<T, LineError> {
        Err(LineError::Field { field, expected })
    }
}

/// What is wrong with a line of a batch; `offset` is counted from the batch's first line.
#[derive(Debug)]
pub struct BatchError {
    pub offset: usize,
    pub error: LineError,
}

/// Why the adapter stops before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error("line {line}: {error}")]
    Line { line: usize, error: LineError },
    #[error("line {line}: field message: expected eof_batch before the input ends")]
    UnfinishedBatch { line: usize },
    #[error("line {line}: {error}")]
    Read { line: usize, error: io::Error },
    #[error("{0}")]
    Write(io::Error),
}
