//! Answers for jobs that are given up: a rejection that says when and where to try again, or a failure. The answer is
//! sent at once, so that the caller still has time to try another server.

use crate::api::Idempotency;
use crate::job_table::{Stage, TrackedJob};
use crate::statistics::DecayingSum;
use crate::time::{Span, Time};

/// Lower end of the range from which the retry-after is drawn, as a ratio of the base. Random retry-after times prevent
/// callers from returning all at once.
const MIN_JITTER_RATIO: f64 = 0.75;
/// Width of the range from which the retry-after is drawn, as a ratio of the base.
const JITTER_RANGE_RATIO: f64 = 0.5;
/// Ratio of retries among the requests above which other servers presumably have no capacity either.
const FLEET_OVERLOAD_RETRY_RATIO: f64 = 0.1;
/// Number of expected retries that a rejection counts as if callers do not mark their retries.
const RETRIES_PER_REJECTION: f64 = 0.25;

/// How a job is answered when it is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GiveUp {
    /// The job may be sent again after `retry_after` if it has had no effect. `capacity_elsewhere` is whether another
    /// server may have capacity for the job.
    Retry { retry_after: Span, capacity_elsewhere: bool },
    /// The job is answered with an error, as a retry would not help.
    Fail,
}

/// Returns whether a job may be rejected. A rejection guarantees that the job has had no effect that a retry would
/// duplicate. `may_duplicate_run` is whether the job may be a retry, linked to no idempotency record, of a job that
/// ran.
pub(crate) fn may_reject(tracked: &TrackedJob, may_duplicate_run: bool) -> bool {
    let may_have_run = tracked.has_run || tracked.job.retry_of.is_some() || may_duplicate_run;
    // An idempotent job that awaits its original repeats a job that was not idempotent when it was admitted.
    let may_run_again =
        tracked.class.idempotency == Idempotency::Idempotent && tracked.stage != Stage::AwaitingOriginal;
    may_run_again || !may_have_run
}

/// Returns the time after which a rejected job may be sent again: `base`, spread by `random` (from 0 inclusive to 1
/// exclusive), divided by the `openness` of the load signal (above 0) if it is below 1, and at most `max`.
pub(crate) fn retry_after(base: Span, random: f64, openness: f64, max: Span) -> Span {
    let spread = base * ((MIN_JITTER_RATIO + JITTER_RANGE_RATIO * random) / openness.min(1.0));
    spread.min(max)
}

/// The ratio of retries among arriving requests, from which the controller infers whether other servers have capacity.
pub(crate) struct RetryRate {
    requests: DecayingSum,
    retries: DecayingSum,
    /// Whether callers mark their retries.
    retries_marked: bool,
}

impl RetryRate {
    /// Creates a rate without requests that is averaged over `window`.
    pub fn new(window: Span, retries_marked: bool) -> RetryRate {
        RetryRate { requests: DecayingSum::new(window), retries: DecayingSum::new(window), retries_marked }
    }

    /// Changes the window over which requests and retries are summed.
    pub fn set_window(&mut self, now: Time, window: Span) {
        self.requests.set_time_constant(now, window);
        self.retries.set_time_constant(now, window);
    }

    /// Records `count` requests, which are retries if `is_retry` is true.
    pub fn record_request(&mut self, now: Time, is_retry: bool, count: f64) {
        self.requests.add(now, count);
        if is_retry {
            self.retries.add(now, count);
        }
    }

    /// Records a rejection, which counts as a fraction of an expected retry if callers do not mark their retries.
    pub fn record_rejection(&mut self, now: Time) {
        self.retries.add(now, if self.retries_marked { 0.0 } else { RETRIES_PER_REJECTION });
    }

    /// Returns the decaying sum of requests over the window.
    pub fn requests(&mut self, now: Time) -> f64 {
        self.requests.value(now)
    }

    /// Returns whether the ratio of retries among the requests exceeds `ratio`.
    pub fn exceeds(&mut self, now: Time, ratio: f64) -> bool {
        self.retries.value(now) > ratio * self.requests.value(now)
    }

    /// Returns whether other servers appear to have no capacity either.
    pub fn indicates_fleet_overload(&mut self, now: Time) -> bool {
        self.exceeds(now, FLEET_OVERLOAD_RETRY_RATIO)
    }
}
