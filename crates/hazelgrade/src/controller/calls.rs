//! Queueing, starting and skipping of calls to the dependency.

use super::Controller;
use crate::api::{Decisions, Idempotency, JobId};
use crate::deadline;
use crate::job_table::Stage;
use crate::rejection::GiveUp;
use crate::time::Time;

/// Maximum number of attempts at one call.
const MAX_CALL_ATTEMPTS: u32 = 2;
/// Ratio of the mean latency that must remain until the call deadline; with less time, an optional call is skipped.
const MIN_CALL_TIME_RATIO: f64 = 0.5;

impl Controller {
    /// Queues the call that a run has requested. If the queue is full, the call deadline has passed or the call must
    /// not be attempted again, the run continues without the call or the job fails.
    pub(super) fn queue_call(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.unanswered(id) else { return };
        let time_budget = self.call_time_budget(now, tracked);
        let must_not_repeat = tracked.class.idempotency != Idempotency::Idempotent && tracked.call_in_doubt;
        let exhausted = tracked.call_attempts >= MAX_CALL_ATTEMPTS;
        if must_not_repeat
            || exhausted
            || self.call_limiter.is_queue_full(now, time_budget)
            || self.call_deadline(now, id) <= now
        {
            self.skip_call_or_fail(now, id, decisions);
        } else {
            self.call_limiter.enqueue(id);
        }
    }

    /// Skips optional queued calls that have too little time left. If no call is in flight, the newest optional call
    /// stays queued: otherwise, after a single slow call, no call would ever be made again and the mean latency would
    /// never recover.
    pub(super) fn skip_late_calls(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let queued = self.jobs.select(|tracked| {
            tracked.stage == Stage::AwaitingCallPermit && tracked.class.allows_answers_without_call()
        });
        let exempt = if self.call_limiter.is_idle() { 1 } else { 0 };
        let checked = queued.len().saturating_sub(exempt);
        for id in &queued[..checked] {
            let call_deadline = self.call_deadline(now, id);
            if call_deadline <= now + self.call_limiter.mean_latency(now) * MIN_CALL_TIME_RATIO {
                self.skip_call_or_fail(now, id, decisions);
            }
        }
    }

    /// Starts queued calls while permits are free and the cores have capacity.
    pub(super) fn start_calls(&mut self, now: Time, decisions: &mut dyn Decisions) {
        while self.call_limiter.has_permit(now)
            && self.jobs_on_cores_or_calling() < self.max_jobs_on_cores(now)
        {
            let Some(id) = self.call_limiter.dequeue() else { break };
            self.start_call(now, &id, decisions);
        }
    }

    /// Starts a queued call, unless its wait budget is exceeded or its deadline has passed.
    fn start_call(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.unanswered(id) else { return };
        let time_budget = self.call_time_budget(now, tracked);
        let waited = now.since(tracked.stage_since);
        if waited > self.call_limiter.wait_budget(now, time_budget) || self.call_deadline(now, id) <= now {
            return self.skip_call_or_fail(now, id, decisions);
        }
        let remaining = self.call_deadline(now, id).since(now);
        self.enter(now, id, Stage::CallInFlight);
        let timeout = self.call_limiter.call_started(now, remaining, self.timescales.target_wait);
        let timeout = timeout.max(self.machine.tick);
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.call_timeout = timeout;
        }
        decisions.start_call(id, timeout);
    }

    /// Gives up a call. If the class allows answers without the call and the cores have capacity, the run continues
    /// without the call; otherwise the job fails.
    fn skip_call_or_fail(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        self.call_limiter.remove_queued(id);
        let has_core_capacity = self.jobs_on_cores_or_calling() < self.max_jobs_on_cores(now);
        let Some(tracked) = self.jobs.get(id) else { return };
        if tracked.class.allows_answers_without_call() && has_core_capacity {
            self.enter(now, id, Stage::Running);
            decisions.skip_call(id);
        } else {
            self.give_up(now, id, GiveUp::Fail, decisions);
        }
    }

    /// Returns until when the run of this job may wait for its call.
    fn call_deadline(&mut self, now: Time, id: &JobId) -> Time {
        let Some(tracked) = self.jobs.get(id) else { return now };
        let expires_at = self.expires_at(tracked);
        let latency_excess = self.call_limiter.latency_excess(now);
        let mean_core_time = self.service_times.core_time(now, tracked.job.job_class);
        deadline::call_deadline(&tracked.class, expires_at, latency_excess, mean_core_time)
    }
}
