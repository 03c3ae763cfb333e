//! Calls to the dependency: queued, started, skipped.

use super::Controller;
use crate::api::{Decisions, Idempotency, JobId};
use crate::deadline;
use crate::job_table::Stage;
use crate::rejection::GiveUp;
use crate::time::Time;

/// A call is attempted this many times at most.
const MAX_CALL_ATTEMPTS: u32 = 2;
/// A call that may be skipped is skipped if less than this ratio of the mean latency remains for it.
const MIN_CALL_TIME_RATIO: f64 = 0.5;

impl Controller {
    /// A run has come to a call: queues the call, or goes without it if the queue is full, the time for the call is
    /// over or it must not be attempted again.
    pub(super) fn queue_call(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.unanswered(id) else { return };
        let time_budget = self.call_time_budget(now, tracked);
        let unrepeatable = tracked.class.idempotency != Idempotency::Idempotent && tracked.call_in_doubt;
        let exhausted = tracked.call_attempts >= MAX_CALL_ATTEMPTS;
        if unrepeatable
            || exhausted
            || self.call_limiter.is_queue_full(now, time_budget)
            || self.call_deadline(now, id) <= now
        {
            self.go_without_call(now, id, decisions);
        } else {
            self.call_limiter.enqueue(id);
        }
    }

    /// Skips queued calls that may be skipped and have too little time left. If no call is in flight, the newest of
    /// them stays queued: otherwise after one slow call none would ever be made again.
    pub(super) fn skip_late_calls(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let queued = self.jobs.select(|tracked| {
            tracked.stage == Stage::AwaitingCallPermit && tracked.class.weight_ratio_without_call > 0.0
        });
        let excepted = if self.call_limiter.is_idle() { 1 } else { 0 };
        let checked = queued.len().saturating_sub(excepted);
        for id in &queued[..checked] {
            let call_deadline = self.call_deadline(now, id);
            if call_deadline <= now + self.call_limiter.mean_latency(now) * MIN_CALL_TIME_RATIO {
                self.go_without_call(now, id, decisions);
            }
        }
    }

    /// Starts as many queued calls as there are permits for.
    pub(super) fn start_calls(&mut self, now: Time, decisions: &mut dyn Decisions) {
        while self.call_limiter.has_permit(now)
            && self.jobs_on_cores_or_calling() < self.max_jobs_on_cores(now)
        {
            let Some(id) = self.call_limiter.dequeue() else { break };
            self.start_call(now, &id, decisions);
        }
    }

    /// Starts a call, unless it has waited past its budget or the time for it is over.
    fn start_call(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.unanswered(id) else { return };
        let time_budget = self.call_time_budget(now, tracked);
        let waited = now.since(tracked.stage_since);
        if waited > self.call_limiter.wait_budget(now, time_budget) || self.call_deadline(now, id) <= now {
            return self.go_without_call(now, id, decisions);
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

    /// Gives up a call. If an answer without it still has some weight and the cores have room, the run goes on without
    /// it; otherwise the job fails.
    fn go_without_call(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        self.call_limiter.remove_queued(id);
        let has_room = self.jobs_on_cores_or_calling() < self.max_jobs_on_cores(now);
        let Some(tracked) = self.jobs.get(id) else { return };
        if tracked.class.weight_ratio_without_call > 0.0 && has_room {
            self.enter(now, id, Stage::Running);
            decisions.skip_call(id);
        } else {
            self.give_up(now, id, GiveUp::Fail, decisions);
        }
    }

    /// Until when the call of this job is waited for.
    fn call_deadline(&mut self, now: Time, id: &JobId) -> Time {
        let Some(tracked) = self.jobs.get(id) else { return now };
        let worthless_from = self.worthless_from(tracked);
        let latency_excess = self.call_limiter.latency_excess(now);
        let mean_core_time = self.service_times.core_time(now, tracked.job.job_class);
        deadline::call_deadline(&tracked.class, worthless_from, latency_excess, mean_core_time)
    }
}
