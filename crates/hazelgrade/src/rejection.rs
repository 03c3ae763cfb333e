//! How a job that is given up is answered: rejected, with when and where to try again, or failed. It is answered at
//! once, so that its caller has time to try another server.

use crate::api::Idempotency;
use crate::job_table::TrackedJob;
use crate::statistics::DecayingSum;
use crate::time::{Span, Time};

/// Retry-after is drawn from this ratio of its base upwards, so that callers don't come back together.
const JITTER_FROM: f64 = 0.75;
/// The width of the range that retry-after is drawn from, as a ratio of its base.
const JITTER_RANGE: f64 = 0.5;
/// If more than this ratio of the requests are retries, other servers have no room either.
const RETRIES_EVERYWHERE_RATIO: f64 = 0.1;
/// Where retries are not marked, a rejection counts as this many retries to come.
const RETRIES_PER_REJECTION: f64 = 0.25;

/// How a job is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GiveUp {
    /// It may be sent again after `retry_after`, if it has had no effect; `elsewhere` if another server may have room.
    Retry { retry_after: Span, elsewhere: bool },
    /// It is answered with an error: a retry would not help.
    Fail,
}

/// Whether a job may be rejected, which promises that it has had no effect that a retry would repeat.
/// `may_repeat_started` is whether it may be a retry, linked to no record, of a job that ran.
pub(crate) fn may_reject(tracked: &TrackedJob, may_repeat_started: bool) -> bool {
    let may_have_run = tracked.has_run || tracked.job.retry_of.is_some() || may_repeat_started;
    tracked.class.idempotency == Idempotency::Idempotent || !may_have_run
}

/// How long after its rejection a job may come again: `base` spread by `random` (from 0 up to less than 1), divided by
/// the load signal's `openness` (over 0) where that is below 1, and `max` at most.
pub(crate) fn retry_after(base: Span, random: f64, openness: f64, max: Span) -> Span {
    let spread = base * ((JITTER_FROM + JITTER_RANGE * random) / openness.min(1.0));
    spread.min(max)
}

/// How many of the requests that arrive are retries: an estimate of whether other servers have room.
pub(crate) struct RetryRate {
    requests: DecayingSum,
    retries: DecayingSum,
    /// Whether callers mark their retries.
    marked: bool,
}

impl RetryRate {
    /// A rate without requests, learned over `window`.
    pub fn new(window: Span, marked: bool) -> RetryRate {
        RetryRate { requests: DecayingSum::new(window), retries: DecayingSum::new(window), marked }
    }

    /// Learns over another window from now on.
    pub fn set_window(&mut self, now: Time, window: Span) {
        self.requests.set_time_constant(now, window);
        self.retries.set_time_constant(now, window);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time, is_retry: bool, count: f64) {
        self.requests.add(now, count);
        if is_retry {
            self.retries.add(now, count);
        }
    }

    /// Counts a rejection: where retries are not marked, it counts as a fraction of a retry to come.
    pub fn record_rejection(&mut self, now: Time) {
        self.retries.add(now, if self.marked { 0.0 } else { RETRIES_PER_REJECTION });
    }

    /// Requests over the window.
    pub fn requests(&mut self, now: Time) -> f64 {
        self.requests.value(now)
    }

    /// Whether more than `ratio` of the requests are retries.
    pub fn exceeds(&mut self, now: Time, ratio: f64) -> bool {
        self.retries.value(now) > ratio * self.requests.value(now)
    }

    /// Whether other servers seem to have no room either.
    pub fn is_high_everywhere(&mut self, now: Time) -> bool {
        self.exceeds(now, RETRIES_EVERYWHERE_RATIO)
    }
}
