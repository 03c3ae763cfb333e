//! The last command to a run, until the executor confirms it, and the recovery of the command after the link was lost.
//!
//! Commands have no numbers, and the executor keeps no record of those that it received. After all missed events were
//! handled on a new link, a command that may be lost leaves its run in one of two states that can't be told apart: the
//! command was lost, or it was received and the run has got further since, which only the run's next event will show.
//! A command is sent again only if it is harmless in both states when it arrives.

use crate::protocol::Body;
use crate::transport::executor::NoLink;
use std::time::Instant;

/// A command that lets a run start or continue.
#[derive(Clone, Debug, PartialEq)]
pub enum RunCommand {
    /// Starts the run.
    StartRun,
    /// Delivers the reply to the call that the run waits for.
    CallReply {
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

/// What is to be done about an unconfirmed command once a new link is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Nothing: the command was not lost.
    NotNeeded,
    /// The command is sent again.
    SendAgain,
    /// The command is not sent again: only the next event of the run can show whether it was received.
    AwaitEvent,
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

    /// Decides what to do about the command after a new link was opened and all missed events were handled.
    /// `may_start_twice` tells whether a second run of the job does no harm.
    ///
    /// A second start is harmful to all other jobs: if the run ended after the executor had repeated the missed events,
    /// the command would start another run. A command that was not sent is always sent again.
    pub fn recover(&mut self, lost: LossWindow, may_start_twice: bool) -> Recovery {
        match self.receipt {
            Receipt::NotSent => return Recovery::SendAgain,
            Receipt::Sent(at) if !lost.contains(at) => return Recovery::NotNeeded,
            Receipt::Sent(_) | Receipt::InDoubt => self.receipt = Receipt::InDoubt,
        }
        match self.command {
            RunCommand::StartRun if !may_start_twice => Recovery::AwaitEvent,
            RunCommand::StartRun | RunCommand::CallReply { .. } | RunCommand::SkipCall { .. } => {
                Recovery::SendAgain
            }
        }
    }
}
