//! Errors in messages from clients, with their JSON-RPC error codes.

use super::request::JobRequest;
use std::borrow::Cow;

/// JSON-RPC error code: the line is not valid JSON.
const PARSE_ERROR: i64 = -32700;
/// JSON-RPC error code: the message is not a valid request.
const INVALID_REQUEST: i64 = -32600;
/// JSON-RPC error code: the method is unknown.
const METHOD_NOT_FOUND: i64 = -32601;
/// JSON-RPC error code: a parameter is missing or invalid.
pub(super) const INVALID_PARAMS: i64 = -32602;

/// A field of a message that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct InvalidField {
    /// The wire name of the field.
    pub field: &'static str,
    /// A description of the valid values.
    pub expected: Cow<'static, str>,
}

impl InvalidField {
    pub(super) fn new(field: &'static str, expected: impl Into<Cow<'static, str>>) -> InvalidField {
        InvalidField { field, expected: expected.into() }
    }
}

/// Why a message is not accepted. The answer to the client contains the `Display` text of the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The line is not a JSON value in UTF-8.
    #[error("the line is not a JSON value in UTF-8")]
    NotJson,
    /// The line is a JSON value but not an object.
    #[error("expected one JSON object; batches are not taken")]
    NotAnObject,
    /// A field of the request object itself is missing or invalid.
    #[error(transparent)]
    InvalidRequest(InvalidField),
    /// The method is not the name of a job class that this instance serves.
    #[error("field method: expected a use case of this site")]
    UnknownMethod,
    /// The tenant is not the name of one that is configured on this instance.
    #[error("field owner: expected a customer of this site")]
    UnknownTenant,
    /// A field of the request's parameters is missing or invalid.
    #[error(transparent)]
    InvalidParam(#[from] InvalidField),
    /// A call with the same id is still open on the connection.
    #[error("field id: a call with this id is still open")]
    CallIdInUse,
    /// The line exceeds the maximum length of a message; the connection is closed.
    #[error("the line is longer than any message")]
    LineTooLong,
    /// The client has sent more invalid messages than are tolerated; the connection is closed.
    #[error("too many wrong messages")]
    TooManyViolations,
}

impl Reason {
    /// Returns whether the message only has a name that this instance does not know. That is no fault of the client:
    /// other instances may have another version of the configuration.
    pub fn is_unknown_name(&self) -> bool {
        matches!(self, Reason::UnknownMethod | Reason::UnknownTenant)
    }

    /// Returns the JSON-RPC error code for the reason.
    pub fn code(&self) -> i64 {
        match self {
            Reason::NotJson => PARSE_ERROR,
            Reason::NotAnObject
            | Reason::InvalidRequest(_)
            | Reason::CallIdInUse
            | Reason::LineTooLong
            | Reason::TooManyViolations => INVALID_REQUEST,
            Reason::UnknownMethod => METHOD_NOT_FOUND,
            Reason::UnknownTenant | Reason::InvalidParam(_) => INVALID_PARAMS,
        }
    }
}

/// A message that is not accepted.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct RequestError {
    /// The id of the call, if the message has one under which the error can be returned.
    pub call_id: Option<u64>,
    /// Whether the message names a job class that this instance does not serve. Another instance may serve the class,
    /// so the message does not count as a violation of the protocol.
    pub not_served: bool,
    /// Why the message is not accepted.
    pub reason: Reason,
    /// The job, if the message is valid but for a name that this instance does not serve. Its slots are those that the
    /// names had before, or the first ones. The job may be a retry of one that ran while the names were served.
    pub unserved_job: Option<Box<JobRequest>>,
}

impl RequestError {
    pub(super) fn new(call_id: Option<u64>, reason: Reason) -> RequestError {
        RequestError { call_id, not_served: false, reason, unserved_job: None }
    }
}

/// The error for a job whose `ts` field, the time at which the job reached the machine, lies in the future or so far in
/// the past that the job has passed its deadline.
pub fn invalid_time(call_id: u64) -> RequestError {
    let field = InvalidField::new("ts", "a time in the past, and within the cut-off");
    RequestError::new(Some(call_id), Reason::InvalidParam(field))
}

/// The error for a call whose id belongs to a call that is still open. The answer has no id, because the client would
/// take an answer with the id for the answer to the open call.
pub fn call_id_in_use() -> RequestError {
    RequestError::new(None, Reason::CallIdInUse)
}

/// The error for a line that exceeds the maximum length of a message.
pub fn line_too_long() -> RequestError {
    RequestError::new(None, Reason::LineTooLong)
}

/// The error for a client that has sent more invalid messages than are tolerated.
pub fn too_many_violations() -> RequestError {
    RequestError::new(None, Reason::TooManyViolations)
}
