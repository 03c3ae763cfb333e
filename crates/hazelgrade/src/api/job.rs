//! Jobs as the host reads them, and the outcomes of their runs and calls.

use crate::time::{Span, Time};
use std::rc::Rc;

/// The id that the host assigned to a job; unique among the jobs in flight.
pub type JobId = Rc<str>;

/// A job that the host has read from a caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of the job, unique among the jobs in flight.
    pub id: JobId,
    /// Index of the job class in the settings.
    pub job_class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// When the job reached the machine, which may be long before the host read the job.
    pub received_at: Time,
    /// When the caller stops waiting, if the caller states a deadline; otherwise the deadline of the class applies.
    pub caller_deadline: Option<Time>,
    /// Expected time on a standard core, if the caller states one.
    pub expected_work: Option<Span>,
    /// Memory that the job occupies while queued, in kilobytes.
    pub queued_kb: f64,
    /// Rank of the job by priority weight among all jobs, from 0 (inclusive) to 1 (exclusive).
    pub priority_rank: f64,
    /// Whether the job is known to be a retry or a hedged request.
    pub is_retry: bool,
    /// The earlier job of which this job is a retry, if known.
    pub retry_of: Option<JobId>,
    /// Whether an earlier job of the same caller has run. Only jobs of known callers count in load measurements.
    pub from_known_caller: bool,
    /// Whether the caller exceeds its rate limit, which reduces the job's priority weight.
    pub over_caller_limit: bool,
    /// Time until a budget that all servers share may have units for the job; set only if the budget is exhausted.
    pub lease_retry_after: Option<Span>,
}

/// The outcome of a run or of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Completed,
    /// The run or call executed and failed.
    Failed,
    /// The dependency rejected the call before executing any of it.
    Rejected,
    /// No reply arrived before the timeout; the call may have had its effect.
    TimedOut,
    /// No connection could be established, so nothing was executed.
    Unreachable,
    /// The connection was lost; the run or call may have had its effect.
    ConnectionLost,
    /// The run was cancelled or preempted before completion.
    Cancelled,
    /// Nothing was executed, because the job had already ended.
    Superseded,
}

impl Outcome {
    /// Whether the outcome guarantees that nothing was executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::Superseded)
    }
}
