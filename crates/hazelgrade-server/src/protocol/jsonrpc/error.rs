//! The errors of a client's message.

use std::borrow::Cow;

/// The line is not valid JSON.
const PARSE_ERROR: i64 = -32700;
/// The message is not a request.
const INVALID_REQUEST: i64 = -32600;
/// The method is unknown.
const METHOD_NOT_FOUND: i64 = -32601;
/// The parameters are invalid.
pub(super) const INVALID_PARAMS: i64 = -32602;

/// A field that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct InvalidField {
    /// Its name on the wire.
    pub field: &'static str,
    /// What it must be.
    pub expected: Cow<'static, str>,
}

impl InvalidField {
    pub(super) fn new(field: &'static str, expected: impl Into<Cow<'static, str>>) -> InvalidField {
        InvalidField { field, expected: expected.into() }
    }
}

/// Why a message is not accepted. The answer contains its text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The line can't be parsed.
    #[error("the line is not a JSON value in UTF-8")]
    NotJson,
    /// It is JSON, but not an object.
    #[error("expected one JSON object; batches are not taken")]
    NotAnObject,
    /// A field of the request itself.
    #[error(transparent)]
    InvalidRequest(InvalidField),
    /// No job class has this name.
    #[error("field method: expected a use case of this site")]
    UnknownMethod,
    /// A field of the parameters.
    #[error(transparent)]
    InvalidParam(#[from] InvalidField),
    /// A call with this id is open on the connection.
    #[error("field id: a call with this id is still open")]
    CallIdInUse,
    /// The line exceeds the longest message; the connection is closed.
    #[error("the line is longer than any message")]
    LineTooLong,
    /// One invalid message too many; the connection is closed.
    #[error("too many wrong messages")]
    TooManyViolations,
}

impl Reason {
    /// The error code of JSON-RPC.
    pub fn code(&self) -> i64 {
        match self {
            Reason::NotJson => PARSE_ERROR,
            Reason::NotAnObject
            | Reason::InvalidRequest(_)
            | Reason::CallIdInUse
            | Reason::LineTooLong
            | Reason::TooManyViolations => INVALID_REQUEST,
            Reason::UnknownMethod => METHOD_NOT_FOUND,
            Reason::InvalidParam(_) => INVALID_PARAMS,
        }
    }
}

/// A message that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RequestError {
    /// The id of the call, where the message has one that can be answered.
    pub call_id: Option<u64>,
    /// Whether it names a job class that this instance does not serve. Others may serve it, so it is no violation.
    pub not_served: bool,
    /// What is wrong.
    pub reason: Reason,
}

impl RequestError {
    pub(super) fn new(call_id: Option<u64>, reason: Reason) -> RequestError {
        RequestError { call_id, not_served: false, reason }
    }
}

/// The time at which a job reached the machine lies in the future, or the job is past its deadline.
pub fn invalid_time(call_id: u64) -> RequestError {
    let field = InvalidField::new("ts", "a time in the past, and within the cut-off");
    RequestError::new(Some(call_id), Reason::InvalidParam(field))
}

/// The id of a call is that of an open one. The answer has no id, as it would be taken for the open call's.
pub fn call_id_in_use() -> RequestError {
    RequestError::new(None, Reason::CallIdInUse)
}

/// A line exceeds the longest message.
pub fn line_too_long() -> RequestError {
    RequestError::new(None, Reason::LineTooLong)
}

/// A peer has sent one invalid message too many.
pub fn too_many_violations() -> RequestError {
    RequestError::new(None, Reason::TooManyViolations)
}
