//! How a connection ends: one type for every connection and every way. `routing::outcome` maps it.

use std::io::{Error, ErrorKind};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it between two messages.
    Closed,
    /// The peer closed it within a message.
    CutShort,
    /// It broke, or the peer reset it.
    Reset,
    /// It never stood: refused, or not answered in time.
    Unreachable,
    /// It ended before any of what waited was handed to the system.
    Unsent,
    /// A message, or the end of one, did not come in its time.
    Slow,
    /// The peer went on sending what is wrong.
    Misused,
    /// A message was longer than any legal one.
    TooLong,
    /// Where the next message begins is lost.
    Unreadable,
    /// More was waiting to be written than its buffer holds.
    Overrun,
    /// Closed from this side, with nothing open on it.
    Idle,
    /// The peer is at another address now.
    Moved,
}

impl ConnectionEnd {
    pub fn of(error: &Error) -> ConnectionEnd {
        match error.kind() {
            ErrorKind::UnexpectedEof => ConnectionEnd::CutShort,
            _ => ConnectionEnd::Reset,
        }
    }
}
