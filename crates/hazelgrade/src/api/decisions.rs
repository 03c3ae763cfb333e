//! The sink that takes the decisions of a round.

use super::job::JobId;
use crate::time::{Span, Time};

/// Takes the decisions of a round, in order.
pub trait Decisions {
    /// Starts the run of a queued job.
    fn start_run(&mut self, id: &JobId);
    /// Answers a job that has had no effect: it may be sent again after `retry_after`; `not_elsewhere`
    /// says that other servers seem to have no room for it either.
    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span);
    /// Answers a job with an error: it may have had its effect, or a retry would not help.
    fn fail(&mut self, id: &JobId);
    /// Makes the call that a run waits for; without a reply after `timeout` it has timed out.
    fn start_call(&mut self, id: &JobId, timeout: Span);
    /// Continues a run without the call that it waits for.
    fn skip_call(&mut self, id: &JobId);
    /// Cancels a run.
    fn cancel_run(&mut self, id: &JobId);
    /// Makes a retry wait for the result of the job that it repeats.
    fn await_original(&mut self, id: &JobId);
    /// Stores the idempotency record of a keyed job for a time, in place of an earlier one.
    fn store_record(&mut self, id: &JobId, lifetime: Span);
    /// Removes the idempotency record of a job that has not run.
    fn remove_record(&mut self, id: &JobId);
    /// Publishes a load signal to the callers.
    fn publish_load_signal(&mut self, value: f64);
    /// Publishes the health by which the server is listed to callers; `from_store` has it announced as a stored fact.
    fn publish_health(&mut self, healthy: bool, from_store: bool);
    /// Sets a timer; when it fires the host passes `token` back.
    fn set_timer(&mut self, at: Time, token: u64);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
    /// Comes before the decision on a job that is limited by the lease of calls that all servers share, rather than by
    /// a full queue.
    fn limited_by_lease(&mut self, _id: &JobId) {}
}
