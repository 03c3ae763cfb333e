//! When a job's answer is due, when it stops being worth anything, and how much time that leaves for a call.

use crate::api::{Job, JobClass, ServiceLimits};
use crate::job_table::TrackedJob;
use crate::time::{Span, Time};

/// Answers are given before they are due by the answer slack, or by this ratio of the job's time if that is less.
const MAX_SLACK_RATIO: f64 = 0.1;

/// The points in time by which a job is judged, fixed at its arrival.
pub(crate) struct Deadlines {
    /// When its answer must be given at the latest, safely before it is due.
    pub latest_answer: Time,
    /// Until when an answer meets its latency objective.
    pub objective: Time,
}

impl Deadlines {
    /// From the caller's deadline, or that of the class if the caller states none.
    pub fn new(job: &Job, class: &JobClass, limits: &ServiceLimits) -> Deadlines {
        let due = job.caller_deadline.unwrap_or(job.received_at + class.deadline);
        let for_work = job.expected_work.map_or(Span::ZERO, |work| work * class.objective_per_work);
        let slack = limits.answer_slack.min(due.since(job.received_at) * MAX_SLACK_RATIO);
        Deadlines {
            latest_answer: due - slack,
            objective: (job.received_at + class.latency_objective + for_work).min(due),
        }
    }
}

/// When an answer must be given at the latest: before it is due, and in a drain before `drain_deadline`.
pub(crate) fn latest_answer(tracked: &TrackedJob, drain_deadline: Option<Time>) -> Time {
    drain_deadline.map_or(tracked.latest_answer, |drain_deadline| tracked.latest_answer.min(drain_deadline))
}

/// When an answer stops being worth anything: at the latency objective, unless late answers have some weight.
pub(crate) fn worthless_from(tracked: &TrackedJob, drain_deadline: Option<Time>) -> Time {
    let latest = latest_answer(tracked, drain_deadline);
    if tracked.class.late_weight_ratio > 0.0 { latest } else { latest.min(tracked.objective) }
}

/// Until when a call is waited for. While calls are slow, one that may be left out is waited for only as long as leaves
/// time to finish the run without it: up to `mean_core_time` earlier.
///
/// `latency_excess` is how much slower calls are than at their best, from 0 (not at all) to 1 (twice as slow or more).
pub(crate) fn call_deadline(
    class: &JobClass,
    worthless_from: Time,
    latency_excess: f64,
    mean_core_time: Span,
) -> Time {
    let excess = if class.weight_ratio_without_call > 0.0 { latency_excess } else { 0.0 };
    worthless_from - mean_core_time * excess
}

/// How long a call of this job may take in all, which determines the call queue's wait budget and capacity: the time
/// until its caller stops waiting or its answer is worth nothing, whichever is shorter.
pub(crate) fn call_time_budget(tracked: &TrackedJob, now: Time, worthless_from: Time) -> Span {
    let caller_waits = tracked
        .job
        .caller_deadline
        .map_or(tracked.class.deadline, |caller_deadline| caller_deadline.since(now));
    caller_waits.min(worthless_from.since(now))
}
