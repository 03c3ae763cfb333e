//! Admission of jobs that have just been read.

use super::Controller;
use crate::api::{Decisions, Idempotency, JobId};
use crate::job_table::{Stage, TrackedJob};
use crate::rejection::GiveUp;
use crate::time::{Span, Time};

/// Shortest gap between the receipt of a request and the receipt of an unmarked retry of the request, as a ratio of the
/// class's deadline.
const MIN_RETRY_GAP_RATIO: f64 = 0.05;

impl Controller {
    /// Decides on a job that has just been read: the job waits for the result of the job of which it is a retry, is
    /// given up, or stays in the run queue.
    pub(super) fn admit(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        if self.link_to_original(now, id, decisions) || !self.record_keyed(now, id, decisions) {
            return;
        }
        if !self.is_admissible_in_drain(now, id) {
            let give_up = GiveUp::Retry { retry_after: Span::ZERO, capacity_elsewhere: true };
            return self.give_up(now, id, give_up, decisions);
        }
        let Some(tracked) = self.jobs.get(id) else { return };
        if let Some(retry_after) = tracked.job.lease_retry_after {
            decisions.limited_by_lease(id);
            return self.give_up(
                now,
                id,
                GiveUp::Retry { retry_after, capacity_elsewhere: false },
                decisions,
            );
        }
        self.reject_if_call_queue_full(now, id, decisions);
    }

    /// Links a retry to its original job, and returns whether the job was linked.
    fn link_to_original(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) -> bool {
        let Some(tracked) = self.jobs.get(id) else { return false };
        if tracked.class.idempotency == Idempotency::Keyed {
            self.records.remove_outdated(now);
        }
        let is_retry =
            tracked.job.retry_of.as_ref().is_some_and(|original| self.is_retry_of(tracked, original));
        if is_retry {
            decisions.await_original(id);
            self.enter(now, id, Stage::AwaitingOriginal);
        }
        is_retry
    }

    /// Returns whether a job must not run because it repeats `original`. What counts is what the original was promised
    /// when it was admitted: a new version of the settings may have changed the class since.
    fn is_retry_of(&self, tracked: &TrackedJob, original: &JobId) -> bool {
        if self.records.contains(original) {
            return true;
        }
        // Two jobs that were read in one batch may each name the other as the original. The one that was read first is
        // admitted: a keyed one has its record before the other one is decided, an at-most-once one has no record.
        let was_read_before = |original: &TrackedJob| original.sequence < tracked.sequence;
        let original = self.jobs.get(original);
        match tracked.class.idempotency {
            Idempotency::Keyed => original.is_none(),
            Idempotency::AtMostOnce => original.is_none_or(was_read_before),
            Idempotency::Idempotent => original.is_some_and(|original| {
                original.class.idempotency != Idempotency::Idempotent && was_read_before(original)
            }),
        }
    }

    /// Stores an idempotency record for a new keyed job. Returns whether the admission of the job is still to be decided,
    /// which is always so for jobs of other classes.
    fn record_keyed(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) -> bool {
        let Some(tracked) = self.jobs.get(id) else { return false };
        if tracked.class.idempotency != Idempotency::Keyed {
            return true;
        }
        let retry_window = tracked.class.retry_window;
        if self.may_duplicate_run(tracked) {
            let give_up = GiveUp::Retry { retry_after: retry_window, capacity_elsewhere: true };
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

    /// Returns whether the job was received within the drain grace and can be answered in time; always true without a
    /// drain.
    fn is_admissible_in_drain(&mut self, now: Time, id: &JobId) -> bool {
        let (Some(drain), Some(tracked)) = (self.drain, self.jobs.get(id)) else { return true };
        if !drain.in_grace(tracked.job.received_at, &self.limits) {
            return false;
        }
        let latest_answer = self.latest_answer(tracked);
        now + self.service_times.run_time(now, tracked.job.job_class) <= latest_answer
    }

    /// Rejects a job of a class that calls the dependency if the call queue is full.
    fn reject_if_call_queue_full(&mut self, now: Time, id: &JobId, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.get(id) else { return };
        if !tracked.class.calls_dependency {
            return;
        }
        let time_budget = self.call_time_budget(now, tracked);
        if !self.call_limiter.is_queue_full(now, time_budget) {
            return;
        }
        // The lease of another server may still have calls left, so the caller may try elsewhere.
        let is_limited_by_lease = self.call_limiter.is_limited_by_lease(now);
        let mut lease_retry_after = Span::ZERO;
        if is_limited_by_lease {
            lease_retry_after = self.call_limiter.record_lease_rejection(now);
            decisions.limited_by_lease(id);
        }
        let retry_after = self.call_limiter.wait_budget(now, time_budget).max(lease_retry_after);
        self.give_up(
            now,
            id,
            GiveUp::Retry { retry_after, capacity_elsewhere: is_limited_by_lease },
            decisions,
        );
    }

    /// Returns whether a job that is linked to no idempotency record may duplicate a keyed job that has run.
    pub(super) fn may_duplicate_run(&self, tracked: &TrackedJob) -> bool {
        let min_gap = tracked.class.deadline * MIN_RETRY_GAP_RATIO;
        let retries_marked = self.callers.mark_retries;
        self.records.may_duplicate_run(&tracked.job, tracked.stage_since, retries_marked, min_gap)
    }

    /// Moves a job to the given stage.
    pub(super) fn enter(&mut self, now: Time, id: &JobId, stage: Stage) {
        if let Some(tracked) = self.jobs.get_mut(id) {
            tracked.enter(now, stage);
        }
    }
}
