//! Giving up jobs: the caller is answered at once, the run is cancelled if possible, and the memory is freed.

use super::Controller;
use crate::api::{Cancellation, Decisions, Idempotency, JobId};
use crate::job_table::{Stage, TrackedJob};
use crate::memory;
use crate::rejection::{self, GiveUp};
use crate::time::{Span, Time};

impl Controller {
    /// Gives up expired jobs, whose answers no longer have any value.
    pub(super) fn give_up_expired(&mut self, now: Time, decisions: &mut dyn Decisions) {
        for id in self.jobs.select(|tracked| self.expires_at(tracked) <= now) {
            let retry_after = self.run_queue_clear_time(now);
            let capacity_elsewhere = self.drain.is_some();
            self.give_up(now, &id, GiveUp::Retry { retry_after, capacity_elsewhere }, decisions);
        }
    }

    /// Sends the final answer of a job at once: a rejection if the job certainly has had no effect that a retry would
    /// duplicate, otherwise a failure.
    pub(super) fn give_up(&mut self, now: Time, id: &JobId, give_up: GiveUp, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.unanswered(id) else { return };
        let may_duplicate_run = self.may_duplicate_run(tracked);
        let may_reject = rejection::may_reject(tracked, may_duplicate_run);
        let is_retry = tracked.job.is_retry;
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.answered = true;
        }
        match give_up {
            GiveUp::Retry { retry_after, capacity_elsewhere } if may_reject => {
                let not_elsewhere =
                    !capacity_elsewhere || is_retry || self.retry_rate.indicates_fleet_overload(now);
                self.reject(now, id, not_elsewhere, retry_after, decisions);
            }
            GiveUp::Retry { .. } | GiveUp::Fail => decisions.fail(id),
        }
        self.call_limiter.remove_queued(id);
        self.cancel_if_unwanted(id, decisions);
        if self.jobs.get(id).is_some_and(|tracked| !tracked.is_started()) {
            self.jobs.remove(id);
            if !may_duplicate_run && self.records.remove_unless_run(id) {
                decisions.remove_record(id);
            }
        }
    }

    /// Rejects a job with a randomised retry-after.
    fn reject(
        &mut self,
        now: Time,
        id: &JobId,
        not_elsewhere: bool,
        retry_after: Span,
        decisions: &mut dyn Decisions,
    ) {
        self.retry_rate.record_rejection(now);
        let random = self.random.next_f64();
        let openness = self.load_signal.openness();
        let max = self.callers.max_retry_after;
        let retry_after = rejection::retry_after(retry_after, random, openness, max);
        decisions.reject(id, not_elsewhere, retry_after);
    }

    /// Returns whether the job is running, the run can be cancelled, and the job may run again.
    fn is_cancellable(&self, tracked: &TrackedJob) -> bool {
        self.machine.cancellation != Cancellation::Unsupported
            && tracked.class.idempotency == Idempotency::Idempotent
            && tracked.stage == Stage::Running
    }

    /// Cancels the run of a job that has been answered already.
    pub(super) fn cancel_if_unwanted(&self, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.get(id) else { return };
        if tracked.answered && self.is_cancellable(tracked) {
            decisions.cancel_run(id);
        }
    }

    /// Returns the memory in use by jobs and idempotency records, in kilobytes.
    pub(super) fn used_kb(&self, now: Time) -> f64 {
        memory::used_kb(&self.jobs, self.records.live_count(now), &self.machine)
    }

    /// Gives up jobs until the memory in use is below the shedding limit: first jobs that don't run, then cancellable
    /// runs, and in each group the most recently read job first.
    pub(super) fn shed_memory(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let mut excess_kb = self.used_kb(now) - memory::shed_limit_kb(&self.machine);
        let mut candidates = self.jobs.select(|tracked| self.is_cancellable(tracked));
        candidates.extend(self.jobs.select(|tracked| !tracked.is_started()));
        while excess_kb > 0.0 {
            let Some(id) = candidates.pop() else { break };
            let Some(tracked) = self.jobs.get(&id) else { continue };
            excess_kb -= memory::job_kb(tracked, &self.machine);
            let retry_after = self.run_queue_clear_time(now);
            self.give_up(now, &id, GiveUp::Retry { retry_after, capacity_elsewhere: true }, decisions);
        }
    }
}
