//! Runs: which queued jobs are started now, and which are given up because they would start too late.

use super::Controller;
use crate::api::{Decisions, JobId};
use crate::job_table::Stage;
use crate::memory;
use crate::rejection::GiveUp;
use crate::run_queue;
use crate::time::{Span, Time};
use crate::timescales;

/// The room for further runs in this round.
struct RunRoom {
    /// Jobs that may run at once, by the run limiter.
    limit: f64,
    /// Jobs that the cores withstand.
    max_on_cores: f64,
    running: f64,
    on_cores_or_calling: f64,
    used_kb: f64,
    max_kb: f64,
}

impl RunRoom {
    /// Whether there is room for one more run that takes this much additional memory.
    fn admits(&self, additional_kb: f64) -> bool {
        self.running < self.limit
            && self.on_cores_or_calling < self.max_on_cores
            && self.used_kb + additional_kb <= self.max_kb
    }

    /// Counts one more run.
    fn take(&mut self, additional_kb: f64) {
        self.running += 1.0;
        self.on_cores_or_calling += 1.0;
        self.used_kb += additional_kb;
    }
}

impl Controller {
    /// Starts queued jobs in the order of their priority, as far as there is room. One that would end too late is given
    /// up now, so that its caller has time to try another server.
    pub(super) fn start_runs(&mut self, now: Time, decisions: &mut dyn Decisions) {
        let queue = self.queue_by_priority(now);
        let slowdown = self.slowdown(now);
        let mut room = self.run_room(now);
        let mut work_ahead = Span::ZERO;
        let mut jobs_wait = false;
        for id in queue {
            if self.has_room_for(now, &id, &room) {
                self.start_run(now, &id, &mut room, decisions);
                continue;
            }
            jobs_wait = true;
            let starts_in = work_ahead * (1.0 / room.limit);
            match self.work_if_in_time(now, &id, starts_in, slowdown) {
                Some(work) => work_ahead += work,
                None => {
                    let retry_after = self.run_queue_drains_in(now);
                    let give_up = GiveUp::Retry { retry_after, elsewhere: true };
                    self.give_up(now, &id, give_up, decisions);
                }
            }
        }
        self.run_limiter.adjust(now, jobs_wait);
    }

    /// The queued jobs, the highest priority first; jobs of equal priority in the order in which they were read.
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

    fn run_room(&mut self, now: Time) -> RunRoom {
        RunRoom {
            limit: self.run_limiter.current_limit(now, self.timescales.unread_wait),
            max_on_cores: self.max_jobs_on_cores(now),
            running: self.jobs.count_in(&[Stage::Running]),
            on_cores_or_calling: self.jobs_on_cores_or_calling(),
            used_kb: self.used_kb(now),
            max_kb: memory::run_limit_kb(&self.machine),
        }
    }

    /// Whether a queued job can be started now: there is room for its run, and for its call, if it makes one.
    fn has_room_for(&mut self, now: Time, id: &JobId, room: &RunRoom) -> bool {
        let Some(tracked) = self.jobs.get(id) else { return false };
        if !room.admits(memory::additional_kb_to_run(tracked, &self.machine)) {
            return false;
        }
        let time_budget = self.call_time_budget(now, tracked);
        !tracked.class.calls_dependency || !self.call_limiter.is_queue_full(now, time_budget)
    }

    /// Starts a job, unless it may repeat one that has run.
    fn start_run(&mut self, now: Time, id: &JobId, room: &mut RunRoom, decisions: &mut dyn Decisions) {
        let Some(tracked) = self.jobs.get(id) else { return };
        if self.may_repeat_started(tracked) {
            return self.give_up(now, id, GiveUp::Fail, decisions);
        }
        let additional_kb = memory::additional_kb_to_run(tracked, &self.machine);
        decisions.start_run(id);
        self.enter(now, id, Stage::Running);
        if let Some(lifetime) = self.records.mark_run(now, id) {
            // A retry that is linked to no record may have replaced this one in the host's store.
            decisions.store_record(id, lifetime);
        }
        room.take(additional_kb);
    }

    /// The core time of a queued job that would start after `starts_in`; `None` if it would then end too late, or wait
    /// for longer than its class's queue patience.
    fn work_if_in_time(&mut self, now: Time, id: &JobId, starts_in: Span, slowdown: f64) -> Option<Span> {
        let tracked = self.jobs.get(id)?;
        let job_class = tracked.job.job_class;
        let core_time = self.service_times.core_time(now, job_class) * slowdown;
        let ends_at = now + starts_in + self.service_times.run_time(now, job_class).max(core_time);
        let in_time = ends_at <= self.worthless_from(tracked)
            && starts_in <= timescales::queue_patience(&tracked.class);
        in_time.then_some(core_time)
    }
}
