//! Concurrency limiter for calls to the dependency. A semaphore bounds the calls in flight, and further calls wait in a
//! short bounded queue. While the queue is full, new jobs that call the dependency are rejected on arrival. A call that
//! has waited longer than its wait budget is dropped from the queue.
//!
//! The number of permits adapts to the call latency. The queue capacity is the number of calls that complete within the
//! longest time that a call may wait.

use crate::api::{CallDemand, CallLease, Dependency, JobId};
use crate::statistics::{DecayingSum, MeanDuration};
use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Initial permits if no limit is set for the dependency.
const DEFAULT_PERMITS: f64 = 8.0;
/// Upper bound of the permits if no limit is set, as a multiple of the initial permits.
const MAX_PERMITS_RATIO: f64 = 4.0;
/// Lower bound of the permits as a ratio of the initial permits. Fewer permits would delay calls to a slow dependency
/// even further.
const MIN_PERMITS_RATIO: f64 = 0.5;
/// Ratio of mean to best latency above which the dependency counts as overloaded.
const OVERLOADED_LATENCY_RATIO: f64 = 4.0;
/// Permits removed per round of slow calls, where a round is as many calls as there are permits.
const SHRINK_STEP: f64 = 0.5;
/// Relative increase of the best latency per round of calls, where a round is as many calls as there are permits. The
/// drift lets the best latency adapt to a lasting change.
const BEST_LATENCY_DRIFT: f64 = 0.002;
/// Call timeout as a multiple of the mean latency. A reply is unlikely by then, and the call still holds a permit.
const TIMEOUT_LATENCY_RATIO: f64 = 16.0;
/// Ratio of the lease's longest call time that a call may use. The rest is reserved for the network path to the
/// dependency.
const LEASE_TIME_USE_RATIO: f64 = 0.8;
/// Decaying sum of the jobs rejected because the lease was too small, below which no larger lease is requested.
const MIN_LEASE_REJECTIONS: f64 = 0.1;
/// Lower bound of the mean latency when dividing by it, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.001;

/// How a call ended for this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEnd {
    /// The call was answered or never executed, and no longer occupies the dependency.
    Finished,
    /// The call was abandoned, and the dependency was notified.
    Abandoned,
    /// The connection of the call was lost. The dependency may not notice the loss and may execute the call until the
    /// call's timeout.
    ConnectionLost {
        /// The timeout that was sent to the dependency with the call.
        timeout: Span,
    },
}

/// A call that has ended for this server, but may still occupy the dependency or count in its limit.
struct FinishedCall {
    /// When the call stops occupying the dependency.
    released_at: Time,
    /// How long the call occupied the dependency, including its linger.
    duration: Span,
}

/// Limits the calls in flight to the dependency.
pub(crate) struct CallLimiter {
    dependency: Dependency,
    /// This server's lease of the calls that all servers share; `None` if each server has its own limit.
    lease: Option<CallLease>,
    /// Jobs rejected because the lease was too small.
    lease_rejections: DecayingSum,
    permits: f64,
    /// The lowest mean latency observed, in milliseconds, with an upward drift.
    best_latency_ms: Option<f64>,
    queue: VecDeque<JobId>,
    in_flight: usize,
    finished: Vec<FinishedCall>,
    latency: MeanDuration,
}

impl CallLimiter {
    /// Creates a limiter for a dependency that has not been called yet.
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

    /// Changes the window over which latency and lease rejections are averaged.
    pub fn set_learning_window(&mut self, now: Time, learning_window: Span) {
        self.latency.set_time_constant(now, learning_window);
        self.lease_rejections.set_time_constant(now, learning_window);
    }

    /// Replaces the lease.
    pub fn set_lease(&mut self, lease: CallLease) {
        self.lease = Some(lease);
    }

    /// Returns the whole number of calls that the permits allow in flight, at least 1.
    fn permits(&self) -> f64 {
        self.permits.floor().max(1.0)
    }

    /// Returns the number of calls that the lease allows in flight.
    fn lease_limit(&self, now: Time) -> f64 {
        self.lease.map_or(f64::INFINITY, |lease| lease.at(now))
    }

    /// Returns the number of calls that have ended for this server but may still occupy the dependency.
    fn lingering(&self, now: Time) -> usize {
        self.finished.iter().filter(|call| call.released_at > now).count()
    }

    fn in_flight_or_lingering(&self, now: Time) -> f64 {
        (self.in_flight + self.lingering(now)) as f64
    }

    /// Returns whether calls wait because of the lease and not because of the permits.
    pub fn is_limited_by_lease(&self, now: Time) -> bool {
        let limit = self.lease_limit(now);
        limit < self.permits() && self.in_flight_or_lingering(now) >= limit
    }

    /// Counts a job that was rejected because the lease is exhausted. Returns the time until a larger lease may be
    /// granted.
    pub fn record_lease_rejection(&mut self, now: Time) -> Span {
        self.lease_rejections.add(now, 1.0);
        self.lease.map_or(Span::ZERO, |lease| lease.retry_after)
    }

    /// Returns whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Records the latency of a call that ended with a reply or a timeout, and adjusts the permits. While calls wait
    /// and the latency is near its best, the permits grow, initially doubling per round trip. While calls are much
    /// slower, the permits shrink, at most to half of the initial permits.
    pub fn record_latency(&mut self, now: Time, latency: Span) {
        self.latency.record(now, latency);
        self.adjust_permits(now);
    }

    fn adjust_permits(&mut self, now: Time) {
        let initial = self.dependency.max_calls.unwrap_or(DEFAULT_PERMITS);
        // A mean over only a few calls is too noisy to act on.
        let has_enough_samples = self.latency.sample_count(now) >= initial.max(DEFAULT_PERMITS);
        let Some(mean_ms) = self.latency.mean(now).map(Span::as_ms).filter(|_| has_enough_samples) else {
            return;
        };
        let drift = 1.0 + BEST_LATENCY_DRIFT / self.permits;
        let best_ms = self.best_latency_ms.map_or(mean_ms, |best_ms| (best_ms * drift).min(mean_ms));
        self.best_latency_ms = Some(best_ms);
        let max = self.dependency.max_calls.unwrap_or(MAX_PERMITS_RATIO * DEFAULT_PERMITS);
        if mean_ms > best_ms * OVERLOADED_LATENCY_RATIO {
            self.permits -= SHRINK_STEP / self.permits;
            // Permits grow only while the mean latency is below the midpoint between best latency and overload
            // threshold.
        } else if !self.queue.is_empty() && mean_ms < best_ms * (1.0 + OVERLOADED_LATENCY_RATIO) / 2.0 {
            self.permits += initial / self.permits;
        }
        self.permits = self.permits.clamp((initial * MIN_PERMITS_RATIO).min(max), max);
    }

    /// Returns the calls per second that the permits allow at the mean latency. The throughput is derived from the
    /// latency and not counted, so that a pause in arrivals doesn't lower the result.
    fn throughput_per_s(&mut self, now: Time) -> Option<f64> {
        let mean = self.latency.mean(now)?;
        Some(self.permits * 1000.0 / mean.as_ms().max(MIN_LATENCY_MS))
    }

    /// Returns how long a call with the total `time_budget` may wait in the queue. The same time is the retry-after of
    /// a job rejected because of a full queue, as the queue has emptied by then.
    pub fn wait_budget(&mut self, now: Time, time_budget: Span) -> Span {
        time_budget.saturating_sub(self.latency.mean_or_zero(now))
    }

    /// Returns how many calls may wait, such that the last one is started within its wait budget.
    fn queue_capacity(&mut self, now: Time, time_budget: Span) -> f64 {
        let budget = self.wait_budget(now, time_budget);
        let leased_ratio = (self.lease_limit(now) / self.permits()).min(1.0);
        self.throughput_per_s(now).map_or(self.permits() * leased_ratio, |throughput| {
            (throughput * leased_ratio * budget.as_ms() / 1000.0).max(leased_ratio.ceil())
        })
    }

    /// Returns whether the queue is full for a call with the total `time_budget`.
    pub fn is_queue_full(&mut self, now: Time, time_budget: Span) -> bool {
        self.queue.len() as f64 >= self.queue_capacity(now, time_budget)
    }

    /// Returns whether calls wait in the queue.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Adds a call to the end of the queue.
    pub fn enqueue(&mut self, id: &JobId) {
        self.queue.push_back(id.clone());
    }

    /// Removes and returns the call that has waited longest.
    pub fn dequeue(&mut self) -> Option<JobId> {
        self.queue.pop_front()
    }

    /// Removes a call from the queue, if present.
    pub fn remove_queued(&mut self, id: &JobId) {
        self.queue.retain(|queued| queued != id);
    }

    /// Returns the limit of the dependency if the limit is less than one call on average.
    fn fractional_limit(&self) -> Option<f64> {
        self.dependency.max_calls.filter(|max_calls| *max_calls < 1.0)
    }

    /// Returns how long the next call may take, given the call time already used in the limit's window; `None` unless
    /// the limit is less than one call.
    fn call_time_left(&self) -> Option<Span> {
        let limit = self.fractional_limit()?;
        // The next call may linger too, so the linger of the next call counts as used.
        let used = self.finished.iter().fold(self.dependency.linger, |used, call| used + call.duration);
        Some((self.dependency.max_calls_window * limit).saturating_sub(used))
    }

    /// Returns whether a call may be started now.
    pub fn has_permit(&mut self, now: Time) -> bool {
        let retention = self.fractional_limit().map_or(Span::ZERO, |_| self.dependency.max_calls_window);
        self.finished.retain(|call| call.released_at + retention > now);
        let in_flight = self.in_flight_or_lingering(now);
        let latency = self.latency.mean_or_zero(now);
        let time_left = self.call_time_left();
        time_left.is_none_or(|left| left > latency || self.finished.is_empty())
            && in_flight < self.permits().min(self.lease_limit(now))
    }

    /// Counts a call that starts now and returns the timeout of the call. The timeout is [`TIMEOUT_LATENCY_RATIO`]
    /// times the mean latency but at least `min_timeout`, bounded by `remaining`, the limit of the dependency and the
    /// lease.
    pub fn call_started(&mut self, now: Time, remaining: Span, min_timeout: Span) -> Span {
        let latency_timeout = self.latency.mean(now).map_or(remaining, |mean| mean * TIMEOUT_LATENCY_RATIO);
        let within_limit = self.call_time_left().map_or(remaining, |left| remaining.min(left));
        let within_lease = self.lease.map_or(within_limit, |lease| {
            let usable = lease.max_call_time.saturating_sub(self.dependency.linger) * LEASE_TIME_USE_RATIO;
            within_limit.min(usable)
        });
        self.in_flight += 1;
        within_lease.min(latency_timeout.max(min_timeout))
    }

    /// Returns how long a call that has ended for this server may keep occupying the dependency.
    ///
    /// The limit that all servers share by leases is exact, so a call whose connection was lost counts for as long as
    /// the dependency may execute the call. A limit of this server alone is a mean over a window, and calls whose
    /// connection was lost don't count against it.
    fn linger_after(&self, end: CallEnd) -> Span {
        match end {
            CallEnd::Finished => Span::ZERO,
            CallEnd::Abandoned => self.dependency.linger,
            CallEnd::ConnectionLost { timeout } if self.lease.is_some() => timeout + self.dependency.linger,
            CallEnd::ConnectionLost { .. } => Span::ZERO,
        }
    }

    /// Records that a call has ended for this server. The call may linger at the dependency.
    pub fn call_finished(&mut self, now: Time, duration: Span, end: CallEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let linger = self.linger_after(end);
        self.finished.push(FinishedCall { released_at: now + linger, duration: duration + linger });
    }

    /// Returns the mean latency of calls, or zero before the first call.
    pub fn mean_latency(&mut self, now: Time) -> Span {
        self.latency.mean_or_zero(now)
    }

    /// Returns how much the mean latency exceeds the best latency: from 0 (not at all) to 1 (twice as long or longer).
    pub fn latency_excess(&mut self, now: Time) -> f64 {
        let best_and_mean = self.best_latency_ms.zip(self.latency.mean(now));
        best_and_mean
            .map_or(0.0, |(best_ms, mean)| (mean.as_ms() / best_ms.max(MIN_LATENCY_MS) - 1.0).clamp(0.0, 1.0))
    }

    /// Returns the calls that jobs rejected because of a too small lease would have in flight. While jobs are rejected
    /// for this reason, the result is at least one: a server that has made no call yet knows no latency, and a demand
    /// of less than one call would never be granted.
    fn calls_of_rejected_jobs(&mut self, now: Time, learning_window: Span) -> f64 {
        let rejected_jobs = self.lease_rejections.value(now);
        if rejected_jobs < MIN_LEASE_REJECTIONS {
            return 0.0;
        }
        (rejected_jobs * (self.latency.mean_or_zero(now) / learning_window)).max(1.0)
    }

    /// Returns the calls in flight and the calls wanted. The latter include the waiting calls and the calls of jobs
    /// rejected because the lease was too small.
    pub fn demand(&mut self, now: Time, learning_window: Span) -> CallDemand {
        let in_flight = self.in_flight_or_lingering(now);
        let waiting =
            (self.queue.len() as f64 + self.calls_of_rejected_jobs(now, learning_window)).min(self.permits());
        CallDemand { in_flight, wanted: in_flight + waiting }
    }

    /// Returns when a permit may next become free without an event, because a call stops lingering or leaves the
    /// limit's window.
    pub fn next_release(&self, now: Time) -> Option<Time> {
        let window = self.dependency.max_calls_window;
        let releases = self.finished.iter().flat_map(|call| [call.released_at, call.released_at + window]);
        releases.filter(|release| *release > now).min()
    }
}
