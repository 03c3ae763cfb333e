//! The jobs in flight: each from its arrival until it is answered and, if it was started, its run has ended.

use crate::api::{Job, JobClass, JobId};
use crate::time::{Span, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The stage of a job in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// It waits to be started.
    Queued,
    /// Its run uses the cores.
    Running,
    /// Its run is at a call and waits in the call queue.
    AwaitingCallPermit,
    /// Its run waits for the reply to a call.
    CallInFlight,
    /// It is a retry that waits for the result of the job it repeats.
    AwaitingOriginal,
}

/// A job in flight.
pub(crate) struct TrackedJob {
    pub job: Job,
    /// Its class as of its arrival: new settings change nothing for jobs in flight.
    pub class: Rc<JobClass>,
    /// Its tenant's quota as of its arrival, in jobs a second over the fleet.
    pub quota_per_s: f64,
    /// Its position in the order in which jobs were read.
    pub sequence: u64,
    pub stage: Stage,
    pub stage_since: Time,
    /// Time that its run has spent on the cores, not counting the current stage.
    pub core_time: Span,
    /// When its answer must be given at the latest, if there is no drain.
    pub latest_answer: Time,
    /// Until when an answer meets its latency objective.
    pub objective: Time,
    pub answered: bool,
    /// Whether it has been started at least once.
    pub has_run: bool,
    /// Attempts at its run's current call.
    pub call_attempts: u32,
    /// The timeout of the latest attempt; zero before the first.
    pub call_timeout: Span,
    /// Whether one of its calls may have had its effect without a reply.
    pub call_in_doubt: bool,
}

impl TrackedJob {
    /// Whether it has been started and its run has not ended.
    pub fn is_started(&self) -> bool {
        !matches!(self.stage, Stage::Queued | Stage::AwaitingOriginal)
    }

    /// Enters another stage. Only [`Stage::CallInFlight`] counts an attempt at the call; all others reset the count.
    pub fn enter(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.stage_since = now;
        self.has_run |= self.is_started();
        self.call_attempts = if stage == Stage::CallInFlight { self.call_attempts + 1 } else { 0 };
    }
}

/// The jobs in flight by their ids.
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

    pub fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// All jobs, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedJob> {
        self.jobs.values()
    }

    /// A job that is in flight and not yet answered.
    pub fn unanswered(&self, id: &JobId) -> Option<&TrackedJob> {
        self.jobs.get(id).filter(|tracked| !tracked.answered)
    }

    /// The unanswered jobs that match `which`, in the order in which they were read.
    pub fn select(&self, which: impl Fn(&TrackedJob) -> bool) -> Vec<JobId> {
        let mut selected: Vec<&TrackedJob> =
            self.iter().filter(|tracked| !tracked.answered && which(tracked)).collect();
        selected.sort_by_key(|tracked| tracked.sequence);
        selected.into_iter().map(|tracked| tracked.job.id.clone()).collect()
    }

    /// How many jobs are in one of these stages, answered or not.
    pub fn count_in(&self, stages: &[Stage]) -> f64 {
        self.iter().filter(|tracked| stages.contains(&tracked.stage)).count() as f64
    }
}
