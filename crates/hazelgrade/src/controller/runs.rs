//! Starts queued jobs, and gives up queued jobs that would end too late.

use super::Controller;
use crate::api::{Decisions, JobId};
use crate::job_table::Stage;
use crate::memory;
use crate::rejection::GiveUp;
use crate::run_queue;
use crate::time::{Span, Time};
use crate::timescales;

/// The capacity for further runs in this round.
struct RunCapacity {
    /// Number of concurrent runs that the run limiter allows.
    limit: f64,
    /// Number of jobs that the cores can sustain.
    max_on_cores: f64,
    running: f64,
    on_cores_or_calling: f64,
    used_kb: f64,
    max_kb: f64,
}

impl RunCapacity {
    /// Returns whether one more run with this much additional memory fits into the capacity.
    fn admits(&self, additional_kb: f64) -> bool {
        self.running < self.limit
            && self.on_cores_or_calling < self.max_on_cores
            && self.used_kb + additional_kb <= self.max_kb
    }

    /// Reserves capacity for one more run.
    fn reserve(&mut self, additional_kb: f64) {
        self.running += 1.0;
        self.on_cores_or_calling += 1.0;
        self.used_kb += additional_kb;
    }
}

impl Controller {
    /// Starts queued jobs in order of priority while there is capacity. A job that would end too late is given up at
    /// once, so that its caller still has time to try another server.
    pub(super) fn start_runs(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let queue = self.queue_by_priority(now);
        let slowdown = self.slowdown(now);
        let mut capacity = self.run_capacity(now);
        let mut work_ahead = Span::ZERO;
        let mut has_waiting_jobs = false;
        for id in queue {
            if self.can_start(now, &id, &capacity) {
                self.start_run(now, &id, &mut capacity, decisions);
                continue;
            }
            has_waiting_jobs = true;
            let starts_in = work_ahead * (1.0 / capacity.limit);
            match self.core_time_if_in_time(now, &id, starts_in, slowdown) {
                Some(work) => work_ahead += work,
                None => {
                    let retry_after = self.run_queue_clear_time(now);
                    let give_up = GiveUp::Retry { retry_after, capacity_elsewhere: true };
                    self.give_up(now, &id, give_up, decisions);
                }
            }
        }
        self.run_limiter.adjust(now, has_waiting_jobs);
    }

    /// Returns the queued jobs in order of decreasing priority. Jobs of equal priority are in the order in which they
    /// were read.
    fn queue_by_priority(&mut self, now: Time) -> Vec<JobId> {
        let mut queue = Vec::new();
        for id in self.jobs.select(|tracked| tracked.stage == Stage::Queued) {
            let Some(tracked) = self.jobs.get(&id) else { continue };
            let service_times = &mut self.service_times;
            let mean_core_time = || service_times.core_time(now, tracked.job.job_class);
            let priority = run_queue::priority(now, tracked, &mut self.quotas, &self.callers, mean_core_time);
            queue.push((priority, id));
        }
        queue.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        queue.into_iter().map(|(_, id)| id).collect()
    }

    fn run_capacity(&mut self, now: Time) -> RunCapacity {
        RunCapacity {
            limit: self.run_limiter.current_limit(now, self.timescales.unread_wait),
            max_on_cores: self.max_jobs_on_cores(now),
            running: self.jobs.count_in(&[Stage::Running]),
            on_cores_or_calling: self.jobs_on_cores_or_calling(),
            used_kb: self.used_kb(now),
            max_kb: memory::run_limit_kb(&self.machine),
        }
    }

    /// Returns whether there is capacity for the run of a queued job and, if its class calls the dependency, for its
    /// call.
    fn can_start(&mut self, now: Time, id: &JobId, capacity: &RunCapacity) -> bool {
        let Some(tracked) = self.jobs.get(id) else { return false };
        if !capacity.admits(memory::additional_kb_to_run(tracked, &self.machine)) {
            return false;
        }
        let time_budget = self.call_time_budget(now, tracked);
        !tracked.class.calls_dependency || !self.call_limiter.is_queue_full(now, time_budget)
    }

    /// Starts a job, or fails the job if it may duplicate a keyed job that has run.
    fn start_run(
        &mut self,
        now: Time,
        id: &JobId,
        capacity: &mut RunCapacity,
        decisions: &mut dyn Decisions,
    ) {
        let Some(tracked) = self.jobs.get(id) else { return };
        if self.may_duplicate_run(tracked) {
            return self.give_up(now, id, GiveUp::Fail, decisions);
        }
        let additional_kb = memory::additional_kb_to_run(tracked, &self.machine);
        decisions.start_run(id);
        self.enter(now, id, Stage::Running);
        if let Some(lifetime) = self.records.mark_run(now, id) {
            // The record of a retry that is linked to no record may have replaced this record in the host's store.
            decisions.store_record(id, lifetime);
        }
        capacity.reserve(additional_kb);
    }

    /// Returns the expected core time of a queued job that would start after `starts_in`; `None` if the job would end
    /// too late or wait longer than its class allows.
    fn core_time_if_in_time(
        &mut self,
        now: Time,
        id: &JobId,
        starts_in: Span,
        slowdown: f64,
    ) -> Option<Span> {
        let tracked = self.jobs.get(id)?;
        let job_class = tracked.job.job_class;
        let core_time = self.service_times.core_time(now, job_class) * slowdown;
        let ends_at = now + starts_in + self.service_times.run_time(now, job_class).max(core_time);
        let in_time =
            ends_at <= self.expires_at(tracked) && starts_in <= timescales::max_queue_wait(&tracked.class);
        in_time.then_some(core_time)
    }
}
