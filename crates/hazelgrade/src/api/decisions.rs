//! The sink to which the controller writes the decisions of a round.

use super::job::JobId;
use crate::time::{Span, Time};

/// Receives the decisions of a round, in the order in which the controller makes them.
pub trait Decisions {
    /// Starts the run of a queued job.
    fn start_run(&mut self, id: &JobId);
    /// Rejects a job that has had no effect, so the caller may send the job again after `retry_after`. `not_elsewhere`
    /// is true if other servers appear to have no capacity for the job either.
    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span);
    /// Answers a job with an error, because the job may have had its effect or because a retry would not help.
    fn fail(&mut self, id: &JobId);
    /// Makes the call that a run waits for. The call times out if no reply arrives within `timeout`.
    fn start_call(&mut self, id: &JobId, timeout: Span);
    /// Continues a run without the call that the run waits for.
    fn skip_call(&mut self, id: &JobId);
    /// Cancels a run.
    fn cancel_run(&mut self, id: &JobId);
    /// Makes a retry wait for the result of the original job.
    fn await_original(&mut self, id: &JobId);
    /// Stores the idempotency record of a keyed job for `lifetime`, replacing any earlier record of the job.
    fn store_record(&mut self, id: &JobId, lifetime: Span);
    /// Removes the idempotency record of a job that has not run.
    fn remove_record(&mut self, id: &JobId);
    /// Publishes a load signal to the callers.
    fn publish_load_signal(&mut self, value: f64);
    /// Publishes the health that decides whether callers see the server in the endpoint list. If `from_store` is true,
    /// the host announces the health as a stored fact.
    fn publish_health(&mut self, healthy: bool, from_store: bool);
    /// Sets a timer for `at`. When the timer fires, the host passes `token` back to the controller.
    fn set_timer(&mut self, at: Time, token: u64);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
    /// Reports that the next decision on this job is due to the lease of calls that all servers share, and not to a
    /// full queue. Always precedes that decision.
    fn limited_by_lease(&mut self, _id: &JobId) {}
}
