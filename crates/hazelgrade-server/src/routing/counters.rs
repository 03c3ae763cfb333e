//! Counts how the jobs that were read have ended.

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Jobs that were admitted to the controller.
    pub arrived: u64,
    /// Jobs that were answered with a result.
    pub succeeded: u64,
    /// Jobs that were rejected: they have had no effect.
    pub rejected: u64,
    /// Jobs that were answered with an error.
    pub failed: u64,
    /// Callers that disconnected or aborted before the answer.
    pub callers_disconnected: u64,
    /// Answers that were due after the job had been answered or its caller had disconnected.
    pub late_answers: u64,
    /// Requests for a job class that is not served here, or no longer.
    pub not_served: u64,
    /// Requests of callers that lack the right to make them.
    pub denied: u64,
    /// The requests in `denied` that the key set could not verify: they suggest a wrong key set.
    pub unverified: u64,
    /// Jobs that the executor did not know.
    pub unknown_to_executor: u64,
}
