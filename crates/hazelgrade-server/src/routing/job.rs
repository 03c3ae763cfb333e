//! The task of one job, from its arrival to the end of its run.
//!
//! A job is first queued, then running, then finished. A job whose run is cancelled before the job was answered is
//! queued again. One method per phase handles an event and returns the next phase.

mod phase;

use super::budget_share::LeaseExpired;
use super::context::RequestContext;
use super::controller_driver::ControllerEvent;
use super::event_log::{Repeated, UnservedCause};
use super::in_flight::JobEvent;
use super::outcome::{self, CallEnd};
use super::run_command::{LossWindow, Recovery, RunCommand, RunRules, SilenceResponse};
use crate::protocol::executor::{Command, RunEnd};
use crate::protocol::jsonrpc::{Answer, JobRequest};
use crate::protocol::{Body, from_bytes, to_bytes};
use crate::transport::executor::NoLink;
use async_channel::Receiver;
use hazelgrade::api::{Cancellation, Idempotency, Job, JobId, Outcome};
use hazelgrade::time::{Span, Time};
use phase::{Phase, RequestedCall, Run, SentCall, next_event};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that a call is allowed beyond the database's timeout: the database reports its own timeouts, and that reply
/// takes a few milliseconds.
const REPLY_GRACE: Duration = Duration::from_millis(25);

/// The task of an admitted job.
struct JobTask {
    id: JobId,
    job_class: String,
    body: Body,
    /// The original job, of which this job is a retry.
    retry_of: Option<JobId>,
    /// What may be done to the job's runs, by its class at its arrival.
    rules: RunRules,
    received_at: Time,
    context: Rc<RequestContext>,
}

/// Passes a job to the controller, and handles the events of the job until the job has ended.
pub async fn run(request: JobRequest, events: Receiver<JobEvent>, context: Rc<RequestContext>) {
    let JobRequest { job, body, .. } = request;
    let task = JobTask::new(&job, body, context);
    task.arrived(job);
    let mut phase = Phase::Queued;
    let result = loop {
        let Some(event) = next_event(&events, phase.timeout()).await else { break None };
        phase = match phase {
            Phase::Queued => task.handle_while_queued(event),
            Phase::Running(run) => task.handle_while_running(run, event),
            Phase::Finished { result } => Phase::Finished { result },
        };
        if let Phase::Finished { result } = phase {
            break result;
        }
    };
    task.finish(result);
}

fn to_duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.as_ms() / 1000.0)
}

impl JobTask {
    fn new(job: &Job, body: Body, context: Rc<RequestContext>) -> JobTask {
        let settings = context.settings.borrow().clone();
        let job_class = &settings.job_classes[job.job_class];
        JobTask {
            id: job.id.clone(),
            job_class: job_class.name.clone(),
            body,
            retry_of: job.retry_of.clone(),
            rules: RunRules {
                is_idempotent: job_class.idempotency == Idempotency::Idempotent,
                may_skip_calls: job_class.may_skip_calls,
                is_cancellable: settings.cancellation == Cancellation::Discards,
                deadline: job_class.deadline,
            },
            received_at: job.received_at,
            context,
        }
    }

    /// Notifies the controller that the job has arrived. With `--log trace`, a job can be traced by its id through
    /// every instance that handled the job.
    fn arrived(&self, job: Job) {
        let unread_ms = self.context.driver.clock.now().since(job.received_at).as_ms();
        tracing::trace!(
            job = &*self.id,
            job_class = self.job_class,
            is_retry = job.is_retry,
            unread_ms,
            "job arrived"
        );
        self.context.driver.notify(ControllerEvent::JobArrived { job });
    }

    /// Handles an event while the job is queued.
    fn handle_while_queued(&self, event: JobEvent) -> Phase {
        match event {
            JobEvent::StartRun => Phase::Running(self.start_run()),
            JobEvent::Answer(answer) => {
                self.context.answer(&self.id, &answer, UnservedCause::Controller);
                Phase::Finished { result: None }
            }
            JobEvent::AwaitOriginal => {
                self.await_original();
                Phase::Queued
            }
            JobEvent::OriginalEnded { result } => self.answer_from_original(result),
            JobEvent::CallerDisconnected => Phase::Finished { result: None },
            JobEvent::StartCall { .. }
            | JobEvent::SkipCall
            | JobEvent::CancelRun
            | JobEvent::CallRequested { .. }
            | JobEvent::RunEnded { .. }
            | JobEvent::StartRefused
            | JobEvent::LinkRestored(_)
            | JobEvent::ExecutorRestarted
            | JobEvent::RunSilent
            | JobEvent::CallEnded(_) => Phase::Queued,
        }
    }

    /// Handles an event while the job is running. If the job is answered before its run ends, the run's result is not
    /// sent to the caller.
    fn handle_while_running(&self, mut run: Run, event: JobEvent) -> Phase {
        match event {
            JobEvent::CallRequested { cursor, body } => self.call_requested(&mut run, cursor, body),
            JobEvent::StartCall { timeout } => self.start_call(&mut run, timeout),
            JobEvent::CallEnded(end) => self.call_ended(&mut run, end),
            JobEvent::SkipCall => self.skip_call(&mut run),
            JobEvent::CancelRun => self.cancel_run(&mut run),
            JobEvent::Answer(answer) => {
                self.context.answer(&self.id, &answer, UnservedCause::Controller);
            }
            JobEvent::LinkRestored(lost) => self.recover_commands(&mut run, lost),
            JobEvent::RunEnded { end, elapsed, body } => {
                self.context.trust_caller(&self.id);
                return self.run_ended(end, elapsed, body);
            }
            JobEvent::StartRefused if run.is_start_unconfirmed() => {
                self.context.count_unknown_to_executor(&self.id);
                return self.run_ended(RunEnd::Superseded, Span::ZERO, "".into());
            }
            JobEvent::ExecutorRestarted => return self.run_lost(&run),
            JobEvent::RunSilent if self.until_deadline() == Duration::ZERO => {
                self.context.counters.borrow_mut().lost_runs += 1;
                tracing::debug!(job = &*self.id, "run given up: a command to it may have been lost");
                return self.run_lost(&run);
            }
            JobEvent::RunSilent => self.respond_to_silence(&mut run),
            JobEvent::CallerDisconnected
            | JobEvent::StartRun
            | JobEvent::StartRefused
            | JobEvent::AwaitOriginal
            | JobEvent::OriginalEnded { .. } => {}
        }
        Phase::Running(run)
    }

    /// Registers the job for the result of the original job. If that result is already known, the job is sent the event
    /// at once.
    fn await_original(&self) {
        let original = self.retry_of.as_ref().unwrap_or(&self.id);
        if let Some(result) = self.context.result_cache.await_result(&self.id, original) {
            self.context.in_flight.send(&self.id, JobEvent::OriginalEnded { result });
        }
    }

    /// Answers the job with the result of the original job.
    fn answer_from_original(&self, result: Option<Body>) -> Phase {
        let (answer, outcome) = match result.clone() {
            Some(body) => (Answer::Succeeded(body), Outcome::Completed),
            None => (Answer::Failed, Outcome::Failed),
        };
        self.context.answer(&self.id, &answer, UnservedCause::Original);
        let id = self.id.clone();
        self.context.driver.notify(ControllerEvent::RunEnded { id, outcome, elapsed: Span::ZERO });
        Phase::Finished { result }
    }

    /// Starts the job's run on the executor.
    fn start_run(&self) -> Run {
        tracing::trace!(job = &*self.id, "run started");
        let started_at = self.context.driver.clock.now();
        self.context.started_jobs.borrow_mut().record(started_at, &self.id);
        let mut run =
            Run { started_at, unconfirmed: None, event_deadline: None, cancelled: false, call: None };
        self.send_run_command(&mut run, RunCommand::StartRun);
        run
    }

    /// Handles the run's request for a call. The request confirms every command that was sent to the run before.
    fn call_requested(&self, run: &mut Run, cursor: u64, body: Body) {
        self.context.trust_caller(&self.id);
        tracing::trace!(job = &*self.id, cursor, "call requested");
        run.confirm_commands();
        run.call = Some(RequestedCall { cursor, body, sent: None, is_repeated: false });
        self.context.driver.notify(ControllerEvent::CallRequested { id: self.id.clone() });
    }

    /// Starts the call that the run waits for, unless its lease has expired or its body is invalid.
    fn start_call(&self, run: &mut Run, timeout: Span) {
        let Some(call) = &mut run.call else { return };
        tracing::trace!(job = &*self.id, timeout_ms = timeout.as_ms(), "call started");
        if std::mem::replace(&mut call.is_repeated, true) {
            self.context.event_log.repeated(&self.id, Repeated::Call);
        }
        let until_deadline = to_duration(timeout) + REPLY_GRACE;
        call.sent = Some(SentCall {
            started_at: self.context.driver.clock.now(),
            deadline: Instant::now() + until_deadline,
        });
        let Ok(expires_at) = self.call_expiry() else {
            return self.end_call_unsent(CallEnd::EXPIRED_UNSENT);
        };
        match to_bytes(&call.body) {
            Some(bytes) => self.context.dependency_calls.start(&self.id, timeout, &bytes, expires_at),
            None => self.end_call_unsent(CallEnd::INVALID_BODY),
        }
    }

    /// Returns the time by which a call must be handed to the operating system; `Ok(None)` if budgets are not enabled.
    fn call_expiry(&self) -> Result<Option<Instant>, LeaseExpired> {
        match self.context.driver.budget_share() {
            Some(share) => share.call_expiry().map(Some),
            None => Ok(None),
        }
    }

    /// Ends a call that was not sent.
    fn end_call_unsent(&self, end: CallEnd) {
        self.context.in_flight.send(&self.id, JobEvent::CallEnded(end));
    }

    /// Handles the end of the call: passes a completed reply to the run, and the outcome to the controller.
    fn call_ended(&self, run: &mut Run, end: CallEnd) {
        let Some(sent) = run.call.as_mut().and_then(|call| call.sent.take()) else { return };
        if let CallEnd::TimedOut = end {
            self.context.dependency_calls.cancel_timed_out(&self.id);
        }
        let outcome = outcome::of_call(&end);
        let elapsed = self.context.driver.clock.now().since(sent.started_at);
        tracing::trace!(job = &*self.id, ?outcome, elapsed_ms = elapsed.as_ms(), "call ended");
        if let CallEnd::Replied { body, .. } = end
            && outcome == Outcome::Completed
            && let Some(RequestedCall { cursor, .. }) = run.call.take()
        {
            self.send_run_command(run, RunCommand::CallReply { cursor, body: from_bytes(&body) });
        }
        self.context.driver.notify(ControllerEvent::CallEnded { id: self.id.clone(), outcome, elapsed });
    }

    /// Lets the run continue without the call that it waits for.
    fn skip_call(&self, run: &mut Run) {
        let Some(RequestedCall { cursor, .. }) = run.call.take() else { return };
        tracing::trace!(job = &*self.id, "call skipped");
        self.send_run_command(run, RunCommand::SkipCall { cursor });
    }

    /// Cancels the run. The run ends when the executor reports its end.
    fn cancel_run(&self, run: &mut Run) {
        run.cancelled = true;
        tracing::trace!(job = &*self.id, "run cancelled");
        self.send_cancel_run();
    }

    /// Recovers the commands to the run that may have been lost with the link to the executor.
    fn recover_commands(&self, run: &mut Run, lost: LossWindow) {
        if let Some(mut unconfirmed) = run.unconfirmed.take() {
            match unconfirmed.recover(lost, self.rules, self.is_wanted()) {
                Recovery::NotNeeded => {}
                Recovery::SendAgain => {
                    self.context.event_log.repeated(&self.id, Repeated::Command);
                    unconfirmed.sent_again(self.send(unconfirmed.command()));
                }
                Recovery::AwaitEvent { limit } => self.await_event(run, limit),
            }
            run.unconfirmed = Some(unconfirmed);
        }
        if run.cancelled {
            self.send_cancel_run();
        }
    }

    /// Returns whether somebody waits for the job's answer.
    fn is_wanted(&self) -> bool {
        self.context.in_flight.is_unanswered(&self.id)
    }

    /// Awaits the next event of a run after a command that may have been lost, for `limit` at most and not longer than
    /// until the job's deadline.
    fn await_event(&self, run: &mut Run, limit: Option<Span>) {
        if run.event_deadline.is_some() {
            return;
        }
        self.context.counters.borrow_mut().commands_in_doubt += 1;
        let until_deadline = self.until_deadline();
        let limit = limit.map_or(until_deadline, to_duration);
        run.event_deadline = Some(Instant::now() + limit.min(until_deadline));
    }

    /// Responds to a run from which nothing was heard in time after a call reply that may have been lost.
    fn respond_to_silence(&self, run: &mut Run) {
        self.context.counters.borrow_mut().silent_runs += 1;
        run.event_deadline = Some(Instant::now() + self.until_deadline());
        let Some(unconfirmed) = &run.unconfirmed else { return };
        let response = unconfirmed.respond_to_silence(self.rules, self.is_wanted());
        tracing::debug!(job = &*self.id, ?response, "call reply may have been lost");
        match response {
            SilenceResponse::SkipCall { cursor } => {
                self.send_run_command(run, RunCommand::SkipCall { cursor });
            }
            SilenceResponse::Restart => self.cancel_run(run),
            SilenceResponse::AwaitDeadline => {}
        }
    }

    /// Returns the time until the job must have been answered.
    fn until_deadline(&self) -> Duration {
        let deadline = self.received_at + self.rules.deadline;
        to_duration(deadline.since(self.context.driver.clock.now()))
    }

    /// Handles the loss of the run: it has ended without an event, or it may never have started.
    fn run_lost(&self, run: &Run) -> Phase {
        let elapsed = self.context.driver.clock.now().since(run.started_at);
        self.run_ended(RunEnd::Failed, elapsed, "".into())
    }

    /// Handles the end of the run, and cancels the run's call. If the run was cancelled before the job was answered,
    /// the job is queued again.
    fn run_ended(&self, end: RunEnd, elapsed: Span, body: Body) -> Phase {
        self.context.dependency_calls.cancel(&self.id);
        let outcome = outcome::of_run(end);
        tracing::trace!(job = &*self.id, ?outcome, elapsed_ms = elapsed.as_ms(), "run ended");
        let queued_again = outcome == Outcome::Cancelled && self.context.in_flight.is_unanswered(&self.id);
        self.context.driver.notify(ControllerEvent::RunEnded { id: self.id.clone(), outcome, elapsed });
        if queued_again {
            return Phase::Queued;
        }
        if outcome == Outcome::Completed {
            self.context.answer(&self.id, &Answer::Succeeded(body.clone()), UnservedCause::Run);
            Phase::Finished { result: Some(body) }
        } else {
            self.context.answer(&self.id, &Answer::Failed, UnservedCause::Run);
            Phase::Finished { result: None }
        }
    }

    /// Removes the ended job from the tables, and passes its result to the retries that wait for the result.
    fn finish(self, result: Option<Body>) {
        self.context.in_flight.remove(&self.id);
        self.context.dependency_calls.remove_job(&self.id);
        let now = self.context.driver.clock.now();
        for retry in self.context.result_cache.finish(&self.id, now, result.clone()) {
            self.context.in_flight.send(&retry, JobEvent::OriginalEnded { result: result.clone() });
        }
    }

    /// Sends a command that lets the run start or continue, and records it as unconfirmed.
    fn send_run_command(&self, run: &mut Run, command: RunCommand) {
        let sent = self.send(&command);
        run.set_unconfirmed(command, sent);
    }

    fn send(&self, command: &RunCommand) -> Result<(), NoLink> {
        let id = &self.id;
        self.context.send_command(&match command {
            RunCommand::StartRun => Command::StartRun { id, job_class: &self.job_class, body: &self.body },
            RunCommand::CallReply { body, .. } => Command::CallReply { id, body },
            RunCommand::SkipCall { cursor } => Command::SkipCall { id, cursor: *cursor },
        })
    }

    /// Cancels the run on the executor. The command is sent again on each new link until the run has ended; a run that
    /// has ended is not affected by it.
    fn send_cancel_run(&self) {
        // Without a link the command is dropped, and sent on the next link.
        let _ = self.context.send_command(&Command::CancelRun { id: &self.id });
    }
}
