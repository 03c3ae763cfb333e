//! The mechanism of the service: a semaphore bounds the calls in flight to the dependency, and further calls wait in a
//! short bounded queue. While the queue is full, new jobs that call are rejected at arrival; a call that has waited
//! past its budget is dropped.
//!
//! The number of permits adapts to how long calls take; the queue's capacity follows from how many calls get through
//! while one may wait.

use crate::api::{CallDemand, CallLease, Dependency, JobId};
use crate::statistics::{DecayingSum, MeanDuration};
use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Permits at the start, where no limit is set for the dependency.
const DEFAULT_PERMITS: f64 = 8.0;
/// Where no limit is set, permits may grow to this many times those at the start.
const MAX_PERMITS_RATIO: f64 = 4.0;
/// Permits never shrink below this ratio of those at the start, so as not to add to a dependency's slowness.
const MIN_PERMITS_RATIO: f64 = 0.5;
/// Calls that take this many times their best latency show that the dependency is overloaded.
const OVERLOADED_LATENCY_RATIO: f64 = 4.0;
/// By how much permits shrink for each permit's worth of slow calls.
const SHRINK_STEP: f64 = 0.5;
/// Ratio by which the best latency drifts up for each permit's worth of calls, so that it adapts to a lasting change.
const BEST_LATENCY_DRIFT: f64 = 0.002;
/// A call times out after this many times the mean latency: by then no reply is expected, and it holds a permit.
const TIMEOUT_LATENCY_RATIO: f64 = 16.0;
/// Ratio of a lease's longest call time that a call may use: the network path to the dependency needs the rest.
const LEASE_TIME_USE_RATIO: f64 = 0.8;
/// With fewer jobs rejected for lack of a larger lease, in a decaying sum over the learning window, none is wanted.
const MIN_LEASE_REJECTIONS: f64 = 0.1;
/// Shortest mean latency that a throughput is worked out from, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.001;

/// How a call ended here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEnding {
    /// It was answered, or never ran: it is not at the dependency.
    Over,
    /// It was given up, and the dependency was told.
    GivenUp,
    /// It was lost with its connection. The dependency may not notice, and go on until the call's timeout.
    ConnectionLost {
        /// The timeout that the dependency was told.
        timeout: Span,
    },
}

/// A call that has ended here and still counts at the dependency for a while.
struct FinishedCall {
    /// When it has left the dependency.
    left_at: Time,
    /// How long it was there.
    lasted: Span,
}

/// Limits the calls in flight to the dependency.
pub(crate) struct CallLimiter {
    dependency: Dependency,
    /// This server's lease of the calls that all servers share; none where each has its own limit.
    lease: Option<CallLease>,
    /// Jobs that were rejected for lack of a larger lease.
    lease_rejections: DecayingSum,
    permits: f64,
    /// The lowest mean latency, in milliseconds.
    best_latency_ms: Option<f64>,
    queue: VecDeque<JobId>,
    in_flight: usize,
    finished: Vec<FinishedCall>,
    latency: MeanDuration,
}

impl CallLimiter {
    /// A limiter for a dependency that was not called yet.
    pub fn new(dependency: Dependency, learning_window: Span) -> CallLimiter {
        CallLimiter {
            permits: dependency.max_calls.unwrap_or(DEFAULT_PERMITS),
            dependency,
            lease: None,
            lease_rejections: DecayingSum::new(learning_window),
            best_latency_ms: None,
            queue: VecDeque::new(),
            in_flight: 0,
            finished: Vec::new(),
            latency: MeanDuration::new(learning_window),
        }
    }

    /// Learns over another window from now on.
    pub fn set_learning_window(&mut self, now: Time, learning_window: Span) {
        self.latency.set_time_constant(now, learning_window);
        self.lease_rejections.set_time_constant(now, learning_window);
    }

    /// Goes by this lease from now on.
    pub fn set_lease(&mut self, lease: CallLease) {
        self.lease = Some(lease);
    }

    /// Whole calls that the permits allow in flight, 1 at least.
    fn permits(&self) -> f64 {
        self.permits.floor().max(1.0)
    }

    /// Calls that the lease allows in flight.
    fn lease_limit(&self, now: Time) -> f64 {
        self.lease.map_or(f64::INFINITY, |lease| lease.at(now))
    }

    /// Calls that have ended here and may still be at the dependency.
    fn lingering(&self, now: Time) -> usize {
        self.finished.iter().filter(|call| call.left_at > now).count()
    }

    fn in_flight_or_lingering(&self, now: Time) -> f64 {
        (self.in_flight + self.lingering(now)) as f64
    }

    /// Whether the lease, and not the permits, is what keeps a call waiting.
    pub fn is_limited_by_lease(&self, now: Time) -> bool {
        let limit = self.lease_limit(now);
        limit < self.permits() && self.in_flight_or_lingering(now) >= limit
    }

    /// Counts a job that was rejected because the lease has nothing left; returns the time until there may be more.
    pub fn rejected_by_lease(&mut self, now: Time) -> Span {
        self.lease_rejections.add(now, 1.0);
        self.lease.map_or(Span::ZERO, |lease| lease.retry_after)
    }

    /// Whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// A call took `latency` until its reply or its timeout. While calls wait and the latency is near its best, permits
    /// grow, at first doubling in a round trip; while calls are much slower permits shrink, to half those at the start.
    pub fn record_latency(&mut self, now: Time, latency: Span) {
        self.latency.record(now, latency);
        self.adjust_permits(now);
    }

    fn adjust_permits(&mut self, now: Time) {
        let initial = self.dependency.max_calls.unwrap_or(DEFAULT_PERMITS);
        // A mean over few calls is not meaningful.
        let is_meaningful = self.latency.sample_count(now) >= initial.max(DEFAULT_PERMITS);
        let Some(mean_ms) = self.latency.mean(now).map(Span::as_ms).filter(|_| is_meaningful) else { return };
        let drift = 1.0 + BEST_LATENCY_DRIFT / self.permits;
        let best_ms = self.best_latency_ms.map_or(mean_ms, |best_ms| (best_ms * drift).min(mean_ms));
        self.best_latency_ms = Some(best_ms);
        let max = self.dependency.max_calls.unwrap_or(MAX_PERMITS_RATIO * DEFAULT_PERMITS);
        if mean_ms > best_ms * OVERLOADED_LATENCY_RATIO {
            self.permits -= SHRINK_STEP / self.permits;
            // Permits grow up to halfway between the best latency and that of an overloaded dependency.
        } else if !self.queue.is_empty() && mean_ms < best_ms * (1.0 + OVERLOADED_LATENCY_RATIO) / 2.0 {
            self.permits += initial / self.permits;
        }
        self.permits = self.permits.clamp((initial * MIN_PERMITS_RATIO).min(max), max);
    }

    /// Calls per second that the permits allow at the mean latency; a pause in arrivals doesn't lower it.
    fn throughput_per_s(&mut self, now: Time) -> Option<f64> {
        let mean = self.latency.mean(now)?;
        Some(self.permits * 1000.0 / mean.as_ms().max(MIN_LATENCY_MS))
    }

    /// How long a call that may take `time_budget` in all may wait in the queue. For a rejected job this is the
    /// retry-after too: by then the queue has drained.
    pub fn wait_budget(&mut self, now: Time, time_budget: Span) -> Span {
        time_budget.saturating_sub(self.latency.mean_or_zero(now))
    }

    /// How many calls may wait, so that the last of them is made within its wait budget.
    fn queue_capacity(&mut self, now: Time, time_budget: Span) -> f64 {
        let budget = self.wait_budget(now, time_budget);
        let leased_ratio = (self.lease_limit(now) / self.permits()).min(1.0);
        self.throughput_per_s(now).map_or(self.permits() * leased_ratio, |throughput| {
            (throughput * leased_ratio * budget.as_ms() / 1000.0).max(leased_ratio.ceil())
        })
    }

    /// Whether the queue is full for a call that may take `time_budget` in all.
    pub fn is_queue_full(&mut self, now: Time, time_budget: Span) -> bool {
        self.queue.len() as f64 >= self.queue_capacity(now, time_budget)
    }

    /// Whether calls wait.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// A call joins the queue.
    pub fn enqueue(&mut self, id: &JobId) {
        self.queue.push_back(id.clone());
    }

    /// Takes the call that has waited longest.
    pub fn dequeue(&mut self) -> Option<JobId> {
        self.queue.pop_front()
    }

    /// Takes a call out of the queue, if it waits there.
    pub fn remove_queued(&mut self, id: &JobId) {
        self.queue.retain(|queued| queued != id);
    }

    /// The dependency's limit, if it is less than one call on average.
    fn fractional_limit(&self) -> Option<f64> {
        self.dependency.max_calls.filter(|max_calls| *max_calls < 1.0)
    }

    /// With a limit of less than one call: how long the next call may take, by what was used in the limit's window.
    fn call_time_left(&self) -> Option<Span> {
        let limit = self.fractional_limit()?;
        // The next call may linger too, so its linger counts as used.
        let used = self.finished.iter().fold(self.dependency.linger, |used, call| used + call.lasted);
        Some((self.dependency.max_calls_window * limit).saturating_sub(used))
    }

    /// Whether a call may be made now.
    pub fn has_permit(&mut self, now: Time) -> bool {
        let remembered = self.fractional_limit().map_or(Span::ZERO, |_| self.dependency.max_calls_window);
        self.finished.retain(|call| call.left_at + remembered > now);
        let in_flight = self.in_flight_or_lingering(now);
        let latency = self.latency.mean_or_zero(now);
        let time_left = self.call_time_left();
        time_left.is_none_or(|left| left > latency || self.finished.is_empty())
            && in_flight < self.permits().min(self.lease_limit(now))
    }

    /// Counts a call that starts now and returns its timeout. The timeout is [`TIMEOUT_LATENCY_RATIO`] times the mean
    /// latency, or `shortest` if that is longer, and at most `remaining` and what the dependency's limit and the lease
    /// allow.
    pub fn call_started(&mut self, now: Time, remaining: Span, shortest: Span) -> Span {
        let latency_timeout = self.latency.mean(now).map_or(remaining, |mean| mean * TIMEOUT_LATENCY_RATIO);
        let within_limit = self.call_time_left().map_or(remaining, |left| remaining.min(left));
        let within_lease = self.lease.map_or(within_limit, |lease| {
            let usable = lease.max_call_time.saturating_sub(self.dependency.linger) * LEASE_TIME_USE_RATIO;
            within_limit.min(usable)
        });
        self.in_flight += 1;
        within_lease.min(latency_timeout.max(shortest))
    }

    /// How long a call that has ended here may stay at the dependency.
    ///
    /// The calls that all servers share are exact, so one that was lost counts for as long as it may run. A server's
    /// own limit is a mean over a window, and such calls don't count against it.
    fn linger_after(&self, ending: CallEnding) -> Span {
        match ending {
            CallEnding::Over => Span::ZERO,
            CallEnding::GivenUp => self.dependency.linger,
            CallEnding::ConnectionLost { timeout } if self.lease.is_some() => {
                timeout + self.dependency.linger
            }
            CallEnding::ConnectionLost { .. } => Span::ZERO,
        }
    }

    /// Counts a call that has ended here; it may linger at the dependency.
    pub fn call_finished(&mut self, now: Time, lasted: Span, ending: CallEnding) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let linger = self.linger_after(ending);
        self.finished.push(FinishedCall { left_at: now + linger, lasted: lasted + linger });
    }

    /// The mean latency of calls, or zero before the first.
    pub fn mean_latency(&mut self, now: Time) -> Span {
        self.latency.mean_or_zero(now)
    }

    /// How much slower calls are than at their best: from 0, not at all, to 1, twice as slow or more.
    pub fn latency_excess(&mut self, now: Time) -> f64 {
        let best_and_mean = self.best_latency_ms.zip(self.latency.mean(now));
        best_and_mean
            .map_or(0.0, |(best_ms, mean)| (mean.as_ms() / best_ms.max(MIN_LATENCY_MS) - 1.0).clamp(0.0, 1.0))
    }

    /// Calls that would be in flight if no job were rejected for lack of a larger lease: one at least while jobs are, as
    /// a server that could make no call yet knows no latency, and less than one would never be leased.
    fn rejected_calls(&mut self, now: Time, learning_window: Span) -> f64 {
        let rejected_jobs = self.lease_rejections.value(now);
        if rejected_jobs < MIN_LEASE_REJECTIONS {
            return 0.0;
        }
        (rejected_jobs * (self.latency.mean_or_zero(now) / learning_window)).max(1.0)
    }

    /// Calls in flight, and those that would be: waiting calls, and calls of jobs rejected for lack of a larger lease.
    pub fn demand(&mut self, now: Time, learning_window: Span) -> CallDemand {
        let in_flight = self.in_flight_or_lingering(now);
        let waiting =
            (self.queue.len() as f64 + self.rejected_calls(now, learning_window)).min(self.permits());
        CallDemand { in_flight, wanted: in_flight + waiting }
    }

    /// When a permit may next become free without an event: a call stops lingering or leaves the limit's window.
    pub fn next_release(&self, now: Time) -> Option<Time> {
        let window = self.dependency.max_calls_window;
        let releases = self.finished.iter().flat_map(|call| [call.left_at, call.left_at + window]);
        releases.filter(|release| *release > now).min()
    }
}
