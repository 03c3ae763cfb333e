//! How a connection ends: one type for every connection and every cause.

use std::io::{Error, ErrorKind};

/// Why a connection ended, or never came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionEnd {
    /// The peer closed it between two messages.
    #[error("closed by the peer")]
    Closed,
    /// The peer closed it within a message.
    #[error("closed by the peer within a message")]
    Truncated,
    /// It broke, or the peer reset it.
    #[error("reset")]
    Reset,
    /// It was never established: refused, or not answered in time.
    #[error("not established")]
    Unreachable,
    /// It ended before any of the queued messages was handed to the system: none of them can have had an effect.
    #[error("ended before anything was sent")]
    Unsent,
    /// A message was not received, not completed, or not written to the peer in time.
    #[error("timed out")]
    TimedOut,
    /// The peer sent more invalid messages than it may.
    #[error("too many invalid messages")]
    ProtocolViolation,
    /// A message was longer than any valid one.
    #[error("a message was too long")]
    TooLong,
    /// A message can't be parsed, so that the start of the next one is unknown.
    #[error("a message could not be parsed")]
    Malformed,
    /// The write queue was full.
    #[error("the write queue was full")]
    WriteQueueFull,
    /// Closed from this side, with no message and no answer outstanding.
    #[error("closed while idle")]
    Idle,
    /// Closed from this side, as the peer has another address now.
    #[error("the peer has moved")]
    Moved,
}

impl ConnectionEnd {
    /// Classifies an error of the system: [`ErrorKind::UnexpectedEof`] is a truncated message, everything else a reset.
    pub fn from_io_error(error: &Error) -> ConnectionEnd {
        match error.kind() {
            ErrorKind::UnexpectedEof => ConnectionEnd::Truncated,
            _ => ConnectionEnd::Reset,
        }
    }
}
