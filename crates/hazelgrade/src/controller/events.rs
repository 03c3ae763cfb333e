//! The events since the last round, which the host reports to the controller.

use super::Controller;
use crate::api::{CallLease, Job, JobId, Outcome};
use crate::call_limiter::CallEnd;
use crate::deadline::Deadlines;
use crate::drain::Drain;
use crate::job_table::{Stage, TrackedJob};
use crate::time::{Span, Time};

/// Accepts the events of a round, in the order in which they happened.
pub struct EventSink<'a> {
    controller: &'a mut Controller,
    now: Time,
}

impl<'a> EventSink<'a> {
    pub(super) fn new(controller: &'a mut Controller, now: Time) -> EventSink<'a> {
        EventSink { controller, now }
    }

    /// Reports that a job was read. A job whose class is not in the settings is ignored.
    pub fn job_arrived(&mut self, job: Job) {
        let now = self.now;
        let controller = &mut *self.controller;
        let Some(class) = controller.job_classes.get(job.job_class).cloned() else { return };
        controller.record_arrival_statistics(now, &job);
        let deadlines = Deadlines::new(&job, &class, &controller.limits);
        let tracked = TrackedJob {
            sequence: controller.next_sequence(),
            quota_per_s: controller.quotas.quota_per_s(job.tenant),
            stage: Stage::Queued,
            stage_since: now,
            core_time: Span::ZERO,
            latest_answer: deadlines.latest_answer,
            objective_deadline: deadlines.objective_deadline,
            answered: false,
            has_run: false,
            call_attempts: 0,
            call_timeout: Span::ZERO,
            call_in_doubt: false,
            class,
            job,
        };
        controller.undecided.push(tracked.job.id.clone());
        controller.jobs.insert(tracked);
    }

    /// Reports that a run ended after `took`. If the run was cancelled before the job was answered, the job is queued
    /// again.
    pub fn run_ended(&mut self, id: &JobId, outcome: Outcome, took: Span) {
        let now = self.now;
        let controller = &mut *self.controller;
        let Some(mut tracked) = controller.jobs.remove(id) else { return };
        let stage_time = now.since(tracked.stage_since);
        match tracked.stage {
            Stage::AwaitingCallPermit => controller.call_limiter.remove_queued(id),
            Stage::CallInFlight => {
                controller.call_limiter.call_finished(now, stage_time, CallEnd::Abandoned);
            }
            Stage::Running => tracked.core_time += stage_time,
            Stage::Queued | Stage::AwaitingOriginal => return,
        }
        if outcome == Outcome::Cancelled && !tracked.answered {
            tracked.stage = Stage::Queued;
            tracked.stage_since = now;
            controller.jobs.insert(tracked);
        } else if outcome == Outcome::Completed {
            controller.run_limiter.record_completion();
            controller.service_times.record(now, tracked.job.job_class, tracked.core_time, took);
        }
    }

    /// Reports that a run has requested a call and waits for the reply.
    pub fn call_requested(&mut self, id: &JobId) {
        let now = self.now;
        let Some(tracked) = self.controller.jobs.get_mut(id) else { return };
        if tracked.stage != Stage::Running {
            return;
        }
        tracked.core_time += now.since(tracked.stage_since);
        tracked.stage = Stage::AwaitingCallPermit;
        tracked.stage_since = now;
        self.controller.undecided.push(id.clone());
    }

    /// Reports that a call ended after `took`. Unless the call completed, the run still waits, and the call may be
    /// attempted again.
    pub fn call_ended(&mut self, id: &JobId, outcome: Outcome, took: Span) {
        let now = self.now;
        let controller = &mut *self.controller;
        let Some(tracked) = controller.jobs.get_mut(id) else { return };
        if tracked.stage != Stage::CallInFlight {
            return;
        }
        let end = match outcome {
            Outcome::TimedOut => CallEnd::Abandoned,
            Outcome::ConnectionLost => CallEnd::ConnectionLost { timeout: tracked.call_timeout },
            _ => CallEnd::Finished,
        };
        controller.call_limiter.call_finished(now, took, end);
        if !outcome.never_ran() && outcome != Outcome::ConnectionLost {
            controller.call_limiter.record_latency(now, took);
        }
        // `TrackedJob::enter` would reset the number of attempts at this call, so the stage is set directly.
        tracked.stage_since = now;
        if outcome == Outcome::Completed {
            tracked.stage = Stage::Running;
            tracked.call_attempts = 0;
        } else {
            tracked.stage = Stage::AwaitingCallPermit;
            tracked.call_in_doubt |= !outcome.never_ran();
            controller.undecided.push(id.clone());
        }
    }

    /// Reports that the caller no longer waits for the answer of a job.
    pub fn caller_disconnected(&mut self, id: &JobId) {
        let controller = &mut *self.controller;
        let Some(tracked) = controller.jobs.get_mut(id) else { return };
        tracked.answered = true;
        let started = tracked.is_started();
        controller.call_limiter.remove_queued(id);
        if started {
            controller.undecided.push(id.clone());
        } else {
            controller.jobs.remove(id);
        }
    }

    /// Reports the notice that the process will be stopped at `stops_at`. Later notices are ignored.
    pub fn drain_started(&mut self, stops_at: Time) {
        self.controller.drain.get_or_insert(Drain { notified_at: self.now, stops_at });
        self.controller.load_signal.update_at_once();
    }

    /// Replaces this server's lease of the calls that all servers share.
    pub fn call_lease_updated(&mut self, lease: CallLease) {
        self.controller.call_limiter.set_lease(lease);
    }

    /// Reports that a timer fired. `cores_used` is the ratio of the cores in use, 0 to 1, if the host can measure the
    /// ratio.
    pub fn timer_fired(&mut self, token: u64, cores_used: Option<f64>) {
        if let Some(cores_used) = cores_used {
            self.controller.run_limiter.record_core_use(self.now, cores_used);
        }
        self.controller.timer = self.controller.timer.filter(|timer| timer.token != token);
    }
}

impl Controller {
    /// Updates the statistics of unread time, retries and quota usage with the arrival of a job. Jobs of unknown
    /// callers don't count, as such jobs may be forged and the host delays reading them on purpose.
    fn record_arrival_statistics(&mut self, now: Time, job: &Job) {
        if job.from_known_caller {
            let unread = now.since(job.received_at);
            self.run_limiter.job_read(now, unread);
            self.health.job_read(now, unread > self.timescales.lag);
        }
        let count = if job.from_known_caller { 1.0 } else { 0.0 };
        self.retry_rate.record_request(now, job.is_retry, count);
        if !job.is_retry {
            self.quotas.record_arrival(now, job.tenant, count);
        }
    }
}
