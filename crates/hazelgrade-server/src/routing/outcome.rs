//! The one place where the ends of runs, calls and connections become outcomes of the module.

use crate::protocol::database::Reply;
use crate::protocol::executor::RunEnd;
use hazelgrade::api::Outcome;
use hazelgrade_net::ending::ConnectionEnd;

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    Replied(Reply, Vec<u8>),
    /// Nothing was heard of it in its time.
    Silent,
    Lost(ConnectionEnd),
}

pub fn of_run(end: RunEnd) -> Outcome {
    match end {
        RunEnd::Good => Outcome::Completed,
        RunEnd::Bad => Outcome::Failed,
        RunEnd::Cut => Outcome::Cancelled,
        RunEnd::Gone => Outcome::Superseded,
    }
}

pub fn of_call(end: &CallEnd) -> Outcome {
    match end {
        CallEnd::Replied(Reply::Rows, _) => Outcome::Completed,
        CallEnd::Replied(Reply::Full, _) => Outcome::Rejected,
        CallEnd::Replied(Reply::Fail, _) => Outcome::Failed,
        CallEnd::Replied(Reply::Timeout, _) | CallEnd::Silent => Outcome::TimedOut,
        CallEnd::Replied(Reply::Nobody, _) => Outcome::Superseded,
        CallEnd::Lost(ConnectionEnd::Unreachable | ConnectionEnd::Unsent) => Outcome::Unreachable,
        CallEnd::Lost(
            ConnectionEnd::Closed
            | ConnectionEnd::CutShort
            | ConnectionEnd::Reset
            | ConnectionEnd::Slow
            | ConnectionEnd::Misused
            | ConnectionEnd::TooLong
            | ConnectionEnd::Unreadable
            | ConnectionEnd::Overrun
            | ConnectionEnd::Idle
            | ConnectionEnd::Moved,
        ) => Outcome::ConnectionLost,
    }
}

impl CallEnd {
    /// The body of the call can't be read: it was not made.
    pub fn unreadable() -> CallEnd {
        CallEnd::Lost(ConnectionEnd::Unreachable)
    }
}
