//! Counters of requests and jobs by how they ended.

/// Counts of requests and jobs since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Jobs that the front end has admitted and passed to the controller.
    pub arrived: u64,
    /// Jobs that were answered with a result.
    pub succeeded: u64,
    /// Jobs that were rejected without having had an effect.
    pub rejected: u64,
    /// Jobs counted in `rejected` whose deadline had passed before they were read.
    pub expired_unread: u64,
    /// Jobs that were answered with an error.
    pub failed: u64,
    /// Jobs whose caller disconnected or aborted before the answer.
    pub callers_disconnected: u64,
    /// Answers that were due after the job had been answered or its caller had disconnected.
    pub late_answers: u64,
    /// Requests for a job class that this instance does not serve or no longer serves.
    pub not_served: u64,
    /// Requests that were denied because their caller lacks the right to make them.
    pub denied: u64,
    /// Requests counted in `denied` that the key set could not verify, which suggests that the key set is wrong.
    pub unverified: u64,
    /// Commands to runs that may have been lost with the link to the executor and were not sent again.
    pub commands_in_doubt: u64,
    /// Runs from which nothing was heard for some time after a call reply that may have been lost.
    pub silent_runs: u64,
    /// Runs that were given up at the deadline of their job, because a command to them may have been lost.
    pub lost_runs: u64,
    /// Jobs whose run the executor refused to start because the job is unknown to it.
    pub unknown_to_executor: u64,
    /// Copies of jobs that were started before and have ended; each fails without a run.
    pub copies_of_started: u64,
}
