//! Jobs that are given up: answered at once, their runs cancelled, their memory freed.

use super::Controller;
use crate::api::{Cancellation, Decisions, Idempotency, JobId};
use crate::job_table::{Stage, TrackedJob};
use crate::memory;
use crate::rejection::{self, GiveUp};
use crate::time::{Span, Time};

impl Controller {
    /// Gives up jobs whose answers are not worth anything any more.
    pub(super) fn give_up_worthless(&mut self, now: Time, decisions: &mut dyn Decisions) {
        for id in self.jobs.select(|tracked| self.worthless_from(tracked) <= now) {
            let retry_after = self.run_queue_drains_in(now);
            let elsewhere = self.drain.is_some();
            self.give_up(now, &id, GiveUp::Retry { retry_after, elsewhere }, decisions);
        }
    }

    /// Gives a job's final answer at once: a rejection where the job certainly has had no effect that a retry would
    /// repeat, otherwise a failure.
    pub(super) fn give_up(&mut self, now: Time, id: &JobId, give_up: GiveUp, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.unanswered(id) else { return };
        let may_repeat_started = self.may_repeat_started(tracked);
        let may_reject = rejection::may_reject(tracked, may_repeat_started);
        let is_retry = tracked.job.is_retry;
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.answered = true;
        }
        match give_up {
            GiveUp::Retry { retry_after, elsewhere } if may_reject => {
                let not_elsewhere = !elsewhere || is_retry || self.retry_rate.is_high_everywhere(now);
                self.reject(now, id, not_elsewhere, retry_after, decisions);
            }
            GiveUp::Retry { .. } | GiveUp::Fail => decisions.fail(id),
        }
        self.call_limiter.remove_queued(id);
        self.cancel_if_unwanted(id, decisions);
        if self.jobs.get(id).is_some_and(|tracked| !tracked.is_started()) {
            self.jobs.remove(id);
            if !may_repeat_started && self.records.remove_unless_run(id) {
                decisions.remove_record(id);
            }
        }
    }

    /// Rejects a job with a retry-after that is spread at random.
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

    /// Whether a run can be cancelled, and its job may run again.
    fn is_cancellable(&self, tracked: &TrackedJob) -> bool {
        self.machine.cancellation != Cancellation::Unsupported
            && tracked.class.idempotency == Idempotency::Idempotent
            && tracked.stage == Stage::Running
    }

    /// Cancels a run that nobody waits for any more.
    pub(super) fn cancel_if_unwanted(&self, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.get(id) else { return };
        if tracked.answered && self.is_cancellable(tracked) {
            decisions.cancel_run(id);
        }
    }

    /// Memory in use by jobs and idempotency records, in kilobytes.
    pub(super) fn used_kb(&self, now: Time) -> f64 {
        memory::used_kb(&self.jobs, self.records.live_count(now), &self.machine)
    }

    /// Gives up jobs until all fit into memory: first those that don't run, then cancellable runs, the last read first.
    pub(super) fn shed_memory(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let mut excess_kb = self.used_kb(now) - memory::shed_limit_kb(&self.machine);
        let mut candidates = self.jobs.select(|tracked| self.is_cancellable(tracked));
        candidates.extend(self.jobs.select(|tracked| !tracked.is_started()));
        while excess_kb > 0.0 {
            let Some(id) = candidates.pop() else { break };
            let Some(tracked) = self.jobs.get(&id) else { continue };
            excess_kb -= memory::job_kb(tracked, &self.machine);
            let retry_after = self.run_queue_drains_in(now);
            self.give_up(now, &id, GiveUp::Retry { retry_after, elsewhere: true }, decisions);
        }
    }
}
