//! Deadlines: when the answer of a job is due, when the answer loses its value, and how much time remains for a call.

use crate::api::{Job, JobClass, ServiceLimits};
use crate::job_table::TrackedJob;
use crate::time::{Span, Time};

/// Upper bound of the safety margin before an answer is due, as a ratio of the time from receipt to deadline. The
/// margin is otherwise the answer slack.
const MAX_SLACK_RATIO: f64 = 0.1;

/// The deadlines of a job, fixed on arrival.
pub(crate) struct Deadlines {
    /// Latest time for the answer, with a safety margin before the answer is due.
    pub latest_answer: Time,
    /// Until when an answer meets the latency objective.
    pub objective_deadline: Time,
}

impl Deadlines {
    /// Derives the deadlines from the caller's deadline, or from the deadline of the class if the caller states none.
    pub fn new(job: &Job, class: &JobClass, limits: &ServiceLimits) -> Deadlines {
        let due = job.caller_deadline.unwrap_or(job.received_at + class.deadline);
        let work_allowance = job.expected_work.map_or(Span::ZERO, |work| work * class.objective_per_work);
        let slack = limits.answer_slack.min(due.since(job.received_at) * MAX_SLACK_RATIO);
        Deadlines {
            latest_answer: due - slack,
            objective_deadline: (job.received_at + class.latency_objective + work_allowance).min(due),
        }
    }
}

/// Returns the latest time for an answer, which is at most `drain_deadline` in a drain.
pub(crate) fn latest_answer(tracked: &TrackedJob, drain_deadline: Option<Time>) -> Time {
    drain_deadline.map_or(tracked.latest_answer, |drain_deadline| tracked.latest_answer.min(drain_deadline))
}

/// Returns when an answer loses all its value: at the latency objective, or at the latest time for an answer if late
/// answers have some weight.
pub(crate) fn expires_at(tracked: &TrackedJob, drain_deadline: Option<Time>) -> Time {
    let latest = latest_answer(tracked, drain_deadline);
    if tracked.class.late_weight_ratio > 0.0 { latest } else { latest.min(tracked.objective_deadline) }
}

/// Returns until when a run may wait for its call. While calls are slow, the deadline of an optional call is up to
/// `mean_core_time` earlier, which leaves time to finish the run without the call.
///
/// `latency_excess` is how much the mean latency of calls exceeds the best latency, from 0 (not at all) to 1 (twice as
/// long or longer).
pub(crate) fn call_deadline(
    class: &JobClass,
    expires_at: Time,
    latency_excess: f64,
    mean_core_time: Span,
) -> Time {
    let excess = if class.allows_answers_without_call() { latency_excess } else { 0.0 };
    expires_at - mean_core_time * excess
}

/// Returns the total time that a call of this job may take, which determines the wait budget and the capacity of the
/// call queue. The time ends when the caller stops waiting or when the job expires, whichever is earlier.
pub(crate) fn call_time_budget(tracked: &TrackedJob, now: Time, expires_at: Time) -> Span {
    let caller_time_left = tracked
        .job
        .caller_deadline
        .map_or(tracked.class.deadline, |caller_deadline| caller_deadline.since(now));
    caller_time_left.min(expires_at.since(now))
}
