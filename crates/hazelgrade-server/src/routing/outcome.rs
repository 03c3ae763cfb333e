//! The mapping of the ends of runs, calls and connections to outcomes for the controller. No other module maps them.

use crate::protocol::database::Reply;
use crate::protocol::executor::RunEnd;
use hazelgrade::api::Outcome;
use hazelgrade_net::connection_end::ConnectionEnd;

/// How a call ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The database replied.
    Replied {
        /// Kind of the reply.
        reply: Reply,
        /// Body of the reply; empty if there is none.
        body: Vec<u8>,
    },
    /// No reply was received in time.
    TimedOut,
    /// The connection ended before the reply was received, or could not be opened.
    ConnectionLost(ConnectionEnd),
}

impl CallEnd {
    /// The call was not sent, because its body is not valid base64.
    pub const INVALID_BODY: CallEnd = CallEnd::ConnectionLost(ConnectionEnd::Unreachable);
    /// The call was not sent, because it expired before it could be handed to the operating system.
    pub const EXPIRED_UNSENT: CallEnd = CallEnd::ConnectionLost(ConnectionEnd::Unsent);
    /// The call was not sent, because no database is configured.
    pub const NO_DATABASE: CallEnd = CallEnd::ConnectionLost(ConnectionEnd::Unreachable);
}

/// Returns the outcome of a run.
pub fn of_run(end: RunEnd) -> Outcome {
    match end {
        RunEnd::Completed => Outcome::Completed,
        RunEnd::Failed => Outcome::Failed,
        RunEnd::Cancelled => Outcome::Cancelled,
        RunEnd::Superseded => Outcome::Superseded,
    }
}

/// Returns the outcome of a call.
pub fn of_call(end: &CallEnd) -> Outcome {
    match end {
        CallEnd::Replied { reply, .. } => of_reply(*reply),
        CallEnd::TimedOut => Outcome::TimedOut,
        CallEnd::ConnectionLost(end) => of_lost_connection(*end),
    }
}

/// Returns the outcome of a call to which the database replied.
fn of_reply(reply: Reply) -> Outcome {
    match reply {
        Reply::Rows => Outcome::Completed,
        Reply::Overloaded => Outcome::Rejected,
        Reply::Failed => Outcome::Failed,
        Reply::TimedOut => Outcome::TimedOut,
        Reply::NoSuchRun => Outcome::Superseded,
    }
}

/// Returns the outcome of a call whose connection ended. The outcome is `Unreachable`, which means that the call was
/// never made, only if it is certain that nothing was sent.
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
