//! The phases of a job, and what a running job waits for.

use crate::protocol::Body;
use crate::routing::in_flight::JobEvent;
use crate::routing::outcome::CallEnd;
use crate::routing::run_command::{RunCommand, UnconfirmedCommand};
use crate::transport::executor::NoLink;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade::time::Time;
use std::time::{Duration, Instant};

/// Further delay before a call times out, so that after a pause of the process the replies that are waiting in the
/// sockets are read first.
const UNREAD_GRACE: Duration = Duration::from_millis(5);

/// The phase of a job.
pub(super) enum Phase {
    /// The job waits for a decision of the controller, or for the result of the original job of which it is a retry.
    Queued,
    /// The executor runs the job.
    Running(Run),
    /// The job has ended; `result` is set if the job succeeded.
    Finished { result: Option<Body> },
}

impl Phase {
    /// Returns the timeout that ends the wait for the next event, if there is one.
    pub(super) fn timeout(&self) -> Option<Timeout> {
        match self {
            Phase::Running(run) => run.timeout(),
            Phase::Queued | Phase::Finished { .. } => None,
        }
    }
}

/// What a running job waits for at most until an instant.
#[derive(Clone, Copy)]
pub(super) enum Timeout {
    /// The end of the call in flight.
    Call(Instant),
    /// The next event of the run, after a command that may have been lost.
    RunEvent(Instant),
}

impl Timeout {
    pub(super) fn at(self) -> Instant {
        match self {
            Timeout::Call(at) | Timeout::RunEvent(at) => at,
        }
    }

    /// Returns the event that happens if nothing else happens before the timeout.
    pub(super) fn event(self) -> JobEvent {
        match self {
            Timeout::Call(_) => JobEvent::CallEnded(CallEnd::TimedOut),
            Timeout::RunEvent(_) => JobEvent::RunSilent,
        }
    }
}

/// Waits for the next event of a job, or for the timeout.
pub(super) async fn next_event(events: &Receiver<JobEvent>, timeout: Option<Timeout>) -> Option<JobEvent> {
    let Some(timeout) = timeout else { return events.recv().await.ok() };
    let timed_out = async {
        Timer::at(timeout.at()).await;
        Timer::after(UNREAD_GRACE).await;
        Some(timeout.event())
    };
    or(async { events.recv().await.ok() }, timed_out).await
}

/// A run on the executor.
pub(super) struct Run {
    pub(super) started_at: Time,
    /// The last command that the executor may not have received.
    pub(super) unconfirmed: Option<UnconfirmedCommand>,
    /// Until when the run's next event is awaited, while the unconfirmed command is in doubt.
    pub(super) event_deadline: Option<Instant>,
    /// Whether the controller has cancelled the run.
    pub(super) cancelled: bool,
    /// The call that the run waits for, if there is one.
    pub(super) call: Option<RequestedCall>,
}

impl Run {
    /// Records a command that was passed to the link to the executor.
    pub(super) fn set_unconfirmed(&mut self, command: RunCommand, sent: Result<(), NoLink>) {
        self.unconfirmed = Some(UnconfirmedCommand::new(command, sent));
        self.event_deadline = None;
    }

    /// Records that the executor has received all commands to the run.
    pub(super) fn confirm_commands(&mut self) {
        self.unconfirmed = None;
        self.event_deadline = None;
    }

    /// Returns whether the executor may not have received the command that starts the run.
    pub(super) fn is_start_unconfirmed(&self) -> bool {
        self.unconfirmed.as_ref().is_some_and(|unconfirmed| *unconfirmed.command() == RunCommand::StartRun)
    }

    pub(super) fn timeout(&self) -> Option<Timeout> {
        let call_sent = self.call.as_ref().and_then(|call| call.sent.as_ref());
        let call = call_sent.map(|sent| Timeout::Call(sent.deadline));
        call.or(self.event_deadline.map(Timeout::RunEvent))
    }
}

/// A call that a run waits for.
pub(super) struct RequestedCall {
    /// Number of the executor's event; identifies the call when it is skipped.
    pub(super) cursor: u64,
    pub(super) body: Body,
    /// Set while the call is in flight.
    pub(super) sent: Option<SentCall>,
    /// Whether the call was in flight before and ended without a reply for the run.
    pub(super) is_repeated: bool,
}

/// A call in flight.
#[derive(Clone, Copy)]
pub(super) struct SentCall {
    pub(super) started_at: Time,
    /// When the call times out.
    pub(super) deadline: Instant,
}
