//! What can be wrong with the input.

use hazelgrade_settings::Fault;
use std::io;
use thiserror::Error;

/// What is wrong with one line.
#[derive(Debug, Error)]
pub enum LineError {
    /// A field has not the expected form.
    #[error("field {field}: expected {expected}")]
    Field { field: &'static str, expected: &'static str },
    /// The line is none of the protocol's messages.
    #[error("field message: expected a known message name, found {0:?}")]
    UnknownMessage(String),
    /// The settings of a launch are wrong; the text names the field.
    #[error("{0}")]
    Settings(String),
}

impl LineError {
    /// The error of a field that has not the expected form.
    pub fn field<T>(field: &'static str, expected: &'static str) -> Result<T, LineError> {
        Err(LineError::Field { field, expected })
    }
}

impl From<Fault> for LineError {
    fn from(error: Fault) -> LineError {
        LineError::Settings(error.0)
    }
}

/// What is wrong with a line of a batch, counted from the batch's first.
#[derive(Debug)]
pub struct BatchError {
    pub offset: usize,
    pub error: LineError,
}

/// Why the adapter ends before its input does.
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
