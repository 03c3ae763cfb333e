//! Admission: what becomes of a job that was just read.

use super::Controller;
use crate::api::{Decisions, Idempotency, JobId};
use crate::job_table::{Stage, TrackedJob};
use crate::rejection::GiveUp;
use crate::time::{Span, Time};

/// Unmarked retries are received at least this ratio of their class's deadline after the request that they repeat.
const RETRY_GAP_RATIO: f64 = 0.05;

impl Controller {
    /// Decides on a job that was just read: it waits for the job that it repeats, is given up, or stays in the run
    /// queue.
    pub(super) fn admit(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        if !self.admit_keyed(now, id, decisions) {
            return;
        }
        if !self.admitted_by_drain(now, id) {
            let give_up = GiveUp::Retry { retry_after: Span::ZERO, elsewhere: true };
            return self.give_up(now, id, give_up, decisions);
        }
        let Some(tracked) = self.jobs.get(id) else { return };
        if let Some(retry_after) = tracked.job.lease_retry_after {
            decisions.limited_by_lease(id);
            return self.give_up(now, id, GiveUp::Retry { retry_after, elsewhere: false }, decisions);
        }
        self.admit_by_call_queue(now, id, decisions);
    }

    /// Links a keyed job to the one that it repeats, or stores a record of it. Returns whether the job is still to be
    /// decided on; jobs of other classes always are.
    fn admit_keyed(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) -> bool {
        let Some(tracked) = self.jobs.get(id) else { return false };
        if tracked.class.idempotency != Idempotency::Keyed {
            return true;
        }
        self.records.remove_outdated(now);
        // Two jobs that were read in one batch may name each other: the first has no record yet and is admitted.
        let is_original = |prior: &JobId| self.records.contains(prior) || !self.jobs.contains(prior);
        if tracked.job.retry_of.as_ref().is_some_and(is_original) {
            decisions.await_original(id);
            self.enter(now, id, Stage::AwaitingOriginal);
            return false;
        }
        let retry_window = tracked.class.retry_window;
        if self.may_repeat_started(tracked) {
            let give_up = GiveUp::Retry { retry_after: retry_window, elsewhere: true };
            self.give_up(now, id, give_up, decisions);
            return false;
        }
        let expires = tracked.job.received_at + retry_window + self.machine.tick;
        let lifetime = expires.since(now);
        if lifetime > Span::ZERO {
            decisions.store_record(id, lifetime);
        }
        self.records.insert(now, &tracked.job, expires, tracked.class.deadline);
        true
    }

    /// Whether a drain, if there is one, leaves time for the job.
    fn admitted_by_drain(&mut self, now: Time, id: &JobId) -> bool {
        let (Some(drain), Some(tracked)) = (self.drain, self.jobs.get(id)) else { return true };
        if !drain.in_grace(tracked.job.received_at, &self.limits) {
            return false;
        }
        let latest_answer = self.latest_answer(tracked);
        now + self.service_times.run_time(now, tracked.job.job_class) <= latest_answer
    }

    /// Rejects a job that calls the dependency while the call queue is full.
    fn admit_by_call_queue(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.get(id) else { return };
        if !tracked.class.calls_dependency {
            return;
        }
        let time_budget = self.call_time_budget(now, tracked);
        if !self.call_limiter.is_queue_full(now, time_budget) {
            return;
        }
        // A lease that is used up here may have something left at another server.
        let by_lease = self.call_limiter.is_limited_by_lease(now);
        let mut lease_retry_after = Span::ZERO;
        if by_lease {
            lease_retry_after = self.call_limiter.rejected_by_lease(now);
            decisions.limited_by_lease(id);
        }
        let retry_after = self.call_limiter.wait_budget(now, time_budget).max(lease_retry_after);
        self.give_up(now, id, GiveUp::Retry { retry_after, elsewhere: by_lease }, decisions);
    }

    /// Whether a job that no record is linked to may repeat a keyed job that has run.
    pub(super) fn may_repeat_started(&self, tracked: &TrackedJob) -> bool {
        let min_gap = tracked.class.deadline * RETRY_GAP_RATIO;
        let marked = self.callers.mark_retries;
        self.records.may_repeat_started(&tracked.job, tracked.stage_since, marked, min_gap)
    }

    /// Moves a job to another stage.
    pub(super) fn enter(&mut self, now: Time, id: &JobId, stage: Stage) {
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.enter(now, stage);
        }
    }
}
