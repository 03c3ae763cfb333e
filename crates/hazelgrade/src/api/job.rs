//! Jobs as the host reads them, and how their runs and calls end.

use crate::time::{Span, Time};
use std::rc::Rc;

/// A job's id, as the host gave it; unique among the jobs in flight.
pub type JobId = Rc<str>;

/// A job that has been read from its caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique among the jobs in flight.
    pub id: JobId,
    /// Index of its class in the settings.
    pub job_class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// When it reached the machine, which may be long before it was read.
    pub received_at: Time,
    /// When its caller stops waiting, if the caller states it; otherwise the deadline of its class applies.
    pub caller_deadline: Option<Time>,
    /// Expected time on a standard core, if the caller states it.
    pub expected_work: Option<Span>,
    /// Memory that it takes while queued, in kilobytes.
    pub queued_kb: f64,
    /// Its rank by priority weight among all jobs, from 0 up to less than 1.
    pub priority_rank: f64,
    /// Known to be a retry or a hedged request.
    pub is_retry: bool,
    /// The earlier job of which this one is a retry, where that is known.
    pub retry_of: Option<JobId>,
    /// A job of its caller has run before, so what it sends is evidence of the load.
    pub from_known_caller: bool,
    /// Its caller is over its rate limit, so the job's priority weight is reduced.
    pub over_caller_limit: bool,
    /// Set if a budget that all servers share has nothing left for it: the time until there may be more.
    pub lease_retry_after: Option<Span>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Completed,
    /// It ran and failed.
    Failed,
    /// The dependency rejected it before it ran.
    Rejected,
    /// No reply came in time; it may have had its effect.
    TimedOut,
    /// No connection could be made: nothing ran.
    Unreachable,
    /// The connection was lost; it may have had its effect.
    ConnectionLost,
    /// The run was cancelled or preempted before its end.
    Cancelled,
    /// Nothing started: the job was already over.
    Superseded,
}

impl Outcome {
    /// Whether it is certain that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::Superseded)
    }
}
