//! The jobs in flight. A job is in flight from its arrival until it is answered and, if started, its run has ended.

use crate::api::{Job, JobClass, JobId};
use crate::time::{Span, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The stage of a job in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// The job waits in the run queue.
    Queued,
    /// The run uses the cores.
    Running,
    /// The run has requested a call, and the call waits in the call queue.
    AwaitingCallPermit,
    /// The run waits for the reply to a call.
    CallInFlight,
    /// The job is a retry that waits for the result of the original job.
    AwaitingOriginal,
}

/// A job in flight and its state.
pub(crate) struct TrackedJob {
    pub job: Job,
    /// The class of the job at its arrival. New settings do not affect jobs in flight.
    pub class: Rc<JobClass>,
    /// The quota of the tenant at the arrival of the job, in jobs per second over the whole fleet.
    pub quota_per_s: f64,
    /// Position of the job in the order in which jobs were read.
    pub sequence: u64,
    pub stage: Stage,
    pub stage_since: Time,
    /// Time that the run has spent on the cores, excluding the current stage.
    pub core_time: Span,
    /// Latest time for the answer if there is no drain.
    pub latest_answer: Time,
    /// Until when an answer meets the latency objective.
    pub objective_deadline: Time,
    pub answered: bool,
    /// Whether the job has been started at least once.
    pub has_run: bool,
    /// Number of attempts at the current call of the run.
    pub call_attempts: u32,
    /// Timeout of the latest attempt at a call; zero before the first.
    pub call_timeout: Span,
    /// Whether a call of the run may have had its effect although no reply arrived.
    pub call_in_doubt: bool,
}

impl TrackedJob {
    /// Returns whether the job has a run that has not ended.
    pub fn is_started(&self) -> bool {
        !matches!(self.stage, Stage::Queued | Stage::AwaitingOriginal)
    }

    /// Enters the given stage. [`Stage::CallInFlight`] counts an attempt at the call; all other stages reset the count.
    pub fn enter(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.stage_since = now;
        self.has_run |= self.is_started();
        self.call_attempts = if stage == Stage::CallInFlight { self.call_attempts + 1 } else { 0 };
    }
}

/// The jobs in flight by id.
#[derive(Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobId, TrackedJob>,
}

impl JobTable {
    pub fn insert(&mut self, tracked: TrackedJob) {
        self.jobs.insert(tracked.job.id.clone(), tracked);
    }

    pub fn remove(&mut self, id: &JobId) -> Option<TrackedJob> {
        self.jobs.remove(id)
    }

    pub fn get(&self, id: &JobId) -> Option<&TrackedJob> {
        self.jobs.get(id)
    }

    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut TrackedJob> {
        self.jobs.get_mut(id)
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Iterates over all jobs in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedJob> {
        self.jobs.values()
    }

    /// Returns the job if it is in flight and not yet answered.
    pub fn unanswered(&self, id: &JobId) -> Option<&TrackedJob> {
        self.jobs.get(id).filter(|tracked| !tracked.answered)
    }

    /// Returns the unanswered jobs that match the predicate, in the order in which they were read.
    pub fn select(&self, predicate: impl Fn(&TrackedJob) -> bool) -> Vec<JobId> {
        let mut selected: Vec<&TrackedJob> =
            self.iter().filter(|tracked| !tracked.answered && predicate(tracked)).collect();
        selected.sort_by_key(|tracked| tracked.sequence);
        selected.into_iter().map(|tracked| tracked.job.id.clone()).collect()
    }

    /// Returns the number of jobs in one of these stages, whether answered or not.
    pub fn count_in(&self, stages: &[Stage]) -> f64 {
        self.iter().filter(|tracked| stages.contains(&tracked.stage)).count() as f64
    }
}
