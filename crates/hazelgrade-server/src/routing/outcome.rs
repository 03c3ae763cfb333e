//! Maps how runs, calls and connections ended to outcomes for the controller. This is the only place that does.

use crate::protocol::database::Reply;
use crate::protocol::executor::RunEnd;
use hazelgrade::api::Outcome;
use hazelgrade_net::connection_end::ConnectionEnd;

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The database replied.
    Replied {
        /// The kind of the reply.
        reply: Reply,
        /// The body of the reply; empty if there is none.
        body: Vec<u8>,
    },
    /// No reply came in time.
    TimedOut,
    /// The connection ended before the reply.
    ConnectionLost(ConnectionEnd),
}

impl CallEnd {
    /// The body of the call is not valid base64, so nothing was sent.
    pub const INVALID_BODY: CallEnd = CallEnd::ConnectionLost(ConnectionEnd::Unreachable);
    /// The call expired before it was handed to the system.
    pub const EXPIRED_UNSENT: CallEnd = CallEnd::ConnectionLost(ConnectionEnd::Unsent);
    /// There is no database to call.
    pub const NO_DATABASE: CallEnd = CallEnd::ConnectionLost(ConnectionEnd::Unreachable);
}

/// The outcome of a run.
pub fn of_run(end: RunEnd) -> Outcome {
    match end {
        RunEnd::Completed => Outcome::Completed,
        RunEnd::Failed => Outcome::Failed,
        RunEnd::Cancelled => Outcome::Cancelled,
        RunEnd::Superseded => Outcome::Superseded,
    }
}

/// The outcome of a call.
pub fn of_call(end: &CallEnd) -> Outcome {
    match end {
        CallEnd::Replied { reply, .. } => of_reply(*reply),
        CallEnd::TimedOut => Outcome::TimedOut,
        CallEnd::ConnectionLost(end) => of_lost_connection(*end),
    }
}

fn of_reply(reply: Reply) -> Outcome {
    match reply {
        Reply::Rows => Outcome::Completed,
        Reply::Overloaded => Outcome::Rejected,
        Reply::Failed => Outcome::Failed,
        Reply::TimedOut => Outcome::TimedOut,
        Reply::NoSuchRun => Outcome::Superseded,
    }
}

/// A call counts as never made only if it is certain that nothing was sent.
fn of_lost_connection(end: ConnectionEnd) -> Outcome {
    match end {
        ConnectionEnd::Unreachable | ConnectionEnd::Unsent => Outcome::Unreachable,
        ConnectionEnd::Closed
        | ConnectionEnd::Truncated
        | ConnectionEnd::Reset
        | ConnectionEnd::TimedOut
        | ConnectionEnd::ProtocolViolation
        | ConnectionEnd::TooLong
        | ConnectionEnd::Malformed
        | ConnectionEnd::WriteQueueFull
        | ConnectionEnd::Idle
        | ConnectionEnd::Moved => Outcome::ConnectionLost,
    }
}
