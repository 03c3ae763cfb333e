//! The last command to a run, until the executor confirms it, and the recovery of the command after the link was lost.
//!
//! Commands have no numbers, and the executor keeps no record of those that it received. After all missed events were
//! handled on a new link, a command that may be lost leaves its run in one of two states that can't be told apart: the
//! command was lost, or it was received and the run has got further since, which only the run's next event will show.
//! A command is sent again only if it is harmless in both states when it arrives:
//!
//! | command | why it is harmless, or what is done instead |
//! | --- | --- |
//! | start of an idempotent job | a second run does no harm |
//! | start of any other job | not sent again: the run may have ended. The job fails at its deadline if nothing is heard |
//! | skip of a call | names the event that requested the call, so it applies to no other call |
//! | reply to a call | not sent again: the run may wait for its next call. If nothing is heard, the call is skipped, or the run is started anew, or the job fails at its deadline |
//! | any command for which there was no link | it can't have been received |

use crate::protocol::Body;
use crate::transport::executor::NoLink;
use hazelgrade::time::Span;
use std::time::Instant;

/// How long the next event of a run whose call reply may be lost is awaited, as a ratio of the deadline of its class.
const REPLY_SILENCE_RATIO: f64 = 0.05;

/// A command that lets a run start or continue.
#[derive(Clone, Debug, PartialEq)]
pub enum RunCommand {
    /// Starts the run.
    StartRun,
    /// Delivers the reply to the call that the run waits for.
    CallReply {
        /// Number of the event that requested the call.
        cursor: u64,
        /// The body of the reply, in base64.
        body: Body,
    },
    /// Lets the run continue without the call that it waits for.
    SkipCall {
        /// Number of the event that requested the call.
        cursor: u64,
    },
}

/// The commands that were sent while the executor may not have received them any more.
#[derive(Clone, Copy, Debug)]
pub struct LossWindow {
    /// Earliest instant at which a lost command may have been sent.
    pub from: Instant,
    /// Instant from which on commands were sent over the new link.
    pub until: Instant,
}

impl LossWindow {
    fn contains(&self, sent_at: Instant) -> bool {
        (self.from..self.until).contains(&sent_at)
    }
}

/// What is known about the receipt of an unconfirmed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Receipt {
    /// There was no link, so the executor can't have received the command.
    NotSent,
    /// The command was sent at this instant.
    Sent(Instant),
    /// The command was sent over a link that was lost before the executor confirmed the command.
    InDoubt,
}

impl From<Result<(), NoLink>> for Receipt {
    fn from(sent: Result<(), NoLink>) -> Receipt {
        sent.map_or(Receipt::NotSent, |()| Receipt::Sent(Instant::now()))
    }
}

/// What may be done to the runs of a job.
#[derive(Clone, Copy, Debug)]
pub struct RunRules {
    /// Whether more than one run of the job does no harm.
    pub is_idempotent: bool,
    /// Whether the job may be answered without a call that it requested.
    pub may_skip_calls: bool,
    /// Whether cancelling ends a run that waits for a call, so that the job can be started anew.
    pub is_cancellable: bool,
    /// How long after its arrival the job must be answered.
    pub deadline: Span,
}

/// What is to be done about an unconfirmed command once a new link is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing: the command was not lost.
    NotNeeded,
    /// The command is sent again.
    SendAgain,
    /// The command is not sent again: only the next event of the run can show whether it was received. The event is
    /// awaited for this time, or until the job's deadline if there is no limit.
    AwaitEvent {
        /// The longest wait for the event.
        limit: Option<Span>,
    },
}

/// What is to be done if the next event of a run does not come after a command that may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceResponse {
    /// The run is told to continue without the call that this event requested.
    SkipCall {
        /// Number of the event.
        cursor: u64,
    },
    /// The run is cancelled, so that the job is started anew.
    Restart,
    /// The event is awaited until the job's deadline.
    AwaitDeadline,
}

/// The last command to a run; the executor has not confirmed yet that it received the command.
#[derive(Debug)]
pub struct UnconfirmedCommand {
    command: RunCommand,
    receipt: Receipt,
}

impl UnconfirmedCommand {
    /// Records a command that was just passed to the link, with the result of sending it.
    pub fn new(command: RunCommand, sent: Result<(), NoLink>) -> UnconfirmedCommand {
        UnconfirmedCommand { command, receipt: sent.into() }
    }

    /// Returns the command.
    pub fn command(&self) -> &RunCommand {
        &self.command
    }

    /// Records that the command was sent again, with the result of sending it.
    pub fn sent_again(&mut self, sent: Result<(), NoLink>) {
        self.receipt = sent.into();
    }

    /// Decides what to do about the command after a new link was opened and all missed events were handled. `is_wanted`
    /// tells whether somebody still waits for the job's answer.
    pub fn recover(&mut self, lost: LossWindow, rules: RunRules, is_wanted: bool) -> Recovery {
        match self.receipt {
            Receipt::NotSent => return Recovery::SendAgain,
            Receipt::Sent(at) if !lost.contains(at) => return Recovery::NotNeeded,
            Receipt::Sent(_) | Receipt::InDoubt => self.receipt = Receipt::InDoubt,
        }
        match self.command {
            RunCommand::StartRun if rules.is_idempotent && is_wanted => Recovery::SendAgain,
            RunCommand::StartRun => Recovery::AwaitEvent { limit: None },
            RunCommand::CallReply { .. } => {
                Recovery::AwaitEvent { limit: Some(rules.deadline * REPLY_SILENCE_RATIO) }
            }
            RunCommand::SkipCall { .. } => Recovery::SendAgain,
        }
    }

    /// Decides what to do if the run's next event has not come within the time that [`UnconfirmedCommand::recover`] set.
    /// Neither response harms a run that has received the command and is slow: a skip applies to its own call only, and
    /// a job that is started anew loses its progress.
    pub fn respond_to_silence(&self, rules: RunRules, is_wanted: bool) -> SilenceResponse {
        match self.command {
            RunCommand::CallReply { cursor, .. } if rules.may_skip_calls => {
                SilenceResponse::SkipCall { cursor }
            }
            RunCommand::CallReply { .. } if rules.is_idempotent && rules.is_cancellable && is_wanted => {
                SilenceResponse::Restart
            }
            RunCommand::CallReply { .. } | RunCommand::StartRun | RunCommand::SkipCall { .. } => {
                SilenceResponse::AwaitDeadline
            }
        }
    }
}
